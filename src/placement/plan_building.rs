use super::estimates::Remedy;
use super::free_room::{free_mb, idle_names};
use super::layout::{Layout, RunnerRoom};
use super::pending_orders::is_adapter;
use super::plan_input::PlanInput;
use crate::fleet::plan::{PlacementPlan, PlanStep};
use crate::kernel::ids::*;
use std::cell::Cell;
use std::collections::BTreeMap;

pub fn single_name_plan(
    p: &PlanInput,
    id: PlanId,
    want: &Name,
    way: &Remedy,
    service: &Name,
    ms: u64,
) -> PlacementPlan {
    let why = format!("{want} is wanted; startup is estimated at {ms}ms");
    let load = |runner: &Name| {
        p.build_stage("load", vec![PlanStep::Load { runner: runner.clone(), name: want.clone() }])
    };
    let stages = match way {
        Remedy::Load { runner } => vec![load(runner)],
        Remedy::Unload { runner, .. } => {
            let steps = unloads_for(p, runner, want);
            vec![p.build_stage("make room", steps), load(runner)]
        }
        Remedy::Move { from, to, model } => {
            let (id, service) = (MoveId(id.0), service.clone());
            let (model, from, to) = (model.clone(), from.clone(), to.clone());
            vec![p.build_stage(
                "move",
                vec![PlanStep::Move { id, service, model, from, to, want: want.clone() }],
            )]
        }
    };
    p.build_plan(id, why, stages)
}

fn unloads_for(p: &PlanInput, runner: &Name, want: &Name) -> Vec<PlanStep> {
    let Some(o) = p.runners.iter().find(|o| o.runner.instance == *runner) else { return vec![] };
    let wanted = |n: &Name| p.demand_of(n) > 0;
    let base = p.config.adapter(want).map(|a| a.model.clone());
    let mut idle = idle_names(p.config, o, &wanted);
    idle.retain(|n| Some(n) != base.as_ref() && !p.pending.contains(runner, n));
    let tuned = is_adapter(p.config, want);
    idle.sort_by_key(|n| (is_adapter(p.config, n) != tuned, std::cmp::Reverse(p.config.weight(n))));
    let (mut free, need) = (free_mb(p.config, o, p.pending), p.config.weight(want).unwrap_or(0));
    let mut slot = !tuned || super::free_room::adapters_free(p.config, o, p.pending) > 0;
    let mut steps = Vec::new();
    for name in idle {
        if free >= need && slot {
            break;
        }
        free += p.config.min_mb(&name).unwrap_or(0);
        slot |= is_adapter(p.config, &name);
        steps.push(PlanStep::Unload { runner: runner.clone(), name });
    }
    steps
}

/// A plan for all names, of up to `most` loads; how many rooms were weighed is added to `weighed`.
pub fn full_plan(p: &PlanInput, id: PlanId, why: &str, most: usize, weighed: &Cell<u64>) -> PlacementPlan {
    let mut layout = Layout::of(p);
    let evacuate = evacuation_moves(p, &mut layout, id);
    let mut unplaced = Vec::new();
    for s in &p.config.services {
        let mut names: Vec<&Name> = s.models.iter().collect();
        names.sort_by_key(|n| (std::cmp::Reverse(p.demand_of(n)), std::cmp::Reverse(p.config.weight(n)), *n));
        for name in names.into_iter().chain(&s.adapters) {
            if !layout.place(&s.name, name, p.config) {
                unplaced.push(name.clone());
            }
        }
    }
    weighed.set(weighed.get() + layout.evaluated());
    let rooms = layout.rooms();
    let unloads = rooms.iter().flat_map(|room| steps(room, &room.unload, false)).collect::<Vec<_>>();
    let mut stages = Vec::new();
    if !evacuate.is_empty() {
        stages.push(p.build_stage("make way", evacuate));
    }
    if !unloads.is_empty() {
        stages.push(p.build_stage("make room", unloads));
    }
    let mut left = most;
    for n in 0.. {
        let nth =
            |room: &RunnerRoom| Some(steps(room, std::slice::from_ref(room.load.get(n)?), true).remove(0));
        let row: Vec<PlanStep> = rooms.iter().filter_map(nth).take(left).collect();
        if row.is_empty() {
            break;
        }
        left -= row.len();
        stages.push(p.build_stage(&format!("load {}", n + 1), row));
    }
    let mut plan = p.build_plan(id, why.to_string(), stages);
    plan.unplaced = unplaced;
    plan
}

fn steps(room: &RunnerRoom, names: &[Name], load: bool) -> Vec<PlanStep> {
    let one = |name: &Name| {
        let (runner, name) = (room.runner.clone(), name.clone());
        if load { PlanStep::Load { runner, name } } else { PlanStep::Unload { runner, name } }
    };
    names.iter().map(one).collect()
}

fn evacuation_moves(p: &PlanInput, layout: &mut Layout, id: PlanId) -> Vec<PlanStep> {
    let mut out = Vec::new();
    let mut taken: BTreeMap<&Name, u64> = BTreeMap::new();
    for o in p.runners.iter().filter(|o| o.runner.leaving && !p.busy_runners.contains(&o.runner.instance)) {
        for (model, runs) in &o.report.runs {
            let free = |t: &&super::pending_orders::RunnerState| {
                let used = taken.get(&t.runner.instance).copied().unwrap_or(0);
                t.report.slots.saturating_sub(t.report.running + used) > 0
                    && !p.busy_runners.contains(&t.runner.instance)
            };
            let mates =
                || p.runners.iter().filter(|t| !t.runner.leaving && t.runner.service == o.runner.service);
            let held = mates().filter(free).filter(|t| t.report.has(model)).min_by_key(|t| t.report.running);
            let mb = p.config.weight(model).unwrap_or(u64::MAX);
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
                service: o.runner.service.clone(),
                model: model.clone(),
                from: o.runner.instance.clone(),
                to: to.runner.instance.clone(),
                want: Name::default(),
            });
        }
    }
    out
}
