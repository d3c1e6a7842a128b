use crate::fleet::holdings::UseTell;
use crate::kernel::ids::*;
use bitcode::{Decode, Encode};

#[derive(Clone, PartialEq, Debug, Default, Encode, Decode)]
pub struct RouterTell {
    pub trial_seen: ChangeId,
    pub routes_at: Version,
    pub rehearsal: Option<Rehearsal>,
    pub moves: Vec<MoveTell>,
    pub demand: Vec<(Name, Name, u64)>,
    pub tries: Vec<(Name, u64, u64, u64)>,
    pub leaving: Vec<Name>,
    pub uses: Vec<UseTell>,
    pub active: Vec<(Name, Name, u64)>,
    pub live: Vec<LiveRoute>,
}

/// How many orders a router took lately by one route.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct LiveRoute {
    pub service: Name,
    pub host: String,
    pub prefix: String,
    pub orders: u64,
}

#[derive(Clone, PartialEq, Debug, Default, Encode, Decode)]
pub struct Rehearsal {
    pub id: ChangeId,
    pub planned: u64,
    pub refused: u64,
    pub without_holder: u64,
    pub worst_us: u64,
    pub why: String,
}

#[derive(Clone, PartialEq, Debug, Default, Encode, Decode)]
pub struct MoveTell {
    pub id: MoveId,
    pub left: u64,
    pub moved: u64,
    pub aborted: u64,
    pub tries: u64,
    pub postponed: u64,
}
