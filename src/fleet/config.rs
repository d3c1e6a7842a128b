use super::former::FormerWeight;
use super::named::{Named, NamedList};
use super::tenants::Tenant;
use crate::kernel::ids::Name;
use bitcode::{Decode, Encode};

#[derive(Clone, PartialEq, Debug, Default, Encode, Decode)]
pub struct FleetConfig {
    pub revision: u64,
    pub source: String,
    pub limits: Limits,
    pub store: Store,
    pub budget: Budget,
    pub moving: Moving,
    pub rollout: Rollout,
    pub placement: PlacementSettings,
    pub models: NamedList<Model>,
    pub adapters: NamedList<Adapter>,
    pub services: Vec<Service>,
    /// Who may send requests; without any, everybody may.
    pub tenants: NamedList<Tenant>,
    /// What runners may still hold of earlier configurations.
    pub former: NamedList<FormerWeight>,
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Limits {
    pub head_bytes: u64,
    pub body_bytes: u64,
    pub head_ms: u64,
    pub idle_ms: u64,
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Store {
    pub loads_per_minute: u64,
    pub burst: u64,
    pub window_ms: u64,
    pub most: u64,
    pub at_once: u64,
    pub kept_ms: u64,
    pub adapters: bool,
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Budget {
    pub percent: u64,
    pub allowance: u64,
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Moving {
    pub gap: u64,
    pub rounds: u64,
    pub round_ms: u64,
    pub cut_ms: u64,
    pub load: Allowance,
    pub warm: Allowance,
    pub unload: Allowance,
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Allowance {
    pub ms: u64,
    pub tries: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Encode, Decode)]
pub enum PlacementStrategy {
    Least,
    Greedy,
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct PlacementSettings {
    pub auto: bool,
    pub way: PlacementStrategy,
    pub stage: Allowance,
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Rollout {
    pub deliver: Allowance,
    pub rehearse: Allowance,
    pub refused_percent: u64,
    pub samples: Vec<Sample>,
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Sample {
    pub service: Name,
    pub model: Name,
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Model {
    pub name: Name,
    pub weight_mb: u64,
    pub load_ms: u64,
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Adapter {
    pub name: Name,
    pub model: Name,
    pub weight_mb: u64,
    pub load_ms: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Encode, Decode)]
pub enum ServiceKind {
    Assistant,
    Plain,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Encode, Decode)]
pub enum Class {
    Counter,
    Chat,
    Normal,
    Bulk,
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Service {
    pub name: Name,
    pub sort: ServiceKind,
    pub inbox: u64,
    pub slots: u64,
    pub links: u64,
    pub health: String,
    pub tokens: u64,
    pub stride: u64,
    pub room_mb: u64,
    pub places: u64,
    pub models: Vec<Name>,
    pub adapters: Vec<Name>,
    pub routes: Vec<Route>,
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Route {
    pub prefix: String,
    pub host: String,
    pub class: Class,
    pub resumable: bool,
    pub due_ms: u64,
    pub body_kb: u64,
    pub kind: RouteKind,
    pub tries: u64,
    pub aim_ms: u64,
    pub gap_ms: u64,
    pub sticky: bool,
    /// Whether requests need no key.
    pub open: bool,
    pub split: Vec<Share>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Encode, Decode)]
pub enum RouteKind {
    Once,
    Idempotent,
    Stream,
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Share {
    pub service: Name,
    pub weight: u64,
}

impl FleetConfig {
    pub fn service(&self, name: &Name) -> Option<&Service> {
        self.services.iter().find(|s| s.name == *name)
    }

    pub fn model(&self, name: &Name) -> Option<&Model> {
        self.models.named(name)
    }

    pub fn adapter(&self, name: &Name) -> Option<&Adapter> {
        self.adapters.named(name)
    }

    pub fn weight(&self, name: &Name) -> Option<u64> {
        let model = self.model(name).map(|m| m.weight_mb);
        model.or_else(|| self.adapter(name).map(|a| a.weight_mb))
    }

    pub fn load_ms(&self, name: &Name) -> u64 {
        let model = self.model(name).map(|m| m.load_ms);
        model.or_else(|| self.adapter(name).map(|a| a.load_ms)).unwrap_or(1000)
    }
}

impl Named for Model {
    fn name(&self) -> &Name {
        &self.name
    }
}

impl Named for Adapter {
    fn name(&self) -> &Name {
        &self.name
    }
}

impl From<&str> for RouteKind {
    fn from(t: &str) -> RouteKind {
        match t {
            "idempotent" => RouteKind::Idempotent,
            "stream" => RouteKind::Stream,
            _ => RouteKind::Once,
        }
    }
}

impl std::fmt::Display for RouteKind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            RouteKind::Once => "once",
            RouteKind::Idempotent => "idempotent",
            RouteKind::Stream => "stream",
        })
    }
}

impl std::fmt::Display for Class {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Class::Counter => "counter",
            Class::Chat => "chat",
            Class::Normal => "normal",
            Class::Bulk => "bulk",
        })
    }
}

impl From<&str> for Class {
    fn from(t: &str) -> Class {
        match t {
            "counter" => Class::Counter,
            "chat" => Class::Chat,
            "bulk" => Class::Bulk,
            _ => Class::Normal,
        }
    }
}
