use super::component::Placement;
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

const CLAIM_DURATION: Span = Span::ms(1000);
const EVACUATION_INTERVAL: Span = Span::ms(3000);
const IDLE_PLAN_MAX_LOADS: usize = 4;
/// The shortest time between two plans for free room while nothing is waited for: this long for each runner.
const IDLE_PLAN_INTERVAL_PER_RUNNER: Span = Span::ms(3);

impl Placement {
    pub(super) fn retry_credit(&self, service: &Name, ctx: &Context) -> u64 {
        let freshness = report_freshness(self.router_reports.len());
        let live = self.router_reports.values().filter(|t| ctx.now.since(t.0) < freshness);
        live.flat_map(|t| &t.1.tries).filter(|r| r.0 == *service).map(|r| r.3).sum()
    }

    fn unmet_demand(&self, ctx: &Context) -> Vec<(Name, Name, u64)> {
        let mut sum: BTreeMap<(&Name, &Name), u64> = BTreeMap::new();
        let freshness = report_freshness(self.router_reports.len());
        for (at, tell) in self.router_reports.values() {
            if ctx.now.since(*at) < freshness {
                for (service, model, n) in &tell.demand {
                    *sum.entry((service, model)).or_default() += n;
                }
            }
        }
        let mut rows: Vec<_> = sum.into_iter().map(|((s, m), n)| (s.clone(), m.clone(), n)).collect();
        rows.sort_by_key(|r| std::cmp::Reverse(r.2));
        rows
    }

    pub(super) fn is_claimed(&self, name: &Name, now: Time) -> bool {
        self.claims.get(name).is_some_and(|t| now.since(*t) < CLAIM_DURATION)
    }

