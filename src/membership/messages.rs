//! The messages of membership and the types in them.
#![deny(missing_docs)]

use crate::chain::view::View;
use crate::kernel::ids::*;
use crate::kernel::time::Span;
use bitcode::{Decode, Encode};
use std::net::SocketAddr;

/// The role of a node.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Encode, Decode)]
pub enum Role {
    /// Takes requests and forwards them to runners.
    Router,
    /// A member of the chain, or a candidate for it.
    Controller,
}

/// The identity and addresses of a node.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Member {
    /// Its id, drawn at its first start and kept on its disk if it has one.
    pub node: NodeId,
    /// Its role.
    pub role: Role,
    /// Its zone.
    pub domain: Name,
    /// Its address for other nodes.
    pub addr: SocketAddr,
    /// Its address for operators.
    pub admin: SocketAddr,
}

/// A node and how long it has been silent.
#[derive(Clone, PartialEq, Debug)]
pub struct MemberRow {
    /// The node.
    pub who: Member,
    /// How long it has been silent; 0 while it counts as live.
    pub silence: Span,
}

/// What one node says about another.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Claim {
    /// The node it is about.
    pub who: Member,
    /// Whether it is said to be live.
    pub is_live: bool,
    /// The age of the evidence for this.
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

/// What two partners send each other.
#[derive(Clone, PartialEq, Debug, Default, Encode, Decode)]
pub struct Gossip {
    /// A digest of all that the sender knows.
    pub digest: u64,
    /// The number of the newest view that the sender knows.
    pub view_at: ViewNo,
    /// The rows that changed since the last message to this partner, or all rows.
    pub rows: Vec<Claim>,
    /// The marks that changed since then, or all marks.
    pub marks: Vec<Mark>,
    /// The sender's view, if the receiver's is older.
    pub view: Option<View>,
}
