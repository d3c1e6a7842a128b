//! Weights that runners hold: what the placement tells, what runners lack, and what this router uses.

use super::core::Balancer;
use super::order::RequestSpec;
use super::pace::RateMeter;
use crate::fleet::holdings::{NameUsage, RunnerHoldings, UnmetDemand};
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};
use crate::msg::RouterReport;
use std::sync::Arc;

/// How long a use of a model or adapter is reported.
const USE_RETENTION: Span = Span::ms(8000);

/// Tells the placement of weights that no runner holds. It must not block.
pub type LoadRequester = Arc<dyn Fn(UnmetDemand) + Send + Sync>;

/// Recent use of a model or adapter.
#[derive(Default, Debug)]
pub struct UseStats {
    last_used_at: Time,
    rate: RateMeter,
}

impl Balancer {
    /// Applies what the duty holder tells of a runner; false if the runner is not of this service.
    pub fn on_holdings(&mut self, now: Time, row: &RunnerHoldings) -> bool {
        let Some(health) = self.health.get_mut(&row.runner) else { return false };
        let new = health.on_holdings(now, row);
        if let (true, Some((_, report))) = (new, &health.report) {
            self.throughput.on_report(now, report);
        }
        true
    }

    /// A runner lacks the model or adapter of a request, against its report.
    pub fn on_missing_weights(&mut self, now: Time, runner: &Name, spec: &RequestSpec) {
        let name = if spec.adapter.is_empty() { &spec.model } else { &spec.adapter };
        if let Some(health) = self.health.get_mut(runner) {
            health.forget_weights(name);
        }
        self.request_load(spec, name);
        self.route_waiting(now);
    }

    fn request_load(&self, spec: &RequestSpec, name: &str) {
        let Some(asker) = &self.load_requester else { return };
        let (service, name) = (self.service.clone(), Name::from(name));
        asker(UnmetDemand { service, name, class: spec.class, count: 1 });
    }

    /// Asks the placement for the model and adapter of a request where no runner holds them; once for each request.
    pub fn request_missing_loads(&self, now: Time, spec: &RequestSpec) {
        for name in [&spec.model, &spec.adapter] {
            if name.is_empty() || self.demand.get(name.as_str()).is_some_and(|r| r.contains_key(&spec.id)) {
                continue;
            }
            let known = Name::from(name.as_str());
            let fit = |n: &Name| self.health.get(n).is_some_and(|health| health.holds(now, &known));
            let staying = self.slice.iter().flat_map(|slice| &slice.runners).filter(|r| !r.leaving);
            if !staying.map(|r| &r.instance).any(fit) {
                self.request_load(spec, name);
            }
        }
    }

    /// Records a use of the model and adapter.
    pub fn record_use(&mut self, now: Time, spec: &RequestSpec) {
        for name in [&spec.model, &spec.adapter] {
            if !name.is_empty() {
                let row = self.uses.entry(name.to_string()).or_default();
                row.last_used_at = now;
                row.rate.add(now);
            }
        }
    }

    /// Adds recent uses and requests in progress to the report.
    pub fn report_uses(&mut self, now: Time, out: &mut RouterReport) {
        self.uses.retain(|_, u| now.since(u.last_used_at) < USE_RETENTION);
        for (name, u) in &self.uses {
            out.uses.push(NameUsage {
                service: self.service.clone(),
                name: Name::from(name.as_str()),
                idle: now.since(u.last_used_at),
                milli_per_s: (u.rate.per_s(now) * 1000.0) as u64,
            });
        }
        let runs = self.active_requests.iter().filter(|r| !r.0.1.0.is_empty());
        out.active.extend(runs.map(|((runner, model), n)| (runner.clone(), model.clone(), *n)));
    }
}
