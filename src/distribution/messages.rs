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
