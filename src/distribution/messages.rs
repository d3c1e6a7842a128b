//! Messages that distribute committed state to routers.

use super::history::UpdateBody;
use crate::fleet::state::Scope;
use crate::kernel::ids::{NodeId, Version, ViewNo};
use crate::kernel::time::Span;
use bitcode::{Decode, Encode};
use std::net::SocketAddr;

/// The newest state of a topic, or the steps to it.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct TopicUpdate {
    /// The topic.
    pub scope: Scope,
    /// The version.
    pub at: Version,
    /// How long ago the tail proved it to be the newest.
    pub age: Span,
    /// The content, relative to what the receiver has.
    pub body: UpdateBody,
}

/// The position of an application for a serving lease in the order in which the heads of the chain received
/// them.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Encode, Decode)]
pub struct LeaseNumber {
    /// The view of the head.
    pub view: ViewNo,
    /// The number of the application in this view.
    pub count: u64,
}

/// A router asks for a serving lease.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct ServingLeaseRequest {
    /// Returned in the grant.
    pub nonce: u64,
    /// The last grant that the router has received since it started.
    pub last_grant: LeaseNumber,
    /// The versions of the topics that it serves by, in the order of `serving_scopes`.
    pub versions: Vec<Version>,
}

/// The tail's grant: the router may serve by the requested versions, or newer ones.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct ServingLeaseGrant {
    /// That of the request.
    pub nonce: u64,
    /// The number of the grant.
    pub grant: LeaseNumber,
    /// How long the lease runs from when the router sent its request.
    pub length: Span,
}

/// A request on its way along the chain, as numbered by the head.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct LeaseApplication {
    /// Its number.
    pub number: LeaseNumber,
    /// The router.
    pub router: NodeId,
    /// The router's address, if the head knew it.
    pub address: Option<SocketAddr>,
    /// The request.
    pub request: ServingLeaseRequest,
}
