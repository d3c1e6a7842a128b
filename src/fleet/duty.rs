//! Who holds the duty of placement, as the fleet has recorded it.
#![deny(missing_docs)]

use crate::kernel::ids::{NodeId, Term, Version};
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
    /// Grants the holder's order leases; without one the holder orders without leases.
    pub deputy: Option<Deputy>,
    /// The deputy of the holder before, if all that one's orders were leased.
    pub predecessor: Option<Deputy>,
}

impl Duty {
    /// The first duty of a fleet, or the next one after `old`.
    pub fn after(old: Option<&Duty>, holder: NodeId, deputy: Option<Deputy>) -> Duty {
        let term = old.map_or(Term(1), |duty| duty.term.next());
        let predecessor = old.filter(|duty| duty.begun).and_then(|duty| duty.deputy);
        Duty { holder, term, begun: false, deputy, predecessor }
    }

    /// Whether the holder was the deputy of its predecessor.
    pub fn follows_as_deputy(&self) -> bool {
        self.predecessor.is_some_and(|deputy| deputy.node == self.holder)
    }
}

/// The controller that grants order leases, and its appointment.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Encode, Decode)]
pub struct Deputy {
    /// The controller.
    pub node: NodeId,
    /// The change by which it was appointed.
    pub appointed: Version,
}
