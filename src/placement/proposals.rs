//! Proposes plans from the demand that routers report: for wanted names that fit nowhere, for runners that
//! are leaving, for free memory, and on an operator's request.

use super::Placement;
use super::pending_orders::{PendingOrder, PendingOrders, RunnerState};
use super::plan_building::full_plan;
use super::plan_input::PlanInput;
use super::plan_rehearsal::rehearse;
use crate::fleet::plan::*;
use crate::fleet::slice::DutySlice;
use crate::fleet::state::Change;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::rollout::router_reports::report_freshness;
use std::collections::BTreeMap;

/// How long a submitted plan keeps other plans off its runners before the slice shows it.
const CLAIM_DURATION: Span = Span::ms(1000);
/// The shortest time between two plans for leaving runners, and how long old claims are kept.
const EVACUATION_INTERVAL: Span = Span::ms(3000);
/// The most loads of a plan that the holder proposes by itself.
const IDLE_PLAN_MAX_LOADS: usize = 4;
/// The shortest time between two plans for free memory, while no request waits: this long for each runner.
const IDLE_PLAN_INTERVAL_PER_RUNNER: Span = Span::ms(3);

impl Placement {
    /// The retries that routers have saved up for a service; moves of running streams are paid from them.
    pub(super) fn retry_credit(&self, service: &Name, ctx: &Context) -> u64 {
        let freshness = report_freshness(self.router_reports.len());
        let live = self.router_reports.values().filter(|t| ctx.now.since(t.0) < freshness);
        live.flat_map(|t| &t.1.tries).filter(|r| r.0 == *service).map(|r| r.3).sum()
    }

    /// By service and name, how many requests wait according to fresh router reports, the most first.
    fn unmet_demand(&self, ctx: &Context) -> Vec<(Name, Name, u64)> {
        let mut sum: BTreeMap<(&Name, &Name), u64> = BTreeMap::new();
        let freshness = report_freshness(self.router_reports.len());
        for (at, report) in self.router_reports.values() {
            if ctx.now.since(*at) < freshness {
                for (service, model, n) in &report.demand {
                    *sum.entry((service, model)).or_default() += n;
                }
            }
        }
        let mut rows: Vec<_> = sum.into_iter().map(|((s, m), n)| (s.clone(), m.clone(), n)).collect();
        rows.sort_by_key(|r| std::cmp::Reverse(r.2));
        rows
    }

    /// Whether a plan that was submitted a moment ago uses the runner or name.
    pub(super) fn is_claimed(&self, name: &Name, now: Time) -> bool {
        self.claims.get(name).is_some_and(|t| now.since(*t) < CLAIM_DURATION)
    }

    /// The runners that a move, a plan's current stage, a job, a claim or a pause after a failed load keeps
    /// from other plans.
    pub fn busy_runners(&self, slice: &DutySlice, now: Time) -> Vec<Name> {
        let mut rows: Vec<Name> = Vec::new();
        for m in slice.moves.iter().filter(|m| m.is_active()) {
            rows.extend([m.from.clone(), m.to.clone()]);
        }
        for step in slice.plans.iter().filter_map(|p| p.current_stage()).flat_map(|st| &st.steps) {
            let done = match step {
                PlanStep::Load { .. } => true,
                PlanStep::Unload { .. } => false,
                PlanStep::Move { id, .. } => slice.moves.iter().any(|m| m.id == *id && !m.is_active()),
            };
            if !done {
                rows.extend(step.runners().into_iter().cloned());
            }
        }
        rows.extend(self.jobs.keys().cloned());
        rows.extend(self.load_backoff.paused(now).cloned());
        rows.extend(self.claims.iter().filter(|c| now.since(*c.1) < CLAIM_DURATION).map(|c| c.0.clone()));
        rows
    }

    /// The pending orders, with the loads of plans that were not ordered yet.
    pub fn orders_with_planned(&self, slice: &DutySlice, now: Time) -> PendingOrders {
        let mut all = self.pending.clone();
        let unseen = self.submitted_plans.values().flat_map(|r| &r.1);
        for step in slice.plans.iter().filter(|p| p.is_running()).flat_map(|p| p.steps()).chain(unseen) {
            let PlanStep::Load { runner, name } = step else { continue };
            let there = self.reports.get(runner).is_some_and(|r| r.1.has(name) || r.1.loading.contains(name));
            if there || all.contains(runner, name) {
                continue;
            }
            let (mb, adapter) =
                (slice.config.weight(name).unwrap_or(0), slice.config.adapter(name).is_some());
            let (runner, name) = (runner.clone(), name.clone());
            let row = PendingOrder::planned(runner, name, mb, adapter, now);
            all.table.insert(OrderId(u64::MAX - all.table.len() as u64), row);
        }
        all
    }

