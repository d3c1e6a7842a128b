use super::component::Placement;
use super::runner_choice::MIN_RESIDENCE;
use crate::fleet::holdings::UnmetDemand;
use crate::fleet::runner::RunnerReport;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use std::collections::BTreeMap;

const IDLE_POLL_INTERVAL: Span = Span::ms(1000);
const BUSY_POLL_INTERVAL: Span = Span::ms(500);
/// With more runners than this those at work are asked less often, in proportion.
const RUNNERS_POLLED_OFTEN: u64 = 64;
/// A tick asks up to this many runners for reports, or
const POLLS_PER_TICK: usize = 16;
/// one of so many, so that they don't all answer at the same moment.
const RUNNERS_PER_POLL: usize = 16;
const MIN_POLL_DELAY: Span = Span::ms(80);
const POLL_TIMEOUT: Span = Span::ms(1000);
const STALE_AFTER: Span = Span::ms(1500);
/// How often the reports are searched for what routers miss.
const HOLDINGS_SEARCH_INTERVAL: Span = Span::ms(20);
/// A runner's refusal of an order for want of room, or because another is under way.
pub const CONFLICT: u16 = 409;

#[derive(Clone, Copy, Default)]
pub struct PollState {
    next_at: Time,
    pending_since: Option<Time>,
}

impl PollState {
    /// When the report that is awaited was asked for.
    pub fn pending_since(&self) -> Option<Time> {
        self.pending_since
    }
}

/// How long a runner at work is left, if so many are known.
fn busy_poll_interval(runners: usize) -> Span {
    Span(
        (BUSY_POLL_INTERVAL.0 * runners as u64 / RUNNERS_POLLED_OFTEN)
            .clamp(BUSY_POLL_INTERVAL.0, IDLE_POLL_INTERVAL.0),
    )
}

pub type Polls = BTreeMap<Name, PollState>;

impl Placement {
    pub fn poll_by(&mut self, runner: &Name, when: Time) {
        if let Some(l) = self.polls.get_mut(runner) {
            l.next_at = l.next_at.min(when);
        }
    }

    pub fn poll_runners(&mut self, ctx: &mut Context) {
        let Some(s) = self.slice.clone() else { return };
        if self.term == Term(0) {
            return;
        }
        let mut left = POLLS_PER_TICK.max(s.runners.len() / RUNNERS_PER_POLL);
        for r in self.polled_runners(&s) {
            if !self.polls.contains_key(&r.instance) {
                self.polls.insert(r.instance.clone(), PollState::default());
            }
            let Some(l) = self.polls.get_mut(&r.instance) else { continue };
            let open = l.pending_since.is_some_and(|t| ctx.now.since(t) < POLL_TIMEOUT);
            if ctx.now < l.next_at || open {
                continue;
            }
            if left == 0 {
                return;
            }
            left -= 1;
            l.pending_since = Some(ctx.now);
            l.next_at = ctx.now + IDLE_POLL_INTERVAL;
            ctx.effects.push(Effect::PollRunner(r.instance.clone()));
        }
    }

    /// Takes in a runner's answer to an order.
    pub fn record_order_answer(&mut self, order: OrderId, status: u16, ctx: &mut Context) {
        let refused =
            self.pending.table.get(&order).filter(|f| f.is_load && !f.follows_unload && status == CONFLICT);
        let refused = refused.map(|f| f.runner.clone());
        if let Some(runner) = refused
            && (!self.belongs_to_job(order) || self.load_backoff.has_failures(&runner))
        {
            self.record_load_failure(&runner, "it refused a load", ctx);
        }
        self.search.has_news = true;
        self.log_answer(order, status, ctx);
        self.pending.record_answer(ctx.now, order, status);
        if let Some(f) = self.pending.table.get(&order) {
            let (runner, end) = (f.runner.clone(), f.expected_end_at);
            self.poll_by(&runner, if status == 200 { ctx.now } else { end });
        }
        self.record_job_answer(order, status, ctx);
        self.react(ctx);
        self.push_changes(ctx);
    }

    fn log_answer(&self, order: OrderId, status: u16, ctx: &mut Context) {
        let Some(flight) = self.pending.table.get(&order) else { return };
        let what = if flight.is_load { "load" } else { "unload" };
        let after = ctx.now.since(flight.sent_at).as_ms();
        let text = format!("{status} to {what} {} on {} after {after}ms", flight.name, flight.runner);
        ctx.log_event("order-answered", text);
    }

