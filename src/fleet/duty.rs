//! The placement duty: one controller at a time decides what runners hold.

use crate::kernel::ids::{NodeId, Term};
use bitcode::{Decode, Encode};

/// Who holds the placement duty.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Duty {
    /// The controller that holds it.
    pub holder: NodeId,
    /// The fencing token of its orders to runners; it rises with each holder.
    pub term: Term,
    /// Whether the holder has waited until its predecessor can no longer give orders; after a restart it
    /// need not wait again.
    pub begun: bool,
}
