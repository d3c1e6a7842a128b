//! Messages about quotas.
#![deny(missing_docs)]

use crate::chain::view::View;
use crate::kernel::ids::{Name, Version, ViewNo};
use crate::kernel::time::{Span, Time};
use bitcode::{Decode, Encode};

/// Between the owners of counters, the tail, and routers.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum ConstraintMsg {
    /// An owner asks the tail for authority in a view.
    AuthorityRequest {
        /// The owner's view.
        view: ViewNo,
        /// The owner's time; its authority counts from then.
        sent: Time,
        /// The configuration whose limits it would grant by.
        config_version: Version,
    },
    /// The tail gives it.
    AuthorityGrant {
        /// The view of both.
        view: ViewNo,
        /// As in the request.
        sent: Time,
    },
    /// A router asks an owner for tokens.
    Acquire(Acquire),
    /// The owner's answer.
    Granted {
        /// Which question of the router it answers.
        key: AcquireKey,
        /// A row for each of the question's.
        rows: Vec<GrantedRow>,
    },
    /// A new owner asks the owner of the view before for its counters.
    HandoverRequest {
        /// The new owner's view.
        view: ViewNo,
        /// The new owner's time; it names the request.
        asked: Time,
        /// The tenants that are counted.
        tenants: Vec<Name>,
    },
    /// The old owner, which grants no more, gives what it still had.
    Handover {
        /// The view of both.
        view: ViewNo,
        /// As in the request.
        asked: Time,
        /// The counters that weren't given yet.
        counters: Vec<HandedCounter>,
    },
    /// A router asks another member than the owner for its view, as the owner is silent.
    ViewRequest,
    /// Its answer.
    ViewReply {
        /// The newest view that the node knows.
        view: Option<View>,
    },
    /// The node doesn't own a tenant of the question, or has no authority yet. Nothing was spent.
    NotOwner {
        /// Which question of the router it answers.
        key: AcquireKey,
        /// The newest view that the node knows.
        view: Option<View>,
    },
}

/// The idempotency key of a question: its number at the router that sends it. A router's process has an identity of its own.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Encode, Decode)]
pub struct AcquireKey(pub u64);

/// A question for tokens.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Acquire {
    /// A question that is sent again keeps its key, and has the same rows.
    pub key: AcquireKey,
    /// A row for each tenant.
    pub rows: Vec<AcquireRow>,
}

/// What a router wants for a tenant.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct AcquireRow {
    /// The tenant.
    pub tenant: Name,
    /// Requests that wait.
    pub needed: u32,
    /// Requests that are likely to come soon; they get tokens only while there are plenty.
    pub ahead: u32,
}

/// What a router gets for a tenant.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct GrantedRow {
    /// The tenant.
    pub tenant: Name,
    /// Tokens, each for one request.
    pub tokens: u32,
    /// The quota blocks the rest: when to ask again.
    pub blocked: Option<Span>,
}

/// The level of a tenant's bucket, on its way to another owner.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct HandedCounter {
    /// The tenant.
    pub tenant: Name,
    /// In the bucket's units.
    pub level: u64,
}
