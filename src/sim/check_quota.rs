//! Judges from outside whether any tenant ran more requests in a window than its quota allows.
#![deny(missing_docs)]

use super::check::Bad;
use super::record::{Asked, Fact};
use super::world::World;
use crate::constraints::QuotaSettings;
use crate::fleet::read::read_text;
use crate::fleet::tenants::QuotaLimit;
use crate::kernel::ids::Name;
use crate::kernel::time::Time;
use std::collections::BTreeMap;

/// When a request was sent, and when a runner began it first.
#[derive(Clone, Copy, Debug)]
pub struct RunTimes {
    /// As its client sent it.
    pub sent: Time,
    /// As the first runner began it.
    pub began: Time,
}

/// The requests of each tenant that ran, in the order in which they were sent.
pub fn runs_by_tenant(w: &World) -> BTreeMap<Name, Vec<RunTimes>> {
    let mut sent = BTreeMap::new();
    let mut began = BTreeMap::new();
    for (at, fact) in &w.record.rows {
        match fact {
            Fact::Called { call, .. } => drop(sent.insert(*call, *at)),
            Fact::RunBegan { call, .. } => drop(began.entry(*call).or_insert(*at)),
            _ => {}
        }
    }
    let mut runs: BTreeMap<Name, Vec<RunTimes>> = BTreeMap::new();
    for (call, sent) in sent {
        if let (Some(tenant), Some(began)) = (w.quota.sender(call), began.get(&call)) {
            runs.entry(tenant).or_default().push(RunTimes { sent, began: *began });
        }
    }
    runs
}

/// The most requests that were both sent and begun in one window.
pub fn most_in_a_window(runs: &[RunTimes], settings: QuotaSettings) -> u64 {
    let within = |from: &RunTimes| {
        let end = from.sent + settings.window;
        runs.iter().filter(|run| run.sent >= from.sent && run.began <= end).count() as u64
    };
    runs.iter().map(within).max().unwrap_or(0)
}

/// No tenant is over the highest limit that it ever had.
pub fn quotas(w: &World) -> Bad {
    let limits = highest_limits(w);
    let settings = QuotaSettings::default();
    let mut bad = Bad::new();
    for (tenant, runs) in runs_by_tenant(w) {
        let Some(limit) = limits.get(&tenant) else { continue };
        let (most, allowed) = (most_in_a_window(&runs, settings), settings.window_limit(*limit));
        if most as f64 > allowed {
            bad.push(format!("quota: {tenant} ran {most} requests in one window, {allowed:.1} allowed"));
        }
    }
    bad
}

fn highest_limits(w: &World) -> BTreeMap<Name, QuotaLimit> {
    let mut texts = vec![w.plan.config()];
    texts.extend(w.record.rows.iter().filter_map(|(_, fact)| match fact {
        Fact::Asked { what: Asked::Config { text, part: false, .. }, .. } => Some(text.clone()),
        _ => None,
    }));
    let mut limits: BTreeMap<Name, QuotaLimit> = BTreeMap::new();
    for config in texts.iter().filter_map(|text| read_text(text).ok()) {
        for tenant in config.tenants.iter() {
            let Some(quota) = tenant.quota else { continue };
            let limit = limits.entry(tenant.name.clone()).or_insert(quota);
            limit.rate_milli = limit.rate_milli.max(quota.rate_milli);
            limit.burst = limit.burst.max(quota.burst);
        }
    }
    limits
}
