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

/// So long a request that was begun may wait for another runner.
const RESUME_WAIT: Span = Span::ms(3000);
const FIRST_EVENT_PATIENCE_MIN: Span = Span::ms(450);
const NEXT_EVENT_PATIENCE_MIN: Span = Span::ms(1000);

/// What an event of a run means for the stream that is to go on with it.
pub enum ContinuationCheck {
    /// It is passed on.
    Continues,
    /// It is not passed on, and nothing is wrong.
    Skip,
    /// The run does not go on where the stream stands, as told.
    Differs(String),
}

impl RequestFlow {
    pub fn open_main(&mut self, now: Time, runner: Runner, out: &mut Vec<FlowAction>) {
        self.attempts_opened += 1;
        self.main = self.open_continuation(now, runner, out);
    }

    /// Opens a run that is to go on where the stream stands.
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

    /// Whether an event of `attempt` goes on with the stream; asked for each event, it matters for the first.
    pub fn check_continuation(&mut self, attempt: AttemptNo, item: &StreamEvent) -> ContinuationCheck {
        let join = self.attempt(attempt).map_or(ExpectedFirst::Any, |l| l.expected_first.clone());
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
        if let Some(l) = self.attempt(attempt) {
            l.expected_first = ExpectedFirst::Any;
        }
        joined
    }

    /// The run that was to go on with the stream does not: another one is asked.
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

    /// How long a runner of an order that may run again is waited for: to its first event, then to the next.
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
        let plan = balancer.route(now, &self.spec, &self.avoid);
        self.apply_retry_decision(now, plan, balancer, out);
    }

    pub fn on_load(&mut self, now: Time, attempt: AttemptNo, load: Load, balancer: &mut Balancer) {
        if let Some(runner) = self.runner_of(attempt) {
            balancer.on_load(now, &runner, load);
        }
    }

    /// Whether another runner may be asked although this one may have run the request. A stream can't be taken up
    /// behind an event that bears no id: nothing tells the next runner, or us, where it stands.
    pub fn may_run_again(&self) -> bool {
        (self.spec.is_resumable && !self.has_event_without_id)
            || (self.spec.route_kind == RouteKind::Idempotent && !self.is_answer_started)
    }

    /// The stream's own run is over before its end, in whatever way: another one goes on. A run that stands by is
    /// that one; while there is none, another runner is asked or waited for.
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
        let plan = balancer.route(now, &self.spec, &self.avoid);
        self.apply_retry_decision(now, plan, balancer, out);
    }

    /// From now on the request is one that was begun: it may wait longer for a runner, and is not given up early.
    pub fn mark_resumed(&mut self, now: Time) {
        let spec = &mut self.spec;
        spec.start_deadline =
            spec.start_deadline.max(now + RESUME_WAIT).min(spec.answer_deadline.max(spec.start_deadline));
        spec.last_event_id = self.sequence.last().map(|last| last.to_string());
        spec.is_resumed = true;
    }
}
