//! The role of each attempt of a request, determined anew for each of its events.
//!
#![deny(missing_docs)]

use super::attempt::RunnerAttempt;
use super::request::*;
use crate::gate::Balancer;
use crate::kernel::time::Time;
use crate::transfer::event_buffer::StreamEvent;
use bytes::Bytes;

/// What an attempt is for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AttemptRole {
    /// Its answer goes to the client.
    Main,
    /// It may continue the stream of a silent runner.
    Standby,
    /// The stream is being moved to it.
    Destination,
}

impl RequestFlow {
    /// The current role; a switch, or the end of another attempt, may change it.
    pub fn role_of(&self, attempt: AttemptNo) -> AttemptRole {
        if self.standby == Some(attempt) {
            return AttemptRole::Standby;
        }
        match self.handover.as_ref().is_some_and(|handover| handover.0 == attempt) {
            true => AttemptRole::Destination,
            false => AttemptRole::Main,
        }
    }

    /// Handles an event of an open attempt.
    pub fn on_attempt_event(
        &mut self,
        now: Time,
        ev: FlowEvent,
        balancer: &mut Balancer,
        out: &mut Vec<FlowAction>,
    ) {
        let Some(attempt) = ev.attempt() else { return };
        if let FlowEvent::Chunk { raw, .. } = &ev {
            return self.on_chunk(now, attempt, raw, balancer, out);
        }
        match self.role_of(attempt) {
            AttemptRole::Main => self.on_main_event(now, ev, balancer, out),
            AttemptRole::Standby => self.on_standby_event(now, ev, balancer, out),
            AttemptRole::Destination => self.on_destination_event(now, ev, balancer, out),
        }
    }

    fn on_main_event(
        &mut self,
        now: Time,
        ev: FlowEvent,
        balancer: &mut Balancer,
        out: &mut Vec<FlowAction>,
    ) {
        match ev {
            FlowEvent::OpenFailed { attempt, reason: why } => {
                self.on_open_failed(now, attempt, why, balancer, out)
            }
            FlowEvent::Lost { attempt } => self.on_main_lost(now, attempt, balancer, out),
            FlowEvent::Rejected { attempt, lacks_weights: gone } => {
                self.on_rejected(now, attempt, gone, balancer, out)
            }
            FlowEvent::Head { attempt, status, is_stream: stream } => {
                self.on_main_head(now, attempt, status, stream, balancer, out)
            }
            FlowEvent::End { attempt, end } => self.on_main_end(now, attempt, end, balancer, out),
            _ => {}
        }
    }

    fn on_chunk(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        raw: &Bytes,
        balancer: &mut Balancer,
        out: &mut Vec<FlowAction>,
    ) {
        if let Some(run) = self.attempt(attempt) {
            run.boundary.add(raw);
        }
        if self.role_of(attempt) == AttemptRole::Main {
            self.heard_at = now;
            if !(self.spec.is_resumable && self.is_stream) {
                return out.push(FlowAction::Forward(raw.clone()));
            }
        }
        let Some(run) = self.attempt(attempt) else { return };
        let items = run.splitter.push(raw);
        if run.splitter.is_event_too_long() {
            return self.on_event_too_long(now, attempt, balancer, out);
        }
        for item in items {
            self.on_item(now, attempt, item, balancer, out);
            if self.is_over || self.attempts.iter().all(|run: &RunnerAttempt| run.no != attempt) {
                return;
            }
        }
    }

    fn on_event_too_long(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        balancer: &mut Balancer,
        out: &mut Vec<FlowAction>,
    ) {
        match self.role_of(attempt) {
            AttemptRole::Standby => {
                self.close_standby(now, "an event was too long", Some(false), balancer, out)
            }
            AttemptRole::Main | AttemptRole::Destination => {
                self.on_attempt_event(now, FlowEvent::Lost { attempt }, balancer, out);
            }
        }
    }

    /// Handles one event of a stream, which may change the role of the attempt.
    fn on_item(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        item: StreamEvent,
        balancer: &mut Balancer,
        out: &mut Vec<FlowAction>,
    ) {
        match self.role_of(attempt) {
            AttemptRole::Main => self.on_main_item(now, attempt, item, balancer, out),
            AttemptRole::Standby => self.on_standby_item(now, attempt, item, balancer, out),
            AttemptRole::Destination => self.on_destination_item(now, item, balancer, out),
        }
    }
}
