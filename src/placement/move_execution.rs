//! Advances plans and moves at intervals, and executes moves phase by phase: load at the destination, wait
//! until routers have moved the streams, unload at the source, load what is wanted there.

use super::Placement;
use crate::fleet::config::Allowance;
use crate::fleet::slice::DutySlice;
use crate::fleet::state::*;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::Span;
use crate::membership::service::QUIET_AFTER;
use crate::msg::Role;
use crate::rollout::router_reports::report_freshness;

/// How often plans and moves are advanced.
const RUN_INTERVAL: Span = Span::ms(100);
/// The shortest time between two searches for new plans: this long for each runner.
const PROPOSAL_INTERVAL_PER_RUNNER: Span = Span::ms(2);
/// How long the head has to record a move's change before it is sent again.
const RESEND_DELAY: Span = Span::ms(600);

/// The time and tries that a move's phase has used, and what it is allowed.
struct StageUsage {
    ms: u64,
    tries: u64,
    allowed: Allowance,
}

impl Placement {
    /// Advances moves and plans, unloads withdrawn names and searches for new plans.
    pub fn run_plans_and_moves(&mut self, ctx: &mut Context) {
        if ctx.now.since(self.plans_run_at) < RUN_INTERVAL {
            return;
        }
        self.plans_run_at = ctx.now;
        let Some(slice) = self.slice.clone() else { return };
        self.record_begun(&slice, ctx);
        self.move_progress.retain(|id, _| slice.moves.iter().any(|m| m.id == *id));
        for m in slice.moves.iter().filter(|m| m.is_active()) {
            self.run_move(m, &slice, ctx);
        }
        self.run_plans(&slice, ctx);
        self.unload_withdrawn(&slice, ctx);
        let gap = Span(PROPOSAL_INTERVAL_PER_RUNNER.0 * self.reports.len() as u64);
        if ctx.now.since(self.search.last_proposal_at) >= gap {
            self.search.last_proposal_at = ctx.now;
            self.propose_plans(&slice, ctx);
        }
    }

    /// Has the chain record a move's next phase, with the figures of the one that ends.
    fn change_phase(
        &mut self,
        move_plan: &MovePlan,
        phase: Phase,
        why: &str,
        spent: &StageUsage,
        ctx: &mut Context,
    ) {
        if self.move_sent_at.get(&move_plan.id).is_some_and(|t| ctx.now.since(*t) < RESEND_DELAY) {
            return;
        }
        self.move_sent_at.insert(move_plan.id, ctx.now);
        let note = why.to_string();
        let figure = StageFigure {
            name: move_plan.phase.to_string(),
            ms: spent.ms,
            ms_allowed: spent.allowed.ms,
            tries: spent.tries,
            tries_allowed: spent.allowed.tries,
            note: note.clone(),
        };
        ctx.log_event(
            "move-stage",
            format!("{} {} to {phase} after {}ms {note}", move_plan.id, move_plan.phase, spent.ms),
        );
        let change =
            Change::Step { id: move_plan.id, term: self.term, phase, why: note, stage: Some(figure) };
        self.submit_change(change, ctx);
    }

