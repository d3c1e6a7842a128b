//! Simulated fleets whose requests come from tenants with quotas.

use spindledock::kernel::ids::*;
use spindledock::kernel::time::{Span, Time};
use spindledock::launch::deployment::{Deployment, small};
use spindledock::sim::World;
use spindledock::sim::quota::{SimTenant, key_of};

/// What the calm tenants send a second, each.
pub const USUAL_PER_S: f64 = 4.5;
/// What quotas allow of the usual.
pub const QUOTA_TIMES: f64 = 1.6;

pub struct TenantPlan {
    pub name: &'static str,
    pub weight: u64,
    pub rate_milli: u64,
    pub burst: u64,
}

/// A tenant that sends `times` its usual, under a quota for its usual.
pub fn tenant(name: &'static str, times: u64) -> TenantPlan {
    let rate = USUAL_PER_S * QUOTA_TIMES;
    TenantPlan { name, weight: times, rate_milli: (rate * 1000.0) as u64, burst: rate as u64 }
}

pub fn tenants_text(tenants: &[TenantPlan]) -> String {
    let row = |t: &TenantPlan| {
        let (name, key) = (t.name, key_of(&Name::from(t.name)));
        let limits = format!("\"rate_milli\":{},\"burst\":{}", t.rate_milli, t.burst);
        format!("{{\"name\":\"{name}\",\"keys\":[\"{key}\"],{limits}}}")
    };
    tenants.iter().map(row).collect::<Vec<_>>().join(",")
}

pub fn config(base: &Deployment, tenants: &[TenantPlan]) -> String {
    let text = base.config();
    let body = text.trim_end().strip_suffix('}').expect("a JSON object").to_string();
    format!("{body},\"tenants\":[{}]}}", tenants_text(tenants))
}

/// A fleet whose requests come from these tenants, with its models loaded.
pub fn fleet(tenants: &[TenantPlan], core: usize, seed: u64) -> World {
    let base = Deployment { core, ..small() };
    let plan = Deployment { text: Some(config(&base, tenants)), ..base };
    let mut w = World::build(plan, seed);
    w.quota.tenants =
        tenants.iter().map(|t| SimTenant { name: Name::from(t.name), weight: t.weight }).collect();
    w.found_fleet();
    w.run_for(Span::ms(4000));
    w
}

/// Traffic at the usual rate of each tenant times its weight.
pub fn traffic(w: &mut World, lasting: Span) {
    let all: u64 = w.quota.tenants.iter().map(|tenant| tenant.weight).sum();
    let flows: f64 = w.flows_for(1, 1.0, Time(0)).iter().map(|flow| flow.per_s).sum();
    w.traffic(2, USUAL_PER_S * all as f64 / flows, lasting);
}
