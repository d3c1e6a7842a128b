use super::pending_orders::{PendingOrders, RunnerState, is_adapter};
use crate::fleet::config::FleetConfig;
use crate::fleet::runner::RunnerReport;
use crate::kernel::ids::Name;

pub fn free_mb(c: &FleetConfig, o: &RunnerState, f: &PendingOrders) -> u64 {
    let r = &o.report;
    (r.room_mb + unloading_mb(c, r, f)).saturating_sub(r.used_mb).saturating_sub(f.pending_mb(r))
}

fn is_being_unloaded(c: &FleetConfig, r: &RunnerReport, f: &PendingOrders, name: &Name) -> bool {
    f.is_unloading(r, name) || c.base_of(name).is_some_and(|model| f.is_unloading(r, model))
}

fn unloading_mb(c: &FleetConfig, r: &RunnerReport, f: &PendingOrders) -> u64 {
    let gone = r.holds.iter().filter(|n| is_being_unloaded(c, r, f, n));
    gone.filter_map(|n| c.min_mb(n)).sum()
}

pub fn adapters_free(c: &FleetConfig, o: &RunnerState, f: &PendingOrders) -> u64 {
    let r = &o.report;
    let held = r
        .holds
        .iter()
        .chain(&r.loading)
        .filter(|n| is_adapter(c, n) && !is_being_unloaded(c, r, f, n))
        .count() as u64;
    r.adapter_room.saturating_sub(held).saturating_sub(f.pending_adapters(r))
}

pub fn fits(c: &FleetConfig, o: &RunnerState, f: &PendingOrders, name: &Name) -> bool {
    let Some(mb) = c.weight(name) else { return false };
    if free_mb(c, o, f) < mb {
        return false;
    }
    if !is_adapter(c, name) {
        return true;
    }
    let base = c.adapter(name).map(|a| a.model.clone());
    adapters_free(c, o, f) > 0
        && base.is_some_and(|m| o.report.has(&m) && !is_being_unloaded(c, &o.report, f, &m))
}

pub fn idle_names(c: &FleetConfig, o: &RunnerState, wanted: &dyn Fn(&Name) -> bool) -> Vec<Name> {
    let r = &o.report;
    let used = |n: &Name| r.runs_of(c.base_of(n).unwrap_or(n)) > 0;
    let mut rows: Vec<Name> =
        r.holds.iter().filter(|n| !used(n) && !wanted(n) && c.min_mb(n).is_some()).cloned().collect();
    rows.sort_by_key(|n| (c.min_mb(n).unwrap_or(0), n.clone()));
    rows
}
