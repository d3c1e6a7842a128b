//! Polls runners for their reports, and takes in reports and answers to orders.

use super::Placement;
use super::runner_choice::MIN_RESIDENCE;
use crate::fleet::holdings::UnmetDemand;
use crate::fleet::runner::RunnerReport;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use std::collections::BTreeMap;

/// How often a runner without requests is polled.
const IDLE_POLL_INTERVAL: Span = Span::ms(1000);
/// How often a runner with requests is polled.
const BUSY_POLL_INTERVAL: Span = Span::ms(500);
/// With more runners than this those with requests are polled less often, in proportion.
const RUNNERS_POLLED_OFTEN: u64 = 64;
/// A tick polls up to this many runners, or
const POLLS_PER_TICK: usize = 16;
/// one of so many, whichever is more, so that they don't all answer at the same moment.
const RUNNERS_PER_POLL: usize = 16;
/// The shortest delay until the poll that checks an accepted order.
const MIN_POLL_DELAY: Span = Span::ms(80);
/// How long an unanswered poll keeps the runner from being polled again.
const POLL_TIMEOUT: Span = Span::ms(1000);
/// The age from which a report gives way to one with a lower order count, and the shortest time between two
/// checks of reported holdings.
const STALE_AFTER: Span = Span::ms(1500);
/// How often the reports are searched for names that routers miss.
const HOLDINGS_SEARCH_INTERVAL: Span = Span::ms(20);
/// A runner's refusal of an order for lack of memory, or because another one is under way.
pub const CONFLICT: u16 = 409;

/// When a runner is polled.
#[derive(Clone, Copy, Default)]
pub struct PollState {
    next_at: Time,
    pending_since: Option<Time>,
}

impl PollState {
    /// When the poll that is still unanswered was sent.
    pub fn pending_since(&self) -> Option<Time> {
        self.pending_since
    }
}

/// How often a runner with requests is polled, if so many runners are known.
fn busy_poll_interval(runners: usize) -> Span {
    Span(
        (BUSY_POLL_INTERVAL.0 * runners as u64 / RUNNERS_POLLED_OFTEN)
            .clamp(BUSY_POLL_INTERVAL.0, IDLE_POLL_INTERVAL.0),
    )
}

/// The poll state of each runner.
pub type Polls = BTreeMap<Name, PollState>;

impl Placement {
    /// Polls the runner at `when` at the latest.
    pub fn poll_by(&mut self, runner: &Name, when: Time) {
        if let Some(poll) = self.polls.get_mut(runner) {
            poll.next_at = poll.next_at.min(when);
        }
    }

    /// Polls the runners that are due, up to the tick's limit.
    pub fn poll_runners(&mut self, ctx: &mut Context) {
        let Some(slice) = self.slice.clone() else { return };
        if self.term == Term(0) {
            return;
        }
        let mut left = POLLS_PER_TICK.max(slice.runners.len() / RUNNERS_PER_POLL);
        for runner in self.polled_runners(&slice) {
            if !self.polls.contains_key(&runner.instance) {
                self.polls.insert(runner.instance.clone(), PollState::default());
            }
            let Some(poll) = self.polls.get_mut(&runner.instance) else { continue };
            let open = poll.pending_since.is_some_and(|t| ctx.now.since(t) < POLL_TIMEOUT);
            if ctx.now < poll.next_at || open {
                continue;
            }
            if left == 0 {
                return;
            }
            left -= 1;
            poll.pending_since = Some(ctx.now);
            poll.next_at = ctx.now + IDLE_POLL_INTERVAL;
            ctx.effects.push(Effect::PollRunner(runner.instance.clone()));
        }
    }

