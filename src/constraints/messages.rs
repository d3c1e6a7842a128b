//! Messages about quotas.
//!
#![deny(missing_docs)]

use crate::chain::view::View;
use crate::kernel::ids::{Name, Version, ViewNo};
use crate::kernel::time::{Span, Time};
use bitcode::{Decode, Encode};

/// Messages between the owners of counters, the tail, and routers.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum ConstraintMsg {
    /// An owner requests authority in a view from the tail.
    AuthorityRequest {
        /// The owner's view.
        view: ViewNo,
        /// The owner's time; its authority counts from then.
        sent: Time,
        /// The configuration whose limits it would apply.
        config_version: Version,
    },
    /// The tail grants it.
    AuthorityGrant {
        /// The view of both.
        view: ViewNo,
        /// As in the request.
        sent: Time,
    },
    /// A router requests tokens from an owner.
    Acquire(Acquire),
    /// The owner's answer.
    Granted {
        /// Which question of the router it answers.
        key: AcquireKey,
        /// A row for each of the question's.
        rows: Vec<GrantedRow>,
    },
    /// A new owner requests counters from the owner in the previous view.
    HandoverRequest {
        /// The new owner's view.
        view: ViewNo,
        /// The new owner's time; it names the request.
        asked: Time,
        /// The tenants that are counted.
        tenants: Vec<Name>,
    },
    /// The old owner, which no longer grants, hands over what it still had.
    Handover {
        /// The view of both.
        view: ViewNo,
        /// As in the request.
        asked: Time,
        /// The counters that weren't given yet.
        counters: Vec<HandedCounter>,
    },
    /// A router asks another member than the silent owner for its view.
    ViewRequest,
    /// The answer to it.
    ViewReply {
        /// The newest view that the node knows.
        view: Option<View>,
    },
    /// The node does not own a tenant of the request, or has no authority yet. No token was spent.
    NotOwner {
        /// Which question of the router it answers.
        key: AcquireKey,
        /// The newest view that the node knows.
        view: Option<View>,
    },
}

/// Idempotency key of a request: its number at the router that sends it. Each router process has an identity of its own.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Encode, Decode)]
pub struct AcquireKey(pub u64);

/// A request for tokens. If it is sent again, it has the same key and rows.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Acquire {
    /// Identifies the request.
    pub key: AcquireKey,
    /// A row for each tenant.
    pub rows: Vec<AcquireRow>,
}

/// What a router requests for a tenant.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct AcquireRow {
    /// The tenant.
    pub tenant: Name,
    /// Requests that wait for a token.
    pub needed: u32,
    /// Requests expected soon; they get tokens only while the bucket is at least half full.
    pub ahead: u32,
}

/// What a router gets for a tenant.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct GrantedRow {
    /// The tenant.
    pub tenant: Name,
    /// Tokens, each for one request.
    pub tokens: u32,
    /// If the quota blocks the rest: the time to the next token.
    pub blocked: Option<Span>,
}

/// The level of a tenant's bucket, on its way to another owner.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct HandedCounter {
    /// The tenant.
    pub tenant: Name,
    /// In the units of the bucket.
    pub level: u64,
}
