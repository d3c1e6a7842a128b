use super::plan_input::PlanInput;
use crate::fleet::plan::{PlacementPlan, PlanStep};
use crate::kernel::ids::Name;
use std::collections::BTreeMap;

pub struct PlanRehearsal {
    pub note: String,
    pub faults: Vec<String>,
}

pub fn rehearse(p: &PlanInput, plan: &PlacementPlan) -> PlanRehearsal {
    let mut faults = Vec::new();
    let mut used: BTreeMap<&Name, (u64, u64)> = BTreeMap::new();
    for o in &p.runners {
        used.insert(
            &o.runner.instance,
            (o.report.used_mb + p.pending.pending_mb(&o.report), o.report.room_mb),
        );
    }
    let mut most_tries: BTreeMap<&Name, u64> = BTreeMap::new();
    for (n, stage) in plan.stages.iter().enumerate() {
        for s in &stage.steps {
            let mut put = |runner: &Name, name: &Name, on: bool| {
                let mb = if on { p.config.weight(name) } else { p.config.min_mb(name) }.unwrap_or(0);
                let Some(row) = p.runners.iter().find(|o| o.runner.instance == *runner) else {
                    faults.push(format!("stage {n}: {runner} does not report; bring it back or drop it"));
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
                        "stage {n}: {name} needs {mb} MB on {runner}, {} of {} would be used; unload something there",
                        row.0, row.1
                    ));
                }
            };
            match s {
                PlanStep::Load { runner, name } => put(runner, name, true),
                PlanStep::Unload { runner, name } => {
                    put(runner, name, false);
                    let o = p.runners.iter().find(|o| o.runner.instance == *runner);
                    if o.is_some_and(|o| o.report.runs_of(name) > 0) {
                        faults.push(format!("stage {n}: streams of {name} run on {runner}; move them first"));
                    }
                }
                PlanStep::Move { service, model, from, to, want, .. } => {
                    let there = p.runners.iter().any(|o| o.runner.instance == *to && o.report.has(model));
                    if !there {
                        put(to, model, true);
                    }
                    put(from, model, false);
                    if !want.0.is_empty() {
                        put(from, want, true);
                    }
                    let runs = p.runners.iter().find(|o| o.runner.instance == *from);
                    *most_tries.entry(service).or_default() +=
                        runs.map_or(0, |o| o.report.runs_of(model)) * 2;
                }
            }
        }
    }
    for (service, need) in &most_tries {
        let have = p.retry_credit.get(*service).copied().unwrap_or(0);
        let leaves = p.runners.iter().any(|o| o.runner.leaving && o.runner.service == **service);
        if *need > have && !leaves {
            faults.push(format!(
                "{service}: {need} tries are needed and {have} are saved; wait for traffic or raise budget.allowance"
            ));
        }
    }
    let bare: Vec<&Name> = p
        .demand
        .keys()
        .filter(|n| p.holders(n).next().is_some())
        .filter(|n| !plan.holds.iter().any(|(r, names)| names.contains(n) && stays(p, r)))
        .collect();
    if !bare.is_empty() {
        let names: Vec<String> = bare.iter().map(|n| n.to_string()).collect();
        faults.push(format!("live orders for {} would lose their last holder; keep one", names.join(",")));
    }
    let ms: u64 = plan.stages.iter().map(|s| s.ms).sum();
    let loads: u64 = plan.stages.iter().map(|s| s.loads).sum();
    let tries: u64 = plan.stages.iter().map(|s| s.tries).sum();
    let live: u64 = p.demand.values().sum();
    let note = format!(
        "estimated_ms={ms} store_loads={loads} tries={tries} live_orders={live} without_holder={} faults={}",
        bare.len(),
        faults.len()
    );
    PlanRehearsal { note, faults }
}

fn stays(p: &PlanInput, runner: &Name) -> bool {
    p.runners.iter().any(|o| o.runner.instance == *runner && !o.runner.leaving)
}
