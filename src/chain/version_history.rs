//! The versions of all that routers serve by, as the chain went on: to know what a router has confirmed.

use crate::fleet::FleetState;
use crate::fleet::serving::serving_scopes;
use crate::fleet::slice::route_rows;
use crate::fleet::state::Scope;
use crate::kernel::ids::*;
use std::collections::VecDeque;

/// How many sets of versions are remembered.
const MAX_SETS: usize = 64;

/// The versions of all that routers serve by, and the first version of the chain at which they were that.
#[derive(Clone)]
struct VersionSet {
    from: Version,
    versions: Vec<Version>,
}

/// The versions that routers serve by, as the chain went on.
#[derive(Clone, Default)]
pub struct VersionHistory {
    sets: VecDeque<VersionSet>,
    seen: Version,
    scopes: (Version, Vec<Scope>),
}

impl VersionHistory {
    /// Forgets all sets.
    pub fn clear(&mut self) {
        self.sets.clear();
    }

    /// Adds the present set if it differs from the last one. Versions that were skipped count as the new set's.
    pub fn record(&mut self, state: &FleetState) {
        if state.at == self.seen && !self.sets.is_empty() {
            return;
        }
        let from = if self.sets.is_empty() { state.at } else { self.seen.next() };
        self.seen = state.at;
        let routes_version = state.scope_at(&Scope::Routes);
        if self.scopes.0 != routes_version || self.scopes.1.is_empty() {
            self.scopes = (routes_version, serving_scopes(&route_rows(&state.config)));
        }
        let versions: Vec<Version> = self.scopes.1.iter().map(|s| state.scope_at(s)).collect();
        if self.sets.back().is_some_and(|last| last.versions == versions) {
            return;
        }
        self.sets.push_back(VersionSet { from, versions });
        if self.sets.len() > MAX_SETS {
            self.sets.pop_front();
        }
    }

    /// Whether these are the versions of now.
    pub fn is_newest(&self, versions: &[Version]) -> bool {
        self.sets.back().is_some_and(|s| s.versions == versions)
    }

    /// The last version of the chain up to which a router that has these versions has everything. A set that is
    /// not known here, or forgotten, covers nothing.
    pub fn covered_version(&self, versions: &[Version]) -> Version {
        let Some(place) = self.sets.iter().rposition(|s| s.versions == versions) else { return Version(0) };
        self.sets.get(place + 1).map_or(self.seen, |next| Version(next.from.0 - 1))
    }
}
