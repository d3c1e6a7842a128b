use super::core::Balancer;
use super::held::LoadRequester;
use crate::constraints::shares::Shares;
use crate::fleet::config::Limits;
use crate::fleet::holdings::RunnerHoldings;
use crate::fleet::routes::RouteTable;
use crate::fleet::slice::{RouteRow, ServiceSlice, Slice};
use crate::fleet::state::{Candidate, Scope};
use crate::kernel::ids::*;
use crate::kernel::registry::Service;
use crate::kernel::time::{Span, Time};
use crate::msg::RouterReport;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, RwLock};

pub struct BalancerTable {
    pub domain: Name,
    pub(super) has_unpolled_plain_runners: bool,
    pub freshness_limit: Span,
    balancers: RwLock<BTreeMap<Name, Arc<Mutex<Balancer>>>>,
    routes: RwLock<(Version, Time, Arc<RouteTable>)>,
    pub(super) routes_leased_until: RwLock<Time>,
    candidate: Mutex<(Version, Option<Candidate>)>,
    pub(super) leaving_runners: Mutex<BTreeSet<Name>>,
    holdings: Mutex<BTreeMap<Name, RunnerHoldings>>,
    load_requester: Mutex<Option<LoadRequester>>,
    limits: Mutex<(Version, Limits)>,
    /// What this router holds of tenants' quotas.
    pub quota: Mutex<Shares>,
}

impl Service for BalancerTable {
    fn name(&self) -> &'static str {
        "table"
    }
}

impl BalancerTable {
    pub fn new(domain: Name, proof: Span) -> BalancerTable {
        BalancerTable {
            domain,
            has_unpolled_plain_runners: false,
            freshness_limit: proof,
            balancers: RwLock::default(),
            routes: RwLock::new((Version(0), Time(0), Arc::default())),
            routes_leased_until: RwLock::default(),
            candidate: Mutex::new((Version(0), None)),
            leaving_runners: Mutex::default(),
            holdings: Mutex::default(),
            load_requester: Mutex::default(),
            limits: Mutex::new((Version(0), Limits::default())),
            quota: Mutex::default(),
        }
    }

    /// A table of gates whose plain services have runners that don't report.
    pub fn with_unpolled_plain_runners(domain: Name, proof: Span) -> BalancerTable {
        BalancerTable { has_unpolled_plain_runners: true, ..BalancerTable::new(domain, proof) }
    }

    /// The limits on clients in the newest configuration known here.
    pub fn limits(&self) -> Limits {
        self.limits.lock().unwrap().1.clone()
    }

    fn learn_limits(&self, slice: &ServiceSlice) {
        let mut limits = self.limits.lock().unwrap();
        if slice.config_version >= limits.0 {
            *limits = (slice.config_version, slice.limits.clone());
        }
    }

    pub fn balancers(&self) -> Vec<Arc<Mutex<Balancer>>> {
        self.balancers.read().unwrap().values().cloned().collect()
    }

    pub fn get(&self, name: &Name) -> Option<Arc<Mutex<Balancer>>> {
        self.balancers.read().unwrap().get(name).cloned()
    }

    fn balancer_or_new(&self, name: &Name) -> Arc<Mutex<Balancer>> {
        if let Some(g) = self.get(name) {
            return g;
        }
        let mut balancers = self.balancers.write().unwrap();
        let new = || {
            let mut g = Balancer::new(name.clone(), self.domain.clone());
            g.load_requester = self.load_requester.lock().unwrap().clone();
            g.has_unpolled_plain_runners = self.has_unpolled_plain_runners;
            g.freshness_limit = self.freshness_limit;
            Arc::new(Mutex::new(g))
        };
        balancers.entry(name.clone()).or_insert_with(new).clone()
    }

    /// Whom gates tell of what no runner holds.
    pub fn set_load_requester(&self, asker: LoadRequester) {
        for g in self.balancers() {
            g.lock().unwrap().load_requester = Some(asker.clone());
        }
        *self.load_requester.lock().unwrap() = Some(asker);
    }

    pub fn on_holdings(&self, now: Time, rows: &[RunnerHoldings]) {
        let mut held = self.holdings.lock().unwrap();
        for row in rows {
            let old = held.remove(&row.runner).and_then(|o| o.holding);
            let holding = row.holding.clone().or(old);
            held.insert(row.runner.clone(), RunnerHoldings { holding, ..row.clone() });
        }
        drop(held);
        for g in self.balancers() {
            let mut g = g.lock().unwrap();
            let mut any = false;
            for row in rows {
                any |= g.on_holdings(now, row);
            }
            if any {
                g.route_waiting(now);
            }
        }
    }

