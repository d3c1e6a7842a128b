//! The list of runners as read by a controller, and what it tells the others.
#![deny(missing_docs)]

use crate::fleet::runner::Runner;
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};
use bitcode::{Decode, Encode};

/// The list of runners, as read by this node.
#[derive(Clone, PartialEq, Debug)]
pub struct RunnerListing {
    /// All runners on it.
    pub runners: Vec<Runner>,
    /// When this node sent the request for it.
    pub requested_at: Time,
}

/// What a controller tells the others about a list that it has read.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct ListRead {
    /// How long ago it sent the request for the list.
    pub age: Span,
    /// The runners that the list shows as leaving.
    pub leaving: Vec<Name>,
}
