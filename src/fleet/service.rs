//! Services and their routes, as the configuration has them.

use crate::kernel::ids::Name;
use bitcode::{Decode, Encode};

/// The kind of a service.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Encode, Decode)]
pub enum ServiceKind {
    /// Runs models; its runners are chosen by what they hold.
    Assistant,
    /// Any of its runners serves any request.
    Plain,
}

/// The priority class of a route's requests, the most urgent first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Encode, Decode)]
pub enum Class {
    /// The most urgent class.
    Counter,
    /// Chat.
    Chat,
    /// Everything that has no other class.
    Normal,
    /// The least urgent class.
    Bulk,
}

/// A service: a set of runners and the routes that lead to it.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Its kind.
    pub sort: ServiceKind,
    /// The requests that may wait at a router.
    pub inbox: u64,
    /// The requests that a runner executes at a time.
    pub slots: u64,
    /// The maximum number of connections.
    pub links: u64,
    /// The path of the runners' health check.
    pub health: String,
    /// The tokens that a runner's KV cache holds; 0 if unknown.
    pub tokens: u64,
    /// The distance between the ids of successive events of a stream.
    pub stride: u64,
    /// A runner's memory for weights, in MB; 0 if runners report it.
    pub room_mb: u64,
    /// The adapters that a runner can hold; 0 if runners report it.
    pub places: u64,
    /// The models that the service offers.
    pub models: Vec<Name>,
    /// The adapters that it offers.
    pub adapters: Vec<Name>,
    /// The routes that lead to it.
    pub routes: Vec<Route>,
}

/// A route: which requests it matches and how they are handled.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Route {
    /// The path prefix that it matches.
    pub prefix: String,
    /// The host that it matches; empty for all.
    pub host: String,
    /// The priority class of its requests.
    pub class: Class,
    /// Whether an interrupted stream may be resumed at another runner.
    pub resumable: bool,
    /// The deadline of its requests.
    pub due_ms: u64,
    /// The maximum size of a body.
    pub body_kb: u64,
    /// Whether and when a request may run again.
    pub kind: RouteKind,
    /// The maximum number of attempts for one request.
    pub tries: u64,
    /// The target latency; 0 for none.
    pub aim_ms: u64,
    /// The target interval between events of a stream; 0 for none.
    pub gap_ms: u64,
    /// Whether the platform asked for session affinity.
    pub sticky: bool,
    /// Whether requests need no key.
    pub open: bool,
    /// The services that share its requests; if empty, its own service gets all.
    pub split: Vec<Share>,
}

/// Whether and when a request may run again.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Encode, Decode)]
pub enum RouteKind {
    /// Never after a runner may have executed it.
    Once,
    /// As long as no part of an answer has been sent.
    Idempotent,
    /// Its answer is a stream of events.
    Stream,
}

/// A service's share of a route's requests.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Share {
    /// The service.
    pub service: Name,
    /// Its weight relative to the others.
    pub weight: u64,
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
