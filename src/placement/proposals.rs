use super::component::Placement;
use super::pending_orders::{PendingOrder, PendingOrders, RunnerState};
use super::plan_building::whole;
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

const CLAIM: Span = Span::ms(1000);
const LEAVE: Span = Span::ms(3000);
const IDLE_MOST: usize = 4;
/// The shortest time between two plans for free room while nothing is waited for: this long for each runner.
const IDLE_PLAN_PER_RUNNER: Span = Span::ms(3);

impl Placement {
    pub(super) fn credit(&self, service: &Name, ctx: &Context) -> u64 {
        let freshness = report_freshness(self.tells.len());
        let live = self.tells.values().filter(|t| ctx.now.since(t.0) < freshness);
        live.flat_map(|t| &t.1.tries).filter(|r| r.0 == *service).map(|r| r.3).sum()
    }

    fn demand(&self, ctx: &Context) -> Vec<(Name, Name, u64)> {
        let mut sum: BTreeMap<(&Name, &Name), u64> = BTreeMap::new();
        let freshness = report_freshness(self.tells.len());
        for (at, tell) in self.tells.values() {
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

    pub(super) fn claimed(&self, name: &Name, now: Time) -> bool {
        self.claims.get(name).is_some_and(|t| now.since(*t) < CLAIM)
    }

    pub fn busy(&self, s: &DutySlice, now: Time) -> Vec<Name> {
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
        rows.extend(self.distrust.paused(now).cloned());
        rows.extend(self.claims.iter().filter(|c| now.since(*c.1) < CLAIM).map(|c| c.0.clone()));
        rows
    }

    pub fn counted(&self, s: &DutySlice, now: Time) -> PendingOrders {
        let mut all = self.flights.clone();
        let unseen = self.unseen.values().flat_map(|r| &r.1);
        for step in s.plans.iter().filter(|p| p.is_running()).flat_map(|p| p.steps()).chain(unseen) {
            let PlanStep::Load { runner, name } = step else { continue };
            let there = self.reports.get(runner).is_some_and(|r| r.1.has(name) || r.1.loading.contains(name));
            if there || all.has(runner, name) {
                continue;
            }
            let (mb, adapter) = (s.config.weight(name).unwrap_or(0), s.config.adapter(name).is_some());
            let (runner, name) = (runner.clone(), name.clone());
            let row = PendingOrder::planned(runner, name, mb, adapter, now);
            all.rows.insert(OrderId(u64::MAX - all.rows.len() as u64), row);
        }
        all
    }

    pub fn propose(&mut self, s: &DutySlice, ctx: &mut Context) {
        let demand = self.demand(ctx);
        let hot: Vec<Name> = demand.iter().map(|d| d.1.clone()).collect();
        self.wanted.retain(|n, _| hot.contains(n));
        for n in &hot {
            self.wanted.entry(n.clone()).or_insert(ctx.now);
        }
        self.claims.retain(|_, t| ctx.now.since(*t) < LEAVE);
        self.unseen.retain(|id, r| ctx.now.since(r.0) < CLAIM && !s.plans.iter().any(|p| p.id == *id));
        if let Some(id) = s.plan_ask {
            self.answer_ask(id, s, &demand, ctx);
        }
        let open = s.plans.iter().any(|p| p.state == PlanState::Proposed);
        if !s.config.placement.auto && open {
            return;
        }
        let offers = self.offers(ctx.now);
        let going =
            |o: &RunnerState| o.runner.leaving && !(o.report.runs.is_empty() && o.report.holds.is_empty());
        if let Some(o) = offers.iter().find(|o| going(o) && !self.claimed(&o.runner.instance, ctx.now))
            && ctx.now.since(self.cleared) >= LEAVE
        {
            self.cleared = ctx.now;
            let why = format!("{} is leaving; it is planned empty", o.runner.instance);
            self.offer_whole(&why, IDLE_MOST, s, &demand, ctx);
        }
        self.meet_demand(&offers, &hot, s, &demand, ctx);
        let quiet = demand.is_empty()
            && self.jobs.is_empty()
            && self.unseen.is_empty()
            && self.flights.rows.is_empty()
            && !s.plans.iter().any(|p| p.is_running());
        let gap = Span(IDLE_PLAN_PER_RUNNER.0 * s.runners.len() as u64);
        if quiet && self.claims.is_empty() && ctx.now.since(self.work.last_idle_plan) >= gap {
            self.work.last_idle_plan = ctx.now;
            self.offer_whole("room is free and nothing is waited for", IDLE_MOST, s, &demand, ctx);
        }
    }

    pub fn picture<'a>(
        &self,
        s: &'a DutySlice,
        demand: &[(Name, Name, u64)],
        flights: &'a PendingOrders,
        ctx: &Context,
    ) -> PlanInput<'a> {
        let mut sum: BTreeMap<Name, u64> = BTreeMap::new();
        for (_, name, n) in demand {
            *sum.entry(name.clone()).or_default() += n;
        }
        let credit = s.config.services.iter().map(|x| (x.name.clone(), self.credit(&x.name, ctx)));
        PlanInput {
            config: &s.config,
            config_version: s.config_version,
            offers: self.offers(ctx.now),
            flights,
            now: ctx.now,
            demand: sum,
            credit: credit.collect(),
            busy: self.busy(s, ctx.now),
        }
    }

