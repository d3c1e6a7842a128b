//! All balancers of a router, with the routes, limits and quota shares that they have in common.

use super::core::Balancer;
use super::held::LoadRequester;
use crate::constraints::shares::Shares;
use crate::fleet::config::Limits;
use crate::fleet::holdings::RunnerHoldings;
use crate::fleet::routes::RouteTable;
use crate::fleet::slice::{ServiceSlice, Slice};
use crate::fleet::state::{Candidate, Scope};
use crate::kernel::ids::*;
use crate::kernel::registry::Service;
use crate::kernel::time::{Span, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, RwLock};

/// State of a router that its balancers share; every part has a lock of its own.
pub struct BalancerTable {
    /// The failure domain (zone) of this router.
    pub domain: Name,
    pub(super) has_unpolled_plain_runners: bool,
    /// How long a proof that the configuration is current stays valid.
    pub freshness_limit: Span,
    balancers: RwLock<BTreeMap<Name, Arc<Mutex<Balancer>>>>,
    pub(super) routes: RwLock<(Version, Time, Arc<RouteTable>)>,
    pub(super) routes_leased_until: RwLock<Time>,
    candidate: Mutex<(Version, Option<Candidate>)>,
    pub(super) leaving_runners: Mutex<BTreeSet<Name>>,
    holdings: Mutex<BTreeMap<Name, RunnerHoldings>>,
    load_requester: Mutex<Option<LoadRequester>>,
    limits: Mutex<(Version, Limits)>,
    /// The share of tenants' quotas held by this router.
    pub quota: Mutex<Shares>,
}

impl Service for BalancerTable {
    fn name(&self) -> &'static str {
        "table"
    }
}

impl BalancerTable {
    /// An empty table.
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

    /// A table whose plain services have runners that send no reports.
    pub fn with_unpolled_plain_runners(domain: Name, proof: Span) -> BalancerTable {
        BalancerTable { has_unpolled_plain_runners: true, ..BalancerTable::new(domain, proof) }
    }

    /// Limits on clients in the newest configuration known here.
    pub fn limits(&self) -> Limits {
        self.limits.lock().unwrap().1.clone()
    }

    fn learn_limits(&self, slice: &ServiceSlice) {
        let mut limits = self.limits.lock().unwrap();
        if slice.config_version >= limits.0 {
            *limits = (slice.config_version, slice.limits.clone());
        }
    }

    /// All balancers.
    pub fn balancers(&self) -> Vec<Arc<Mutex<Balancer>>> {
        self.balancers.read().unwrap().values().cloned().collect()
    }

    /// The balancer of a service.
    pub fn get(&self, name: &Name) -> Option<Arc<Mutex<Balancer>>> {
        self.balancers.read().unwrap().get(name).cloned()
    }

    fn balancer_or_new(&self, name: &Name) -> Arc<Mutex<Balancer>> {
        if let Some(balancer) = self.get(name) {
            return balancer;
        }
        let mut balancers = self.balancers.write().unwrap();
        let new = || {
            let mut balancer = Balancer::new(name.clone(), self.domain.clone());
            balancer.load_requester = self.load_requester.lock().unwrap().clone();
            balancer.has_unpolled_plain_runners = self.has_unpolled_plain_runners;
            balancer.freshness_limit = self.freshness_limit;
            Arc::new(Mutex::new(balancer))
        };
        balancers.entry(name.clone()).or_insert_with(new).clone()
    }

    /// Sets who is told of weights that no runner holds.
    pub fn set_load_requester(&self, asker: LoadRequester) {
        for balancer in self.balancers() {
            balancer.lock().unwrap().load_requester = Some(asker.clone());
        }
        *self.load_requester.lock().unwrap() = Some(asker);
    }

