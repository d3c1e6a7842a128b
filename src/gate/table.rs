use super::core::Gate;
use crate::fleet::slice::{RouteRow, Slice, route_match};
use crate::fleet::state::{Candidate, Scope};
use crate::kernel::ids::*;
use crate::kernel::registry::Service;
use crate::kernel::time::{Span, Time};
use crate::msg::RouterTell;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, RwLock};

pub struct Table {
    pub domain: Name,
    pub proof: Span,
    gates: RwLock<BTreeMap<Name, Arc<Mutex<Gate>>>>,
    routes: RwLock<(Version, Time, Arc<Vec<RouteRow>>)>,
    trial: Mutex<(Version, Option<Candidate>)>,
    marks: Mutex<BTreeSet<Name>>,
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
            proof,
            gates: RwLock::default(),
            routes: RwLock::new((Version(0), Time(0), Arc::default())),
            trial: Mutex::new((Version(0), None)),
            marks: Mutex::default(),
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
            let mut gate = Gate::new(name.clone(), self.domain.clone());
            gate.proof = self.proof;
            Arc::new(Mutex::new(gate))
        };
        gates.entry(name.clone()).or_insert_with(new).clone()
    }

    pub fn fresh_routes(&self, now: Time) -> Option<(Version, Arc<Vec<RouteRow>>)> {
        let row = self.routes.read().unwrap();
        (now.since(row.1) < self.proof).then(|| (row.0, row.2.clone()))
    }

    pub fn find(&self, now: Time, host: &str, path: &str) -> Option<(Version, Option<RouteRow>)> {
        let (at, rows) = self.fresh_routes(now)?;
        Some((at, route_match(&rows, host, path).cloned()))
    }

    pub fn trial(&self) -> (Version, Option<Candidate>) {
        self.trial.lock().unwrap().clone()
    }

    pub fn routes_at(&self) -> Version {
        self.routes.read().unwrap().0
    }

    pub fn learn(&self, now: Time, scope: &Scope, at: Version, slice: Option<Slice>, proven: Time) {
        match scope {
            Scope::Routes => {
                let mut row = self.routes.write().unwrap();
                if at >= row.0 {
                    row.1 = row.1.max(proven);
                    row.0 = at;
                    if let Some(Slice::Routes(rows)) = slice {
                        row.2 = Arc::new(rows);
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
            Scope::Trial => {
                let mut row = self.trial.lock().unwrap();
                if let (true, Some(Slice::Trial(t))) = (at >= row.0, slice) {
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
                g.routes = rows;
                match slice {
                    Some(Slice::Service(s)) => {
                        g.learn(at, *s, now);
                        for name in self.marks.lock().unwrap().iter() {
                            if let Some(h) = g.health.get_mut(name) {
                                h.leaving = true;
                            }
                        }
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

    pub fn tell(&self, now: Time) -> RouterTell {
        let mut out = RouterTell { routes_at: self.routes_at(), ..RouterTell::default() };
        for g in self.gates() {
            g.lock().unwrap().tell(now, &mut out);
        }
        if let (_, Some(t)) = self.trial() {
            out.trial_seen = t.id;
        }
        out
    }

    pub fn stop(&self, now: Time) {
        for g in self.gates() {
            let mut g = g.lock().unwrap();
            g.stopping = true;
            g.wake(now);
        }
    }

    pub fn mark(&self, now: Time, name: &Name) {
        self.marks.lock().unwrap().insert(name.clone());
        for g in self.gates() {
            let mut g = g.lock().unwrap();
            if let Some(h) = g.health.get_mut(name) {
                h.leaving = true;
                g.wake(now);
            }
        }
    }

    pub fn runners(&self) -> Vec<(Name, crate::fleet::runner::Runner)> {
        let mut out = Vec::new();
        for g in self.gates() {
            let g = g.lock().unwrap();
            if let Some(s) = &g.slice {
                out.extend(s.runners.iter().map(|r| (g.name.clone(), r.clone())));
            }
        }
        out
    }

    pub fn tick(&self, now: Time, routers: u64) {
        for g in self.gates() {
            let mut g = g.lock().unwrap();
            g.routers = routers.max(1);
            if let Some(s) = g.slice.clone() {
                g.tries.share = s.budget.allowance as f64 / g.routers as f64;
            }
            g.wake(now);
        }
    }
}