    /// Takes in a runner's answer to an order.
    pub fn record_order_answer(&mut self, order: OrderId, status: u16, ctx: &mut Context) {
        let refused = self.pending.table.get(&order).filter(|pending_order| {
            pending_order.is_load && !pending_order.follows_unload && status == CONFLICT
        });
        let refused = refused.map(|pending_order| pending_order.runner.clone());
        if let Some(runner) = refused
            && (!self.belongs_to_job(order) || self.load_backoff.has_failures(&runner))
        {
            self.record_load_failure(&runner, "it refused a load", ctx);
        }
        self.search.has_news = true;
        self.log_answer(order, status, ctx);
        self.pending.record_answer(ctx.now, order, status);
        if let Some(pending_order) = self.pending.table.get(&order) {
            let (runner, end) = (pending_order.runner.clone(), pending_order.expected_end_at);
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

    /// Records that the free memory a runner reported has turned out wrong, unless its report shows that it
    /// was busy with a load or unload.
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

    /// A router misses names that reports show as held. Either may be outdated, so the router is sent all
    /// holdings and the holders are polled.
    pub fn recheck_holdings(&mut self, from: NodeId, rows: &[UnmetDemand], ctx: &mut Context) {
        if ctx.now.since(self.holdings_checked_at) < STALE_AFTER
            || ctx.now.since(self.holdings_searched_at) < HOLDINGS_SEARCH_INTERVAL
        {
            return;
        }
        self.holdings_searched_at = ctx.now;
        let known = |w: &&UnmetDemand| self.reports.values().any(|runner| runner.1.has(&w.name));
        let names: Vec<Name> = rows.iter().filter(known).map(|w| w.name.clone()).collect();
        if names.is_empty() {
            return;
        }
        self.holdings_checked_at = ctx.now;
        self.request_full_push(from, ctx);
        let holds = |runner: &RunnerReport| names.iter().any(|n| runner.has(n));
        let runners: Vec<Name> =
            self.reports.iter().filter(|runner| holds(&runner.1.1)).map(|runner| runner.0.clone()).collect();
        for runner in runners {
            self.poll_by(&runner, ctx.now);
        }
    }

    /// Whether a report was made before the known one, so that it must be ignored.
    pub fn is_outdated(&self, now: Time, report: &RunnerReport) -> bool {
        let Some((at, old)) = self.reports.get(&report.instance) else { return false };
        report.orders < old.orders && now.since(*at) < STALE_AFTER
    }

    /// Takes in a runner's report.
    pub fn record_runner_report(&mut self, instance: &Name, report: &RunnerReport, ctx: &mut Context) {
        if self.is_outdated(ctx.now, report) {
            return;
        }
        if report.leaving {
            ctx.publish(JournalEvent::RunnerMarked(instance.clone()));
        }
        let asked = self.polls.get(instance).and_then(|l| l.pending_since()).unwrap_or(ctx.now);
        self.pending.order_counts.record_report(ctx.now, asked, report);
        let vanished = self.pending.record_report(ctx.now, report);
        let restarted = self.reports.get(instance).is_some_and(|old| old.1.orders > report.orders);
        if vanished && !restarted {
            self.record_load_failure(instance, "its load never appeared", ctx);
        }
        let old = self.reports.insert(instance.clone(), (ctx.now, report.clone()));
        let new = |name: &&Name| old.as_ref().is_some_and(|o| !o.1.has(name));
        for name in report.holds.iter().filter(new) {
            self.resident_since.entry(instance.clone()).or_default().insert(name.clone(), ctx.now);
        }
        if let Some(names) = self.resident_since.get_mut(instance) {
            names.retain(|_, since| ctx.now.since(*since) < MIN_RESIDENCE);
        }
        self.cached.entry(instance.clone()).or_default().extend(report.holds.iter().cloned());
    }

    /// Sets when the runner is polled next, after its report or a failed poll.
    pub fn finish_poll(&mut self, runner: &Name, report: Option<&RunnerReport>, ctx: &Context) {
        let ends = self.pending.table.at_runner(runner).filter(|f| f.is_accepted);
        let soon = ends.map(|f| f.expected_end_at.max(ctx.now + MIN_POLL_DELAY)).min();
        let busy = report.is_some_and(|r| r.running + r.waiting > 0);
        let pause = busy_poll_interval(self.reports.len());
        let Some(poll) = self.polls.get_mut(runner) else { return };
        poll.pending_since = None;
        poll.next_at = ctx.now + if busy { pause } else { IDLE_POLL_INTERVAL };
        if let Some(t) = soon {
            poll.next_at = poll.next_at.min(t);
        }
    }
}
