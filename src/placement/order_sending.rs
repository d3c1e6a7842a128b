//! Sends orders to runners, after checking that the runner can take them and that the store's limit on loads
//! allows them.

use super::Placement;
use super::component::ORDER_VALIDITY;
use super::free_room::fits;
use super::job::DecisionJob;
use super::load_backoff::most_used;
use super::pending_orders::{PendingOrder, RunnerState, is_adapter};
use crate::fleet::runner::RunnerReport;
use crate::fleet::slice::DutySlice;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use std::collections::BTreeSet;

/// Added to the configured load time before a load counts as finished.
const LOAD_MARGIN: Span = Span::ms(5);

impl Placement {
    /// Sends an order that follows no other; whether it was sent.
    pub fn try_order(&mut self, runner: &Name, name: &Name, load: bool, ctx: &mut Context) -> bool {
        self.send_order(runner, name, load, false, ctx).is_some()
    }

    /// Orders a load or unload of `name` at `runner`. `follows_unload`: sent while an unload that this runner
    /// accepted may still be under way. Returns no id if the order may not be sent now.
    pub fn send_order(
        &mut self,
        runner: &Name,
        name: &Name,
        load: bool,
        behind: bool,
        ctx: &mut Context,
    ) -> Option<OrderId> {
        let slice = self.slice.as_ref()?;
        let runner_entry = self.runner(slice, runner).cloned()?;
        if self.pending.contains(runner, name) || !self.may_order(ctx.now) || self.pending.is_blocked(runner)
        {
            return None;
        }
        let report =
            self.reports.get(runner).map(|runner_entry| self.completed_report(slice, &runner_entry.1))?;
        if self.pending.has_foreign_order(&report) {
            return None;
        }
        let expected = self.pending.order_counts.expected(runner)?;
        let runner_state = RunnerState { runner: runner_entry, report };
        if load && self.load_backoff.is_paused(runner, ctx.now) {
            return None;
        }
        if load && !fits(&slice.config, &runner_state, &self.pending, name) {
            return None;
        }
        let adapter = is_adapter(&slice.config, name);
        let rule = &slice.config.store;
        let kept = self.is_cached(slice, runner, name);
        let counted = load && self.uses_store(slice, runner, name);
        if counted && self.pending.loads_left(rule) == 0 {
            return None;
        }
        let order = OrderId(ctx.rand.next() | 1);
        let ms = if kept && !adapter { rule.kept_ms } else { slice.config.load_ms(name) };
        let flight = PendingOrder {
            runner: runner.clone(),
            name: name.clone(),
            is_load: load,
            sent_at: ctx.now,
            weight_mb: slice.config.weight(name).unwrap_or(0),
            is_adapter: adapter,
            is_accepted: false,
            uses_store: counted,
            follows_unload: behind,
            expected_duration: if load { Span::ms(ms) + LOAD_MARGIN } else { Span::ms(30) },
            expected_end_at: Time(u64::MAX),
            is_finished: false,
            is_carried_out: false,
            expected,
            is_overdue: false,
        };
        let due = self.proven_at + ORDER_VALIDITY;
        if counted {
            self.pending.store_budget.reserve(order, due.since(ctx.now));
        }
        self.pending.table.insert(order, flight);
        let term = self.term;
        let what = if load { "load" } else { "unload" };
        ctx.log_event("runner-order", format!("{what} {name} on {runner} under {term}"));
        let (name, runner) = (name.clone(), runner_state.runner);
        ctx.effects.push(Effect::OrderRunner(RunnerOrder {
            order,
            term,
            runner,
            load,
            name,
            adapter,
            expected,
            due,
        }));
        Some(order)
    }

    /// Whether a load of `name` at this runner counts against the store's limit on loads.
    pub fn uses_store(&self, slice: &DutySlice, runner: &Name, name: &Name) -> bool {
        !self.is_cached(slice, runner, name)
            && (!is_adapter(&slice.config, name) || slice.config.store.adapters)
    }

    /// How many loads from the store a new decision could order now. Loads that decisions under way have yet
    /// to order are subtracted.
    pub fn store_loads_left(&mut self, slice: &DutySlice) -> u64 {
        let waits =
            |row: &(&Name, &DecisionJob)| row.1.awaits_load() && self.uses_store(slice, row.0, row.1.want());
        let before = self.jobs.iter().filter(waits).count() as u64;
        self.pending.loads_left(&slice.config.store).saturating_sub(before)
    }

    /// What a runner loads from its own disk.
    pub fn cached_at(&self, slice: &DutySlice, runner: &Name) -> Option<&BTreeSet<Name>> {
        self.cached.get(runner).filter(|_| slice.config.store.kept_ms > 0)
    }

    /// Whether a runner loads `name` from its own disk.
    pub fn is_cached(&self, slice: &DutySlice, runner: &Name, name: &Name) -> bool {
        self.cached_at(slice, runner).is_some_and(|kept| kept.contains(name))
    }

    /// The report with values that it leaves out filled in from the configuration and from the routers'
    /// reports.
    pub fn completed_report(&self, slice: &DutySlice, report: &RunnerReport) -> RunnerReport {
        let mut report = self.load_backoff.corrected(&slice.config, report.clone());
        let service = self.runner(slice, &report.instance).map(|x| &x.service);
        let Some(service) = service.and_then(|n| slice.config.service(n)) else { return report };
        if report.room_mb == 0 {
            report.room_mb = service.room_mb;
            report.used_mb = report.used_mb.max(most_used(&slice.config, &report));
        }
        if report.adapter_room == 0 {
            report.adapter_room = service.places;
        }
        if report.slots == 0 {
            report.slots = service.slots;
        }
        if report.runs.is_empty() && report.running > 0 {
            report.runs = self.usage.active_by_runner.get(&report.instance).cloned().unwrap_or_default();
        }
        report
    }
}
