//! Slices: the parts of the state that are distributed as topics.

use super::config::*;
use super::named::NamedList;
use super::plan::{PlacementPlan, PlanState, PlanStep};
use super::runner::Runner;
use super::state::*;
use super::tenants::Tenant;
use crate::kernel::ids::*;
use crate::kernel::rand::hash;
use bitcode::{Decode, Encode};

/// The content of a topic.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum Slice {
    /// Content of `Scope::Routes`.
    Routes(RoutesSlice),
    /// Content of `Scope::Candidate`.
    Candidate(Option<Candidate>),
    /// Content of `Scope::Duty`.
    Duty(Box<DutySlice>),
    /// Content of `Scope::Service`.
    Service(Box<ServiceSlice>),
    /// The service is no longer in the configuration.
    Gone,
}

/// What requests are admitted by: the routes and the tenants of one configuration.
#[derive(Clone, PartialEq, Debug, Default, Encode, Decode)]
pub struct RoutesSlice {
    /// The routes, in the order of [`route_rows`].
    pub rows: Vec<RouteRow>,
    /// The tenants.
    pub tenants: Vec<Tenant>,
}

/// What the holder of the placement duty needs.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct DutySlice {
    /// The configuration, without its source and tenants.
    pub config: FleetConfig,
    /// The version at which it came into force.
    pub config_version: Version,
    /// The plans that run or are proposed.
    pub plans: Vec<PlacementPlan>,
    /// The operator's call that asks for a plan.
    pub plan_ask: Option<ChangeId>,
    /// Who holds the duty.
    pub duty: Option<Duty>,
    /// All runners.
    pub runners: Vec<Runner>,
    /// The moves that have not ended, and those of running plans.
    pub moves: Vec<MovePlan>,
}

/// A route and the service to which it belongs.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct RouteRow {
    /// The service.
    pub service: Name,
    /// The route.
    pub route: Route,
}

/// What a router needs to handle the requests of one service.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct ServiceSlice {
    /// The version at which the configuration came into force.
    pub config_version: Version,
    /// The service.
    pub service: Service,
    /// Its models.
    pub models: Vec<Model>,
    /// Its adapters.
    pub adapters: Vec<Adapter>,
    /// The limits on loads.
    pub store: Store,
    /// Its retry budget.
    pub budget: Budget,
    /// The limits for moves.
    pub moving: Moving,
    /// Its runners.
    pub runners: Vec<Runner>,
    /// Its moves that have not ended.
    pub moves: Vec<MovePlan>,
    /// The term of the placement duty; 0 before the first.
    pub duty: Term,
    /// The limits on requests.
    pub limits: Limits,
}

impl FleetState {
    /// The content of a topic.
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

/// All routes, longest prefix first, and at equal length those that name a host first.
pub fn route_rows(c: &FleetConfig) -> Vec<RouteRow> {
    let mut rows = Vec::new();
    for s in &c.services {
        rows.extend(s.routes.iter().map(|r| RouteRow { service: s.name.clone(), route: r.clone() }));
    }
    rows.sort_by_key(|r| (std::cmp::Reverse(r.route.prefix.len()), r.route.host.is_empty()));
    rows
}

/// The part of a service's slice that comes from the configuration; runners, moves and term are empty.
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

/// The first route that matches; a slow equivalent of [`super::routes::RouteTable::find`].
pub fn route_match<'a>(rows: &'a [RouteRow], host: &str, path: &str) -> Option<&'a RouteRow> {
    rows.iter().find(|r| {
        let tail = path.strip_prefix(r.route.prefix.as_str());
        let edge = |t: &str| t.is_empty() || r.route.prefix.ends_with('/') || t.starts_with(['/', '?']);
        (r.route.host.is_empty() || r.route.host == host) && tail.is_some_and(edge)
    })
}

impl Slice {
    /// The version of the configuration and a hash that is equal for equal content; only of routes and
    /// services.
    pub fn fingerprint(&self) -> (Version, u64) {
        match self {
            Slice::Routes(routes) => (Version(0), routes.fingerprint()),
            Slice::Service(s) => (s.config_version, s.fingerprint()),
            _ => (Version(0), 0),
        }
    }
}

impl RoutesSlice {
    /// The routes and tenants of a configuration.
    pub fn of(config: &FleetConfig) -> RoutesSlice {
        RoutesSlice { rows: route_rows(config), tenants: config.tenants.to_vec() }
    }

    /// A hash that is equal for equal content.
    pub fn fingerprint(&self) -> u64 {
        hash(&format!("{self:?}"), 1)
    }
}

impl ServiceSlice {
    /// How long the model or adapter of this name takes to load; a second if it is unknown.
    pub fn load_ms(&self, name: &Name) -> u64 {
        let model = self.models.iter().find(|m| m.name == *name).map(|m| m.load_ms);
        let found = model.or_else(|| self.adapters.iter().find(|a| a.name == *name).map(|a| a.load_ms));
        found.unwrap_or(1000)
    }

    /// A hash of the parts that come from the configuration.
    pub fn fingerprint(&self) -> u64 {
        let parts = (&self.service, &self.adapters, &self.budget, &self.moving, &self.limits);
        hash(&format!("{parts:?}"), 2)
    }
}
