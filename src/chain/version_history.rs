//! The history of the versions that routers serve by, from which follows what a router has confirmed.

use crate::fleet::FleetState;
use crate::fleet::serving::serving_scopes;
use crate::fleet::slice::route_rows;
use crate::fleet::state::Scope;
use crate::kernel::ids::*;
use std::collections::VecDeque;

/// How many version sets are kept.
const MAX_SETS: usize = 64;

/// The versions of all scopes that routers serve by, and the chain version from which on these were the newest.
#[derive(Clone)]
struct VersionSet {
    from: Version,
    versions: Vec<Version>,
}

/// The latest version sets, oldest first.
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

    /// Adds the set of `state` if it differs from the last one. Chain versions that were skipped count as the new
    /// set's.
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

    /// Whether these are the newest versions.
    pub fn is_newest(&self, versions: &[Version]) -> bool {
        self.sets.back().is_some_and(|s| s.versions == versions)
    }

    /// The last chain version up to which a router with these versions has everything. 0 for a set that is unknown
    /// or no longer kept.
    pub fn covered_version(&self, versions: &[Version]) -> Version {
        let Some(place) = self.sets.iter().rposition(|s| s.versions == versions) else { return Version(0) };
        self.sets.get(place + 1).map_or(self.seen, |next| Version(next.from.0 - 1))
    }
}
