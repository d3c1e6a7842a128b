//! Updates of a balancer by new slices and reports.

use super::core::Balancer;
use super::wait::TAKEOVER_WAIT;
use crate::fleet::runner::RunnerReport;
use crate::fleet::slice::ServiceSlice;
use crate::kernel::ids::*;
use crate::kernel::time::Time;
use std::sync::Arc;

impl Balancer {
    /// Applies a report of a runner.
    pub fn on_report(&mut self, now: Time, runner: &Name, report: RunnerReport) {
        self.throughput.on_report(now, &report);
        self.health.entry(runner.clone()).or_default().on_report(now, report);
    }

    /// Applies a slice of the service unless a newer one was applied.
    pub fn apply_slice(&mut self, at: Version, slice: ServiceSlice, now: Time) {
        if at < self.slice_version {
            return;
        }
        self.slice_version = at;
        self.is_withdrawn = false;
        let old = self.slice.as_ref().map(|old| old.duty);
        if old.is_some_and(|t| t != slice.duty) {
            self.throughput.quiet_until = now + TAKEOVER_WAIT;
        }
        self.throughput.retain_models(&slice);
        self.retry_budget.credit_percent = slice.budget.percent as f64;
        self.retry_budget.credit_limit = slice.budget.allowance as f64 / self.router_count.max(1) as f64;
        self.prompt_caches.retain_runners(&|n| slice.runners.iter().any(|r| r.instance == *n));
        self.health.retain(|name, _| slice.runners.iter().any(|r| r.instance == *name));
        for r in &slice.runners {
            self.health.entry(r.instance.clone()).or_default();
        }
        self.move_reports.retain(|id, _| slice.moves.iter().any(|m| m.id == *id));
        self.slice = Some(Arc::new(slice));
        self.route_waiting(now);
    }
}
