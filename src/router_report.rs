use crate::fleet::holdings::NameUsage;
use crate::kernel::ids::*;
use bitcode::{Decode, Encode};

#[derive(Clone, PartialEq, Debug, Default, Encode, Decode)]
pub struct RouterReport {
    pub candidate_seen: ChangeId,
    pub routes_version: Version,
    pub rehearsal: Option<RehearsalResult>,
    pub moves: Vec<MoveProgress>,
    pub demand: Vec<(Name, Name, u64)>,
    pub tries: Vec<(Name, u64, u64, u64)>,
    pub leaving: Vec<Name>,
    pub uses: Vec<NameUsage>,
    pub active: Vec<(Name, Name, u64)>,
    pub live: Vec<RouteTraffic>,
}

/// How many orders a router took lately by one route.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct RouteTraffic {
    pub service: Name,
    pub host: String,
    pub prefix: String,
    pub orders: u64,
}

#[derive(Clone, PartialEq, Debug, Default, Encode, Decode)]
pub struct RehearsalResult {
    pub id: ChangeId,
    pub planned: u64,
    pub refused: u64,
    pub without_holder: u64,
    pub worst_us: u64,
    pub why: String,
}

#[derive(Clone, PartialEq, Debug, Default, Encode, Decode)]
pub struct MoveProgress {
    pub id: MoveId,
    pub left: u64,
    pub moved: u64,
    pub aborted: u64,
    pub tries: u64,
    pub postponed: u64,
}