    /// Advances a move: orders what its phase needs, changes to the next phase, or stops it when its
    /// allowance is used up or a runner is gone.
    fn run_move(&mut self, move_plan: &MovePlan, slice: &DutySlice, ctx: &mut Context) {
        let row = self.move_progress.entry(move_plan.id).or_insert((move_plan.phase, ctx.now, 0));
        if row.0 != move_plan.phase {
            *row = (move_plan.phase, ctx.now, 0);
        }
        let (ms, orders) = (ctx.now.since(row.1).as_ms(), row.2);
        let rule = &slice.config.moving;
        let allowance = match move_plan.phase {
            Phase::Load | Phase::Want => &rule.load,
            Phase::Warm => &rule.warm,
            _ => &rule.unload,
        };
        let (streams, warmed, postponed) = self.router_progress(move_plan.id, ctx);
        let tries = if move_plan.phase == Phase::Warm { warmed } else { orders };
        let spent = StageUsage { ms, tries, allowed: allowance.clone() };
        let is_staying = |n: &Name| slice.runners.iter().any(|r| r.instance == *n && !r.leaving);
        if move_plan.phase != Phase::Want && move_plan.phase != Phase::Unload && !is_staying(&move_plan.to) {
            return self.change_phase(move_plan, Phase::Stopped, "the destination left", &spent, ctx);
        }
        if !slice.runners.iter().any(|r| r.instance == move_plan.from) {
            return self.change_phase(move_plan, Phase::Stopped, "the source is gone", &spent, ctx);
        }
        if ms > allowance.ms || tries > allowance.tries {
            let why =
                format!("the stage overran its allowance; streams left {streams:?}, postponed {postponed}");
            return self.change_phase(move_plan, Phase::Stopped, &why, &spent, ctx);
        }
        let report = |n: &Name| {
            self.reports.get(n).filter(|r| ctx.now.since(r.0) < super::component::REPORT_FRESHNESS)
        };
        let (from, to) =
            (report(&move_plan.from).map(|r| r.1.clone()), report(&move_plan.to).map(|r| r.1.clone()));
        match move_plan.phase {
            Phase::Load => {
                if to.is_some_and(|r| r.has(&move_plan.model)) {
                    return self.change_phase(
                        move_plan,
                        Phase::Warm,
                        "the destination holds the model",
                        &spent,
                        ctx,
                    );
                }
                self.order_for_move(move_plan, &move_plan.to, &move_plan.model, true, ctx);
            }
            Phase::Warm => {
                let idle = from.is_some_and(|r| r.runs_of(&move_plan.model) == 0);
                if idle && streams == Some(0) {
                    let why = format!("no stream is left; postponed {postponed}");
                    self.change_phase(move_plan, Phase::Unload, &why, &spent, ctx);
                }
            }
            Phase::Unload => {
                if move_plan.want.0.is_empty() {
                    return self.change_phase(
                        move_plan,
                        Phase::Done,
                        "nothing else is wanted there",
                        &spent,
                        ctx,
                    );
                }
                match from {
                    Some(r) if !r.has(&move_plan.model) => {
                        self.change_phase(move_plan, Phase::Want, "unloaded", &spent, ctx)
                    }
                    Some(r) if r.runs_of(&move_plan.model) == 0 => {
                        self.order_for_move(move_plan, &move_plan.from, &move_plan.model, false, ctx)
                    }
                    _ => {}
                }
            }
            Phase::Want => {
                if from.is_some_and(|r| r.has(&move_plan.want)) {
                    return self.change_phase(
                        move_plan,
                        Phase::Done,
                        "the wanted model is held",
                        &spent,
                        ctx,
                    );
                }
                self.order_for_move(move_plan, &move_plan.from, &move_plan.want, true, ctx);
            }
            Phase::Done | Phase::Stopped => {}
        }
    }

    /// Sends an order of a move and counts it as a try.
    fn order_for_move(
        &mut self,
        move_plan: &MovePlan,
        runner: &Name,
        name: &Name,
        load: bool,
        ctx: &mut Context,
    ) {
        let Some(slice) = &self.slice else { return };
        if load && !self.fits_at(runner, name, slice, ctx.now) {
            return;
        }
        if self.try_order(runner, name, load, ctx)
            && let Some(row) = self.move_progress.get_mut(&move_plan.id)
        {
            row.2 += 1;
        }
    }

    /// Over all live routers: the streams left to move (none if a router has not reported them), the tries,
    /// and the postponed streams.
    fn router_progress(&self, id: MoveId, ctx: &Context) -> (Option<u64>, u64, u64) {
        let live = ctx
            .views
            .members
            .iter()
            .filter(|router| router.who.role == Role::Router && router.silence < QUIET_AFTER);
        let freshness = report_freshness(self.router_reports.len());
        let (mut left, mut tries, mut postponed) = (Some(0), 0, 0);
        for router in live {
            let tell = self.router_reports.get(&router.who.node).filter(|t| ctx.now.since(t.0) < freshness);
            let row = tell.and_then(|t| t.1.moves.iter().find(|m| m.id == id));
            left = match (left, row) {
                (Some(n), Some(m)) => Some(n + m.left),
                _ => None,
            };
            tries += row.map_or(0, |m| m.tries);
            postponed += row.map_or(0, |m| m.postponed);
        }
        (left, tries, postponed)
    }
}
