//! Applies committed changes of placement plans.

use super::plan::{PlacementPlan, PlanState};
use super::state::*;
use crate::kernel::ids::*;

/// How many plans are kept.
pub const MAX_PLANS: usize = 48;

impl FleetState {
    /// Adds a plan, unless it is known or was made under an old term or configuration. A new proposal
    /// supersedes the one before it.
    pub fn fold_plan(&mut self, term: Term, plan: &PlacementPlan, asked: Option<ChangeId>) {
        let known = self.plans.iter().any(|p| p.id == plan.id);
        let old = self.duty.as_ref().is_some_and(|d| d.term != term);
        if known || old || plan.config_version != self.config_version {
            return;
        }
        let mut plan = plan.clone();
        plan.at = self.at;
        if plan.state == PlanState::Proposed {
            for p in self.plans.iter_mut().filter(|p| p.state == PlanState::Proposed) {
                p.state = PlanState::Superseded;
            }
        }
        let text = match plan.state {
            PlanState::Stopped => format!("no plan can be kept: {}", plan.rehearsal),
            _ => format!("plan {} is {}; see it with: spindledock plan", plan.at, plan.state),
        };
        self.plans.push(plan);
        while self.plans.len() > MAX_PLANS {
            let ended = |p: &PlacementPlan| !p.is_running() && p.state != PlanState::Proposed;
            let old = self.plans.iter().position(ended).unwrap_or(0);
            self.plans.remove(old);
        }
        self.touch(Scope::Duty);
        if let Some(id) = asked {
            self.plan_ask = None;
            self.end(id, OutcomeCode::Ok, text, vec![]);
        }
    }

    /// Notes that an operator asks for a plan; the question before it ends as superseded.
    pub fn fold_ask(&mut self, id: ChangeId) {
        if self.decision(id).is_some() || self.plan_ask == Some(id) {
            return;
        }
        if let Some(old) = self.plan_ask.replace(id) {
            self.end(old, OutcomeCode::Superseded, format!("proposal {id} was asked for after it"), vec![]);
        }
        self.touch(Scope::Duty);
    }

    /// Starts the proposed plan, if the operator names its version and it fits the configuration in force.
    pub fn fold_accept(&mut self, id: ChangeId, at: Version) {
        if self.decision(id).is_some() {
            return;
        }
        let open = self.plans.iter().find(|p| p.state == PlanState::Proposed).map(|p| p.at);
        let current = open.map_or("none is proposed".into(), |v| format!("the current one is {v}"));
        let config_version = self.config_version;
        let found = self.plans.iter_mut().find(|p| p.at == at);
        let text = match found {
            None => format!("no plan has version {at}; {current}"),
            Some(p) if p.state != PlanState::Proposed => format!("plan {at} is {}; {current}", p.state),
            Some(p) if p.config_version != config_version => {
                p.state = PlanState::Superseded;
                format!("plan {at} was made for another configuration; propose again")
            }
            Some(p) => {
                p.state = PlanState::Running;
                self.touch(Scope::Duty);
                return self.end(id, OutcomeCode::Ok, format!("plan {at} is accepted"), vec![]);
            }
        };
        self.end(id, OutcomeCode::StalePlan, text, vec![]);
    }

    /// Ends the current stage of a running plan.
    pub fn fold_stage(&mut self, id: PlanId, term: Term, to: PlanState, figure: &StageFigure) {
        if self.duty.as_ref().is_some_and(|d| d.term != term) {
            return;
        }
        let Some(p) = self.plans.iter_mut().find(|p| p.id == id && p.is_running()) else { return };
        let n = p.stage as usize;
        if let Some(s) = p.stages.get_mut(n) {
            s.spent = Some(figure.clone());
        }
        p.stage += 1;
        p.state = to;
        if p.stage as usize >= p.stages.len() && to == PlanState::Running {
            p.state = PlanState::Done;
        }
        self.touch(Scope::Duty);
    }

    /// Supersedes all plans that run or are proposed, because they were made for another configuration.
    pub fn drop_plans(&mut self) {
        for p in &mut self.plans {
            if matches!(p.state, PlanState::Running | PlanState::Proposed) {
                p.state = PlanState::Superseded;
            }
        }
    }
}
