//! Applies committed changes to the state. Every member applies the same changes in the same order, so
//! whatever is decided here is final and known to all of them.

use super::former::remembered;
use super::ledger::{RefusedChange, TakenChange};
use super::state::*;
use crate::kernel::ids::*;
use std::collections::BTreeSet;

impl FleetState {
    /// Applies the change that was committed as version `at`.
    pub fn fold(&mut self, at: Version, change: &Change) {
        self.at = at;
        match change {
            Change::Propose { id, base, config } => self.propose(*id, *base, config),
            Change::Adopt { id, base, config, stages } => self.adopt(*id, *base, config, stages),
            Change::Refuse { id, base, last_revision, code, text } => {
                self.refuse(*id, *base, *last_revision, *code, text)
            }
            Change::Settle { id, verdict, stages } => self.settle(*id, verdict, stages),
            Change::Runners { id, list } => self.take_runners(*id, list),
            Change::Leaving { id, instance } => self.mark_leaving(*id, instance),
            Change::Duty { holder } => self.give_duty(*holder),
            Change::DutyBegun { term } => self.begin_duty(*term),
            Change::Move { id, plan } => self.take_move(*id, plan),
            Change::Plan { term, plan, asked } => self.fold_plan(*term, plan, *asked),
            Change::PlanAsk { id } => self.fold_ask(*id),
            Change::Accept { id, at } => self.fold_accept(*id, *at),
            Change::PlanStage { id, term, state, figure } => self.fold_stage(*id, *term, *state, figure),
            Change::Step { id, term, phase, why, stage } => self.step(*id, *term, *phase, why, stage),
        }
    }

    fn propose(&mut self, id: ChangeId, base: Version, config: &super::FleetConfig) {
        if self.decision(id).is_some() || self.candidate.as_ref().is_some_and(|t| t.id == id) {
            return;
        }
        if base != self.config_version {
            let text =
                format!("base {base} is not the current {}; read it and send again", self.config_version);
            return self.end(id, OutcomeCode::StaleBase, text, vec![]);
        }
        if let Some(old) = &self.candidate {
            let text = format!("change {} is under rehearsal; send again once it has ended", old.id);
            return self.end(id, OutcomeCode::ChangePending, text, vec![]);
        }
        self.candidate = Some(Candidate { id, at: self.at, config: Box::new(config.clone()) });
        self.touch(Scope::Candidate);
    }

    fn settle(&mut self, id: ChangeId, verdict: &Verdict, stages: &[StageFigure]) {
        if self.candidate.as_ref().is_none_or(|t| t.id != id) {
            return;
        }
        let Some(t) = self.candidate.take() else { return };
        self.touch(Scope::Candidate);
        let Verdict::Commit = verdict else {
            let Verdict::Refuse(why) = verdict else { return };
            return self.end(id, OutcomeCode::RehearsalFailed, why.clone(), stages.to_vec());
        };
        self.take_config(*t.config);
        self.end(id, OutcomeCode::Ok, format!("configuration {} is in force", self.at), stages.to_vec());
    }

    fn take_config(&mut self, mut new: super::FleetConfig) {
        new.former = remembered(&self.config, &new);
        let old = std::mem::replace(&mut self.config, new);
        self.config_version = self.at;
        let all: Vec<Name> =
            old.services.iter().chain(&self.config.services).map(|s| s.name.clone()).collect();
        for name in all {
            self.touch(Scope::Service(name));
        }
        self.forget_withdrawn_services();
        self.drop_plans();
        self.touch(Scope::Routes);
        self.touch(Scope::Duty);
    }

    /// Forgets when services changed that are no longer configured, except the last `MAX_WITHDRAWN_SERVICES`.
    fn forget_withdrawn_services(&mut self) {
        let configured: BTreeSet<&Name> = self.config.services.iter().map(|s| &s.name).collect();
        let withdrawn_at = |(scope, at): (&Scope, &Version)| match scope {
            Scope::Service(name) if !configured.contains(name) => Some((*at, scope.clone())),
            _ => None,
        };
        let mut withdrawn: Vec<(Version, Scope)> = self.touched.iter().filter_map(withdrawn_at).collect();
        withdrawn.sort();
        let surplus = withdrawn.len().saturating_sub(MAX_WITHDRAWN_SERVICES);
        for (_, scope) in &withdrawn[..surplus] {
            self.touched.remove(scope);
        }
    }

    fn adopt(&mut self, id: ChangeId, base: u64, config: &super::FleetConfig, stages: &[StageFigure]) {
        if self.decision(id).is_some() {
            return;
        }
        let now = self.config.revision;
        if base != now || config.revision <= now {
            let text = format!("revision {} builds on {base}; the current one is {now}", config.revision);
            let last_revision = config.revision.saturating_sub(1);
            return self.end_refused(id, OutcomeCode::StaleBase, text, last_revision);
        }
        self.take_config(config.clone());
        let text = format!("configuration {} is in force", config.revision);
        self.end(id, OutcomeCode::Ok, text, stages.to_vec());
    }

    /// Makes a refusal final, unless the change was taken before it or its base has come into force
    /// meanwhile.
    fn refuse(&mut self, id: ChangeId, base: Option<u64>, last_revision: u64, code: OutcomeCode, text: &str) {
        let base_came = base == Some(self.config.revision);
        if self.decision(id).is_some() || base_came {
            return;
        }
        self.end_refused(id, code, text.to_string(), last_revision);
    }

