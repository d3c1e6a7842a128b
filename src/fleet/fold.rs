use super::state::*;
use crate::kernel::ids::*;

impl FleetState {
    pub fn fold(&mut self, at: Version, change: &Change) {
        self.at = at;
        match change {
            Change::Propose { id, base, config } => {
                if self.outcome(*id).is_some() || self.trial.as_ref().is_some_and(|t| t.id == *id) {
                    return;
                }
                if *base != self.config_at {
                    let text =
                        format!("base {base} is not the current {}; read it and send again", self.config_at);
                    return self.end(*id, "stale-base", text, vec![]);
                }
                if let Some(old) = &self.trial {
                    let text = format!("change {} is under rehearsal; send again once it has ended", old.id);
                    return self.end(*id, "change-pending", text, vec![]);
                }
                self.trial = Some(Candidate { id: *id, at, config: config.clone() });
                self.touch(Scope::Trial);
            }
            Change::Adopt { id, base, config, stages } => self.adopt(*id, *base, config, stages),
            Change::Settle { id, verdict, stages } => self.settle(*id, verdict, stages),
            Change::Runners { id, list } => {
                if self.outcome(*id).is_some() {
                    return;
                }
                let mut list = list.clone();
                for new in &mut list {
                    let old = self.runners.iter().find(|r| r.instance == new.instance);
                    new.leaving |= old.is_some_and(|r| r.leaving);
                }
                for r in self.runners.iter().chain(&list) {
                    self.touched.insert(Scope::Service(r.service.clone()), at);
                }
                self.runners = list;
                self.touch(Scope::Duty);
                self.end(*id, "ok", "runner list taken".into(), vec![]);
            }
            Change::Leaving { id, instance } => {
                if self.outcome(*id).is_some() {
                    return;
                }
                let Some(r) = self.runners.iter_mut().find(|r| r.instance == *instance) else {
                    return self.end(
                        *id,
                        "unknown-runner",
                        format!("runner {instance} is not listed"),
                        vec![],
                    );
                };
                r.leaving = true;
                let scope = Scope::Service(r.service.clone());
                self.touch(scope);
                self.touch(Scope::Duty);
                self.end(*id, "ok", format!("runner {instance} is leaving"), vec![]);
            }
            Change::Duty { holder } => {
                let term = self.duty.as_ref().map_or(Term(1), |d| d.term.next());
                self.duty = Some(Duty { holder: *holder, term });
                let names: Vec<Name> = self.config.services.iter().map(|s| s.name.clone()).collect();
                for name in names {
                    self.touch(Scope::Service(name));
                }
                self.touch(Scope::Duty);
            }
            Change::Move { id, plan } => {
                if self.outcome(*id).is_some() || self.moves.iter().any(|m| m.id == plan.id) {
                    return;
                }
                let busy = self.live_moves().find(|m| m.clashes(plan));
                if let Some(m) = busy {
                    let text = format!("move {} holds one of the two runners; wait for its end", m.id);
                    return self.end(*id, "move-pending", text, vec![]);
                }
                self.moves.push(plan.clone());
                if self.moves.len() > MOVES {
                    let old = self.moves.iter().position(|m| !m.live()).unwrap_or(0);
                    self.moves.remove(old);
                }
                self.touch(Scope::Service(plan.service.clone()));
                self.touch(Scope::Duty);
                self.end(*id, "ok", format!("move {} is planned", plan.id), vec![]);
            }
            Change::Plan { term, plan, asked } => self.fold_plan(*term, plan, *asked),
            Change::PlanAsk { id } => self.fold_ask(*id),
            Change::Accept { id, at } => self.fold_accept(*id, *at),
            Change::PlanStage { id, term, state, figure } => self.fold_stage(*id, *term, *state, figure),
            Change::Step { id, term, phase, why, stage } => {
                if self.duty.as_ref().is_some_and(|d| d.term != *term) {
                    return;
                }
                let Some(m) = self.moves.iter_mut().find(|m| m.id == *id && m.live()) else { return };
                m.phase = *phase;
                m.why = why.clone();
                m.stages.extend(stage.clone());
                let scope = Scope::Service(m.service.clone());
                self.touch(scope);
                self.touch(Scope::Duty);
            }
        }
    }

    fn settle(&mut self, id: ChangeId, verdict: &Verdict, stages: &[StageFigure]) {
        if self.trial.as_ref().is_none_or(|t| t.id != id) {
            return;
        }
        let Some(t) = self.trial.take() else { return };
        self.touch(Scope::Trial);
        let Verdict::Commit = verdict else {
            let Verdict::Refuse(why) = verdict else { return };
            return self.end(id, "rehearsal-failed", why.clone(), stages.to_vec());
        };
        self.take_config(*t.config);
        self.end(id, "ok", format!("configuration {} is in force", self.at), stages.to_vec());
    }

    fn take_config(&mut self, new: super::FleetConfig) {
        let old = std::mem::replace(&mut self.config, new);
        self.config_at = self.at;
        let all: Vec<Name> =
            old.services.iter().chain(&self.config.services).map(|s| s.name.clone()).collect();
        for name in all {
            self.touch(Scope::Service(name));
        }
        self.drop_plans();
        self.touch(Scope::Routes);
        self.touch(Scope::Duty);
    }

    fn adopt(&mut self, id: ChangeId, base: u64, config: &super::FleetConfig, stages: &[StageFigure]) {
        if self.outcome(id).is_some() {
            return;
        }
        let now = self.config.revision;
        if base != now || config.revision <= now {
            let text = format!("revision {} builds on {base}; the current one is {now}", config.revision);
            return self.end(id, "stale-base", text, vec![]);
        }
        self.take_config(config.clone());
        self.end(id, "ok", format!("configuration {} is in force", config.revision), stages.to_vec());
    }

    pub fn touch(&mut self, scope: Scope) {
        self.touched.insert(scope, self.at);
    }

    pub fn end(&mut self, id: ChangeId, code: &str, text: String, stages: Vec<StageFigure>) {
        self.outcomes.push(Outcome { id, at: self.at, code: code.into(), text, stages });
        if self.outcomes.len() > OUTCOMES {
            self.outcomes.remove(0);
        }
    }
}
