use super::order_counts::OrderCounts;
use super::order_table::OrderTable;
use super::report_polling::CONFLICT;
use super::store_budget::StoreBudget;
use crate::fleet::config::{FleetConfig, Store};
use crate::fleet::runner::{Runner, RunnerReport};
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use std::collections::BTreeMap;

/// A runner's word that it carries an order out.
const ACCEPTED: u16 = 202;
/// So long after its order a load that was taken shows in the reports, held or under way.
const APPEARANCE_LIMIT: Span = Span::ms(3000);
/// So long an order without an answer keeps others from its runner.
const ANSWER_TIMEOUT: Span = Span::ms(9000);
/// So long after its order one without an answer is expected to arrive yet, unless a later one was taken.
const ARRIVAL_LIMIT: Span = Span::ms(60_000);

#[derive(Clone, Debug)]
pub struct PendingOrder {
    pub runner: Name,
    pub name: Name,
    pub is_load: bool,
    pub sent_at: Time,
    pub weight_mb: u64,
    pub is_adapter: bool,
    pub is_accepted: bool,
    pub uses_store: bool,
    pub follows_unload: bool,
    pub expected_duration: Span,
    pub expected_end_at: Time,
    pub is_finished: bool,
    pub is_carried_out: bool,
    /// How many orders the runner had taken as this one was decided on.
    pub expected: u64,
    /// It was not answered, and others may go ahead; it may still arrive until one of them was taken.
    pub is_overdue: bool,
}

impl PendingOrder {
    pub fn planned(runner: Name, name: Name, mb: u64, adapter: bool, since: Time) -> PendingOrder {
        let end = Time(u64::MAX);
        PendingOrder {
            runner,
            name,
            is_load: true,
            sent_at: since,
            weight_mb: mb,
            is_adapter: adapter,
            is_accepted: false,
            uses_store: false,
            follows_unload: false,
            expected_duration: Span(0),
            expected_end_at: end,
            is_finished: false,
            is_carried_out: false,
            expected: 0,
            is_overdue: false,
        }
    }

    /// Whether it is an unload that is expected to be carried out.
    pub fn is_effective_unload(&self) -> bool {
        !self.is_load && !self.is_overdue
    }
}

#[derive(Clone, Default)]
pub struct PendingOrders {
    pub table: OrderTable,
    pub store_budget: StoreBudget,
    /// When a runner refused an order for a name.
    pub refused_at: BTreeMap<Name, BTreeMap<Name, Time>>,
    pub order_counts: OrderCounts,
}

impl PendingOrders {
    /// How many loads the store of weights allows at this moment.
    pub fn loads_left(&mut self, rule: &Store) -> u64 {
        let under_way = self.table.values().filter(|f| f.is_load && f.uses_store).count() as u64;
        let at_once = if rule.at_once == 0 { u64::MAX } else { rule.at_once.saturating_sub(under_way) };
        at_once.min(self.store_budget.left(rule).max(0.0) as u64)
    }

    pub fn contains(&self, runner: &Name, name: &Name) -> bool {
        self.table.at_runner(runner).any(|f| f.name == *name)
    }

    pub fn count_at(&self, runner: &Name) -> usize {
        self.table.at_runner(runner).count()
    }

    /// An order whose outcome is still open: no other is sent to that runner.
    pub fn is_blocked(&self, runner: &Name) -> bool {
        let blocks = |f: &&PendingOrder| !f.is_overdue && !f.is_finished && (f.is_load || !f.is_accepted);
        self.table.at_runner(runner).any(|f| blocks(&f))
    }

    /// What the runner gave up by an unload it has taken, while its report still shows it.
    pub fn is_unloading(&self, report: &RunnerReport, name: &Name) -> bool {
        self.table.at_runner(&report.instance).any(|f| f.name == *name && !f.is_load && f.is_accepted)
    }

