use super::free_room::{fits, free_mb, idle_names};
use super::pending_orders::{PendingOrders, RunnerState, is_adapter};
use crate::fleet::config::FleetConfig;
use crate::kernel::ids::Name;
use crate::kernel::time::Time;

#[derive(Clone, PartialEq, Debug)]
pub enum Remedy {
    Load { runner: Name },
    Unload { runner: Name, name: Name },
    Move { from: Name, to: Name, model: Name },
}

#[derive(Clone, PartialEq, Debug)]
pub struct Estimate {
    pub remedy: Remedy,
    pub estimated_ms: u64,
}

const HANDOVER_ROUND_MS: u64 = 400;
const UNLOAD_MS: u64 = 200;

pub fn estimates(
    c: &FleetConfig,
    runners: &[RunnerState],
    f: &PendingOrders,
    want: &Name,
    now: Time,
    wanted: &dyn Fn(&Name) -> bool,
    busy: &dyn Fn(&Name) -> bool,
) -> Vec<Estimate> {
    let mut rows = Vec::new();
    let Some(mb) = c.weight(want) else { return rows };
    let load = c.load_ms(want);
    for o in runners.iter().filter(|o| !o.runner.leaving && !busy(&o.runner.instance)) {
        let runner = o.runner.instance.clone();
        if f.was_refused(now, &runner, want) || o.report.has(want) || f.contains(&runner, want) {
            continue;
        }
        let base = c.adapter(want).map(|a| a.model.clone());
        if base.as_ref().is_some_and(|m| !o.report.has(m)) {
            continue;
        }
        if fits(c, o, f, want) {
            let crowd = f.count_at(&runner) as u64 * 1000;
            rows.push(Estimate {
                remedy: Remedy::Load { runner },
                estimated_ms: load + crowd + o.report.running * 10,
            });
            continue;
        }
        let idle: Vec<Name> =
            idle_names(c, o, wanted).into_iter().filter(|n| Some(n) != base.as_ref()).collect();
        let idle_mb: u64 = idle.iter().filter_map(|n| c.min_mb(n)).sum();
        if free_mb(c, o, f) + idle_mb >= mb {
            let big = idle
                .iter()
                .rev()
                .find(|n| !f.contains(&runner, n) && is_adapter(c, n) == is_adapter(c, want));
            if let Some(name) = big.or(idle.iter().rev().find(|n| !f.contains(&runner, n))) {
                let ms = load + UNLOAD_MS * idle.len() as u64;
                rows.push(Estimate {
                    remedy: Remedy::Unload { runner, name: name.clone() },
                    estimated_ms: ms,
                });
            }
            continue;
        }
        if is_adapter(c, want) {
            continue;
        }
        rows.extend(move_estimates(c, runners, f, o, want, mb, load, wanted, busy));
    }
    rows.sort_by_key(|e| e.estimated_ms);
    rows
}

#[allow(clippy::too_many_arguments)]
fn move_estimates(
    c: &FleetConfig,
    runners: &[RunnerState],
    f: &PendingOrders,
    o: &RunnerState,
    want: &Name,
    mb: u64,
    load: u64,
    wanted: &dyn Fn(&Name) -> bool,
    busy: &dyn Fn(&Name) -> bool,
) -> Vec<Estimate> {
    let mut rows = Vec::new();
    for model in o.report.holds.iter().filter(|n| !is_adapter(c, n) && *n != want) {
        let runs = o.report.runs_of(model);
        let frees = free_mb(c, o, f) + c.min_mb(model).unwrap_or(0) >= mb;
        if runs == 0 || !frees {
            continue;
        }
        for to in runners.iter().filter(|t| t.runner.instance != o.runner.instance) {
            let dest = &to.runner.instance;
            if to.runner.leaving || busy(dest) || to.runner.service != o.runner.service {
                continue;
            }
            let slots = to.report.slots.saturating_sub(to.report.running);
            if slots < runs {
                continue;
            }
            let warm = HANDOVER_ROUND_MS * 2 + runs * 50;
            let ms = if to.report.has(model) {
                warm + UNLOAD_MS + load
            } else if fits(c, to, f, model) && !wanted(want) {
                c.load_ms(model) + warm + UNLOAD_MS + load
            } else if fits(c, to, f, model) {
                c.load_ms(model) + warm + UNLOAD_MS + load + 1
            } else {
                continue;
            };
            let (from, to) = (o.runner.instance.clone(), dest.clone());
            rows.push(Estimate { remedy: Remedy::Move { from, to, model: model.clone() }, estimated_ms: ms });
        }
    }
    rows
}
