//! A second run beside a silent one.
//!
//! A runner that is silent may be well: a crowded one puts requests back and reads them again. So the run of a stream
//! that was begun is left alone, and another runner is asked to go on where the stream stands. Whichever gives the
//! next event carries the stream on, and the other run is closed. A second run that fails, or does not go on where the
//! stream stands, changes nothing for the first.
#![deny(missing_docs)]

use super::request::*;
use super::resume::ContinuationCheck;
use crate::gate::{Balancer, RoutingDecision};
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};
use crate::transfer::event_buffer::StreamEvent;

/// The pause between two looks for a runner to stand by.
const STANDBY_PAUSE: Span = Span::ms(200);

impl RequestFlow {
    /// An event of the run that stands by, other than a piece of its answer.
    pub fn on_standby_event(
        &mut self,
        now: Time,
        ev: FlowEvent,
        balancer: &mut Balancer,
        out: &mut Vec<FlowAction>,
    ) {
        match ev {
            FlowEvent::OpenFailed { reason: why, .. } => {
                self.attempts_opened = self.attempts_opened.saturating_sub(1);
                let good = why.is_none().then_some(false);
                self.close_standby(now, "it could not be reached", good, balancer, out);
            }
            FlowEvent::Lost { .. } => self.close_standby(now, "it failed", Some(false), balancer, out),
            FlowEvent::Rejected { attempt, lacks_weights: gone } => {
                let runner = self.runner_of(attempt).unwrap_or_default();
                balancer.on_rejected(now, &runner, &self.spec, gone);
                self.close_standby(now, "it turned the request away", None, balancer, out);
            }
            FlowEvent::Head { status: 200, is_stream: true, attempt } => self.on_head(attempt),
            FlowEvent::Head { .. } => {
                self.close_standby(now, "it did not answer with a stream", None, balancer, out);
            }
            FlowEvent::End { .. } => self.close_standby(now, "it ended without a word", None, balancer, out),
            _ => {}
        }
    }

    /// Whether a silent run is left alone while another is asked, as a begun stream that may be resumed is.
    pub fn may_open_standby(&self) -> bool {
        self.is_answer_started && self.is_stream && self.spec.is_resumable && !self.has_event_without_id
    }

    /// Asks another runner to go on with the stream, if there is one now and the budget allows it.
    pub fn open_standby(
        &mut self,
        now: Time,
        silent: &Name,
        balancer: &mut Balancer,
        out: &mut Vec<FlowAction>,
    ) {
        let spent = self.attempts_opened >= self.spec.max_attempts || balancer.retry_budget.credit() < 1.0;
        if self.standby.is_some() || self.handover.is_some() || spent || now < self.next_standby_at {
            return;
        }
        self.next_standby_at = now + STANDBY_PAUSE;
        let mut avoid = self.avoid.clone();
        avoid.push(silent.clone());
        self.mark_resumed(now);
        let RoutingDecision::Send(runner) = balancer.choose_runner(now, &self.spec, &avoid) else { return };
        if !balancer.retry_budget.try_spend() {
            return;
        }
        balancer.claim_slot(now, &runner, &self.spec);
        balancer.count("standby_opened");
        out.push(FlowAction::Log("standby", format!("{} beside silent {silent}", runner.instance)));
        self.attempts_opened += 1;
        let heard = self.heard_at;
        self.standby = Some(self.open_continuation(now, runner, out));
        self.heard_at = heard;
    }

    /// An event of the run that stands by: the first one that goes on with the stream makes it the stream's own run.
    pub fn on_standby_item(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        item: StreamEvent,
        balancer: &mut Balancer,
        out: &mut Vec<FlowAction>,
    ) {
        match self.check_continuation(attempt, &item) {
            ContinuationCheck::Continues => {
                self.switch_to_standby(now, attempt, balancer, out);
                self.forward_event(item, out);
            }
            ContinuationCheck::Skip => {}
            ContinuationCheck::Differs(how) => {
                balancer.count("resume_differs");
                self.close_standby(now, &how, Some(false), balancer, out);
            }
        }
    }

    fn switch_to_standby(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        balancer: &mut Balancer,
        out: &mut Vec<FlowAction>,
    ) {
        let silent = std::mem::replace(&mut self.main, attempt);
        self.standby = None;
        self.heard_at = now;
        let from = self.runner_of(silent).unwrap_or_default();
        let to = self.runner_of(attempt).unwrap_or_default();
        balancer.count("standby_took_over");
        out.push(FlowAction::Log("standby-took-over", format!("{from}>{to}")));
        self.avoid.push(from);
        self.close(now, silent, Some(false), balancer, out);
    }

    /// The stream's own run is lost: the one that stands by is the resumed one from now on, if there is one.
    pub fn promote_standby(&mut self, lost: &Name, out: &mut Vec<FlowAction>) -> bool {
        let Some(attempt) = self.standby.take() else { return false };
        self.avoid.push(lost.clone());
        self.main = attempt;
        out.push(FlowAction::Log("standby-steps-in", format!("for lost {lost}")));
        true
    }

    /// The run that stands by is of no use; the stream stays where it is.
    pub fn close_standby(
        &mut self,
        now: Time,
        why: &str,
        good: Option<bool>,
        balancer: &mut Balancer,
        out: &mut Vec<FlowAction>,
    ) {
        let Some(attempt) = self.standby.take() else { return };
        let runner = self.runner_of(attempt).unwrap_or_default();
        out.push(FlowAction::Log("standby-failed", format!("{runner}: {why}")));
        self.avoid.push(runner);
        self.close(now, attempt, good, balancer, out);
    }

    /// The stream's own run gave the next event: none has to stand by.
    pub fn close_unneeded_standby(&mut self, now: Time, balancer: &mut Balancer, out: &mut Vec<FlowAction>) {
        let Some(attempt) = self.standby.take() else { return };
        balancer.count("standby_not_needed");
        self.close(now, attempt, None, balancer, out);
    }
}
