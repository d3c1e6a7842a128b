//! Messages that carry committed state to routers.

use super::history::UpdateBody;
use crate::fleet::state::Scope;
use crate::kernel::ids::{NodeId, Version, ViewNo};
use crate::kernel::time::Span;
use bitcode::{Decode, Encode};
use std::net::SocketAddr;

/// The newest state of a topic, or the steps to it, and how long ago the tail proved it.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct TopicUpdate {
    pub scope: Scope,
    pub at: Version,
    pub age: Span,
    pub body: UpdateBody,
}

/// The order in which applications for serving leases came to the heads of the chain.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Encode, Decode)]
pub struct LeaseNumber {
    pub view: ViewNo,
    pub count: u64,
}

/// A router asks for a serving lease: the versions of the topics that it serves by, in the order of
/// `serving_scopes`, and the last grant that it has received in this life.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct ServingLeaseRequest {
    pub nonce: u64,
    pub last_grant: LeaseNumber,
    pub versions: Vec<Version>,
}

/// The tail's grant: the router may serve by those versions, or newer ones, until `length` after it asked.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct ServingLeaseGrant {
    pub nonce: u64,
    pub grant: LeaseNumber,
    pub length: Span,
}

/// A request on its way along the chain, as the head numbered it.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct LeaseApplication {
    pub number: LeaseNumber,
    pub router: NodeId,
    pub address: Option<SocketAddr>,
    pub request: ServingLeaseRequest,
}