    pub fn busy_runners(&self, s: &DutySlice, now: Time) -> Vec<Name> {
        let mut rows: Vec<Name> = Vec::new();
        for m in s.moves.iter().filter(|m| m.is_active()) {
            rows.extend([m.from.clone(), m.to.clone()]);
        }
        for step in s.plans.iter().filter_map(|p| p.current_stage()).flat_map(|st| &st.steps) {
            let done = match step {
                PlanStep::Load { .. } => true,
                PlanStep::Unload { .. } => false,
                PlanStep::Move { id, .. } => s.moves.iter().any(|m| m.id == *id && !m.is_active()),
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

    pub fn orders_with_planned(&self, s: &DutySlice, now: Time) -> PendingOrders {
        let mut all = self.pending.clone();
        let unseen = self.submitted_plans.values().flat_map(|r| &r.1);
        for step in s.plans.iter().filter(|p| p.is_running()).flat_map(|p| p.steps()).chain(unseen) {
            let PlanStep::Load { runner, name } = step else { continue };
            let there = self.reports.get(runner).is_some_and(|r| r.1.has(name) || r.1.loading.contains(name));
            if there || all.contains(runner, name) {
                continue;
            }
            let (mb, adapter) = (s.config.weight(name).unwrap_or(0), s.config.adapter(name).is_some());
            let (runner, name) = (runner.clone(), name.clone());
            let row = PendingOrder::planned(runner, name, mb, adapter, now);
            all.table.insert(OrderId(u64::MAX - all.table.len() as u64), row);
        }
        all
    }

    pub fn propose_plans(&mut self, s: &DutySlice, ctx: &mut Context) {
        let demand = self.unmet_demand(ctx);
        let hot: Vec<Name> = demand.iter().map(|d| d.1.clone()).collect();
        self.demanded_since.retain(|n, _| hot.contains(n));
        for n in &hot {
            self.demanded_since.entry(n.clone()).or_insert(ctx.now);
        }
        self.claims.retain(|_, t| ctx.now.since(*t) < EVACUATION_INTERVAL);
        self.submitted_plans
            .retain(|id, r| ctx.now.since(r.0) < CLAIM_DURATION && !s.plans.iter().any(|p| p.id == *id));
        if let Some(id) = s.plan_ask {
            self.answer_plan_request(id, s, &demand, ctx);
        }
        let open = s.plans.iter().any(|p| p.state == PlanState::Proposed);
        if !s.config.placement.auto && open {
            return;
        }
        let runners = self.runner_states(ctx.now);
        let going =
            |o: &RunnerState| o.runner.leaving && !(o.report.runs.is_empty() && o.report.holds.is_empty());
        if let Some(o) = runners.iter().find(|o| going(o) && !self.is_claimed(&o.runner.instance, ctx.now))
            && ctx.now.since(self.evacuation_planned_at) >= EVACUATION_INTERVAL
        {
            self.evacuation_planned_at = ctx.now;
            let why = format!("{} is leaving; it is planned empty", o.runner.instance);
            self.propose_full_plan(&why, IDLE_PLAN_MAX_LOADS, s, &demand, ctx);
        }
        self.plan_moves(&runners, &hot, s, &demand, ctx);
        let quiet = demand.is_empty()
            && self.jobs.is_empty()
            && self.submitted_plans.is_empty()
            && self.pending.table.is_empty()
            && !s.plans.iter().any(|p| p.is_running());
        let gap = Span(IDLE_PLAN_INTERVAL_PER_RUNNER.0 * s.runners.len() as u64);
        if quiet && self.claims.is_empty() && ctx.now.since(self.search.last_idle_plan_at) >= gap {
            self.search.last_idle_plan_at = ctx.now;
            self.propose_full_plan(
                "room is free and nothing is waited for",
                IDLE_PLAN_MAX_LOADS,
                s,
                &demand,
                ctx,
            );
        }
    }

    pub fn plan_input<'a>(
        &self,
        s: &'a DutySlice,
        demand: &[(Name, Name, u64)],
        pending: &'a PendingOrders,
        ctx: &Context,
    ) -> PlanInput<'a> {
        let mut sum: BTreeMap<Name, u64> = BTreeMap::new();
        for (_, name, n) in demand {
            *sum.entry(name.clone()).or_default() += n;
        }
        let credit = s.config.services.iter().map(|x| (x.name.clone(), self.retry_credit(&x.name, ctx)));
        PlanInput {
            config: &s.config,
            config_version: s.config_version,
            runners: self.runner_states(ctx.now),
            pending,
            now: ctx.now,
            demand: sum,
            retry_credit: credit.collect(),
            busy_runners: self.busy_runners(s, ctx.now),
        }
    }

    fn propose_full_plan(
        &mut self,
        why: &str,
        most: usize,
        s: &DutySlice,
        demand: &[(Name, Name, u64)],
        ctx: &mut Context,
    ) {
        let id = PlanId(ctx.rand.next() | 1);
        let counted = self.orders_with_planned(s, ctx.now);
        let p = self.plan_input(s, demand, &counted, ctx);
        let plan = full_plan(&p, id, why, most, &self.search.evaluated);
        if plan.stages.is_empty() {
            return;
        }
        let tried = rehearse(&p, &plan);
        self.submit_plan(plan, tried, s, ctx, None);
    }

    fn answer_plan_request(
        &mut self,
        id: ChangeId,
        s: &DutySlice,
        demand: &[(Name, Name, u64)],
        ctx: &mut Context,
    ) {
        if self.answered_plan_request.is_some_and(|a| a.0 == id && ctx.now.since(a.1) < CLAIM_DURATION) {
            return;
        }
        self.answered_plan_request = Some((id, ctx.now));
        let counted = self.orders_with_planned(s, ctx.now);
        let p = self.plan_input(s, demand, &counted, ctx);
        let why = "asked for by an operator";
        let mut plan = full_plan(&p, PlanId(id.short()), why, usize::MAX, &self.search.evaluated);
        let tried = rehearse(&p, &plan);
        plan.state = if tried.faults.is_empty() { PlanState::Proposed } else { PlanState::Stopped };
        plan.rehearsal = format!("{} {}", tried.note, tried.faults.join("; "));
        self.submit_change(Change::Plan { term: self.term, plan, asked: Some(id) }, ctx);
    }

    pub(super) fn submit_plan(
        &mut self,
        mut plan: PlacementPlan,
        tried: super::plan_rehearsal::PlanRehearsal,
        s: &DutySlice,
        ctx: &mut Context,
        want: Option<&Name>,
    ) {
        if !tried.faults.is_empty() {
            if ctx.now.since(self.refusal_logged_at) > CLAIM_DURATION {
                self.refusal_logged_at = ctx.now;
                ctx.log_event("plan-refused", format!("{}: {}", plan.why, tried.faults.join("; ")));
            }
            return;
        }
        let steps = plan.current_stage().map_or(vec![], |st| st.steps.clone());
        self.submitted_plans.insert(plan.id, (ctx.now, plan.steps().cloned().collect()));
        let closed = steps.iter().filter(|x| !matches!(x, PlanStep::Load { .. }));
        for name in closed.flat_map(|x| x.runners()).chain(want) {
            self.claims.insert(name.clone(), ctx.now);
        }
        plan.rehearsal = tried.note;
        plan.state = if s.config.placement.auto { PlanState::Running } else { PlanState::Proposed };
        ctx.log_event("plan-proposed", format!("{} {} {}", plan.id, plan.why, plan.rehearsal));
        self.submit_change(Change::Plan { term: self.term, plan, asked: None }, ctx);
    }
}
