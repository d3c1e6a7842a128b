use super::component::Placement;
use crate::fleet::config::Allowance;
use crate::fleet::slice::DutySlice;
use crate::fleet::state::*;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::Span;
use crate::membership::service::QUIET_AFTER;
use crate::msg::Role;
use crate::rollout::router_reports::report_freshness;

const RUN_INTERVAL: Span = Span::ms(100);
/// The shortest time between two searches for new plans: this long for each runner.
const PROPOSAL_INTERVAL_PER_RUNNER: Span = Span::ms(2);
const RESEND_DELAY: Span = Span::ms(600);

struct StageUsage {
    ms: u64,
    tries: u64,
    allowed: Allowance,
}

impl Placement {
    pub fn run_plans_and_moves(&mut self, ctx: &mut Context) {
        if ctx.now.since(self.plans_run_at) < RUN_INTERVAL {
            return;
        }
        self.plans_run_at = ctx.now;
        let Some(s) = self.slice.clone() else { return };
        self.record_begun(&s, ctx);
        self.move_progress.retain(|id, _| s.moves.iter().any(|m| m.id == *id));
        for m in s.moves.iter().filter(|m| m.is_active()) {
            self.run_move(m, &s, ctx);
        }
        self.run_plans(&s, ctx);
        self.unload_withdrawn(&s, ctx);
        let gap = Span(PROPOSAL_INTERVAL_PER_RUNNER.0 * self.reports.len() as u64);
        if ctx.now.since(self.search.last_proposal_at) >= gap {
            self.search.last_proposal_at = ctx.now;
            self.propose_plans(&s, ctx);
        }
    }

    fn change_phase(&mut self, m: &MovePlan, phase: Phase, why: &str, spent: &StageUsage, ctx: &mut Context) {
        if self.move_sent_at.get(&m.id).is_some_and(|t| ctx.now.since(*t) < RESEND_DELAY) {
            return;
        }
        self.move_sent_at.insert(m.id, ctx.now);
        let note = why.to_string();
        let figure = StageFigure {
            name: m.phase.to_string(),
            ms: spent.ms,
            ms_allowed: spent.allowed.ms,
            tries: spent.tries,
            tries_allowed: spent.allowed.tries,
            note: note.clone(),
        };
        ctx.log_event("move-stage", format!("{} {} to {phase} after {}ms {note}", m.id, m.phase, spent.ms));
        let change = Change::Step { id: m.id, term: self.term, phase, why: note, stage: Some(figure) };
        self.submit_change(change, ctx);
    }

    fn run_move(&mut self, m: &MovePlan, s: &DutySlice, ctx: &mut Context) {
        let row = self.move_progress.entry(m.id).or_insert((m.phase, ctx.now, 0));
        if row.0 != m.phase {
            *row = (m.phase, ctx.now, 0);
        }
        let (ms, orders) = (ctx.now.since(row.1).as_ms(), row.2);
        let rule = &s.config.moving;
        let a = match m.phase {
            Phase::Load | Phase::Want => &rule.load,
            Phase::Warm => &rule.warm,
            _ => &rule.unload,
        };
        let (streams, warmed, postponed) = self.router_progress(m.id, ctx);
        let tries = if m.phase == Phase::Warm { warmed } else { orders };
        let spent = StageUsage { ms, tries, allowed: a.clone() };
        let known = |n: &Name| s.runners.iter().any(|r| r.instance == *n && !r.leaving);
        if m.phase != Phase::Want && m.phase != Phase::Unload && !known(&m.to) {
            return self.change_phase(m, Phase::Stopped, "the destination left", &spent, ctx);
        }
        if !s.runners.iter().any(|r| r.instance == m.from) {
            return self.change_phase(m, Phase::Stopped, "the source is gone", &spent, ctx);
        }
        if ms > a.ms || tries > a.tries {
            let why =
                format!("the stage overran its allowance; streams left {streams:?}, postponed {postponed}");
            return self.change_phase(m, Phase::Stopped, &why, &spent, ctx);
        }
        let report = |n: &Name| {
            self.reports.get(n).filter(|r| ctx.now.since(r.0) < super::component::REPORT_FRESHNESS)
        };
        let (from, to) = (report(&m.from).map(|r| r.1.clone()), report(&m.to).map(|r| r.1.clone()));
        match m.phase {
            Phase::Load => {
                if to.is_some_and(|r| r.has(&m.model)) {
                    return self.change_phase(m, Phase::Warm, "the destination holds the model", &spent, ctx);
                }
                self.order_for_move(m, &m.to, &m.model, true, ctx);
            }
            Phase::Warm => {
                let idle = from.is_some_and(|r| r.runs_of(&m.model) == 0);
                if idle && streams == Some(0) {
                    let why = format!("no stream is left; postponed {postponed}");
                    self.change_phase(m, Phase::Unload, &why, &spent, ctx);
                }
            }
            Phase::Unload => {
                if m.want.0.is_empty() {
                    return self.change_phase(m, Phase::Done, "nothing else is wanted there", &spent, ctx);
                }
                match from {
                    Some(r) if !r.has(&m.model) => self.change_phase(m, Phase::Want, "unloaded", &spent, ctx),
                    Some(r) if r.runs_of(&m.model) == 0 => {
                        self.order_for_move(m, &m.from, &m.model, false, ctx)
                    }
                    _ => {}
                }
            }
            Phase::Want => {
                if from.is_some_and(|r| r.has(&m.want)) {
                    return self.change_phase(m, Phase::Done, "the wanted model is held", &spent, ctx);
                }
                self.order_for_move(m, &m.from, &m.want, true, ctx);
            }
            Phase::Done | Phase::Stopped => {}
        }
    }

    fn order_for_move(&mut self, m: &MovePlan, runner: &Name, name: &Name, load: bool, ctx: &mut Context) {
        let Some(s) = &self.slice else { return };
        if load && !self.fits_at(runner, name, s, ctx.now) {
            return;
        }
        if self.try_order(runner, name, load, ctx)
            && let Some(row) = self.move_progress.get_mut(&m.id)
        {
            row.2 += 1;
        }
    }

    fn router_progress(&self, id: MoveId, ctx: &Context) -> (Option<u64>, u64, u64) {
        let live = ctx.views.members.iter().filter(|r| r.who.role == Role::Router && r.silence < QUIET_AFTER);
        let freshness = report_freshness(self.router_reports.len());
        let (mut left, mut tries, mut postponed) = (Some(0), 0, 0);
        for r in live {
            let tell = self.router_reports.get(&r.who.node).filter(|t| ctx.now.since(t.0) < freshness);
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
