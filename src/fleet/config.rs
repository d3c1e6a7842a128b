//! The fleet configuration. Field names are those of the product's own format; see [`super::read`] for ranges
//! and defaults.

use super::former::FormerWeight;
use super::named::{Named, NamedList};
pub use super::service::*;
use super::tenants::Tenant;
use crate::kernel::ids::Name;
use bitcode::{Decode, Encode};

/// A whole configuration.
#[derive(Clone, PartialEq, Debug, Default, Encode, Decode)]
pub struct FleetConfig {
    /// The revision that a platform's document states; 0 in the product's own format.
    pub revision: u64,
    /// The platform's document that this was made from; empty in the product's own format. It holds
    /// tenants' keys.
    pub source: String,
    /// Limits on requests.
    pub limits: Limits,
    /// The rate at which the weight store may be loaded from.
    pub store: Store,
    /// The retry budget.
    pub budget: Budget,
    /// Limits for moves of models.
    pub moving: Moving,
    /// Limits for changes of the configuration.
    pub rollout: Rollout,
    /// How plans are made and accepted.
    pub placement: PlacementSettings,
    /// All models.
    pub models: NamedList<Model>,
    /// All adapters.
    pub adapters: NamedList<Adapter>,
    /// All services with their routes.
    pub services: Vec<Service>,
    /// Who may send requests; if empty, everybody may.
    pub tenants: NamedList<Tenant>,
    /// Models and adapters of earlier configurations that runners may still hold.
    pub former: NamedList<FormerWeight>,
}

/// Limits on requests.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Limits {
    /// The maximum size of a request's head.
    pub head_bytes: u64,
    /// The maximum size of a request's body.
    pub body_bytes: u64,
    /// The time within which a request's head must arrive.
    pub head_ms: u64,
    /// How long a client connection may be idle.
    pub idle_ms: u64,
}

/// Limits on loads from the weight store.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Store {
    /// The steady rate of loads.
    pub loads_per_minute: u64,
    /// The loads that may be saved up.
    pub burst: u64,
    /// The length of the window that `most` refers to.
    pub window_ms: u64,
    /// The maximum number of loads in a window; 0 for no limit.
    pub most: u64,
    /// The maximum number of concurrent loads; 0 for no limit.
    pub at_once: u64,
    /// How long a runner takes to load a model again that it still has on its own disk; 0 if runners keep
    /// none.
    pub kept_ms: u64,
    /// Whether loads of adapters count too.
    pub adapters: bool,
}

/// The retry budget of a service.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Budget {
    /// Extra attempts per hundred first attempts.
    pub percent: u64,
    /// Extra attempts that may be saved up, shared by all routers.
    pub allowance: u64,
}

/// Limits for moves of models and the handover of their streams.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Moving {
    /// How many events the destination may be behind when the stream is cut over.
    pub gap: u64,
    /// The maximum number of catch-up rounds of a handover.
    pub rounds: u64,
    /// The time limit of a round.
    pub round_ms: u64,
    /// The time limit of the cut-over.
    pub cut_ms: u64,
    /// The allowance to load the model at the destination.
    pub load: Allowance,
    /// The allowance to hand over the streams.
    pub warm: Allowance,
    /// The allowance to unload the model at the source.
    pub unload: Allowance,
}

/// The time and the attempts that a stage may take.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Allowance {
    /// Milliseconds.
    pub ms: u64,
    /// Attempts.
    pub tries: u64,
}

/// How a plan is made.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Encode, Decode)]
pub enum PlacementStrategy {
    /// Keeps what the runners hold as far as possible.
    Least,
    /// Counts the room of idle models as free from the start.
    Greedy,
}

/// How plans are made and accepted.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct PlacementSettings {
    /// Whether a plan runs without an operator's acceptance.
    pub auto: bool,
    /// The strategy.
    pub way: PlacementStrategy,
    /// The allowance of each stage.
    pub stage: Allowance,
}

/// Limits for changes of the configuration.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Rollout {
    /// The allowance to deliver a candidate to the routers.
    pub deliver: Allowance,
    /// The allowance to rehearse it there.
    pub rehearse: Allowance,
    /// The candidate is refused if it would refuse more of the rehearsed requests, in percent.
    pub refused_percent: u64,
    /// Requests to rehearse where a router has seen none.
    pub samples: Vec<Sample>,
}

/// A request to rehearse.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Sample {
    /// The service that it is for.
    pub service: Name,
    /// The model that it asks for; empty for plain services.
    pub model: Name,
}

/// A model.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Model {
    /// Its name.
    pub name: Name,
    /// The memory that its weights take, in MB.
    pub weight_mb: u64,
    /// How long it takes to load.
    pub load_ms: u64,
}

/// An adapter of a model.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Adapter {
    /// Its name.
    pub name: Name,
    /// The model that it belongs to.
    pub model: Name,
    /// The memory that it takes, in MB.
    pub weight_mb: u64,
    /// How long it takes to load.
    pub load_ms: u64,
}

impl FleetConfig {
    /// The service of this name.
    pub fn service(&self, name: &Name) -> Option<&Service> {
        self.services.iter().find(|s| s.name == *name)
    }

    /// The model of this name.
    pub fn model(&self, name: &Name) -> Option<&Model> {
        self.models.named(name)
    }

    /// The adapter of this name.
    pub fn adapter(&self, name: &Name) -> Option<&Adapter> {
        self.adapters.named(name)
    }

    /// The memory that the model or adapter of this name takes, in MB.
    pub fn weight(&self, name: &Name) -> Option<u64> {
        let model = self.model(name).map(|m| m.weight_mb);
        model.or_else(|| self.adapter(name).map(|a| a.weight_mb))
    }

    /// How long the model or adapter of this name takes to load; a second if it is unknown.
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