    /// Proposes the plans that are due.
    pub fn propose_plans(&mut self, slice: &DutySlice, ctx: &mut Context) {
        let demand = self.unmet_demand(ctx);
        let hot: Vec<Name> = demand.iter().map(|d| d.1.clone()).collect();
        self.demanded_since.retain(|name, _| hot.contains(name));
        for name in &hot {
            self.demanded_since.entry(name.clone()).or_insert(ctx.now);
        }
        self.claims.retain(|_, t| ctx.now.since(*t) < EVACUATION_INTERVAL);
        self.submitted_plans
            .retain(|id, r| ctx.now.since(r.0) < CLAIM_DURATION && !slice.plans.iter().any(|p| p.id == *id));
        if let Some(id) = slice.plan_ask {
            self.answer_plan_request(id, slice, &demand, ctx);
        }
        let open = slice.plans.iter().any(|p| p.state == PlanState::Proposed);
        if !slice.config.placement.auto && open {
            return;
        }
        let runners = self.runner_states(ctx.now);
        let is_leaving_with_load = |runner_state: &RunnerState| {
            runner_state.runner.leaving
                && !(runner_state.report.runs.is_empty() && runner_state.report.holds.is_empty())
        };
        if let Some(runner_state) = runners.iter().find(|runner_state| {
            is_leaving_with_load(runner_state) && !self.is_claimed(&runner_state.runner.instance, ctx.now)
        }) && ctx.now.since(self.evacuation_planned_at) >= EVACUATION_INTERVAL
        {
            self.evacuation_planned_at = ctx.now;
            let why = format!("{} is leaving; it is planned empty", runner_state.runner.instance);
            self.propose_full_plan(&why, IDLE_PLAN_MAX_LOADS, slice, &demand, ctx);
        }
        self.plan_moves(&runners, &hot, slice, &demand, ctx);
        let quiet = demand.is_empty()
            && self.jobs.is_empty()
            && self.submitted_plans.is_empty()
            && self.pending.table.is_empty()
            && !slice.plans.iter().any(|p| p.is_running());
        let gap = Span(IDLE_PLAN_INTERVAL_PER_RUNNER.0 * slice.runners.len() as u64);
        if quiet && self.claims.is_empty() && ctx.now.since(self.search.last_idle_plan_at) >= gap {
            self.search.last_idle_plan_at = ctx.now;
            self.propose_full_plan(
                "room is free and nothing is waited for",
                IDLE_PLAN_MAX_LOADS,
                slice,
                &demand,
                ctx,
            );
        }
    }

    /// What a plan is made from.
    pub fn plan_input<'a>(
        &self,
        slice: &'a DutySlice,
        demand: &[(Name, Name, u64)],
        pending: &'a PendingOrders,
        ctx: &Context,
    ) -> PlanInput<'a> {
        let mut sum: BTreeMap<Name, u64> = BTreeMap::new();
        for (_, name, n) in demand {
            *sum.entry(name.clone()).or_default() += n;
        }
        let credit = slice.config.services.iter().map(|x| (x.name.clone(), self.retry_credit(&x.name, ctx)));
        PlanInput {
            config: &slice.config,
            config_version: slice.config_version,
            runners: self.runner_states(ctx.now),
            pending,
            now: ctx.now,
            demand: sum,
            retry_credit: credit.collect(),
            busy_runners: self.busy_runners(slice, ctx.now),
        }
    }

    /// Submits a plan for all names with up to `most` loads, unless it is empty.
    fn propose_full_plan(
        &mut self,
        why: &str,
        most: usize,
        slice: &DutySlice,
        demand: &[(Name, Name, u64)],
        ctx: &mut Context,
    ) {
        let id = PlanId(ctx.rand.next() | 1);
        let counted = self.orders_with_planned(slice, ctx.now);
        let input = self.plan_input(slice, demand, &counted, ctx);
        let plan = full_plan(&input, id, why, most, &self.search.evaluated);
        if plan.stages.is_empty() {
            return;
        }
        let rehearsal = rehearse(&input, &plan);
        self.submit_plan(plan, rehearsal, slice, ctx, None);
    }

    /// Answers an operator's request for a plan.
    fn answer_plan_request(
        &mut self,
        id: ChangeId,
        slice: &DutySlice,
        demand: &[(Name, Name, u64)],
        ctx: &mut Context,
    ) {
        if self.answered_plan_request.is_some_and(|a| a.0 == id && ctx.now.since(a.1) < CLAIM_DURATION) {
            return;
        }
        self.answered_plan_request = Some((id, ctx.now));
        let counted = self.orders_with_planned(slice, ctx.now);
        let input = self.plan_input(slice, demand, &counted, ctx);
        let why = "asked for by an operator";
        let mut plan = full_plan(&input, PlanId(id.short()), why, usize::MAX, &self.search.evaluated);
        let rehearsal = rehearse(&input, &plan);
        plan.state = if rehearsal.faults.is_empty() { PlanState::Proposed } else { PlanState::Stopped };
        plan.rehearsal = format!("{} {}", rehearsal.note, rehearsal.faults.join("; "));
        self.submit_change(Change::Plan { term: self.term, plan, asked: Some(id) }, ctx);
    }

    /// Submits a plan to the head, unless its rehearsal found faults. It runs at once or waits for an
    /// operator's approval, as the settings say.
    pub(super) fn submit_plan(
        &mut self,
        mut plan: PlacementPlan,
        rehearsal: super::plan_rehearsal::PlanRehearsal,
        slice: &DutySlice,
        ctx: &mut Context,
        want: Option<&Name>,
    ) {
        if !rehearsal.faults.is_empty() {
            if ctx.now.since(self.refusal_logged_at) > CLAIM_DURATION {
                self.refusal_logged_at = ctx.now;
                ctx.log_event("plan-refused", format!("{}: {}", plan.why, rehearsal.faults.join("; ")));
            }
            return;
        }
        let steps = plan.current_stage().map_or(vec![], |st| st.steps.clone());
        self.submitted_plans.insert(plan.id, (ctx.now, plan.steps().cloned().collect()));
        let closed = steps.iter().filter(|x| !matches!(x, PlanStep::Load { .. }));
        for name in closed.flat_map(|x| x.runners()).chain(want) {
            self.claims.insert(name.clone(), ctx.now);
        }
        plan.rehearsal = rehearsal.note;
        plan.state = if slice.config.placement.auto { PlanState::Running } else { PlanState::Proposed };
        ctx.log_event("plan-proposed", format!("{} {} {}", plan.id, plan.why, plan.rehearsal));
        self.submit_change(Change::Plan { term: self.term, plan, asked: None }, ctx);
    }
}
