use super::component::{ORDER_VALIDITY, Placement};
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

const LOAD_MARGIN: Span = Span::ms(5);

impl Placement {
    pub fn try_order(&mut self, runner: &Name, name: &Name, load: bool, ctx: &mut Context) -> bool {
        self.send_order(runner, name, load, false, ctx).is_some()
    }

    /// `behind`: sent while an unload of this runner, which it has taken, may still be under way.
    pub fn send_order(
        &mut self,
        runner: &Name,
        name: &Name,
        load: bool,
        behind: bool,
        ctx: &mut Context,
    ) -> Option<OrderId> {
        let s = self.slice.as_ref()?;
        let r = self.runner(s, runner).cloned()?;
        if self.pending.contains(runner, name) || !self.may_order(ctx.now) || self.pending.is_blocked(runner)
        {
            return None;
        }
        let report = self.reports.get(runner).map(|r| self.completed_report(s, &r.1))?;
        if self.pending.has_foreign_order(&report) {
            return None;
        }
        let expected = self.pending.order_counts.expected(runner)?;
        let runner_state = RunnerState { runner: r, report };
        if load && self.load_backoff.is_paused(runner, ctx.now) {
            return None;
        }
        if load && !fits(&s.config, &runner_state, &self.pending, name) {
            return None;
        }
        let adapter = is_adapter(&s.config, name);
        let rule = &s.config.store;
        let kept = self.is_cached(s, runner, name);
        let counted = load && self.uses_store(s, runner, name);
        if counted && self.pending.loads_left(rule) == 0 {
            return None;
        }
        let order = OrderId(ctx.rand.next() | 1);
        let ms = if kept && !adapter { rule.kept_ms } else { s.config.load_ms(name) };
        let flight = PendingOrder {
            runner: runner.clone(),
            name: name.clone(),
            is_load: load,
            sent_at: ctx.now,
            weight_mb: s.config.weight(name).unwrap_or(0),
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

    /// Whether a load of `name` at this runner takes of the store's allowance.
    pub fn uses_store(&self, s: &DutySlice, runner: &Name, name: &Name) -> bool {
        !self.is_cached(s, runner, name) && (!is_adapter(&s.config, name) || s.config.store.adapters)
    }

    /// How many loads from the store a new decision could order now: those that decisions under way have yet to order
    /// go first.
    pub fn store_loads_left(&mut self, s: &DutySlice) -> u64 {
        let waits =
            |row: &(&Name, &DecisionJob)| row.1.awaits_load() && self.uses_store(s, row.0, row.1.want());
        let before = self.jobs.iter().filter(waits).count() as u64;
        self.pending.loads_left(&s.config.store).saturating_sub(before)
    }

    /// What a runner loads from its own disk.
    pub fn cached_at(&self, s: &DutySlice, runner: &Name) -> Option<&BTreeSet<Name>> {
        self.cached.get(runner).filter(|_| s.config.store.kept_ms > 0)
    }

    /// Whether a runner loads `name` from its own disk.
    pub fn is_cached(&self, s: &DutySlice, runner: &Name, name: &Name) -> bool {
        self.cached_at(s, runner).is_some_and(|kept| kept.contains(name))
    }

    /// A report with what it leaves out taken from the configuration and from the routers.
    pub fn completed_report(&self, s: &DutySlice, r: &RunnerReport) -> RunnerReport {
        let mut r = self.load_backoff.corrected(&s.config, r.clone());
        let service = self.runner(s, &r.instance).map(|x| &x.service);
        let Some(service) = service.and_then(|n| s.config.service(n)) else { return r };
        if r.room_mb == 0 {
            r.room_mb = service.room_mb;
            r.used_mb = r.used_mb.max(most_used(&s.config, &r));
        }
        if r.adapter_room == 0 {
            r.adapter_room = service.places;
        }
        if r.slots == 0 {
            r.slots = service.slots;
        }
        if r.runs.is_empty() && r.running > 0 {
            r.runs = self.usage.active_by_runner.get(&r.instance).cloned().unwrap_or_default();
        }
        r
    }
}
