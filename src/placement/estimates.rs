//! Estimates how long each possible remedy for a wanted name takes.

use super::free_room::{fits, free_mb, idle_names};
use super::pending_orders::{PendingOrders, RunnerState, is_adapter};
use crate::fleet::config::FleetConfig;
use crate::kernel::ids::Name;
use crate::kernel::time::Time;

/// A way to get a wanted name loaded.
#[derive(Clone, PartialEq, Debug)]
pub enum Remedy {
    /// Load it where it fits.
    Load { runner: Name },
    /// Unload idle names of a runner, of which `name` is one, and load it there.
    Unload { runner: Name, name: Name },
    /// Move the streams of `model` from one runner to another, unload it, and load the wanted name in its
    /// place.
    Move { from: Name, to: Name, model: Name },
}

/// A remedy and its duration.
#[derive(Clone, PartialEq, Debug)]
pub struct Estimate {
    /// The remedy.
    pub remedy: Remedy,
    /// The estimated time until the wanted name is held, in ms.
    pub estimated_ms: u64,
}

/// The time of one round of handing streams over.
const HANDOVER_ROUND_MS: u64 = 400;
/// The time of an unload.
const UNLOAD_MS: u64 = 200;

/// The possible remedies for `want`, the fastest first. `wanted` tells whether requests wait for a name,
/// `busy` whether a runner must be left alone.
pub fn estimates(
    config: &FleetConfig,
    runners: &[RunnerState],
    pending: &PendingOrders,
    want: &Name,
    now: Time,
    wanted: &dyn Fn(&Name) -> bool,
    busy: &dyn Fn(&Name) -> bool,
) -> Vec<Estimate> {
    let mut rows = Vec::new();
    let Some(mb) = config.weight(want) else { return rows };
    let load = config.load_ms(want);
    for o in runners.iter().filter(|o| !o.runner.leaving && !busy(&o.runner.instance)) {
        let runner = o.runner.instance.clone();
        if pending.was_refused(now, &runner, want) || o.report.has(want) || pending.contains(&runner, want) {
            continue;
        }
        let base = config.adapter(want).map(|a| a.model.clone());
        if base.as_ref().is_some_and(|m| !o.report.has(m)) {
            continue;
        }
        if fits(config, o, pending, want) {
            let crowd = pending.count_at(&runner) as u64 * 1000;
            rows.push(Estimate {
                remedy: Remedy::Load { runner },
                estimated_ms: load + crowd + o.report.running * 10,
            });
            continue;
        }
        let idle: Vec<Name> =
            idle_names(config, o, wanted).into_iter().filter(|n| Some(n) != base.as_ref()).collect();
        let idle_mb: u64 = idle.iter().filter_map(|n| config.min_mb(n)).sum();
        if free_mb(config, o, pending) + idle_mb >= mb {
            let big = idle
                .iter()
                .rev()
                .find(|n| !pending.contains(&runner, n) && is_adapter(config, n) == is_adapter(config, want));
            if let Some(name) = big.or(idle.iter().rev().find(|n| !pending.contains(&runner, n))) {
                let ms = load + UNLOAD_MS * idle.len() as u64;
                rows.push(Estimate {
                    remedy: Remedy::Unload { runner, name: name.clone() },
                    estimated_ms: ms,
                });
            }
            continue;
        }
        if is_adapter(config, want) {
            continue;
        }
        rows.extend(move_estimates(config, runners, pending, o, want, mb, load, wanted, busy));
    }
    rows.sort_by_key(|e| e.estimated_ms);
    rows
}

/// The moves that free memory for `want` at the runner `o`.
#[allow(clippy::too_many_arguments)]
fn move_estimates(
    config: &FleetConfig,
    runners: &[RunnerState],
    pending: &PendingOrders,
    runner_state: &RunnerState,
    want: &Name,
    mb: u64,
    load: u64,
    wanted: &dyn Fn(&Name) -> bool,
    busy: &dyn Fn(&Name) -> bool,
) -> Vec<Estimate> {
    let mut rows = Vec::new();
    for model in runner_state.report.holds.iter().filter(|n| !is_adapter(config, n) && *n != want) {
        let runs = runner_state.report.runs_of(model);
        let frees = free_mb(config, runner_state, pending) + config.min_mb(model).unwrap_or(0) >= mb;
        if runs == 0 || !frees {
            continue;
        }
        for to in runners.iter().filter(|t| t.runner.instance != runner_state.runner.instance) {
            let dest = &to.runner.instance;
            if to.runner.leaving || busy(dest) || to.runner.service != runner_state.runner.service {
                continue;
            }
            let slots = to.report.slots.saturating_sub(to.report.running);
            if slots < runs {
                continue;
            }
            let warm = HANDOVER_ROUND_MS * 2 + runs * 50;
            let ms = if to.report.has(model) {
                warm + UNLOAD_MS + load
            } else if fits(config, to, pending, model) && !wanted(want) {
                config.load_ms(model) + warm + UNLOAD_MS + load
            } else if fits(config, to, pending, model) {
                config.load_ms(model) + warm + UNLOAD_MS + load + 1
            } else {
                continue;
            };
            let (from, to) = (runner_state.runner.instance.clone(), dest.clone());
            rows.push(Estimate { remedy: Remedy::Move { from, to, model: model.clone() }, estimated_ms: ms });
        }
    }
    rows
}
