//! Unloads models and adapters that the configuration no longer offers.
#![deny(missing_docs)]

use super::Placement;
use super::pending_orders::RunnerState;
use crate::fleet::config::FleetConfig;
use crate::fleet::slice::DutySlice;
use crate::kernel::component::Context;
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};

/// How often runners are searched for withdrawn names.
const SEARCH_INTERVAL: Span = Span::ms(1000);

impl Placement {
    /// Orders unloads of withdrawn names without running requests, one at a runner.
    pub fn unload_withdrawn(&mut self, slice: &DutySlice, ctx: &mut Context) {
        if ctx.now.since(self.withdrawn_searched_at) < SEARCH_INTERVAL {
            return;
        }
        self.withdrawn_searched_at = ctx.now;
        let offered = |name: &Name| slice.config.weight(name).is_some();
        if self.reports.values().all(|(_, report)| report.holds.iter().all(offered)) {
            return;
        }
        let planned = self.busy_runners(slice, ctx.now);
        let runners = self.runner_states(ctx.now);
        let free = |o: &&RunnerState| !o.runner.leaving && !planned.contains(&o.runner.instance);
        for runner_state in runners.iter().filter(free) {
            if let Some(name) = self.withdrawn_at(runner_state, &slice.config, ctx.now) {
                self.try_order(&runner_state.runner.instance, &name, false, ctx);
            }
        }
    }

    /// A withdrawn name that a runner can unload now. An adapter is unloaded along with its model if both
    /// were withdrawn.
    fn withdrawn_at(&self, runner_state: &RunnerState, config: &FleetConfig, now: Time) -> Option<Name> {
        let (report, runner) = (&runner_state.report, &runner_state.runner.instance);
        let gone = |name: &Name| config.weight(name).is_none();
        let goes_along =
            |name: &Name| config.base_of(name).is_some_and(|base| gone(base) && report.has(base));
        let runs = |name: &Name| {
            let model = config.base_of(name).unwrap_or(name);
            report.runs_of(model).max(self.usage.active_requests(runner, model))
        };
        let ready = |name: &&Name| gone(name) && !goes_along(name) && runs(name) == 0;
        let refused = |name: &&Name| self.pending.was_refused(now, runner, name);
        report.holds.iter().filter(ready).find(|name| !refused(name)).cloned()
    }
}
