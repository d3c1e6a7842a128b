//! Moves for what is wanted and fits nowhere.

use super::decision_state::DecisionState;
use super::component::Placement;
use super::pending_orders::RunnerState;
use super::estimates::{Estimate, Remedy, estimates};
use super::plan_building::small;
use super::plan_rehearsal::rehearse;
use crate::daemon::assemble::Policy;
use crate::fleet::slice::DutySlice;
use crate::kernel::component::Context;
use crate::kernel::ids::*;

/// So many names are weighed at a time, those that most requests wait for first: each is weighed at every runner.
const NAMES_WEIGHED: usize = 8;

impl Placement {
    /// Plans moves, or unloads by the policy, for what is wanted and no load could help.
    pub fn meet_demand(
        &mut self,
        offers: &[RunnerState],
        hot: &[Name],
        s: &DutySlice,
        demand: &[(Name, Name, u64)],
        ctx: &mut Context,
    ) {
        let mut left = demand.iter().take(NAMES_WEIGHED);
        loop {
            let board = self.board(s, offers, ctx.now);
            let unmet = left.find_map(|(service, want, _)| {
                let way = self.meet(&board, service, want, hot, s, ctx)?;
                Some((service, want, way))
            });
            let Some((service, want, way)) = unmet else { return };
            match way {
                Some(best) => self.submit_small(service, want, &best, s, demand, ctx),
                None => self.preempt(s, offers, service, want, hot, ctx),
            }
        }
    }

    /// What is to be done for a wanted name that no load could help: a move, or `Some(None)` to preempt.
    fn meet(
        &self,
        board: &DecisionState,
        service: &Name,
        want: &Name,
        hot: &[Name],
        s: &DutySlice,
        ctx: &Context,
    ) -> Option<Option<Estimate>> {
        let free = |o: &&RunnerState| o.report.running + o.report.waiting < o.report.slots;
        let mine = || board.offers().iter().filter(|o| o.runner.service == *service);
        let served = || mine().filter(free).any(|o| o.report.has(want) && !o.runner.leaving);
        let plain = s.config.weight(want).is_none();
        if plain || self.claimed(want, ctx.now) || board.is_held(want) && served() || board.is_coming(want) {
            return None;
        }
        let waited = self.wanted.get(want).map_or(0, |t| ctx.now.since(*t).as_ms());
        let may_move = self.policy == Policy::Move
            && s.config.adapter(want).is_none()
            && waited >= s.config.load_ms(want);
        if !may_move {
            let preempts = self.policy == Policy::Preempt && board.choose(service, want, true).is_none();
            return preempts.then_some(None);
        }
        if board.choose(service, want, true).is_some() {
            return None;
        }
        let offers: Vec<RunnerState> = mine().cloned().collect();
        let wanted = |n: &Name| hot.contains(n);
        let busy = |n: &Name| board.is_planned(n);
        let rows = estimates(&s.config, &offers, board.flights(), want, ctx.now, &wanted, &busy);
        let credit = self.credit(service, ctx);
        let runs = |from: &Name, model: &Name| {
            offers.iter().find(|o| o.runner.instance == *from).map_or(0, |o| o.report.runs_of(model))
        };
        let able = |e: &&Estimate| match &e.way {
            Remedy::Move { from, model, .. } => credit >= 2 * runs(from, model) && waited >= e.ms,
            _ => false,
        };
        rows.iter().find(able).cloned().map(Some)
    }

    fn submit_small(
        &mut self,
        service: &Name,
        want: &Name,
        best: &Estimate,
        s: &DutySlice,
        demand: &[(Name, Name, u64)],
        ctx: &mut Context,
    ) {
        let id = PlanId(ctx.rand.next() | 1);
        let counted = self.counted(s, ctx.now);
        let p = self.picture(s, demand, &counted, ctx);
        let plan = small(&p, id, want, &best.way, service, best.ms);
        let tried = rehearse(&p, &plan);
        self.submit(plan, tried, s, ctx, Some(want));
    }
}
