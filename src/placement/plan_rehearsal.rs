//! Rehearses a plan before it is submitted: follows its stages on paper and looks for faults.

use super::plan_input::PlanInput;
use crate::fleet::plan::{PlacementPlan, PlanStep};
use crate::kernel::ids::Name;
use std::collections::BTreeMap;

/// The result of a rehearsal.
pub struct PlanRehearsal {
    /// Its figures as `key=value` pairs.
    pub note: String,
    /// What is wrong with the plan; a plan with faults isn't run.
    pub faults: Vec<String>,
}

/// Rehearses a plan. It finds runners that don't report or would overrun their memory, unloads of models with
/// running streams, retries beyond the saved credit, and names with waiting requests that would lose their
/// last holder.
pub fn rehearse(input: &PlanInput, plan: &PlacementPlan) -> PlanRehearsal {
    let mut faults = Vec::new();
    let mut used: BTreeMap<&Name, (u64, u64)> = BTreeMap::new();
    for runner_state in &input.runners {
        used.insert(
            &runner_state.runner.instance,
            (
                runner_state.report.used_mb + input.pending.pending_mb(&runner_state.report),
                runner_state.report.room_mb,
            ),
        );
    }
    let mut most_tries: BTreeMap<&Name, u64> = BTreeMap::new();
    for (stage_number, stage) in plan.stages.iter().enumerate() {
        for step in &stage.steps {
            let mut put = |runner: &Name, name: &Name, on: bool| {
                let mb = if on { input.config.weight(name) } else { input.config.min_mb(name) }.unwrap_or(0);
                let Some(row) =
                    input.runners.iter().find(|runner_state| runner_state.runner.instance == *runner)
                else {
                    faults.push(format!(
                        "stage {stage_number}: {runner} does not report; bring it back or drop it"
                    ));
                    return;
                };
                let row = used.entry(&row.runner.instance).or_default();
                if !on {
                    row.0 = row.0.saturating_sub(mb);
                    return;
                }
                row.0 += mb;
                if row.0 > row.1 {
                    faults.push(format!(
                        "stage {stage_number}: {name} needs {mb} MB on {runner}, {} of {} would be used; unload something there",
                        row.0, row.1
                    ));
                }
            };
            match step {
                PlanStep::Load { runner, name } => put(runner, name, true),
                PlanStep::Unload { runner, name } => {
                    put(runner, name, false);
                    let runner_state =
                        input.runners.iter().find(|runner_state| runner_state.runner.instance == *runner);
                    if runner_state.is_some_and(|runner_state| runner_state.report.runs_of(name) > 0) {
                        faults.push(format!(
                            "stage {stage_number}: streams of {name} run on {runner}; move them first"
                        ));
                    }
                }
                PlanStep::Move { service, model, from, to, want, .. } => {
                    let there = input.runners.iter().any(|runner_state| {
                        runner_state.runner.instance == *to && runner_state.report.has(model)
                    });
                    if !there {
                        put(to, model, true);
                    }
                    put(from, model, false);
                    if !want.0.is_empty() {
                        put(from, want, true);
                    }
                    let runs =
                        input.runners.iter().find(|runner_state| runner_state.runner.instance == *from);
                    *most_tries.entry(service).or_default() +=
                        runs.map_or(0, |runner_state| runner_state.report.runs_of(model)) * 2;
                }
            }
        }
    }
    for (service, need) in &most_tries {
        let have = input.retry_credit.get(*service).copied().unwrap_or(0);
        let leaves = input
            .runners
            .iter()
            .any(|runner_state| runner_state.runner.leaving && runner_state.runner.service == **service);
        if *need > have && !leaves {
            faults.push(format!(
                "{service}: {need} tries are needed and {have} are saved; wait for traffic or raise budget.allowance"
            ));
        }
    }
    let without_holder: Vec<&Name> = input
        .demand
        .keys()
        .filter(|stage_number| input.holders(stage_number).next().is_some())
        .filter(|stage_number| {
            !plan.holds.iter().any(|(r, names)| names.contains(stage_number) && stays(input, r))
        })
        .collect();
    if !without_holder.is_empty() {
        let names: Vec<String> = without_holder.iter().map(|stage_number| stage_number.to_string()).collect();
        faults.push(format!("live orders for {} would lose their last holder; keep one", names.join(",")));
    }
    let ms: u64 = plan.stages.iter().map(|step| step.ms).sum();
    let loads: u64 = plan.stages.iter().map(|step| step.loads).sum();
    let tries: u64 = plan.stages.iter().map(|step| step.tries).sum();
    let live: u64 = input.demand.values().sum();
    let note = format!(
        "estimated_ms={ms} store_loads={loads} tries={tries} live_orders={live} without_holder={} faults={}",
        without_holder.len(),
        faults.len()
    );
    PlanRehearsal { note, faults }
}

/// Whether a runner reports and is not leaving.
fn stays(input: &PlanInput, runner: &Name) -> bool {
    input.runners.iter().any(|o| o.runner.instance == *runner && !o.runner.leaving)
}