    /// Marked runners count as leaving before waiting orders are planned by a new slice.
    fn mark_leaving_runners(&self, g: &mut Balancer, slice: &ServiceSlice) {
        let marks = self.leaving_runners.lock().unwrap();
        for runner in slice.runners.iter().filter(|runner| marks.contains(&runner.instance)) {
            g.health.entry(runner.instance.clone()).or_default().is_leaving = true;
        }
    }

    fn apply_known_holdings(&self, g: &mut Balancer, now: Time) {
        let held = self.holdings.lock().unwrap();
        let bare: Vec<Name> = g.health.iter().filter(|h| h.1.report.is_none()).map(|h| h.0.clone()).collect();
        for row in bare.iter().filter_map(|n| held.get(n)) {
            g.on_holdings(now, row);
        }
    }

    pub fn fresh_routes(&self, now: Time) -> Option<(Version, Arc<RouteTable>)> {
        let row = self.routes.read().unwrap();
        let fresh =
            now.since(row.1) < self.freshness_limit || now < *self.routes_leased_until.read().unwrap();
        fresh.then(|| (row.0, row.2.clone()))
    }

    pub fn find_route(&self, now: Time, host: &str, path: &str) -> Option<(Version, Option<RouteRow>)> {
        let (at, rows) = self.fresh_routes(now)?;
        Some((at, rows.find(host, path).cloned()))
    }

    pub fn candidate(&self) -> (Version, Option<Candidate>) {
        self.candidate.lock().unwrap().clone()
    }

    pub fn routes_version(&self) -> Version {
        self.routes.read().unwrap().0
    }

    pub fn apply_slice(&self, now: Time, scope: &Scope, at: Version, slice: Option<Slice>, proven: Time) {
        match scope {
            Scope::Routes => {
                let mut row = self.routes.write().unwrap();
                if at >= row.0 {
                    row.1 = row.1.max(proven);
                    row.0 = at;
                    if let Some(Slice::Routes(routes)) = slice {
                        row.2 = Arc::new(routes.into());
                    }
                }
                let (proven, rows) = (row.1, (row.0, row.2.clone()));
                drop(row);
                for g in self.balancers() {
                    let mut g = g.lock().unwrap();
                    g.routes_proven_at = proven;
                    if g.routes.0 != rows.0 {
                        g.routes = rows.clone();
                        g.route_waiting(now);
                    }
                }
            }
            Scope::Candidate => {
                let mut row = self.candidate.lock().unwrap();
                if let (true, Some(Slice::Candidate(t))) = (at >= row.0, slice) {
                    *row = (at, t);
                }
            }
            Scope::Service(name) => {
                let balancer = self.balancer_or_new(name);
                let (routes, rows) = {
                    let r = self.routes.read().unwrap();
                    (r.1, (r.0, r.2.clone()))
                };
                let mut g = balancer.lock().unwrap();
                if at < g.slice_version {
                    return;
                }
                let stale = !g.is_fresh(now);
                g.proven_at = g.proven_at.max(proven);
                g.routes_proven_at = g.routes_proven_at.max(routes);
                g.routes_leased_until = *self.routes_leased_until.read().unwrap();
                g.routes = rows;
                match slice {
                    Some(Slice::Service(s)) => {
                        self.learn_limits(&s);
                        self.mark_leaving_runners(&mut g, &s);
                        g.apply_slice(at, *s, now);
                        self.apply_known_holdings(&mut g, now);
                        g.route_waiting(now);
                    }
                    Some(Slice::Gone) => {
                        g.is_withdrawn = true;
                        g.slice_version = at;
                        g.route_waiting(now);
                    }
                    _ if stale => g.route_waiting(now),
                    _ => {}
                }
            }
            Scope::Duty => {}
        }
    }

    pub fn router_report(&self, now: Time) -> RouterReport {
        let mut out = RouterReport { routes_version: self.routes_version(), ..RouterReport::default() };
        for g in self.balancers() {
            g.lock().unwrap().fill_report(now, &mut out);
        }
        if let (_, Some(t)) = self.candidate() {
            out.candidate_seen = t.id;
        }
        out
    }
}
