//! The memory and adapter places that are free at a runner, pending orders included.

use super::pending_orders::{PendingOrders, RunnerState, is_adapter};
use crate::fleet::config::FleetConfig;
use crate::fleet::runner::RunnerReport;
use crate::kernel::ids::Name;

/// The free memory of a runner, in MB: what its report shows, plus accepted unloads, less pending loads.
pub fn free_mb(config: &FleetConfig, runner_state: &RunnerState, pending: &PendingOrders) -> u64 {
    let report = &runner_state.report;
    (report.room_mb + unloading_mb(config, report, pending))
        .saturating_sub(report.used_mb)
        .saturating_sub(pending.pending_mb(report))
}

/// Whether the runner has accepted an unload of the name, or of its model if it is an adapter.
fn is_being_unloaded(
    config: &FleetConfig,
    report: &RunnerReport,
    pending: &PendingOrders,
    name: &Name,
) -> bool {
    pending.is_unloading(report, name)
        || config.base_of(name).is_some_and(|model| pending.is_unloading(report, model))
}

/// The memory, in MB, that accepted unloads will free.
fn unloading_mb(config: &FleetConfig, report: &RunnerReport, pending: &PendingOrders) -> u64 {
    let unloading = report.holds.iter().filter(|n| is_being_unloaded(config, report, pending, n));
    unloading.filter_map(|n| config.min_mb(n)).sum()
}

/// How many more adapters the runner can hold, pending orders included.
pub fn adapters_free(config: &FleetConfig, runner_state: &RunnerState, pending: &PendingOrders) -> u64 {
    let report = &runner_state.report;
    let held = report
        .holds
        .iter()
        .chain(&report.loading)
        .filter(|n| is_adapter(config, n) && !is_being_unloaded(config, report, pending, n))
        .count() as u64;
    report.adapter_room.saturating_sub(held).saturating_sub(pending.pending_adapters(report))
}

/// Whether a load of `name` fits at the runner. An adapter also needs its model there.
pub fn fits(config: &FleetConfig, runner_state: &RunnerState, pending: &PendingOrders, name: &Name) -> bool {
    let Some(mb) = config.weight(name) else { return false };
    if free_mb(config, runner_state, pending) < mb {
        return false;
    }
    if !is_adapter(config, name) {
        return true;
    }
    let base = config.adapter(name).map(|a| a.model.clone());
    adapters_free(config, runner_state, pending) > 0
        && base.is_some_and(|m| {
            runner_state.report.has(&m) && !is_being_unloaded(config, &runner_state.report, pending, &m)
        })
}

/// What the runner holds that no request runs on and that is not wanted, the smallest first.
pub fn idle_names(
    config: &FleetConfig,
    runner_state: &RunnerState,
    is_wanted: &dyn Fn(&Name) -> bool,
) -> Vec<Name> {
    let report = &runner_state.report;
    let is_used = |n: &Name| report.runs_of(config.base_of(n).unwrap_or(n)) > 0;
    let mut rows: Vec<Name> = report
        .holds
        .iter()
        .filter(|n| !is_used(n) && !is_wanted(n) && config.min_mb(n).is_some())
        .cloned()
        .collect();
    rows.sort_by_key(|n| (config.min_mb(n).unwrap_or(0), n.clone()));
    rows
}
