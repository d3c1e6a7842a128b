//! A standby attempt beside a silent one.
//!
//! A silent runner may be healthy: an overloaded one preempts requests and recomputes them later. So the main attempt of a
//! stream that has begun is left open while another runner is asked to continue where the stream stands. Whichever sends the
//! next event continues the stream, and the other attempt is closed. A standby that fails, or does not continue where
//! the stream stands, does not affect the main attempt.
//!
#![deny(missing_docs)]

use super::request::*;
use super::resume::ContinuationCheck;
use crate::gate::{Balancer, RoutingDecision};
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};
use crate::transfer::event_buffer::StreamEvent;

/// Pause between two attempts to find a standby runner.
const STANDBY_PAUSE: Span = Span::ms(200);

impl RequestFlow {
    /// Handles an event of the standby attempt, other than a piece of its answer.
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

    /// Whether a silent main attempt is left open while another runner is asked: for a resumable stream that has begun.
    pub fn may_open_standby(&self) -> bool {
        self.is_answer_started && self.is_stream && self.spec.is_resumable && !self.has_event_without_id
    }

    /// Asks another runner to continue the stream, if one is free now and the retry budget allows it.
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

    /// Handles an event of the standby's stream: the first that continues the stream makes it the main attempt.
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

    /// Makes the standby the main attempt and closes the silent one.
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

    /// The main attempt is lost: the standby, if there is one, takes its place. True if so.
    pub fn promote_standby(&mut self, lost: &Name, out: &mut Vec<FlowAction>) -> bool {
        let Some(attempt) = self.standby.take() else { return false };
        self.avoid.push(lost.clone());
        self.main = attempt;
        out.push(FlowAction::Log("standby-steps-in", format!("for lost {lost}")));
        true
    }

    /// Closes a standby that is of no use; the main attempt stays.
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

    /// Closes the standby, as the main attempt has sent the next event.
    pub fn close_unneeded_standby(&mut self, now: Time, balancer: &mut Balancer, out: &mut Vec<FlowAction>) {
        let Some(attempt) = self.standby.take() else { return };
        balancer.count("standby_not_needed");
        self.close(now, attempt, None, balancer, out);
    }
}
