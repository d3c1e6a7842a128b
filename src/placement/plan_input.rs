use super::pending_orders::{PendingOrders, RunnerState};
use crate::fleet::FleetConfig;
use crate::fleet::plan::{PlacementPlan, PlanStage, PlanState, PlanStep};
use crate::kernel::ids::*;
use crate::kernel::time::Time;
use std::collections::BTreeMap;

pub struct PlanInput<'a> {
    pub config: &'a FleetConfig,
    pub config_version: Version,
    pub runners: Vec<RunnerState>,
    pub pending: &'a PendingOrders,
    pub now: Time,
    pub demand: BTreeMap<Name, u64>,
    pub retry_credit: BTreeMap<Name, u64>,
    pub busy_runners: Vec<Name>,
}

pub const UNLOAD_MS: u64 = 400;
pub const STEP_MS: u64 = 300;

impl PlanInput<'_> {
    pub fn demand_of(&self, name: &Name) -> u64 {
        self.demand.get(name).copied().unwrap_or(0)
    }

    pub fn holders<'b>(&'b self, name: &'b Name) -> impl Iterator<Item = &'b RunnerState> {
        self.runners.iter().filter(|o| o.report.has(name) && !o.runner.leaving)
    }

    pub fn store_wait_ms(&self, loads: u64) -> u64 {
        let spare = self.pending.store_budget.clone().left(&self.config.store).max(0.0) as u64;
        loads.saturating_sub(spare) * 60_000 / self.config.store.loads_per_minute.max(1)
    }

    pub fn build_stage(&self, name: &str, steps: Vec<PlanStep>) -> PlanStage {
        let (mut ms, mut loads, mut tries) = (0, 0, 0);
        for s in &steps {
            match s {
                PlanStep::Load { name, .. } => {
                    loads += 1;
                    ms = ms.max(self.config.load_ms(name) + STEP_MS);
                }
                PlanStep::Unload { .. } => ms = ms.max(UNLOAD_MS),
                PlanStep::Move { model, from, to, want, .. } => {
                    let find = |n: &Name| self.runners.iter().find(|o| o.runner.instance == *n);
                    let runs = find(from).map_or(0, |o| o.report.runs_of(model));
                    let there = find(to).is_some_and(|o| o.report.has(model));
                    let load = if there { 0 } else { self.config.load_ms(model) };
                    loads += u64::from(!there) + u64::from(!want.0.is_empty());
                    tries += runs * 2;
                    ms = ms.max(load + 800 + runs * 50 + UNLOAD_MS + self.config.load_ms(want));
                }
            }
        }
        PlanStage { name: name.into(), steps, ms: ms + self.store_wait_ms(loads), loads, tries, spent: None }
    }

    pub fn build_plan(&self, id: PlanId, why: String, stages: Vec<PlanStage>) -> PlacementPlan {
        let mut holds: BTreeMap<Name, Vec<Name>> = BTreeMap::new();
        for o in &self.runners {
            holds.insert(o.runner.instance.clone(), o.report.holds.clone());
        }
        let mut put = |runner: &Name, name: &Name, on: bool| {
            let row = holds.entry(runner.clone()).or_default();
            row.retain(|n| n != name);
            if on && !name.0.is_empty() {
                row.push(name.clone());
            }
        };
        for s in stages.iter().flat_map(|s| &s.steps) {
            match s {
                PlanStep::Load { runner, name } => put(runner, name, true),
                PlanStep::Unload { runner, name } => put(runner, name, false),
                PlanStep::Move { model, from, to, want, .. } => {
                    put(to, model, true);
                    put(from, model, false);
                    put(from, want, true);
                }
            }
        }
        PlacementPlan {
            id,
            at: Version(0),
            config_version: self.config_version,
            why,
            state: PlanState::Running,
            stage: 0,
            stages,
            holds: holds.into_iter().collect(),
            unplaced: vec![],
            rehearsal: String::new(),
        }
    }
}
