//! Messages that carry committed state to routers.

use super::history::Body;
use crate::fleet::state::Scope;
use crate::kernel::ids::Version;
use crate::kernel::time::Span;
use bitcode::{Decode, Encode};

/// The newest state of a topic, or the steps to it, and how long ago the tail proved it.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct TopicUpdate {
    pub scope: Scope,
    pub at: Version,
    pub age: Span,
    pub body: Body,
}

/// A router asks the tail for a serving lease: the versions of the topics that it serves by, in the order of
/// `serving_scopes`, and the last grant that it has received in this life.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct ServingLeaseRequest {
    pub nonce: u64,
    pub last_grant: u64,
    pub versions: Vec<Version>,
}

/// The tail's grant: the router may serve by those versions, or newer ones, until `length` after it asked.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct ServingLeaseGrant {
    pub nonce: u64,
    pub grant: u64,
    pub length: Span,
}
