//! What the holder of the placement duty and its deputy say to each other about order leases.
#![deny(missing_docs)]

use crate::fleet::duty::Deputy;
use crate::kernel::ids::Name;
use bitcode::{Decode, Encode};

/// The holder is about to send orders to these runners.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct OrderLeaseRequest {
    /// The deputy that is asked, under its appointment.
    pub deputy: Deputy,
    /// The number of the request.
    pub request: u64,
    /// The runners to be leased.
    pub runners: Vec<Name>,
}

/// The deputy has noted the runners of a request.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct OrderLeaseGrant {
    /// The deputy, under its appointment.
    pub deputy: Deputy,
    /// The number of the request.
    pub request: u64,
}
