//! Rehearsal of a candidate configuration: would recent requests still be served under it?

use super::table::BalancerTable;
use crate::fleet::config::{FleetConfig, ServiceKind};
use crate::fleet::routes::RouteTable;
use crate::fleet::slice::route_rows;
use crate::fleet::state::Candidate;
use crate::http::recent_requests::RecentRequest;
use crate::kernel::ids::Name;
use crate::kernel::time::{Clock, Time};
use crate::msg::{RehearsalResult, RouteTraffic};

/// Whether the candidate still offers what a recent request asked for.
fn check_offered(c: &FleetConfig, k: &RecentRequest) -> Result<(), String> {
    let Some(svc) = c.service(&k.service) else {
        return Err(format!("service {} is not offered", k.service));
    };
    if svc.sort == ServiceKind::Plain {
        return Ok(());
    }
    if !svc.models.contains(&k.model) {
        return Err(format!("model {} is not offered by {}", k.model, k.service));
    }
    let fit = |a: &Name| c.adapter(a).is_some_and(|row| row.model == k.model) && svc.adapters.contains(a);
    if !k.adapter.0.is_empty() && !fit(&k.adapter) {
        return Err(format!("adapter {} is not offered with {}", k.adapter, k.model));
    }
    Ok(())
}

/// Whether some runner holds the model.
fn is_held(table: &BalancerTable, now: Time, k: &RecentRequest) -> bool {
    let Some(balancer) = table.get(&k.service) else { return false };
    let balancer = balancer.lock().unwrap();
    let Some(slice) = &balancer.slice else { return false };
    if slice.service.sort == ServiceKind::Plain {
        return !slice.runners.is_empty();
    }
    let holds = |r: &crate::fleet::runner::Runner| {
        balancer
            .health
            .get(&r.instance)
            .and_then(|health| health.fresh_report(now))
            .is_some_and(|rep| rep.has(&k.model))
    };
    slice.runners.iter().any(|r| !r.leaving && holds(r))
}

/// Whether the route, the body limit, the queue and the expected wait still fit.
fn check_route(
    table: &BalancerTable,
    c: &FleetConfig,
    rows: &RouteTable,
    k: &RecentRequest,
) -> Result<(), String> {
    if k.path.is_empty() {
        return Ok(());
    }
    let Some(row) = rows.find(&k.host, &k.path) else {
        return Err(format!("no route is left for {}", k.path));
    };
    if !row.leads_to(&k.service) {
        return Err(format!("{} would go to {} instead of {}", k.path, row.service, k.service));
    }
    if k.body_kb > row.route.body_kb {
        return Err(format!("a body of {} KB is over the route's {}", k.body_kb, row.route.body_kb));
    }
    let (Some(balancer), Some(new)) = (table.get(&k.service), c.service(&k.service)) else { return Ok(()) };
    let balancer = balancer.lock().unwrap();
    let waiting = balancer.queue.len() as u64;
    if waiting > new.inbox {
        return Err(format!("{waiting} orders wait and the inbox would take {}", new.inbox));
    }
    let old = balancer.slice.as_ref().map_or(new.slots, |slice| slice.service.slots);
    let slower = old.max(1) as f64 / new.slots.clamp(1, old.max(1)) as f64;
    let held = balancer.throughput.occupancy_us(k.model.0.as_str()).unwrap_or(0.0) * (slower - 1.0);
    let wait = (if waiting > 0 { balancer.last_expected_wait.0 as f64 * slower } else { held }) / 1000.0;
    if wait > row.route.due_ms as f64 {
        return Err(format!("the wait would be {wait:.0} ms, its due is {}", row.route.due_ms));
    }
    Ok(())
}

/// Most routes reported.
const LIVE_ROUTES_MAX: usize = 8;

/// The routes of recent requests, the most used first.
pub fn live(table: &BalancerTable, now: Time, seen: &[RecentRequest]) -> Vec<RouteTraffic> {
    let mut rows: Vec<RouteTraffic> = Vec::new();
    for k in seen {
        let Some((_, Some(r))) = table.find_route(now, &k.host, &k.path) else { continue };
        match rows.iter_mut().find(|l| l.host == r.route.host && l.prefix == r.route.prefix) {
            Some(l) => l.orders += 1,
            None => rows.push(RouteTraffic {
                service: k.service.clone(),
                host: r.route.host.clone(),
                prefix: r.route.prefix.clone(),
                orders: 1,
            }),
        }
    }
    rows.sort_by_key(|l| std::cmp::Reverse(l.orders));
    rows.truncate(LIVE_ROUTES_MAX);
    rows
}

/// Checks recent requests against a candidate; configured samples if there were none.
pub fn rehearse(
    table: &BalancerTable,
    clock: &dyn Clock,
    trial: &Candidate,
    seen: &[RecentRequest],
) -> RehearsalResult {
    let mut out = RehearsalResult { id: trial.id, ..RehearsalResult::default() };
    let samples = trial.config.rollout.samples.iter();
    let samples: Vec<RecentRequest> = samples
        .map(|sample| RecentRequest {
            service: sample.service.clone(),
            model: sample.model.clone(),
            adapter: Name::default(),
            host: String::new(),
            path: String::new(),
            body_kb: 0,
        })
        .collect();
    let routes = RouteTable::from(route_rows(&trial.config));
    let rows = if seen.is_empty() { &samples[..] } else { seen };
    for k in rows {
        let began = clock.now();
        out.planned += 1;
        let fit = check_offered(&trial.config, k).and_then(|_| check_route(table, &trial.config, &routes, k));
        if let Err(why) = fit {
            out.refused += 1;
            out.why = why;
        } else if !is_held(table, began, k) {
            out.without_holder += 1;
        }
        out.worst_us = out.worst_us.max(clock.now().since(began).0);
    }
    out
}
