use super::state::StageFigure;
use crate::json::tree::{Tree, map};
use crate::kernel::ids::*;
use bitcode::{Decode, Encode};
use std::fmt;

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum PlanStep {
    Load { runner: Name, name: Name },
    Unload { runner: Name, name: Name },
    Move { id: MoveId, service: Name, model: Name, from: Name, to: Name, want: Name },
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct PlanStage {
    pub name: String,
    pub steps: Vec<PlanStep>,
    pub ms: u64,
    pub loads: u64,
    pub tries: u64,
    pub spent: Option<StageFigure>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Encode, Decode)]
pub enum PlanState {
    Proposed,
    Running,
    Done,
    Stopped,
    Superseded,
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct PlacementPlan {
    pub id: PlanId,
    pub at: Version,
    pub config_version: Version,
    pub why: String,
    pub state: PlanState,
    pub stage: u64,
    pub stages: Vec<PlanStage>,
    pub holds: Vec<(Name, Vec<Name>)>,
    pub unplaced: Vec<Name>,
    pub rehearsal: String,
}

impl PlanStep {
    pub fn runners(&self) -> Vec<&Name> {
        match self {
            PlanStep::Load { runner, .. } | PlanStep::Unload { runner, .. } => vec![runner],
            PlanStep::Move { from, to, .. } => vec![from, to],
        }
    }

    /// What is held at the end of the step that was not before.
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
    pub fn is_running(&self) -> bool {
        self.state == PlanState::Running
    }

    pub fn current_stage(&self) -> Option<&PlanStage> {
        if self.is_running() { self.stages.get(self.stage as usize) } else { None }
    }

    pub fn steps(&self) -> impl Iterator<Item = &PlanStep> {
        self.stages.iter().flat_map(|s| &s.steps)
    }

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
