use super::component::{Placement, REPORT};
use crate::fleet::config::Allowance;
use crate::fleet::plan::*;
use crate::fleet::runner::RunnerReport;
use crate::fleet::slice::DutySlice;
use crate::fleet::state::*;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};

const AGAIN: Span = Span::ms(600);

pub struct StageProgress {
    stage: u64,
    since: Time,
    tries: u64,
    told: Time,
}

enum StepState {
    Done,
    Open,
    Lost(String),
}

impl Placement {
    pub fn run_plans(&mut self, s: &DutySlice, ctx: &mut Context) {
        self.rows.retain(|id, _| s.plans.iter().any(|p| p.id == *id && p.is_running()));
        for p in s.plans.iter().filter(|p| p.is_running()) {
            self.run_plan(p, s, ctx);
        }
    }

    fn run_plan(&mut self, p: &PlacementPlan, s: &DutySlice, ctx: &mut Context) {
        let Some(stage) = p.current_stage() else { return };
        let new = StageProgress { stage: p.stage, since: ctx.now, tries: 0, told: Time(0) };
        let row = self.rows.entry(p.id).or_insert(new);
        if row.stage != p.stage {
            *row = StageProgress { stage: p.stage, since: ctx.now, tries: 0, told: Time(0) };
        }
        if ctx.now.since(row.told) < AGAIN && row.told != Time(0) {
            return;
        }
        let (ms, tries) = (ctx.now.since(row.since).as_ms(), row.tries);
        let rule = &s.config.placement.stage;
        let most = Allowance { ms: stage.ms + rule.ms, tries: rule.tries * stage.steps.len() as u64 };
        let mut open = 0;
        for step in &stage.steps {
            match self.run_step(p, step, s, ctx) {
                StepState::Done => {}
                StepState::Open => open += 1,
                StepState::Lost(why) => {
                    return self.close(p, PlanState::Stopped, &why, (ms, tries, most), ctx);
                }
            }
        }
        if open == 0 {
            return self.close(p, PlanState::Running, "kept", (ms, tries, most), ctx);
        }
        if ms > most.ms || tries > most.tries {
            let why = format!(
                "{open} step(s) left when the allowance was spent; what runs is untouched, propose again or raise placement.stage"
            );
            self.close(p, PlanState::Stopped, &why, (ms, tries, most), ctx);
        }
    }

    fn run_step(
        &mut self,
        p: &PlacementPlan,
        step: &PlanStep,
        s: &DutySlice,
        ctx: &mut Context,
    ) -> StepState {
        match step {
            PlanStep::Load { runner, name } => {
                let Some(r) = self.heard(runner, ctx.now) else { return self.absent(runner, s) };
                if r.has(name) {
                    return StepState::Done;
                }
                if self.fits_at(runner, name, s, ctx.now) && self.order(runner, name, true, ctx) {
                    self.tried(p);
                }
                StepState::Open
            }
            PlanStep::Unload { runner, name } => {
                let Some(r) = self.heard(runner, ctx.now) else { return self.absent(runner, s) };
                if !r.has(name) {
                    return StepState::Done;
                }
                if r.runs_of(name) > 0 {
                    return StepState::Lost(format!("streams of {name} began on {runner}; it keeps them"));
                }
                if self.order(runner, name, false, ctx) {
                    self.tried(p);
                }
                StepState::Open
            }
            PlanStep::Move { id, service, model, from, to, want } => {
                if let Some(m) = s.moves.iter().find(|m| m.id == *id) {
                    return match m.phase {
                        Phase::Done => StepState::Done,
                        Phase::Stopped => StepState::Lost(format!("{step}: {}", m.why)),
                        _ => StepState::Open,
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
                    return StepState::Open;
                }
                let sent = self.sent.get(id).is_some_and(|t| ctx.now.since(*t) < AGAIN);
                if !sent {
                    self.sent.insert(*id, ctx.now);
                    ctx.log_event("move-planned", format!("{id} {} {}>{}", plan.model, plan.from, plan.to));
                    let id = ChangeId::random(ctx.rand);
                    self.tell_head(Change::Move { id, plan }, ctx);
                    self.tried(p);
                }
                StepState::Open
            }
        }
    }

    fn tried(&mut self, p: &PlacementPlan) {
        if let Some(row) = self.rows.get_mut(&p.id) {
            row.tries += 1;
        }
    }

    fn heard(&self, runner: &Name, now: Time) -> Option<RunnerReport> {
        let row = self.reports.get(runner).filter(|r| now.since(r.0) < REPORT)?;
        Some(row.1.clone())
    }

    fn absent(&self, runner: &Name, s: &DutySlice) -> StepState {
        if s.runners.iter().any(|r| r.instance == *runner) {
            return StepState::Open;
        }
        StepState::Lost(format!("{runner} is no longer listed; propose again"))
    }

    fn close(
        &mut self,
        p: &PlacementPlan,
        to: PlanState,
        note: &str,
        (ms, tries, most): (u64, u64, Allowance),
        ctx: &mut Context,
    ) {
        if let Some(row) = self.rows.get_mut(&p.id) {
            row.told = ctx.now;
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
        self.tell_head(change, ctx);
    }
}
