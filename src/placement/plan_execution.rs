use super::component::{Placement, REPORT_FRESHNESS};
use crate::fleet::config::Allowance;
use crate::fleet::plan::*;
use crate::fleet::runner::RunnerReport;
use crate::fleet::slice::DutySlice;
use crate::fleet::state::*;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};

const RESEND_DELAY: Span = Span::ms(600);

pub struct StageProgress {
    stage: u64,
    started_at: Time,
    tries: u64,
    reported_at: Time,
}

enum StepStatus {
    Done,
    Pending,
    Failed(String),
}

impl Placement {
    pub fn run_plans(&mut self, s: &DutySlice, ctx: &mut Context) {
        self.plan_progress.retain(|id, _| s.plans.iter().any(|p| p.id == *id && p.is_running()));
        for p in s.plans.iter().filter(|p| p.is_running()) {
            self.run_plan(p, s, ctx);
        }
    }

    fn run_plan(&mut self, p: &PlacementPlan, s: &DutySlice, ctx: &mut Context) {
        let Some(stage) = p.current_stage() else { return };
        let new = StageProgress { stage: p.stage, started_at: ctx.now, tries: 0, reported_at: Time(0) };
        let row = self.plan_progress.entry(p.id).or_insert(new);
        if row.stage != p.stage {
            *row = StageProgress { stage: p.stage, started_at: ctx.now, tries: 0, reported_at: Time(0) };
        }
        if ctx.now.since(row.reported_at) < RESEND_DELAY && row.reported_at != Time(0) {
            return;
        }
        let (ms, tries) = (ctx.now.since(row.started_at).as_ms(), row.tries);
        let rule = &s.config.placement.stage;
        let most = Allowance { ms: stage.ms + rule.ms, tries: rule.tries * stage.steps.len() as u64 };
        let mut open = 0;
        for step in &stage.steps {
            match self.run_step(p, step, s, ctx) {
                StepStatus::Done => {}
                StepStatus::Pending => open += 1,
                StepStatus::Failed(why) => {
                    return self.finish_stage(p, PlanState::Stopped, &why, (ms, tries, most), ctx);
                }
            }
        }
        if open == 0 {
            return self.finish_stage(p, PlanState::Running, "kept", (ms, tries, most), ctx);
        }
        if ms > most.ms || tries > most.tries {
            let why = format!(
                "{open} step(s) left when the allowance was spent; what runs is untouched, propose again or raise placement.stage"
            );
            self.finish_stage(p, PlanState::Stopped, &why, (ms, tries, most), ctx);
        }
    }

    fn run_step(
        &mut self,
        p: &PlacementPlan,
        step: &PlanStep,
        s: &DutySlice,
        ctx: &mut Context,
    ) -> StepStatus {
        match step {
            PlanStep::Load { runner, name } => {
                let Some(r) = self.fresh_report(runner, ctx.now) else {
                    return self.missing_runner(runner, s);
                };
                if r.has(name) {
                    return StepStatus::Done;
                }
                if self.fits_at(runner, name, s, ctx.now) && self.try_order(runner, name, true, ctx) {
                    self.count_try(p);
                }
                StepStatus::Pending
            }
            PlanStep::Unload { runner, name } => {
                let Some(r) = self.fresh_report(runner, ctx.now) else {
                    return self.missing_runner(runner, s);
                };
                if !r.has(name) {
                    return StepStatus::Done;
                }
                if r.runs_of(name) > 0 {
                    return StepStatus::Failed(format!("streams of {name} began on {runner}; it keeps them"));
                }
                if self.try_order(runner, name, false, ctx) {
                    self.count_try(p);
                }
                StepStatus::Pending
            }
            PlanStep::Move { id, service, model, from, to, want } => {
                if let Some(m) = s.moves.iter().find(|m| m.id == *id) {
                    return match m.phase {
                        Phase::Done => StepStatus::Done,
                        Phase::Stopped => StepStatus::Failed(format!("{step}: {}", m.why)),
                        _ => StepStatus::Pending,
                    };
                }
                let plan = MovePlan {
                    id: *id,
                    service: service.clone(),
                    model: model.clone(),
                    from: from.clone(),
                    to: to.clone(),
                    want: want.clone(),
                    phase: Phase::Load,
                    why: p.why.clone(),
                    stages: vec![],
                };
                if s.moves.iter().any(|m| m.is_active() && m.conflicts_with(&plan)) {
                    return StepStatus::Pending;
                }
                let sent = self.move_sent_at.get(id).is_some_and(|t| ctx.now.since(*t) < RESEND_DELAY);
                if !sent {
                    self.move_sent_at.insert(*id, ctx.now);
                    ctx.log_event("move-planned", format!("{id} {} {}>{}", plan.model, plan.from, plan.to));
                    let id = ChangeId::random(ctx.rand);
                    self.submit_change(Change::Move { id, plan }, ctx);
                    self.count_try(p);
                }
                StepStatus::Pending
            }
        }
    }

    fn count_try(&mut self, p: &PlacementPlan) {
        if let Some(row) = self.plan_progress.get_mut(&p.id) {
            row.tries += 1;
        }
    }

    fn fresh_report(&self, runner: &Name, now: Time) -> Option<RunnerReport> {
        let row = self.reports.get(runner).filter(|r| now.since(r.0) < REPORT_FRESHNESS)?;
        Some(row.1.clone())
    }

    fn missing_runner(&self, runner: &Name, s: &DutySlice) -> StepStatus {
        if s.runners.iter().any(|r| r.instance == *runner) {
            return StepStatus::Pending;
        }
        StepStatus::Failed(format!("{runner} is no longer listed; propose again"))
    }

    fn finish_stage(
        &mut self,
        p: &PlacementPlan,
        to: PlanState,
        note: &str,
        (ms, tries, most): (u64, u64, Allowance),
        ctx: &mut Context,
    ) {
        if let Some(row) = self.plan_progress.get_mut(&p.id) {
            row.reported_at = ctx.now;
        }
        let name = p.current_stage().map_or(String::new(), |s| s.name.clone());
        let figure = StageFigure {
            name,
            ms,
            ms_allowed: most.ms,
            tries,
            tries_allowed: most.tries,
            note: note.into(),
        };
        ctx.log_event("plan-stage", format!("{} {} {to} after {ms}ms {note}", p.at, figure.name));
        let change = Change::PlanStage { id: p.id, term: self.term, state: to, figure };
        self.submit_change(change, ctx);
    }
}
