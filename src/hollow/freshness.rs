//! What a router of the hollow fleet knows, and whether it may serve by it.

use super::node::HollowNode;
use crate::distribution::reader::FRESHNESS_LIMIT;
use crate::fleet::slice::Slice;
use crate::fleet::state::Scope;
use crate::kernel::ids::*;
use crate::kernel::time::Time;

impl HollowNode {
    pub fn learn(&mut self, scope: &Scope, at: Version, slice: Option<&Slice>, proven: Time) {
        if *scope == Scope::Routes {
            self.routes_version = self.routes_version.max(at);
        }
        if let Some(Slice::Candidate(t)) = slice {
            self.trial = t.as_ref().map_or(ChangeId::default(), |c| c.id);
        }
        let row = self.proven.entry(scope.clone()).or_default();
        *row = (*row).max(proven);
    }

    pub fn is_fresh(&self, now: Time) -> bool {
        let fresh = |s: &Scope| {
            self.proven.get(s).is_some_and(|t| now.since(*t) < FRESHNESS_LIMIT)
                || self.leased.get(s).is_some_and(|until| now < *until)
        };
        fresh(&Scope::Routes) && fresh(&Scope::Service(Name::from("assistant")))
    }

    pub fn lease(&mut self, scopes: &[Scope], until: Time) {
        self.leased.extend(scopes.iter().map(|s| (s.clone(), until)));
    }
}
