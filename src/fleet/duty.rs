//! Who holds the duty of placement, as the fleet has recorded it.

use crate::kernel::ids::{NodeId, Term};
use bitcode::{Decode, Encode};

/// The duty of placement.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Duty {
    /// The controller that holds it.
    pub holder: NodeId,
    /// The fence of its orders to runners; it rises with each holder.
    pub term: Term,
    /// The holder has waited out its predecessor; after a restart it need not do so again.
    pub begun: bool,
}