    fn offer_whole(
        &mut self,
        why: &str,
        most: usize,
        s: &DutySlice,
        demand: &[(Name, Name, u64)],
        ctx: &mut Context,
    ) {
        let id = PlanId(ctx.rand.next() | 1);
        let counted = self.counted(s, ctx.now);
        let p = self.picture(s, demand, &counted, ctx);
        let plan = whole(&p, id, why, most, &self.work.weighed);
        if plan.stages.is_empty() {
            return;
        }
        let tried = rehearse(&p, &plan);
        self.submit(plan, tried, s, ctx, None);
    }

    fn answer_ask(&mut self, id: ChangeId, s: &DutySlice, demand: &[(Name, Name, u64)], ctx: &mut Context) {
        if self.asked_plan.is_some_and(|a| a.0 == id && ctx.now.since(a.1) < CLAIM) {
            return;
        }
        self.asked_plan = Some((id, ctx.now));
        let counted = self.counted(s, ctx.now);
        let p = self.picture(s, demand, &counted, ctx);
        let why = "asked for by an operator";
        let mut plan = whole(&p, PlanId(id.short()), why, usize::MAX, &self.work.weighed);
        let tried = rehearse(&p, &plan);
        plan.state = if tried.faults.is_empty() { PlanState::Proposed } else { PlanState::Stopped };
        plan.rehearsal = format!("{} {}", tried.note, tried.faults.join("; "));
        self.tell_head(Change::Plan { term: self.term, plan, asked: Some(id) }, ctx);
    }

    pub(super) fn submit(
        &mut self,
        mut plan: PlacementPlan,
        tried: super::plan_rehearsal::PlanRehearsal,
        s: &DutySlice,
        ctx: &mut Context,
        want: Option<&Name>,
    ) {
        if !tried.faults.is_empty() {
            if ctx.now.since(self.refused_at) > CLAIM {
                self.refused_at = ctx.now;
                ctx.log_event("plan-refused", format!("{}: {}", plan.why, tried.faults.join("; ")));
            }
            return;
        }
        let steps = plan.current_stage().map_or(vec![], |st| st.steps.clone());
        self.unseen.insert(plan.id, (ctx.now, plan.steps().cloned().collect()));
        let closed = steps.iter().filter(|x| !matches!(x, PlanStep::Load { .. }));
        for name in closed.flat_map(|x| x.runners()).chain(want) {
            self.claims.insert(name.clone(), ctx.now);
        }
        plan.rehearsal = tried.note;
        plan.state = if s.config.placement.auto { PlanState::Running } else { PlanState::Proposed };
        ctx.log_event("plan-proposed", format!("{} {} {}", plan.id, plan.why, plan.rehearsal));
        self.tell_head(Change::Plan { term: self.term, plan, asked: None }, ctx);
    }
}
