//! The input of placement plans, and the estimates that their stages contain.

use super::pending_orders::{PendingOrders, RunnerState};
use crate::fleet::FleetConfig;
use crate::fleet::plan::{PlacementPlan, PlanStage, PlanState, PlanStep};
use crate::kernel::ids::*;
use crate::kernel::time::Time;
use std::collections::BTreeMap;

/// What a plan is made from.
pub struct PlanInput<'a> {
    /// The configuration.
    pub config: &'a FleetConfig,
    /// Its version.
    pub config_version: Version,
    /// The runners with fresh reports.
    pub runners: Vec<RunnerState>,
    /// The pending orders, with planned loads.
    pub pending: &'a PendingOrders,
    /// The time of the plan.
    pub now: Time,
    /// How many requests wait for each name.
    pub demand: BTreeMap<Name, u64>,
    /// By service, the retries that routers have saved up.
    pub retry_credit: BTreeMap<Name, u64>,
    /// The runners that the plan must leave alone.
    pub busy_runners: Vec<Name>,
}

/// The time that a stage allows for its unloads, in ms.
pub const UNLOAD_MS: u64 = 400;
/// The time that a stage allows for a load besides its configured duration, in ms.
pub const STEP_MS: u64 = 300;

impl PlanInput<'_> {
    /// How many requests wait for a name.
    pub fn demand_of(&self, name: &Name) -> u64 {
        self.demand.get(name).copied().unwrap_or(0)
    }

    /// The staying runners that hold a name.
    pub fn holders<'b>(&'b self, name: &'b Name) -> impl Iterator<Item = &'b RunnerState> {
        self.runners.iter().filter(|o| o.report.has(name) && !o.runner.leaving)
    }

    /// How long so many loads wait for the store's limit, in ms.
    pub fn store_wait_ms(&self, loads: u64) -> u64 {
        let spare = self.pending.store_budget.clone().left(&self.config.store).max(0.0) as u64;
        loads.saturating_sub(spare) * 60_000 / self.config.store.loads_per_minute.max(1)
    }

    /// A stage with its estimated duration, loads and retries.
    pub fn build_stage(&self, name: &str, steps: Vec<PlanStep>) -> PlanStage {
        let (mut ms, mut loads, mut tries) = (0, 0, 0);
        for step in &steps {
            match step {
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

    /// A plan of these stages, with what each runner holds after them.
    pub fn build_plan(&self, id: PlanId, why: String, stages: Vec<PlanStage>) -> PlacementPlan {
        let mut holds: BTreeMap<Name, Vec<Name>> = BTreeMap::new();
        for runner_state in &self.runners {
            holds.insert(runner_state.runner.instance.clone(), runner_state.report.holds.clone());
        }
        let mut put = |runner: &Name, name: &Name, on: bool| {
            let row = holds.entry(runner.clone()).or_default();
            row.retain(|n| n != name);
            if on && !name.0.is_empty() {
                row.push(name.clone());
            }
        };
        for step in stages.iter().flat_map(|step| &step.steps) {
            match step {
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