    pub fn pending_mb(&self, report: &RunnerReport) -> u64 {
        let new = |f: &&PendingOrder| f.is_load && !report.has(&f.name) && !report.loading.contains(&f.name);
        self.table.at_runner(&report.instance).filter(new).map(|f| f.weight_mb).sum()
    }

    pub fn pending_adapters(&self, report: &RunnerReport) -> u64 {
        let new = |f: &&PendingOrder| {
            f.is_load && f.is_adapter && !report.has(&f.name) && !report.loading.contains(&f.name)
        };
        self.table.at_runner(&report.instance).filter(new).count() as u64
    }

    pub fn record_answer(&mut self, now: Time, order: OrderId, status: u16) {
        self.store_budget.record_answer(order, status);
        let Some(f) = self.table.get_mut(&order) else { return };
        if f.follows_unload && status == CONFLICT {
            self.store_budget.release(order);
        }
        f.is_accepted = (200..300).contains(&status);
        f.is_carried_out = status == ACCEPTED;
        f.expected_end_at = now + f.expected_duration;
        let (runner, name, expected, behind) =
            (f.runner.clone(), f.name.clone(), f.expected, f.follows_unload);
        if status == ACCEPTED {
            self.record_taken(now, &runner, expected);
        } else if !(behind && status == CONFLICT) {
            self.order_counts.mark_uncertain(now, &runner);
        }
        if (400..500).contains(&status) {
            self.refused_at.entry(runner).or_default().insert(name, now);
            self.table.remove(order);
        }
    }

    /// The runner took an order that built on `expected`: what is overdue and built on no more is void.
    fn record_taken(&mut self, now: Time, runner: &Name, expected: u64) {
        self.order_counts.record_taken(now, runner, expected);
        self.table.retain_at(runner, |f| !f.is_overdue || f.expected > expected);
    }

    /// Whether a report shows an order under way that is none of ours.
    pub fn has_foreign_order(&self, report: &RunnerReport) -> bool {
        let busy = report.busy || !report.loading.is_empty();
        busy && !self.table.at_runner(&report.instance).any(|f| !f.is_overdue)
    }

    /// Takes in a report; whether a load that the runner had taken is neither held nor under way.
    pub fn record_report(&mut self, now: Time, report: &RunnerReport) -> bool {
        let mut vanished = false;
        self.table.retain_at(&report.instance, |f| {
            let held = report.has(&f.name);
            let busy = report.loading.contains(&f.name) || report.busy;
            let taken = report.orders > f.expected || report.orders == 0;
            if !f.is_accepted && report.orders > f.expected && busy {
                (f.is_accepted, f.is_carried_out, f.expected_end_at, f.is_overdue) =
                    (true, true, now + f.expected_duration, false);
            }
            let done = if f.is_load { held } else { !held };
            let dead = f.is_load
                && !held
                && !busy
                && taken
                && now.since(f.sent_at) > APPEARANCE_LIMIT
                && f.is_accepted;
            f.is_overdue |= !f.is_accepted && !busy && now.since(f.sent_at) > ANSWER_TIMEOUT;
            let void = f.is_overdue && (report.orders > f.expected || now.since(f.sent_at) > ARRIVAL_LIMIT);
            vanished |= dead;
            !(done || dead || void)
        });
        vanished
    }

    /// Adapters come in a known time; the rest waits for a report.
    pub fn finish_adapter_loads(&mut self, now: Time) {
        for f in self.table.values_mut().filter(|f| f.is_load && f.is_adapter && f.is_carried_out) {
            f.is_finished |= now >= f.expected_end_at;
        }
    }

    pub fn was_refused(&self, now: Time, runner: &Name, name: &Name) -> bool {
        let at = self.refused_at.get(runner).and_then(|names| names.get(name));
        at.is_some_and(|t| now.since(*t) < Span::ms(5000))
    }
}

pub fn is_adapter(c: &FleetConfig, name: &Name) -> bool {
    c.base_of(name).is_some()
}

/// A runner with what is known of it.
#[derive(Clone)]
pub struct RunnerState {
    pub runner: Runner,
    pub report: RunnerReport,
}