    /// A runner's told room has turned out wrong, unless its report shows that it was at work on something.
    pub fn record_load_failure(&mut self, runner: &Name, why: &str, ctx: &mut Context) {
        let working = |r: &RunnerReport| r.busy || !r.loading.is_empty();
        if self.reports.get(runner).is_some_and(|r| working(&r.1)) {
            return;
        }
        if !self.load_backoff.is_paused(runner, ctx.now) {
            ctx.log_event("runner-distrusted", format!("{runner}: {why}"));
        }
        self.load_backoff.record_failure(runner, ctx.now);
    }

    /// A router misses what is known as held: both may be wrong.
    pub fn recheck_holdings(&mut self, from: NodeId, rows: &[UnmetDemand], ctx: &mut Context) {
        if ctx.now.since(self.holdings_checked_at) < STALE_AFTER
            || ctx.now.since(self.holdings_searched_at) < HOLDINGS_SEARCH_INTERVAL
        {
            return;
        }
        self.holdings_searched_at = ctx.now;
        let known = |w: &&UnmetDemand| self.reports.values().any(|r| r.1.has(&w.name));
        let names: Vec<Name> = rows.iter().filter(known).map(|w| w.name.clone()).collect();
        if names.is_empty() {
            return;
        }
        self.holdings_checked_at = ctx.now;
        self.request_full_push(from, ctx);
        let holds = |r: &RunnerReport| names.iter().any(|n| r.has(n));
        let runners: Vec<Name> = self.reports.iter().filter(|r| holds(&r.1.1)).map(|r| r.0.clone()).collect();
        for r in runners {
            self.poll_by(&r, ctx.now);
        }
    }

    /// A report that was made before one already known says nothing.
    pub fn is_outdated(&self, now: Time, r: &RunnerReport) -> bool {
        let Some((at, old)) = self.reports.get(&r.instance) else { return false };
        r.orders < old.orders && now.since(*at) < STALE_AFTER
    }

    /// Takes in a runner's report.
    pub fn record_runner_report(&mut self, instance: &Name, r: &RunnerReport, ctx: &mut Context) {
        if self.is_outdated(ctx.now, r) {
            return;
        }
        if r.leaving {
            ctx.publish(JournalEvent::RunnerMarked(instance.clone()));
        }
        let asked = self.polls.get(instance).and_then(|l| l.pending_since()).unwrap_or(ctx.now);
        self.pending.order_counts.record_report(ctx.now, asked, r);
        let vanished = self.pending.record_report(ctx.now, r);
        let restarted = self.reports.get(instance).is_some_and(|old| old.1.orders > r.orders);
        if vanished && !restarted {
            self.record_load_failure(instance, "its load never appeared", ctx);
        }
        let old = self.reports.insert(instance.clone(), (ctx.now, r.clone()));
        let new = |n: &&Name| old.as_ref().is_some_and(|o| !o.1.has(n));
        for n in r.holds.iter().filter(new) {
            self.resident_since.entry(instance.clone()).or_default().insert(n.clone(), ctx.now);
        }
        if let Some(names) = self.resident_since.get_mut(instance) {
            names.retain(|_, since| ctx.now.since(*since) < MIN_RESIDENCE);
        }
        self.cached.entry(instance.clone()).or_default().extend(r.holds.iter().cloned());
    }

    pub fn finish_poll(&mut self, runner: &Name, report: Option<&RunnerReport>, ctx: &Context) {
        let ends = self.pending.table.at_runner(runner).filter(|f| f.is_accepted);
        let soon = ends.map(|f| f.expected_end_at.max(ctx.now + MIN_POLL_DELAY)).min();
        let busy = report.is_some_and(|r| r.running + r.waiting > 0);
        let pause = busy_poll_interval(self.reports.len());
        let Some(l) = self.polls.get_mut(runner) else { return };
        l.pending_since = None;
        l.next_at = ctx.now + if busy { pause } else { IDLE_POLL_INTERVAL };
        if let Some(t) = soon {
            l.next_at = l.next_at.min(t);
        }
    }
}
