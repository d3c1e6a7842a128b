//! Executes the current stage of running plans step by step, and has the chain record the end of each stage.

use super::Placement;
use super::component::REPORT_FRESHNESS;
use crate::fleet::config::Allowance;
use crate::fleet::plan::*;
use crate::fleet::runner::RunnerReport;
use crate::fleet::slice::DutySlice;
use crate::fleet::state::*;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};

/// How long the head has to record the end of a stage, or a move, before it is sent again.
const RESEND_DELAY: Span = Span::ms(600);

/// The progress of a plan's current stage.
pub struct StageProgress {
    stage: u64,
    started_at: Time,
    tries: u64,
    reported_at: Time,
}

/// How far a step of a stage is.
enum StepStatus {
    Done,
    Pending,
    Failed(String),
}

impl Placement {
    /// Advances the running plans.
    pub fn run_plans(&mut self, slice: &DutySlice, ctx: &mut Context) {
        self.plan_progress.retain(|id, _| slice.plans.iter().any(|p| p.id == *id && p.is_running()));
        for p in slice.plans.iter().filter(|p| p.is_running()) {
            self.run_plan(p, slice, ctx);
        }
    }

    /// Advances a plan's current stage, and ends it when its steps are done, one has failed, or its allowance
    /// is used up.
    fn run_plan(&mut self, plan: &PlacementPlan, slice: &DutySlice, ctx: &mut Context) {
        let Some(stage) = plan.current_stage() else { return };
        let new = StageProgress { stage: plan.stage, started_at: ctx.now, tries: 0, reported_at: Time(0) };
        let row = self.plan_progress.entry(plan.id).or_insert(new);
        if row.stage != plan.stage {
            *row = StageProgress { stage: plan.stage, started_at: ctx.now, tries: 0, reported_at: Time(0) };
        }
        if ctx.now.since(row.reported_at) < RESEND_DELAY && row.reported_at != Time(0) {
            return;
        }
        let (ms, tries) = (ctx.now.since(row.started_at).as_ms(), row.tries);
        let rule = &slice.config.placement.stage;
        let allowance = Allowance { ms: stage.ms + rule.ms, tries: rule.tries * stage.steps.len() as u64 };
        let mut open = 0;
        for step in &stage.steps {
            match self.run_step(plan, step, slice, ctx) {
                StepStatus::Done => {}
                StepStatus::Pending => open += 1,
                StepStatus::Failed(why) => {
                    return self.finish_stage(plan, PlanState::Stopped, &why, (ms, tries, allowance), ctx);
                }
            }
        }
        if open == 0 {
            return self.finish_stage(plan, PlanState::Running, "kept", (ms, tries, allowance), ctx);
        }
        if ms > allowance.ms || tries > allowance.tries {
            let why = format!(
                "{open} step(s) left when the allowance was spent; what runs is untouched, propose again or raise placement.stage"
            );
            self.finish_stage(plan, PlanState::Stopped, &why, (ms, tries, allowance), ctx);
        }
    }

    /// Orders what a step needs; returns how far it is.
    fn run_step(
        &mut self,
        plan: &PlacementPlan,
        step: &PlanStep,
        slice: &DutySlice,
        ctx: &mut Context,
    ) -> StepStatus {
        match step {
            PlanStep::Load { runner, name } => {
                let Some(report) = self.fresh_report(runner, ctx.now) else {
                    return self.missing_runner(runner, slice);
                };
                if report.has(name) {
                    return StepStatus::Done;
                }
                if self.fits_at(runner, name, slice, ctx.now) && self.try_order(runner, name, true, ctx) {
                    self.count_try(plan);
                }
                StepStatus::Pending
            }
            PlanStep::Unload { runner, name } => {
                let Some(report) = self.fresh_report(runner, ctx.now) else {
                    return self.missing_runner(runner, slice);
                };
                if !report.has(name) {
                    return StepStatus::Done;
                }
                if report.runs_of(name) > 0 {
                    return StepStatus::Failed(format!("streams of {name} began on {runner}; it keeps them"));
                }
                if self.try_order(runner, name, false, ctx) {
                    self.count_try(plan);
                }
                StepStatus::Pending
            }
            PlanStep::Move { id, service, model, from, to, want } => {
                if let Some(move_plan) = slice.moves.iter().find(|move_plan| move_plan.id == *id) {
                    return match move_plan.phase {
                        Phase::Done => StepStatus::Done,
                        Phase::Stopped => StepStatus::Failed(format!("{step}: {}", move_plan.why)),
                        _ => StepStatus::Pending,
                    };
                }
                let new_plan = MovePlan {
                    id: *id,
                    service: service.clone(),
                    model: model.clone(),
                    from: from.clone(),
                    to: to.clone(),
                    want: want.clone(),
                    phase: Phase::Load,
                    why: plan.why.clone(),
                    stages: vec![],
                };
                if slice
                    .moves
                    .iter()
                    .any(|move_plan| move_plan.is_active() && move_plan.conflicts_with(&new_plan))
                {
                    return StepStatus::Pending;
                }
                let sent = self.move_sent_at.get(id).is_some_and(|t| ctx.now.since(*t) < RESEND_DELAY);
                if !sent {
                    self.move_sent_at.insert(*id, ctx.now);
                    ctx.log_event(
                        "move-planned",
                        format!("{id} {} {}>{}", new_plan.model, new_plan.from, new_plan.to),
                    );
                    let id = ChangeId::random(ctx.rand);
                    self.submit_change(Change::Move { id, plan: new_plan }, ctx);
                    self.count_try(plan);
                }
                StepStatus::Pending
            }
        }
    }

    /// Counts an order or a move of the plan's stage.
    fn count_try(&mut self, plan: &PlacementPlan) {
        if let Some(row) = self.plan_progress.get_mut(&plan.id) {
            row.tries += 1;
        }
    }

    /// A runner's report, if it is fresh.
    fn fresh_report(&self, runner: &Name, now: Time) -> Option<RunnerReport> {
        let row = self.reports.get(runner).filter(|r| now.since(r.0) < REPORT_FRESHNESS)?;
        Some(row.1.clone())
    }

    /// The status of a step at a runner without a fresh report: pending as long as the runner is listed.
    fn missing_runner(&self, runner: &Name, slice: &DutySlice) -> StepStatus {
        if slice.runners.iter().any(|r| r.instance == *runner) {
            return StepStatus::Pending;
        }
        StepStatus::Failed(format!("{runner} is no longer listed; propose again"))
    }

    /// Has the chain record the end of the plan's current stage and the plan's next state.
    fn finish_stage(
        &mut self,
        plan: &PlacementPlan,
        state: PlanState,
        note: &str,
        (ms, tries, allowance): (u64, u64, Allowance),
        ctx: &mut Context,
    ) {
        if let Some(row) = self.plan_progress.get_mut(&plan.id) {
            row.reported_at = ctx.now;
        }
        let name = plan.current_stage().map_or(String::new(), |s| s.name.clone());
        let figure = StageFigure {
            name,
            ms,
            ms_allowed: allowance.ms,
            tries,
            tries_allowed: allowance.tries,
            note: note.into(),
        };
        ctx.log_event("plan-stage", format!("{} {} {state} after {ms}ms {note}", plan.at, figure.name));
        let change = Change::PlanStage { id: plan.id, term: self.term, state, figure };
        self.submit_change(change, ctx);
    }
}
