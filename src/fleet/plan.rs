//! Placement plans: loads, unloads and moves in stages, as the replicated state keeps them.

use super::state::StageFigure;
use crate::json::tree::{Tree, map};
use crate::kernel::ids::*;
use bitcode::{Decode, Encode};
use std::fmt;

/// One step of a plan.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum PlanStep {
    /// A runner loads a model or adapter.
    Load { runner: Name, name: Name },
    /// A runner unloads a model or adapter.
    Unload { runner: Name, name: Name },
    /// A model moves between two runners, and `from` loads `want` afterwards; see [`super::state::MovePlan`].
    Move { id: MoveId, service: Name, model: Name, from: Name, to: Name, want: Name },
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct PlanStage {
    /// Its name.
    pub name: String,
    /// The steps.
    pub steps: Vec<PlanStep>,
    /// The estimated time.
    pub ms: u64,
    /// The loads from the weight store.
    pub loads: u64,
    /// The estimated handovers.
    pub tries: u64,
    /// What it took, once it has ended.
    pub spent: Option<StageFigure>,
}

/// The state of a plan.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Encode, Decode)]
pub enum PlanState {
    /// It waits for an operator's acceptance.
    Proposed,
    /// Its stages are carried out.
    Running,
    /// All stages have ended.
    Done,
    /// It was given up.
    Stopped,
    /// A later plan or configuration replaced it.
    Superseded,
}

/// A placement plan.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct PlacementPlan {
    /// Its id.
    pub id: PlanId,
    /// The version at which it was added; operators accept it by this version.
    pub at: Version,
    /// The version of the configuration that it was made for.
    pub config_version: Version,
    /// Why it was made.
    pub why: String,
    /// Its state.
    pub state: PlanState,
    /// The index of the current stage.
    pub stage: u64,
    /// The stages, in order.
    pub stages: Vec<PlanStage>,
    /// What each runner holds at the end.
    pub holds: Vec<(Name, Vec<Name>)>,
    /// Models and adapters that no runner has room for.
    pub unplaced: Vec<Name>,
    /// The result of its rehearsal, for operators.
    pub rehearsal: String,
}

impl PlanStep {
    /// The runners that take part in the step.
    pub fn runners(&self) -> Vec<&Name> {
        match self {
            PlanStep::Load { runner, .. } | PlanStep::Unload { runner, .. } => vec![runner],
            PlanStep::Move { from, to, .. } => vec![from, to],
        }
    }

    /// What a runner holds after the step that it did not hold before.
    pub fn wanted(&self) -> Option<&Name> {
        match self {
            PlanStep::Load { name, .. } => Some(name),
            PlanStep::Unload { .. } => None,
            PlanStep::Move { want, .. } => Some(want),
        }
    }
}

impl fmt::Display for PlanStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlanStep::Load { runner, name } => write!(f, "load {name} on {runner}"),
            PlanStep::Unload { runner, name } => write!(f, "unload {name} from {runner}"),
            PlanStep::Move { model, from, to, want, .. } if want.0.is_empty() => {
                write!(f, "move {model} from {from} to {to}")
            }
            PlanStep::Move { model, from, to, want, .. } => {
                write!(f, "move {model} from {from} to {to}, then load {want} on {from}")
            }
        }
    }
}

impl fmt::Display for PlanState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PlanState::Proposed => "proposed",
            PlanState::Running => "running",
            PlanState::Done => "done",
            PlanState::Stopped => "stopped",
            PlanState::Superseded => "superseded",
        })
    }
}

impl PlacementPlan {
    /// Whether its stages are carried out.
    pub fn is_running(&self) -> bool {
        self.state == PlanState::Running
    }

    /// The current stage, if it runs.
    pub fn current_stage(&self) -> Option<&PlanStage> {
        if self.is_running() { self.stages.get(self.stage as usize) } else { None }
    }

    /// The steps of all stages.
    pub fn steps(&self) -> impl Iterator<Item = &PlanStep> {
        self.stages.iter().flat_map(|s| &s.steps)
    }

    /// The plan as operators see it.
    pub fn tree(&self) -> Tree {
        let stage = |s: &PlanStage| {
            let steps: Vec<Tree> = s.steps.iter().map(|x| x.to_string().as_str().into()).collect();
            let spent = s.spent.as_ref().map(|f| super::show::stages(std::slice::from_ref(f)));
            map(&[
                ("stage", s.name.as_str().into()),
                ("steps", steps.into()),
                ("estimated_ms", s.ms.into()),
                ("store_loads", s.loads.into()),
                ("tries", s.tries.into()),
                ("measured", spent.unwrap_or(Tree::Null)),
            ])
        };
        let holds = self.holds.iter().map(|(r, names)| (r.0.clone(), crate::json::tree::names(names)));
        map(&[
            ("version", self.at.to_string().into()),
            ("id", self.id.to_string().into()),
            ("state", self.state.to_string().into()),
            ("configuration", self.config_version.to_string().into()),
            ("why", self.why.as_str().into()),
            ("rehearsal", self.rehearsal.as_str().into()),
            ("at_stage", self.stage.into()),
            ("stages", self.stages.iter().map(stage).collect::<Vec<_>>().into()),
            ("holds", Tree::Map(holds.collect())),
            ("unplaced", crate::json::tree::names(&self.unplaced)),
        ])
    }
}
