//! What an outside observer has seen on the way to a state: the ground of the invariants.

use crate::chain::view::View;
use crate::kernel::ids::*;
use std::collections::{BTreeMap, BTreeSet};

/// Decided views, acknowledged changes and committed places, gathered along one trace.
#[derive(Clone, Default)]
pub struct History {
    pub decided: BTreeMap<(FleetId, ViewNo), View>,
    pub acknowledged: BTreeSet<ChangeId>,
    pub committed: BTreeMap<Version, ChangeId>,
    pub submitted: u64,
}

impl History {
    pub fn newest_view(&self) -> Option<&View> {
        self.decided.values().max_by_key(|v| v.no)
    }
}
