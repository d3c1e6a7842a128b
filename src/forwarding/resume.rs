//! Continuation of a request on another runner after its attempt was lost, rejected or differed.

use super::attempt::ExpectedFirst;
use super::request::*;
use crate::fleet::config::RouteKind;
use crate::fleet::runner::Runner;
use crate::gate::order::RefusalReason;
use crate::gate::{Balancer, Refusal};
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};
use crate::protocol::Load;
use crate::transfer::continuation::RunContract;
use crate::transfer::event_buffer::StreamEvent;

/// How long a request that was begun may wait for another runner.
const RESUME_WAIT: Span = Span::ms(3000);
/// Shortest silence before the first event that counts as a silent runner.
const FIRST_EVENT_PATIENCE_MIN: Span = Span::ms(450);
/// Shortest silence between events that counts as a silent runner.
const NEXT_EVENT_PATIENCE_MIN: Span = Span::ms(1000);

/// What an event means for the stream it is to continue.
pub enum ContinuationCheck {
    /// It is forwarded.
    Continues,
    /// It is not forwarded; nothing is wrong.
    Skip,
    /// The attempt does not continue where the stream stands; the text says how.
    Differs(String),
}

impl RequestFlow {
    /// Opens the main attempt.
    pub fn open_main(&mut self, now: Time, runner: Runner, out: &mut Vec<FlowAction>) {
        self.attempts_opened += 1;
        self.main = self.open_continuation(now, runner, out);
    }

    /// Opens an attempt that continues where the stream stands. Runners that repeat events byte for byte are asked for the last
    /// forwarded event once more, to check that; others for the event after it.
    pub fn open_continuation(&mut self, now: Time, runner: Runner, out: &mut Vec<FlowAction>) -> AttemptNo {
        let last = self.sequence.last().map(|last| last.to_string());
        let (from, join) = match (self.spec.run_contract, &self.last_event) {
            (_, None) => (last, ExpectedFirst::Any),
            (RunContract::SameEvents, Some(tail)) => {
                (self.previous_event_id.clone(), ExpectedFirst::Repeat(tail.clone()))
            }
            (RunContract::SameIds, Some(_)) => (last, ExpectedFirst::Next),
        };
        let no = self.open(now, runner, from, out);
        if let Some(attempt) = self.attempt(no) {
            attempt.expected_first = join;
        }
        no
    }

    /// Checks whether an event of `attempt` continues the stream; only the first one can fail.
    pub fn check_continuation(&mut self, attempt: AttemptNo, item: &StreamEvent) -> ContinuationCheck {
        let join = self.attempt(attempt).map_or(ExpectedFirst::Any, |run| run.expected_first.clone());
        let joined = match &join {
            ExpectedFirst::Any => return ContinuationCheck::Continues,
            ExpectedFirst::Next if item.id.is_none() => return ContinuationCheck::Skip,
            ExpectedFirst::Repeat(last) if last == item => ContinuationCheck::Skip,
            ExpectedFirst::Repeat(last) => ContinuationCheck::Differs(last.difference(item)),
            ExpectedFirst::Next if item.id.as_deref().is_some_and(|id| self.sequence.is_next(id)) => {
                ContinuationCheck::Continues
            }
            ExpectedFirst::Next => {
                let last = self.sequence.last().unwrap_or("none");
                ContinuationCheck::Differs(format!(
                    "id {} does not follow {last}",
                    item.id.as_deref().unwrap_or("none")
                ))
            }
        };
        if let Some(run) = self.attempt(attempt) {
            run.expected_first = ExpectedFirst::Any;
        }
        joined
    }

    /// The main attempt does not continue the stream: another runner is asked.
    pub fn on_main_differs(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        how: &str,
        balancer: &mut Balancer,
        out: &mut Vec<FlowAction>,
    ) {
        balancer.count("resume_differs");
        let runner = self.runner_of(attempt).unwrap_or_default();
        out.push(FlowAction::Log(
            "resume-differs",
            format!("{runner}: {how}; passed={}", self.events_forwarded),
        ));
        self.close(now, attempt, Some(false), balancer, out);
        self.resume(now, runner, balancer, out);
    }

