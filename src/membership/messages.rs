//! What nodes tell each other about who there is.
#![deny(missing_docs)]

use crate::chain::view::View;
use crate::kernel::ids::*;
use crate::kernel::time::Span;
use bitcode::{Decode, Encode};
use std::net::SocketAddr;

/// What a node does.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Encode, Decode)]
pub enum Role {
    /// Takes requests and passes them to runners.
    Router,
    /// A member, or one to be, of the chain.
    Controller,
}

/// A node as others know it.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Member {
    /// Its id, drawn at its first start and kept on its disk if it has one.
    pub node: NodeId,
    /// What it does.
    pub role: Role,
    /// Its zone.
    pub domain: Name,
    /// Where other nodes reach it.
    pub addr: SocketAddr,
    /// Where operators reach it.
    pub admin: SocketAddr,
}

/// A node and how long it has been silent.
#[derive(Clone, PartialEq, Debug)]
pub struct MemberRow {
    /// The node.
    pub who: Member,
    /// How long nothing was heard of it; 0 while it counts as live.
    pub silence: Span,
}

/// What one node says of another.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Claim {
    /// The node it is about.
    pub who: Member,
    /// Whether it is said to live.
    pub is_live: bool,
    /// How long ago its evidence was gathered.
    pub age: Span,
}

/// A runner that is leaving.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Mark {
    /// The runner.
    pub instance: Name,
    /// How long ago it was marked.
    pub age: Span,
}

/// What two partners exchange.
#[derive(Clone, PartialEq, Debug, Default, Encode, Decode)]
pub struct Gossip {
    /// Over all that the sender knows.
    pub digest: u64,
    /// The number of the view it knows.
    pub view_at: ViewNo,
    /// Rows that changed since the last letter to this partner, or all.
    pub rows: Vec<Claim>,
    /// Marks likewise.
    pub marks: Vec<Mark>,
    /// The view, if the receiver's is older.
    pub view: Option<View>,
}
