use super::core::Gate;
use super::wait::TAKEOVER_WAIT;
use crate::fleet::runner::RunnerReport;
use crate::fleet::slice::ServiceSlice;
use crate::kernel::ids::*;
use crate::kernel::time::Time;
use std::sync::Arc;

impl Gate {
    pub fn report(&mut self, now: Time, runner: &Name, report: RunnerReport) {
        self.pace.told(now, &report);
        self.health.entry(runner.clone()).or_default().told(now, report);
    }

    pub fn learn(&mut self, at: Version, slice: ServiceSlice, now: Time) {
        if at < self.at {
            return;
        }
        self.at = at;
        self.gone = false;
        let old = self.slice.as_ref().map(|s| s.duty);
        if old.is_some_and(|t| t != slice.duty) {
            self.pace.quiet_until = now + TAKEOVER_WAIT;
        }
        self.pace.learn(&slice);
        self.tries.percent = slice.budget.percent as f64;
        self.tries.share = slice.budget.allowance as f64 / self.routers.max(1) as f64;
        self.kept.keep(&|n| slice.runners.iter().any(|r| r.instance == *n));
        self.health.retain(|name, _| slice.runners.iter().any(|r| r.instance == *name));
        for r in &slice.runners {
            self.health.entry(r.instance.clone()).or_default();
        }
        self.moves.retain(|id, _| slice.moves.iter().any(|m| m.id == *id));
        self.slice = Some(Arc::new(slice));
        self.wake(now);
    }
}