    /// How long the runner of a request that may run again can be silent: until its first event, or until the next one.
    pub fn silence_limit(&self) -> Option<Span> {
        let o = &self.spec;
        let again = (o.is_resumable && !self.has_event_without_id && o.route_kind == RouteKind::Stream)
            || o.route_kind == RouteKind::Idempotent;
        if !again || o.target_latency.0 == 0 || self.attempts_opened >= o.max_attempts {
            return None;
        }
        if self.events_forwarded == 0 {
            return Some(Span(
                (o.target_latency.0 * 2).clamp(FIRST_EVENT_PATIENCE_MIN.0, FIRST_EVENT_PATIENCE_MIN.0 * 4),
            ));
        }
        (self.is_stream && o.target_gap.0 > 0)
            .then(|| Span((o.target_gap.0 * 4).max(NEXT_EVENT_PATIENCE_MIN.0)))
    }

    /// Handles a rejection: the runner did not execute the request.
    pub fn on_rejected(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        gone: bool,
        balancer: &mut Balancer,
        out: &mut Vec<FlowAction>,
    ) {
        let Some(runner) = self.runner_of(attempt) else { return };
        self.close(now, attempt, None, balancer, out);
        balancer.count(if gone { "not_there" } else { "shed" });
        balancer.on_rejected(now, &runner, &self.spec, gone);
        if self.is_answer_started || self.may_have_run {
            return self.resume(now, runner, balancer, out);
        }
        self.avoid.push(runner);
        if self.attempts_opened >= self.spec.max_attempts || !balancer.retry_budget.try_spend() {
            return self.refuse(
                now,
                Refusal::after(RefusalReason::RunnersFull, Span::ms(300)),
                balancer,
                out,
            );
        }
        let decision = balancer.route(now, &self.spec, &self.avoid);
        self.apply_decision(now, decision, balancer, out);
    }

    /// Applies the load that a runner told in its answer.
    pub fn on_load(&mut self, now: Time, attempt: AttemptNo, load: Load, balancer: &mut Balancer) {
        if let Some(runner) = self.runner_of(attempt) {
            balancer.on_load(now, &runner, load);
        }
    }

    /// Whether another runner may be asked although this one may have run the request. A stream cannot be continued after an
    /// event without an id: neither the next runner nor this router could tell its place.
    pub fn may_run_again(&self) -> bool {
        (self.spec.is_resumable && !self.has_event_without_id)
            || (self.spec.route_kind == RouteKind::Idempotent && !self.is_answer_started)
    }

    /// The main attempt is over early. A standby attempt takes its place; without one, another runner is asked or waited for.
    pub fn resume(&mut self, now: Time, from: Name, balancer: &mut Balancer, out: &mut Vec<FlowAction>) {
        if self.promote_standby(&from, out) {
            return;
        }
        self.avoid.push(from);
        if !self.may_run_again()
            || self.attempts_opened >= self.spec.max_attempts
            || !balancer.retry_budget.try_spend()
        {
            return self.refuse(now, Refusal::new(RefusalReason::RetryBudgetSpent, 1), balancer, out);
        }
        balancer.count("resumed");
        self.mark_resumed(now);
        let decision = balancer.route(now, &self.spec, &self.avoid);
        self.apply_decision(now, decision, balancer, out);
    }

    /// The request was begun: it may now wait longer for a runner and is not refused early.
    pub fn mark_resumed(&mut self, now: Time) {
        let spec = &mut self.spec;
        spec.start_deadline =
            spec.start_deadline.max(now + RESUME_WAIT).min(spec.answer_deadline.max(spec.start_deadline));
        spec.last_event_id = self.sequence.last().map(|last| last.to_string());
        spec.is_resumed = true;
    }
}
