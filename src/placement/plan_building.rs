//! Builds placement plans: small ones for one wanted name, and plans for all names.

use super::estimates::Remedy;
use super::free_room::{free_mb, idle_names};
use super::layout::{Layout, RunnerRoom};
use super::pending_orders::is_adapter;
use super::plan_input::PlanInput;
use crate::fleet::plan::{PlacementPlan, PlanStep};
use crate::kernel::ids::*;
use std::cell::Cell;
use std::collections::BTreeMap;

/// A plan that applies one remedy for a wanted name; `ms` is its estimated duration.
pub fn single_name_plan(
    input: &PlanInput,
    id: PlanId,
    want: &Name,
    way: &Remedy,
    service: &Name,
    ms: u64,
) -> PlacementPlan {
    let why = format!("{want} is wanted; startup is estimated at {ms}ms");
    let load = |runner: &Name| {
        input.build_stage("load", vec![PlanStep::Load { runner: runner.clone(), name: want.clone() }])
    };
    let stages = match way {
        Remedy::Load { runner } => vec![load(runner)],
        Remedy::Unload { runner, .. } => {
            let steps = unloads_for(input, runner, want);
            vec![input.build_stage("make room", steps), load(runner)]
        }
        Remedy::Move { from, to, model } => {
            let (id, service) = (MoveId(id.0), service.clone());
            let (model, from, to) = (model.clone(), from.clone(), to.clone());
            vec![input.build_stage(
                "move",
                vec![PlanStep::Move { id, service, model, from, to, want: want.clone() }],
            )]
        }
    };
    input.build_plan(id, why, stages)
}

/// The unloads that make a wanted name fit at a runner.
fn unloads_for(input: &PlanInput, runner: &Name, want: &Name) -> Vec<PlanStep> {
    let Some(runner_state) =
        input.runners.iter().find(|runner_state| runner_state.runner.instance == *runner)
    else {
        return vec![];
    };
    let wanted = |n: &Name| input.demand_of(n) > 0;
    let base = input.config.adapter(want).map(|a| a.model.clone());
    let mut idle = idle_names(input.config, runner_state, &wanted);
    idle.retain(|n| Some(n) != base.as_ref() && !input.pending.contains(runner, n));
    let is_adapter_wanted = is_adapter(input.config, want);
    idle.sort_by_key(|n| {
        (is_adapter(input.config, n) != is_adapter_wanted, std::cmp::Reverse(input.config.weight(n)))
    });
    let (mut free, need) =
        (free_mb(input.config, runner_state, input.pending), input.config.weight(want).unwrap_or(0));
    let mut has_place =
        !is_adapter_wanted || super::free_room::adapters_free(input.config, runner_state, input.pending) > 0;
    let mut steps = Vec::new();
    for name in idle {
        if free >= need && has_place {
            break;
        }
        free += input.config.min_mb(&name).unwrap_or(0);
        has_place |= is_adapter(input.config, &name);
        steps.push(PlanStep::Unload { runner: runner.clone(), name });
    }
    steps
}

/// A plan for all names with up to `most` loads. The number of evaluated runners is added to `weighed`.
pub fn full_plan(
    input: &PlanInput,
    id: PlanId,
    why: &str,
    most: usize,
    weighed: &Cell<u64>,
) -> PlacementPlan {
    let mut layout = Layout::of(input);
    let evacuate = evacuation_moves(input, &mut layout, id);
    let mut unplaced = Vec::new();
    for service in &input.config.services {
        let mut names: Vec<&Name> = service.models.iter().collect();
        names.sort_by_key(|round| {
            (std::cmp::Reverse(input.demand_of(round)), std::cmp::Reverse(input.config.weight(round)), *round)
        });
        for name in names.into_iter().chain(&service.adapters) {
            if !layout.place(&service.name, name, input.config) {
                unplaced.push(name.clone());
            }
        }
    }
    weighed.set(weighed.get() + layout.evaluated());
    let rooms = layout.rooms();
    let unloads = rooms.iter().flat_map(|room| runner_steps(room, &room.unload, false)).collect::<Vec<_>>();
    let mut stages = Vec::new();
    if !evacuate.is_empty() {
        stages.push(input.build_stage("make way", evacuate));
    }
    if !unloads.is_empty() {
        stages.push(input.build_stage("make room", unloads));
    }
    let mut left = most;
    for round in 0.. {
        let nth = |room: &RunnerRoom| {
            Some(runner_steps(room, std::slice::from_ref(room.load.get(round)?), true).remove(0))
        };
        let row: Vec<PlanStep> = rooms.iter().filter_map(nth).take(left).collect();
        if row.is_empty() {
            break;
        }
        left -= row.len();
        stages.push(input.build_stage(&format!("load {}", round + 1), row));
    }
    let mut plan = input.build_plan(id, why.to_string(), stages);
    plan.unplaced = unplaced;
    plan
}

/// The steps that load or unload these names at a runner.
fn runner_steps(room: &RunnerRoom, names: &[Name], load: bool) -> Vec<PlanStep> {
    let one = |name: &Name| {
        let (runner, name) = (room.runner.clone(), name.clone());
        if load { PlanStep::Load { runner, name } } else { PlanStep::Unload { runner, name } }
    };
    names.iter().map(one).collect()
}

/// Moves of the running streams of leaving runners to others of their service.
fn evacuation_moves(input: &PlanInput, layout: &mut Layout, id: PlanId) -> Vec<PlanStep> {
    let mut out = Vec::new();
    let mut taken: BTreeMap<&Name, u64> = BTreeMap::new();
    for leaving in input
        .runners
        .iter()
        .filter(|leaving| leaving.runner.leaving && !input.busy_runners.contains(&leaving.runner.instance))
    {
        for (model, runs) in &leaving.report.runs {
            let free = |t: &&super::pending_orders::RunnerState| {
                let used = taken.get(&t.runner.instance).copied().unwrap_or(0);
                t.report.slots.saturating_sub(t.report.running + used) > 0
                    && !input.busy_runners.contains(&t.runner.instance)
            };
            let mates = || {
                input
                    .runners
                    .iter()
                    .filter(|t| !t.runner.leaving && t.runner.service == leaving.runner.service)
            };
            let held = mates().filter(free).filter(|t| t.report.has(model)).min_by_key(|t| t.report.running);
            let mb = input.config.weight(model).unwrap_or(u64::MAX);
            let roomy = |t: &&super::pending_orders::RunnerState| layout.has_free(&t.runner.instance, mb);
            let Some(to) =
                held.or_else(|| mates().filter(free).filter(roomy).min_by_key(|t| t.report.running))
            else {
                continue;
            };
            *taken.entry(&to.runner.instance).or_default() += runs;
            if !to.report.has(model) {
                layout.reserve(&to.runner.instance, model, mb);
            }
            out.push(PlanStep::Move {
                id: MoveId(id.0 ^ (out.len() as u64 + 1)),
                service: leaving.runner.service.clone(),
                model: model.clone(),
                from: leaving.runner.instance.clone(),
                to: to.runner.instance.clone(),
                want: Name::default(),
            });
        }
    }
    out
}
