//! How much models, adapters and runners are used, summed over the routers' reports.

use super::Placement;
use crate::fleet::config::Class;
use crate::fleet::holdings::UnmetDemand;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::RouterReport;
use crate::rollout::router_reports::report_freshness;
use std::collections::BTreeMap;
use std::sync::Arc;

/// How long the last report of a silent router is kept.
const REPORT_LIFETIME: Span = Span::ms(5000);
/// How often the sums are computed: this long for each reporting router, and
const REFRESH_INTERVAL_PER_ROUTER: Span = Span::ms(3);
/// at least this long.
const MIN_REFRESH_INTERVAL: Span = Span::ms(20);

/// How much a model or adapter is used.
#[derive(Clone, Copy, Debug)]
pub struct UsageTotal {
    /// How long nobody has used it.
    pub idle_for: Span,
    /// Requests per second.
    pub requests_per_s: f64,
    /// Requests under way.
    pub active_requests: u64,
}

impl Default for UsageTotal {
    fn default() -> UsageTotal {
        UsageTotal { idle_for: Span(u64::MAX >> 1), requests_per_s: 0.0, active_requests: 0 }
    }
}

/// The usage of each name.
pub type UsageByName = BTreeMap<Name, UsageTotal>;

/// The usage of names and runners, summed over all routers.
#[derive(Default)]
pub struct Usage {
    /// By model or adapter.
    pub by_name: UsageByName,
    /// By runner: the models with requests under way, and how many.
    pub active_by_runner: BTreeMap<Name, Vec<(Name, u64)>>,
    /// When the sums were computed.
    computed_at: Time,
}

impl Usage {
    /// Sums the routers' reports.
    fn of(
        tells: &BTreeMap<NodeId, (Time, Arc<RouterReport>)>,
        used: &BTreeMap<Name, Time>,
        now: Time,
    ) -> Usage {
        let freshness = report_freshness(tells.len());
        let mut names = UsageByName::new();
        let mut running: BTreeMap<&Name, BTreeMap<&Name, u64>> = BTreeMap::new();
        let mut rates: BTreeMap<&Name, (u64, u64)> = BTreeMap::new();
        for (at, report) in tells.values() {
            for (runner, name, n) in &report.active {
                *running.entry(runner).or_default().entry(name).or_default() += n;
            }
            let fresh = now.since(*at) < freshness;
            for name_usage in &report.uses {
                rates.entry(&name_usage.name).or_default().0 +=
                    if fresh { name_usage.milli_per_s } else { 0 };
            }
            for (_, name, n) in report.active.iter().filter(|_| fresh) {
                rates.entry(name).or_default().1 += n;
            }
        }
        for (name, (milli_per_s, runs)) in rates {
            let row = UsageTotal {
                requests_per_s: milli_per_s as f64 / 1000.0,
                active_requests: runs,
                ..UsageTotal::default()
            };
            names.insert(name.clone(), row);
        }
        for (name, last) in used {
            match names.get_mut(name) {
                Some(row) => row.idle_for = now.since(*last),
                None => drop(names.insert(
                    name.clone(),
                    UsageTotal { idle_for: now.since(*last), ..UsageTotal::default() },
                )),
            }
        }
        let rows = |m: BTreeMap<&Name, u64>| m.into_iter().map(|(name, n)| (name.clone(), n)).collect();
        let running = running.into_iter().map(|(runner, m)| (runner.clone(), rows(m))).collect();
        Usage { by_name: names, active_by_runner: running, computed_at: now }
    }

    /// The requests for a model that are under way at a runner.
    pub fn active_requests(&self, runner: &Name, name: &Name) -> u64 {
        let rows = self.active_by_runner.get(runner);
        rows.and_then(|rows| rows.iter().find(|r| r.0 == *name)).map_or(0, |r| r.1)
    }
}

impl Placement {
    /// Takes in a router's report.
    pub fn record_router_report(&mut self, from: NodeId, report: &Arc<RouterReport>, now: Time) {
        for name_usage in &report.uses {
            match self.last_used_at.get_mut(&name_usage.name) {
                Some(last) => *last = (*last).max(now - name_usage.idle),
                None => drop(self.last_used_at.insert(name_usage.name.clone(), now - name_usage.idle)),
            }
        }
        for (service, name, count) in &report.demand {
            let class = Class::Bulk;
            let want = UnmetDemand { service: service.clone(), name: name.clone(), class, count: *count };
            self.record_want(from, &want, now);
        }
        self.router_reports.insert(from, (now, report.clone()));
    }

    /// Computes the sums again, unless that was done a moment ago.
    pub fn refresh_usage(&mut self, now: Time) {
        let gap = Span(
            (REFRESH_INTERVAL_PER_ROUTER.0 * self.router_reports.len() as u64).max(MIN_REFRESH_INTERVAL.0),
        );
        if now.since(self.usage.computed_at) >= gap {
            self.router_reports.retain(|_, row| now.since(row.0) < REPORT_LIFETIME);
            self.usage = Arc::new(Usage::of(&self.router_reports, &self.last_used_at, now));
        }
    }
}
