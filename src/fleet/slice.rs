use super::config::*;
use super::named::NamedList;
use super::plan::{PlacementPlan, PlanState, PlanStep};
use super::runner::Runner;
use super::state::*;
use super::tenants::Tenant;
use crate::kernel::ids::*;
use crate::kernel::rand::hash;
use bitcode::{Decode, Encode};

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum Slice {
    Routes(RoutesSlice),
    Candidate(Option<Candidate>),
    Duty(Box<DutySlice>),
    Service(Box<ServiceSlice>),
    Gone,
}

/// What a request is admitted by: the routes and the tenants of one configuration.
#[derive(Clone, PartialEq, Debug, Default, Encode, Decode)]
pub struct RoutesSlice {
    pub rows: Vec<RouteRow>,
    pub tenants: Vec<Tenant>,
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct DutySlice {
    pub config: FleetConfig,
    pub config_version: Version,
    pub plans: Vec<PlacementPlan>,
    pub plan_ask: Option<ChangeId>,
    pub duty: Option<Duty>,
    pub runners: Vec<Runner>,
    pub moves: Vec<MovePlan>,
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct RouteRow {
    pub service: Name,
    pub route: Route,
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct ServiceSlice {
    pub config_version: Version,
    pub service: Service,
    pub models: Vec<Model>,
    pub adapters: Vec<Adapter>,
    pub store: Store,
    pub budget: Budget,
    pub moving: Moving,
    pub runners: Vec<Runner>,
    pub moves: Vec<MovePlan>,
    pub duty: Term,
    pub limits: Limits,
}

impl FleetState {
    pub fn slice(&self, scope: &Scope) -> Slice {
        match scope {
            Scope::Routes => Slice::Routes(RoutesSlice::of(&self.config)),
            Scope::Candidate => Slice::Candidate(self.candidate.clone()),
            Scope::Duty => Slice::Duty(Box::new(DutySlice {
                config: FleetConfig {
                    source: String::new(),
                    tenants: NamedList::default(),
                    ..self.config.clone()
                },
                duty: self.duty.clone(),
                runners: self.runners.clone(),
                moves: self.moves.iter().filter(|m| m.is_active() || self.planned(m.id)).cloned().collect(),
                config_version: self.config_version,
                plans: self
                    .plans
                    .iter()
                    .filter(|p| p.is_running() || p.state == PlanState::Proposed)
                    .cloned()
                    .collect(),
                plan_ask: self.plan_ask,
            })),
            Scope::Service(name) => {
                let Some(service) = self.config.service(name) else { return Slice::Gone };
                let mut s = service_slice(&self.config, service);
                s.config_version = self.config_version;
                s.duty = self.duty.as_ref().map_or(Term(0), |d| d.term);
                s.runners = self.runners.iter().filter(|r| r.service == *name).cloned().collect();
                s.moves = self.active_moves().filter(|m| m.service == *name).cloned().collect();
                Slice::Service(Box::new(s))
            }
        }
    }
}

impl FleetState {
    fn planned(&self, id: MoveId) -> bool {
        let same = |x: &PlanStep| matches!(x, PlanStep::Move { id: m, .. } if *m == id);
        self.plans.iter().filter(|p| p.is_running()).flat_map(|p| p.steps()).any(same)
    }
}

pub fn route_rows(c: &FleetConfig) -> Vec<RouteRow> {
    let mut rows = Vec::new();
    for s in &c.services {
        rows.extend(s.routes.iter().map(|r| RouteRow { service: s.name.clone(), route: r.clone() }));
    }
    rows.sort_by_key(|r| (std::cmp::Reverse(r.route.prefix.len()), r.route.host.is_empty()));
    rows
}

pub fn service_slice(c: &FleetConfig, service: &Service) -> ServiceSlice {
    ServiceSlice {
        config_version: Version(0),
        service: service.clone(),
        models: c.models.iter().filter(|m| service.models.contains(&m.name)).cloned().collect(),
        store: c.store.clone(),
        adapters: c.adapters.iter().filter(|a| service.adapters.contains(&a.name)).cloned().collect(),
        budget: c.budget.clone(),
        moving: c.moving.clone(),
        runners: Vec::new(),
        moves: Vec::new(),
        duty: Term(0),
        limits: c.limits.clone(),
    }
}

pub fn route_match<'a>(rows: &'a [RouteRow], host: &str, path: &str) -> Option<&'a RouteRow> {
    rows.iter().find(|r| {
        let tail = path.strip_prefix(r.route.prefix.as_str());
        let edge = |t: &str| t.is_empty() || r.route.prefix.ends_with('/') || t.starts_with(['/', '?']);
        (r.route.host.is_empty() || r.route.host == host) && tail.is_some_and(edge)
    })
}

impl Slice {
    pub fn fingerprint(&self) -> (Version, u64) {
        match self {
            Slice::Routes(routes) => (Version(0), routes.fingerprint()),
            Slice::Service(s) => (s.config_version, s.fingerprint()),
            _ => (Version(0), 0),
        }
    }
}

impl RoutesSlice {
    /// What routers admit requests by under this configuration.
    pub fn of(config: &FleetConfig) -> RoutesSlice {
        RoutesSlice { rows: route_rows(config), tenants: config.tenants.to_vec() }
    }

    /// A number that is equal for equal content.
    pub fn fingerprint(&self) -> u64 {
        hash(&format!("{self:?}"), 1)
    }
}

impl ServiceSlice {
    pub fn load_ms(&self, name: &Name) -> u64 {
        let model = self.models.iter().find(|m| m.name == *name).map(|m| m.load_ms);
        let found = model.or_else(|| self.adapters.iter().find(|a| a.name == *name).map(|a| a.load_ms));
        found.unwrap_or(1000)
    }

    pub fn fingerprint(&self) -> u64 {
        let parts = (&self.service, &self.adapters, &self.budget, &self.moving, &self.limits);
        hash(&format!("{parts:?}"), 2)
    }
}
