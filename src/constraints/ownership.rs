//! Which member of the chain counts for which tenant.
//!
#![deny(missing_docs)]

use crate::chain::view::View;
use crate::kernel::ids::{Name, NodeId};
use crate::membership::rendezvous::home;

/// The owner of a tenant's bucket in a view.
pub fn owner_of(view: &View, tenant: &Name) -> Option<NodeId> {
    home(&tenant.0, &view.chain)
}
