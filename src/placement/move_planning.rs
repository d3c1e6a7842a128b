//! Plans moves for wanted names that fit nowhere.

use super::Placement;
use super::decision_state::DecisionState;
use super::estimates::{Estimate, Remedy, estimates};
use super::pending_orders::RunnerState;
use super::plan_building::single_name_plan;
use super::plan_rehearsal::rehearse;
use crate::daemon::assemble::Policy;
use crate::fleet::slice::DutySlice;
use crate::kernel::component::Context;
use crate::kernel::ids::*;

/// How many names are evaluated at a time, those that most requests wait for first, as each is evaluated at
/// every runner.
const NAMES_EVALUATED: usize = 8;

impl Placement {
    /// Plans moves, or unloads under the preempting policy, for wanted names that no load can help.
    pub fn plan_moves(
        &mut self,
        runners: &[RunnerState],
        hot: &[Name],
        slice: &DutySlice,
        demand: &[(Name, Name, u64)],
        ctx: &mut Context,
    ) {
        let mut left = demand.iter().take(NAMES_EVALUATED);
        loop {
            let state = self.decision_state(slice, runners, ctx.now);
            let unmet = left.find_map(|(service, want, _)| {
                let way = self.choose_move(&state, service, want, hot, slice, ctx)?;
                Some((service, want, way))
            });
            let Some((service, want, way)) = unmet else { return };
            match way {
                Some(best) => self.submit_move_plan(service, want, &best, slice, demand, ctx),
                None => self.preempt(slice, runners, service, want, hot, ctx),
            }
        }
    }

    /// What to do for a wanted name that no load can help: a move, or `Some(None)` to preempt. `None`:
    /// nothing.
    fn choose_move(
        &self,
        state: &DecisionState,
        service: &Name,
        want: &Name,
        hot: &[Name],
        slice: &DutySlice,
        ctx: &Context,
    ) -> Option<Option<Estimate>> {
        let has_free_slot = |o: &&RunnerState| o.report.running + o.report.waiting < o.report.slots;
        let mine = || state.runners().iter().filter(|o| o.runner.service == *service);
        let served = || mine().filter(has_free_slot).any(|o| o.report.has(want) && !o.runner.leaving);
        let is_unknown = slice.config.weight(want).is_none();
        if is_unknown
            || self.is_claimed(want, ctx.now)
            || state.is_held(want) && served()
            || state.is_being_loaded(want)
        {
            return None;
        }
        let waited = self.demanded_since.get(want).map_or(0, |t| ctx.now.since(*t).as_ms());
        let may_move = self.policy == Policy::Move
            && slice.config.adapter(want).is_none()
            && waited >= slice.config.load_ms(want);
        if !may_move {
            let preempts = self.policy == Policy::Preempt && state.choose(service, want, true).is_none();
            return preempts.then_some(None);
        }
        if state.choose(service, want, true).is_some() {
            return None;
        }
        let runners: Vec<RunnerState> = mine().cloned().collect();
        let wanted = |n: &Name| hot.contains(n);
        let busy = |n: &Name| state.is_reserved(n);
        let rows = estimates(&slice.config, &runners, state.pending(), want, ctx.now, &wanted, &busy);
        let credit = self.retry_credit(service, ctx);
        let runs = |from: &Name, model: &Name| {
            runners.iter().find(|o| o.runner.instance == *from).map_or(0, |o| o.report.runs_of(model))
        };
        let is_affordable = |e: &&Estimate| match &e.remedy {
            Remedy::Move { from, model, .. } => credit >= 2 * runs(from, model) && waited >= e.estimated_ms,
            _ => false,
        };
        rows.iter().find(is_affordable).cloned().map(Some)
    }

    /// Submits a plan of one remedy for a wanted name.
    fn submit_move_plan(
        &mut self,
        service: &Name,
        want: &Name,
        best: &Estimate,
        slice: &DutySlice,
        demand: &[(Name, Name, u64)],
        ctx: &mut Context,
    ) {
        let id = PlanId(ctx.rand.next() | 1);
        let counted = self.orders_with_planned(slice, ctx.now);
        let input = self.plan_input(slice, demand, &counted, ctx);
        let plan = single_name_plan(&input, id, want, &best.remedy, service, best.estimated_ms);
        let rehearsal = rehearse(&input, &plan);
        self.submit_plan(plan, rehearsal, slice, ctx, Some(want));
    }
}
