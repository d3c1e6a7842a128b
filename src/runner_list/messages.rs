//! What controllers tell of the list of runners.
#![deny(missing_docs)]

use crate::fleet::runner::Runner;
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};
use bitcode::{Decode, Encode};

/// The list of runners as this node has read it.
#[derive(Clone, PartialEq, Debug)]
pub struct RunnerListing {
    /// All runners on it.
    pub runners: Vec<Runner>,
    /// When this node began to ask for it.
    pub requested_at: Time,
}

/// What a controller tells the others of a list that it has read.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct ListRead {
    /// How long ago it began to ask for the list.
    pub age: Span,
    /// The runners that the list shows as leaving.
    pub leaving: Vec<Name>,
}
