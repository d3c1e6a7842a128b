use super::runner_choice::Choice;
use crate::fleet::plan::*;
use crate::kernel::ids::*;

/// A small plan for one wanted name, as data.
pub fn decision_plan(
    id: PlanId,
    config_version: Version,
    want: &Name,
    choice: &Choice,
    why: &str,
) -> PlacementPlan {
    let runner = &choice.runner;
    let unloads = choice.unloads.iter().map(|n| PlanStep::Unload { runner: runner.clone(), name: n.clone() });
    let load = PlanStep::Load { runner: runner.clone(), name: want.clone() };
    let stage = |name: &str, steps: Vec<PlanStep>, ms, loads| PlanStage {
        name: name.into(),
        steps,
        ms,
        loads,
        tries: 0,
        spent: None,
    };
    let mut stages = vec![
        stage("make room", unloads.collect(), 100, 0),
        stage("load", vec![load], choice.estimated_ms, 1),
    ];
    stages.retain(|s| !s.steps.is_empty());
    PlacementPlan {
        id,
        at: Version(0),
        config_version,
        why: format!("{want} {why}; startup is estimated at {}ms", choice.estimated_ms),
        state: PlanState::Running,
        stage: 0,
        stages,
        holds: vec![],
        unplaced: vec![],
        rehearsal: String::new(),
    }
}
