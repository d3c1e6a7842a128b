//! Orders that were sent to runners and whose effect has not shown in a report yet.

use super::order_counts::OrderCounts;
use super::order_table::OrderTable;
use super::report_polling::CONFLICT;
use super::store_budget::StoreBudget;
use crate::fleet::config::{FleetConfig, Store};
use crate::fleet::runner::{Runner, RunnerReport};
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use std::collections::BTreeMap;

/// The status of a runner's answer that it has accepted an order and is carrying it out.
const ACCEPTED: u16 = 202;
/// How long after its order an accepted load must show in the reports, as held or loading; later it counts as
/// failed.
const APPEARANCE_LIMIT: Span = Span::ms(3000);
/// How long an unanswered order blocks other orders to its runner.
const ANSWER_TIMEOUT: Span = Span::ms(9000);
/// How long an unanswered order may still arrive at its runner, unless a later one was accepted.
const ARRIVAL_LIMIT: Span = Span::ms(60_000);

/// An order under way.
#[derive(Clone, Debug)]
pub struct PendingOrder {
    /// The runner it was sent to.
    pub runner: Name,
    /// The model or adapter.
    pub name: Name,
    /// Whether it is a load rather than an unload.
    pub is_load: bool,
    /// When it was sent.
    pub sent_at: Time,
    /// The memory the name needs, in MB.
    pub weight_mb: u64,
    /// Whether the name is an adapter.
    pub is_adapter: bool,
    /// Whether the runner answered with success.
    pub is_accepted: bool,
    /// Whether it is a load that counts against the store's limit.
    pub uses_store: bool,
    /// Whether it was sent while an accepted unload of the runner might still be under way.
    pub follows_unload: bool,
    /// How long it is expected to take once accepted.
    pub expected_duration: Span,
    /// When it is expected to be finished; the greatest time until it is answered.
    pub expected_end_at: Time,
    /// Whether an adapter's load counts as finished by its known duration, ahead of a report.
    pub is_finished: bool,
    /// Whether the runner accepted it and carries it out after its answer.
    pub is_carried_out: bool,
    /// The number of orders the runner had accepted when this one was decided on.
    pub expected: u64,
    /// Whether it stayed unanswered for so long that it no longer blocks others. It may still arrive until
    /// the runner accepts a later one.
    pub is_overdue: bool,
}