    fn take_runners(&mut self, id: ChangeId, list: &[super::runner::Runner]) {
        if self.decision(id).is_some() {
            return;
        }
        let mut list = list.to_vec();
        for new in &mut list {
            let old = self.runners.iter().find(|r| r.instance == new.instance);
            new.leaving |= old.is_some_and(|r| r.leaving);
        }
        for r in self.runners.iter().chain(&list) {
            self.touched.insert(Scope::Service(r.service.clone()), self.at);
        }
        self.runners = list;
        self.forget_withdrawn_services();
        self.touch(Scope::Duty);
        self.end(id, OutcomeCode::Ok, "runner list taken".into(), vec![]);
    }

    fn mark_leaving(&mut self, id: ChangeId, instance: &Name) {
        if self.decision(id).is_some() {
            return;
        }
        let Some(runner) = self.runners.iter_mut().find(|r| r.instance == *instance) else {
            let text = format!("runner {instance} is not listed");
            return self.end(id, OutcomeCode::UnknownRunner, text, vec![]);
        };
        runner.leaving = true;
        let scope = Scope::Service(runner.service.clone());
        self.touch(scope);
        self.touch(Scope::Duty);
        self.end(id, OutcomeCode::Ok, format!("runner {instance} is leaving"), vec![]);
    }

    fn begin_duty(&mut self, term: Term) {
        if let Some(duty) = self.duty.as_mut().filter(|duty| duty.term == term && !duty.begun) {
            duty.begun = true;
            self.touch(Scope::Duty);
        }
    }

    fn give_duty(&mut self, holder: NodeId) {
        let term = self.duty.as_ref().map_or(Term(1), |d| d.term.next());
        self.duty = Some(Duty { holder, term, begun: false });
        let names: Vec<Name> = self.config.services.iter().map(|s| s.name.clone()).collect();
        for name in names {
            self.touch(Scope::Service(name));
        }
        self.touch(Scope::Duty);
    }

    fn take_move(&mut self, id: ChangeId, plan: &MovePlan) {
        if self.decision(id).is_some() || self.moves.iter().any(|m| m.id == plan.id) {
            return;
        }
        let busy = self.active_moves().find(|m| m.conflicts_with(plan));
        if let Some(m) = busy {
            let text = format!("move {} holds one of the two runners; wait for its end", m.id);
            return self.end(id, OutcomeCode::MovePending, text, vec![]);
        }
        self.moves.push(plan.clone());
        if self.moves.len() > MAX_MOVES {
            let old = self.moves.iter().position(|m| !m.is_active()).unwrap_or(0);
            self.moves.remove(old);
        }
        self.touch(Scope::Service(plan.service.clone()));
        self.touch(Scope::Duty);
        self.end(id, OutcomeCode::Ok, format!("move {} is planned", plan.id), vec![]);
    }

    fn step(&mut self, id: MoveId, term: Term, phase: Phase, why: &str, stage: &Option<StageFigure>) {
        if self.duty.as_ref().is_some_and(|d| d.term != term) {
            return;
        }
        let Some(m) = self.moves.iter_mut().find(|m| m.id == id && m.is_active()) else { return };
        m.phase = phase;
        m.why = why.to_string();
        m.stages.extend(stage.clone());
        let scope = Scope::Service(m.service.clone());
        self.touch(scope);
        self.touch(Scope::Duty);
    }

    /// Notes that the scope changed at this version.
    pub fn touch(&mut self, scope: Scope) {
        self.touched.insert(scope, self.at);
    }

    /// Records the outcome of a change. A change that is refused here is never taken later.
    pub fn end(&mut self, id: ChangeId, code: OutcomeCode, text: String, stages: Vec<StageFigure>) {
        match code {
            OutcomeCode::Ok => {
                self.ledger.record_taken(TakenChange { id, at: self.at, revision: self.config.revision })
            }
            _ => self.ledger.record_refused(RefusedChange { id, last_revision: u64::MAX }),
        }
        self.keep_outcome(id, code, text, stages);
    }

    /// Records the refusal of a change that could not be taken anyway once the revision in force is above
    /// `last_revision`.
    fn end_refused(&mut self, id: ChangeId, code: OutcomeCode, text: String, last_revision: u64) {
        self.ledger.record_refused(RefusedChange { id, last_revision });
        self.keep_outcome(id, code, text, vec![]);
    }

    /// Keeps an outcome for later questions. Operators' changes and the fleet's own are kept apart, so that
    /// neither displaces the other.
    fn keep_outcome(&mut self, id: ChangeId, code: OutcomeCode, mut text: String, stages: Vec<StageFigure>) {
        text.truncate(text.floor_char_boundary(MAX_OUTCOME_TEXT_BYTES));
        let (rows, most) = match id.is_operators() {
            true => (&mut self.outcomes, MAX_OUTCOMES),
            false => (&mut self.internal_outcomes, MAX_INTERNAL_OUTCOMES),
        };
        rows.push(Outcome { id, at: self.at, code, text, stages });
        if rows.len() > most {
            rows.remove(0);
        }
    }
}
