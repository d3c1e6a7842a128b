use super::core::Gate;
use super::held::Asker;
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

pub struct Table {
    pub domain: Name,
    pub(super) bare_plain: bool,
    pub proof: Span,
    gates: RwLock<BTreeMap<Name, Arc<Mutex<Gate>>>>,
    routes: RwLock<(Version, Time, Arc<RouteTable>)>,
    pub(super) routes_leased_until: RwLock<Time>,
    trial: Mutex<(Version, Option<Candidate>)>,
    pub(super) marks: Mutex<BTreeSet<Name>>,
    held: Mutex<BTreeMap<Name, RunnerHoldings>>,
    asker: Mutex<Option<Asker>>,
    limits: Mutex<(Version, Limits)>,
    /// What this router holds of tenants' quotas.
    pub quota: Mutex<Shares>,
}

impl Service for Table {
    fn name(&self) -> &'static str {
        "table"
    }
}

impl Table {
    pub fn new(domain: Name, proof: Span) -> Table {
        Table {
            domain,
            bare_plain: false,
            proof,
            gates: RwLock::default(),
            routes: RwLock::new((Version(0), Time(0), Arc::default())),
            routes_leased_until: RwLock::default(),
            trial: Mutex::new((Version(0), None)),
            marks: Mutex::default(),
            held: Mutex::default(),
            asker: Mutex::default(),
            limits: Mutex::new((Version(0), Limits::default())),
            quota: Mutex::default(),
        }
    }

    /// A table of gates whose plain services have runners that don't report.
    pub fn bare(domain: Name, proof: Span) -> Table {
        Table { bare_plain: true, ..Table::new(domain, proof) }
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

    pub fn gates(&self) -> Vec<Arc<Mutex<Gate>>> {
        self.gates.read().unwrap().values().cloned().collect()
    }

    pub fn gate(&self, name: &Name) -> Option<Arc<Mutex<Gate>>> {
        self.gates.read().unwrap().get(name).cloned()
    }

    fn gate_or_new(&self, name: &Name) -> Arc<Mutex<Gate>> {
        if let Some(g) = self.gate(name) {
            return g;
        }
        let mut gates = self.gates.write().unwrap();
        let new = || {
            let mut g = Gate::new(name.clone(), self.domain.clone());
            g.asker = self.asker.lock().unwrap().clone();
            g.bare_plain = self.bare_plain;
            g.proof = self.proof;
            Arc::new(Mutex::new(g))
        };
        gates.entry(name.clone()).or_insert_with(new).clone()
    }

    /// Whom gates tell of what no runner holds.
    pub fn on_want(&self, asker: Asker) {
        for g in self.gates() {
            g.lock().unwrap().asker = Some(asker.clone());
        }
        *self.asker.lock().unwrap() = Some(asker);
    }

    pub fn held(&self, now: Time, rows: &[RunnerHoldings]) {
        let mut held = self.held.lock().unwrap();
        for row in rows {
            let old = held.remove(&row.runner).and_then(|o| o.holding);
            let holding = row.holding.clone().or(old);
            held.insert(row.runner.clone(), RunnerHoldings { holding, ..row.clone() });
        }
        drop(held);
        for g in self.gates() {
            let mut g = g.lock().unwrap();
            let mut any = false;
            for row in rows {
                any |= g.held(now, row);
            }
            if any {
                g.wake(now);
            }
        }
    }

    /// Marked runners count as leaving before waiting orders are planned by a new slice.
    fn apply_marks(&self, g: &mut Gate, slice: &ServiceSlice) {
        let marks = self.marks.lock().unwrap();
        for runner in slice.runners.iter().filter(|runner| marks.contains(&runner.instance)) {
            g.health.entry(runner.instance.clone()).or_default().leaving = true;
        }
    }

    fn known(&self, g: &mut Gate, now: Time) {
        let held = self.held.lock().unwrap();
        let bare: Vec<Name> = g.health.iter().filter(|h| h.1.report.is_none()).map(|h| h.0.clone()).collect();
        for row in bare.iter().filter_map(|n| held.get(n)) {
            g.held(now, row);
        }
    }

    pub fn fresh_routes(&self, now: Time) -> Option<(Version, Arc<RouteTable>)> {
        let row = self.routes.read().unwrap();
        let fresh = now.since(row.1) < self.proof || now < *self.routes_leased_until.read().unwrap();
        fresh.then(|| (row.0, row.2.clone()))
    }

    pub fn find(&self, now: Time, host: &str, path: &str) -> Option<(Version, Option<RouteRow>)> {
        let (at, rows) = self.fresh_routes(now)?;
        Some((at, rows.find(host, path).cloned()))
    }

    pub fn trial(&self) -> (Version, Option<Candidate>) {
        self.trial.lock().unwrap().clone()
    }

    pub fn routes_version(&self) -> Version {
        self.routes.read().unwrap().0
    }

    pub fn learn(&self, now: Time, scope: &Scope, at: Version, slice: Option<Slice>, proven: Time) {
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
                for g in self.gates() {
                    let mut g = g.lock().unwrap();
                    g.routes_proven = proven;
                    if g.routes.0 != rows.0 {
                        g.routes = rows.clone();
                        g.wake(now);
                    }
                }
            }
            Scope::Candidate => {
                let mut row = self.trial.lock().unwrap();
                if let (true, Some(Slice::Candidate(t))) = (at >= row.0, slice) {
                    *row = (at, t);
                }
            }
            Scope::Service(name) => {
                let gate = self.gate_or_new(name);
                let (routes, rows) = {
                    let r = self.routes.read().unwrap();
                    (r.1, (r.0, r.2.clone()))
                };
                let mut g = gate.lock().unwrap();
                if at < g.at {
                    return;
                }
                let stale = !g.is_fresh(now);
                g.proven = g.proven.max(proven);
                g.routes_proven = g.routes_proven.max(routes);
                g.routes_leased_until = *self.routes_leased_until.read().unwrap();
                g.routes = rows;
                match slice {
                    Some(Slice::Service(s)) => {
                        self.learn_limits(&s);
                        self.apply_marks(&mut g, &s);
                        g.learn(at, *s, now);
                        self.known(&mut g, now);
                        g.wake(now);
                    }
                    Some(Slice::Gone) => {
                        g.gone = true;
                        g.at = at;
                        g.wake(now);
                    }
                    _ if stale => g.wake(now),
                    _ => {}
                }
            }
            Scope::Duty => {}
        }
    }

    pub fn tell(&self, now: Time) -> RouterReport {
        let mut out = RouterReport { routes_version: self.routes_version(), ..RouterReport::default() };
        for g in self.gates() {
            g.lock().unwrap().tell(now, &mut out);
        }
        if let (_, Some(t)) = self.trial() {
            out.candidate_seen = t.id;
        }
        out
    }
}
