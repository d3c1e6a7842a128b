//! What a run of a request is for, decided once for each of its events.
#![deny(missing_docs)]

use super::attempt::RunnerAttempt;
use super::request::*;
use crate::gate::Balancer;
use crate::kernel::time::Time;
use crate::transfer::event_buffer::Item;
use bytes::Bytes;

/// What a run is for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AttemptRole {
    /// Its answer is the client's.
    Main,
    /// It may go on with the stream of a silent run.
    Standby,
    /// The stream is being moved to it.
    Destination,
}

impl RequestFlow {
    /// What this run is for now: a switch, or the end of another run, may change it.
    pub fn role_of(&self, attempt: AttemptNo) -> AttemptRole {
        if self.standby == Some(attempt) {
            return AttemptRole::Standby;
        }
        match self.hand.as_ref().is_some_and(|hand| hand.0 == attempt) {
            true => AttemptRole::Destination,
            false => AttemptRole::Main,
        }
    }

    /// Handles an event of a run that is under way.
    pub fn attempt_event(&mut self, now: Time, ev: In, balancer: &mut Balancer, out: &mut Vec<Out>) {
        let Some(attempt) = ev.attempt() else { return };
        if let In::Chunk { raw, .. } = &ev {
            return self.chunk(now, attempt, raw, balancer, out);
        }
        match self.role_of(attempt) {
            AttemptRole::Main => self.main_event(now, ev, balancer, out),
            AttemptRole::Standby => self.standby_event(now, ev, balancer, out),
            AttemptRole::Destination => self.dest_event(now, ev, balancer, out),
        }
    }

    fn main_event(&mut self, now: Time, ev: In, balancer: &mut Balancer, out: &mut Vec<Out>) {
        match ev {
            In::OpenFailed { attempt, why } => self.open_failed(now, attempt, why, balancer, out),
            In::Lost { attempt } => self.lost(now, attempt, balancer, out),
            In::Shed { attempt, gone } => self.shed(now, attempt, gone, balancer, out),
            In::Head { attempt, status, stream } => self.head(now, attempt, status, stream, balancer, out),
            In::End { attempt, end } => self.ended(now, attempt, end, balancer, out),
            _ => {}
        }
    }

    fn chunk(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        raw: &Bytes,
        balancer: &mut Balancer,
        out: &mut Vec<Out>,
    ) {
        if let Some(run) = self.attempt(attempt) {
            run.boundary.add(raw);
        }
        if self.role_of(attempt) == AttemptRole::Main {
            self.heard = now;
            if !(self.spec.is_resumable && self.stream) {
                return out.push(Out::Pass(raw.clone()));
            }
        }
        let Some(run) = self.attempt(attempt) else { return };
        let items = run.cut.add(raw);
        if run.cut.too_long() {
            return self.event_too_long(now, attempt, balancer, out);
        }
        for item in items {
            self.item(now, attempt, item, balancer, out);
            if self.over || self.attempts.iter().all(|run: &RunnerAttempt| run.no != attempt) {
                return;
            }
        }
    }

    fn event_too_long(&mut self, now: Time, attempt: AttemptNo, balancer: &mut Balancer, out: &mut Vec<Out>) {
        match self.role_of(attempt) {
            AttemptRole::Standby => {
                self.standby_failed(now, "an event was too long", Some(false), balancer, out)
            }
            AttemptRole::Main | AttemptRole::Destination => {
                self.attempt_event(now, In::Lost { attempt }, balancer, out);
            }
        }
    }

    /// One event of a run; it may change what the run is for.
    fn item(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        item: Item,
        balancer: &mut Balancer,
        out: &mut Vec<Out>,
    ) {
        match self.role_of(attempt) {
            AttemptRole::Main => self.joined_item(now, attempt, item, balancer, out),
            AttemptRole::Standby => self.standby_item(now, attempt, item, balancer, out),
            AttemptRole::Destination => self.dest_item(now, item, balancer, out),
        }
    }
}