    /// Applies what the placement tells of runners, then retries waiting requests.
    pub fn on_holdings(&self, now: Time, rows: &[RunnerHoldings]) {
        let mut held = self.holdings.lock().unwrap();
        for row in rows {
            let old = held.remove(&row.runner).and_then(|o| o.holding);
            let holding = row.holding.clone().or(old);
            held.insert(row.runner.clone(), RunnerHoldings { holding, ..row.clone() });
        }
        drop(held);
        for balancer in self.balancers() {
            let mut balancer = balancer.lock().unwrap();
            let mut any = false;
            for row in rows {
                any |= balancer.on_holdings(now, row);
            }
            if any {
                balancer.route_waiting(now);
            }
        }
    }

    /// Marks runners as leaving before waiting requests are routed by a new slice.
    fn mark_leaving_runners(&self, balancer: &mut Balancer, slice: &ServiceSlice) {
        let marks = self.leaving_runners.lock().unwrap();
        for runner in slice.runners.iter().filter(|runner| marks.contains(&runner.instance)) {
            balancer.health.entry(runner.instance.clone()).or_default().is_leaving = true;
        }
    }

    /// Applies stored holdings to runners that are new in this balancer.
    fn apply_known_holdings(&self, balancer: &mut Balancer, now: Time) {
        let held = self.holdings.lock().unwrap();
        let bare: Vec<Name> = balancer
            .health
            .iter()
            .filter(|health| health.1.report.is_none())
            .map(|health| health.0.clone())
            .collect();
        for row in bare.iter().filter_map(|n| held.get(n)) {
            balancer.on_holdings(now, row);
        }
    }

    /// The candidate configuration that is rehearsed, with the version of its topic.
    pub fn candidate(&self) -> (Version, Option<Candidate>) {
        self.candidate.lock().unwrap().clone()
    }

    /// Applies an update of a topic; without a slice it only renews the proof.
    pub fn apply_slice(&self, now: Time, scope: &Scope, at: Version, slice: Option<Slice>, proven: Time) {
        match scope {
            Scope::Routes => self.apply_routes(now, at, slice, proven),
            Scope::Candidate => self.apply_candidate(at, slice),
            Scope::Service(name) => self.apply_service(now, name, at, slice, proven),
            Scope::Duty => {}
        }
    }

    fn apply_routes(&self, now: Time, at: Version, slice: Option<Slice>, proven: Time) {
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
        for balancer in self.balancers() {
            let mut balancer = balancer.lock().unwrap();
            balancer.routes_proven_at = proven;
            if balancer.routes.0 != rows.0 {
                balancer.routes = rows.clone();
                balancer.route_waiting(now);
            }
        }
    }

    fn apply_candidate(&self, at: Version, slice: Option<Slice>) {
        let mut row = self.candidate.lock().unwrap();
        if let (true, Some(Slice::Candidate(candidate))) = (at >= row.0, slice) {
            *row = (at, candidate);
        }
    }

    fn apply_service(&self, now: Time, name: &Name, at: Version, slice: Option<Slice>, proven: Time) {
        let balancer = self.balancer_or_new(name);
        let (routes_proven, rows) = {
            let row = self.routes.read().unwrap();
            (row.1, (row.0, row.2.clone()))
        };
        let mut balancer = balancer.lock().unwrap();
        if at < balancer.slice_version {
            return;
        }
        let stale = !balancer.is_fresh(now);
        balancer.proven_at = balancer.proven_at.max(proven);
        balancer.routes_proven_at = balancer.routes_proven_at.max(routes_proven);
        balancer.routes_leased_until = *self.routes_leased_until.read().unwrap();
        balancer.routes = rows;
        match slice {
            Some(Slice::Service(slice)) => {
                self.learn_limits(&slice);
                self.mark_leaving_runners(&mut balancer, &slice);
                balancer.apply_slice(at, *slice, now);
                self.apply_known_holdings(&mut balancer, now);
                balancer.route_waiting(now);
            }
            Some(Slice::Gone) => {
                balancer.is_withdrawn = true;
                balancer.slice_version = at;
                balancer.route_waiting(now);
            }
            _ if stale => balancer.route_waiting(now),
            _ => {}
        }
    }
}