impl PendingOrder {
    /// A load that a plan contains and that was not ordered yet, to reserve its memory.
    pub fn planned(runner: Name, name: Name, mb: u64, is_adapter: bool, since: Time) -> PendingOrder {
        let end = Time(u64::MAX);
        PendingOrder {
            runner,
            name,
            is_load: true,
            sent_at: since,
            weight_mb: mb,
            is_adapter,
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

/// The pending orders of all runners, and the limits and counters that new orders depend on.
#[derive(Clone, Default)]
pub struct PendingOrders {
    /// The orders.
    pub table: OrderTable,
    /// The store's limit on loads.
    pub store_budget: StoreBudget,
    /// When a runner refused an order for a name, by runner and name.
    pub refused_at: BTreeMap<Name, BTreeMap<Name, Time>>,
    /// How many orders each runner has accepted.
    pub order_counts: OrderCounts,
}

impl PendingOrders {
    /// How many loads the store of weights allows at this moment.
    pub fn loads_left(&mut self, rule: &Store) -> u64 {
        let under_way = self.table.values().filter(|f| f.is_load && f.uses_store).count() as u64;
        let at_once = if rule.at_once == 0 { u64::MAX } else { rule.at_once.saturating_sub(under_way) };
        at_once.min(self.store_budget.left(rule).max(0.0) as u64)
    }

    /// Whether an order for `name` is pending at `runner`.
    pub fn contains(&self, runner: &Name, name: &Name) -> bool {
        self.table.at_runner(runner).any(|f| f.name == *name)
    }

    /// How many orders are pending at `runner`.
    pub fn count_at(&self, runner: &Name) -> usize {
        self.table.at_runner(runner).count()
    }

    /// Whether an order's outcome is still open, so that no other is sent to the runner.
    pub fn is_blocked(&self, runner: &Name) -> bool {
        let blocks = |f: &&PendingOrder| !f.is_overdue && !f.is_finished && (f.is_load || !f.is_accepted);
        self.table.at_runner(runner).any(|f| blocks(&f))
    }

    /// Whether the runner accepted an unload of `name` that its report does not show yet.
    pub fn is_unloading(&self, report: &RunnerReport, name: &Name) -> bool {
        self.table.at_runner(&report.instance).any(|f| f.name == *name && !f.is_load && f.is_accepted)
    }

    /// The memory, in MB, of pending loads that the report does not show yet.
    pub fn pending_mb(&self, report: &RunnerReport) -> u64 {
        let new = |f: &&PendingOrder| f.is_load && !report.has(&f.name) && !report.loading.contains(&f.name);
        self.table.at_runner(&report.instance).filter(new).map(|f| f.weight_mb).sum()
    }

    /// The number of pending adapter loads that the report does not show yet.
    pub fn pending_adapters(&self, report: &RunnerReport) -> u64 {
        let new = |f: &&PendingOrder| {
            f.is_load && f.is_adapter && !report.has(&f.name) && !report.loading.contains(&f.name)
        };
        self.table.at_runner(&report.instance).filter(new).count() as u64
    }

    /// Records a runner's answer to an order. A refused order is removed.
    pub fn record_answer(&mut self, now: Time, order: OrderId, status: u16) {
        self.store_budget.record_answer(order, status);
        let Some(pending_order) = self.table.get_mut(&order) else { return };
        if pending_order.follows_unload && status == CONFLICT {
            self.store_budget.release(order);
        }
        pending_order.is_accepted = (200..300).contains(&status);
        pending_order.is_carried_out = status == ACCEPTED;
        pending_order.expected_end_at = now + pending_order.expected_duration;
        let (runner, name, expected, behind) = (
            pending_order.runner.clone(),
            pending_order.name.clone(),
            pending_order.expected,
            pending_order.follows_unload,
        );
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

    /// The runner accepted an order that expected the count `expected`: overdue orders that expected the same
    /// or a lower count can no longer be carried out and are removed.
    fn record_taken(&mut self, now: Time, runner: &Name, expected: u64) {
        self.order_counts.record_taken(now, runner, expected);
        self.table.retain_at(runner, |f| !f.is_overdue || f.expected > expected);
    }

    /// Whether a report shows an order under way that this holder did not send.
    pub fn has_foreign_order(&self, report: &RunnerReport) -> bool {
        let busy = report.busy || !report.loading.is_empty();
        busy && !self.table.at_runner(&report.instance).any(|f| !f.is_overdue)
    }

    /// Removes the orders whose effect the report shows, and those that can no longer take effect. Returns
    /// whether a load that the runner had accepted is neither held nor under way.
    pub fn record_report(&mut self, now: Time, report: &RunnerReport) -> bool {
        let mut vanished = false;
        self.table.retain_at(&report.instance, |f| {
            let is_held = report.has(&f.name);
            let is_busy = report.loading.contains(&f.name) || report.busy;
            let is_taken = report.orders > f.expected || report.orders == 0;
            if !f.is_accepted && report.orders > f.expected && is_busy {
                (f.is_accepted, f.is_carried_out, f.expected_end_at, f.is_overdue) =
                    (true, true, now + f.expected_duration, false);
            }
            let is_done = if f.is_load { is_held } else { !is_held };
            let has_vanished = f.is_load
                && !is_held
                && !is_busy
                && is_taken
                && now.since(f.sent_at) > APPEARANCE_LIMIT
                && f.is_accepted;
            f.is_overdue |= !f.is_accepted && !is_busy && now.since(f.sent_at) > ANSWER_TIMEOUT;
            let is_void =
                f.is_overdue && (report.orders > f.expected || now.since(f.sent_at) > ARRIVAL_LIMIT);
            vanished |= has_vanished;
            !(is_done || has_vanished || is_void)
        });
        vanished
    }

    /// Marks adapter loads as finished once their known duration is over. Other loads wait for a report.
    pub fn finish_adapter_loads(&mut self, now: Time) {
        for f in self.table.values_mut().filter(|f| f.is_load && f.is_adapter && f.is_carried_out) {
            f.is_finished |= now >= f.expected_end_at;
        }
    }

    /// Whether the runner refused an order for `name` within the last 5 s.
    pub fn was_refused(&self, now: Time, runner: &Name, name: &Name) -> bool {
        let at = self.refused_at.get(runner).and_then(|names| names.get(name));
        at.is_some_and(|t| now.since(*t) < Span::ms(5000))
    }
}

/// Whether `name` is an adapter, also of an earlier configuration.
pub fn is_adapter(config: &FleetConfig, name: &Name) -> bool {
    config.base_of(name).is_some()
}

/// A runner with its newest report.
#[derive(Clone)]
pub struct RunnerState {
    /// The runner as the fleet lists it.
    pub runner: Runner,
    /// Its report, with missing values filled in.
    pub report: RunnerReport,
}
