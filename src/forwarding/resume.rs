use super::attempt::Join;
use super::request::*;
use crate::fleet::config::RouteKind;
use crate::fleet::runner::Runner;
use crate::gate::order::RefusalReason;
use crate::gate::{Balancer, Refusal};
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};
use crate::protocol::Load;
use crate::transfer::continuation::RunContract;
use crate::transfer::event_buffer::Item;

/// So long a request that was begun may wait for another runner.
const RESUME_WITHIN: Span = Span::ms(3000);
const FIRST: Span = Span::ms(450);
const NEXT: Span = Span::ms(1000);

/// What an event of a run means for the stream that is to go on with it.
pub enum Joined {
    /// It is passed on.
    Goes,
    /// It is not passed on, and nothing is wrong.
    Skipped,
    /// The run does not go on where the stream stands, as told.
    Differs(String),
}

impl RequestFlow {
    pub fn open_main(&mut self, now: Time, runner: Runner, out: &mut Vec<Out>) {
        self.opened += 1;
        self.main = self.open_at_last(now, runner, out);
    }

    /// Opens a run that is to go on where the stream stands.
    pub fn open_at_last(&mut self, now: Time, runner: Runner, out: &mut Vec<Out>) -> AttemptNo {
        let last = self.sequence.last().map(|last| last.to_string());
        let (from, join) = match (self.spec.run_contract, &self.tail) {
            (_, None) => (last, Join::Open),
            (RunContract::SameEvents, Some(tail)) => (self.prev.clone(), Join::Repeat(tail.clone())),
            (RunContract::SameIds, Some(_)) => (last, Join::Next),
        };
        let no = self.open(now, runner, from, out);
        if let Some(attempt) = self.attempt(no) {
            attempt.join = join;
        }
        no
    }

    /// Whether an event of `attempt` goes on with the stream; asked for each event, it matters for the first.
    pub fn joined(&mut self, attempt: AttemptNo, item: &Item) -> Joined {
        let join = self.attempt(attempt).map_or(Join::Open, |l| l.join.clone());
        let joined = match &join {
            Join::Open => return Joined::Goes,
            Join::Next if item.id.is_none() => return Joined::Skipped,
            Join::Repeat(last) if last == item => Joined::Skipped,
            Join::Repeat(last) => Joined::Differs(last.difference(item)),
            Join::Next if item.id.as_deref().is_some_and(|id| self.sequence.is_next(id)) => Joined::Goes,
            Join::Next => {
                let last = self.sequence.last().unwrap_or("none");
                Joined::Differs(format!("id {} does not follow {last}", item.id.as_deref().unwrap_or("none")))
            }
        };
        if let Some(l) = self.attempt(attempt) {
            l.join = Join::Open;
        }
        joined
    }

    /// The run that was to go on with the stream does not: another one is asked.
    pub fn main_differs(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        how: &str,
        balancer: &mut Balancer,
        out: &mut Vec<Out>,
    ) {
        balancer.count("resume_differs");
        let runner = self.runner_of(attempt).unwrap_or_default();
        out.push(Out::Told("resume-differs", format!("{runner}: {how}; passed={}", self.passed)));
        self.close(now, attempt, Some(false), balancer, out);
        self.resume(now, runner, balancer, out);
    }

    /// How long a runner of an order that may run again is waited for: to its first event, then to the next.
    pub fn silence(&self) -> Option<Span> {
        let o = &self.spec;
        let again = (o.is_resumable && !self.unplaced && o.route_kind == RouteKind::Stream)
            || o.route_kind == RouteKind::Idempotent;
        if !again || o.target_latency.0 == 0 || self.opened >= o.max_attempts {
            return None;
        }
        if self.passed == 0 {
            return Some(Span((o.target_latency.0 * 2).clamp(FIRST.0, FIRST.0 * 4)));
        }
        (self.stream && o.target_gap.0 > 0).then(|| Span((o.target_gap.0 * 4).max(NEXT.0)))
    }

    pub fn shed(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        gone: bool,
        balancer: &mut Balancer,
        out: &mut Vec<Out>,
    ) {
        let Some(runner) = self.runner_of(attempt) else { return };
        self.close(now, attempt, None, balancer, out);
        balancer.count(if gone { "not_there" } else { "shed" });
        balancer.on_rejected(now, &runner, &self.spec, gone);
        if self.began || self.sent {
            return self.resume(now, runner, balancer, out);
        }
        self.avoid.push(runner);
        if self.opened >= self.spec.max_attempts || !balancer.retry_budget.try_spend() {
            return self.refuse(
                now,
                Refusal::after(RefusalReason::RunnersFull, Span::ms(300)),
                balancer,
                out,
            );
        }
        let plan = balancer.route(now, &self.spec, &self.avoid);
        self.again(now, plan, balancer, out);
    }

    pub fn told_load(&mut self, now: Time, attempt: AttemptNo, load: Load, balancer: &mut Balancer) {
        if let Some(runner) = self.runner_of(attempt) {
            balancer.on_load(now, &runner, load);
        }
    }

    /// Whether another runner may be asked although this one may have run the request. A stream can't be taken up
    /// behind an event that bears no id: nothing tells the next runner, or us, where it stands.
    pub fn may_run_again(&self) -> bool {
        (self.spec.is_resumable && !self.unplaced)
            || (self.spec.route_kind == RouteKind::Idempotent && !self.began)
    }

    /// The stream's own run is over before its end, in whatever way: another one goes on. A run that stands by is
    /// that one; while there is none, another runner is asked or waited for.
    pub fn resume(&mut self, now: Time, from: Name, balancer: &mut Balancer, out: &mut Vec<Out>) {
        if self.standby_steps_in(&from, out) {
            return;
        }
        self.avoid.push(from);
        if !self.may_run_again()
            || self.opened >= self.spec.max_attempts
            || !balancer.retry_budget.try_spend()
        {
            return self.refuse(now, Refusal::new(RefusalReason::RetryBudgetSpent, 1), balancer, out);
        }
        balancer.count("resumed");
        self.order_resumed(now);
        let plan = balancer.route(now, &self.spec, &self.avoid);
        self.again(now, plan, balancer, out);
    }

    /// From now on the request is one that was begun: it may wait longer for a runner, and is not given up early.
    pub fn order_resumed(&mut self, now: Time) {
        let spec = &mut self.spec;
        spec.start_deadline =
            spec.start_deadline.max(now + RESUME_WITHIN).min(spec.answer_deadline.max(spec.start_deadline));
        spec.last_event_id = self.sequence.last().map(|last| last.to_string());
        spec.is_resumed = true;
    }
}
