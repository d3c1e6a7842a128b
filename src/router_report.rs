//! What a router reports about itself: to the controllers and, within its own process, to its node.

use crate::fleet::holdings::NameUsage;
use crate::kernel::ids::*;
use bitcode::{Decode, Encode};

/// A router's report.
#[derive(Clone, PartialEq, Debug, Default, Encode, Decode)]
pub struct RouterReport {
    /// The candidate configuration that the router has received for rehearsal.
    pub candidate_seen: ChangeId,
    /// The version of the routes that it serves by.
    pub routes_version: Version,
    /// The result of its last rehearsal.
    pub rehearsal: Option<RehearsalResult>,
    /// Its part in the moves under way.
    pub moves: Vec<MoveProgress>,
    /// Service, model or adapter, and how many requests of the last two seconds asked for it.
    pub demand: Vec<(Name, Name, u64)>,
    /// Service, first attempts, extra attempts, and the retry budget that is left.
    pub tries: Vec<(Name, u64, u64, u64)>,
    /// Runners that it has seen leaving and that the list does not show as leaving.
    pub leaving: Vec<Name>,
    /// How the models and adapters are used here.
    pub uses: Vec<NameUsage>,
    /// Runner, model or adapter, and the requests under way there.
    pub active: Vec<(Name, Name, u64)>,
    /// The most used routes of the last requests.
    pub live: Vec<RouteTraffic>,
}

/// How many requests a router recently served on one route.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct RouteTraffic {
    /// The service of the route.
    pub service: Name,
    /// The host that the route matches; empty for all.
    pub host: String,
    /// The path prefix that the route matches.
    pub prefix: String,
    /// The number of requests.
    pub orders: u64,
}

/// The result of planning recent or sample requests under a candidate configuration.
#[derive(Clone, PartialEq, Debug, Default, Encode, Decode)]
pub struct RehearsalResult {
    /// The change that proposed the candidate.
    pub id: ChangeId,
    /// The requests that were planned.
    pub planned: u64,
    /// How many of them the candidate would refuse.
    pub refused: u64,
    /// How many would be accepted and have no runner that holds their model.
    pub without_holder: u64,
    /// How long the slowest of them took to plan, in microseconds.
    pub worst_us: u64,
    /// Why the last refused one was refused.
    pub why: String,
}

/// A router's part in one move.
#[derive(Clone, PartialEq, Debug, Default, Encode, Decode)]
pub struct MoveProgress {
    /// The move.
    pub id: MoveId,
    /// The requests that still run at the source.
    pub left: u64,
    /// The streams that were handed over.
    pub moved: u64,
    /// The handovers that were given up.
    pub aborted: u64,
    /// The attempts that handovers took.
    pub tries: u64,
    /// The handovers that were put off.
    pub postponed: u64,
}
