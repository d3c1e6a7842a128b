//! Counters that go from an owner to the next as the view changes while both live.
//!
//! The old owner has stopped granting as it knows the new view, and gives each counter away once. So the new owner
//! need not wait, nor start with an empty bucket.
#![deny(missing_docs)]

use super::messages::HandedCounter;
use crate::kernel::ids::{Name, NodeId};
use crate::kernel::time::{Span, Time};
use std::collections::{BTreeMap, VecDeque};

/// How often a counter is asked for that was not given yet.
const REQUEST_INTERVAL: Span = Span::ms(40);
/// How many requests may be without an answer.
const REQUESTS_KEPT: usize = 32;

/// What one controller gives away and asks for in one view.
#[derive(Default)]
pub struct Handover {
    given_up: BTreeMap<Name, u64>,
    missing: BTreeMap<NodeId, Vec<Name>>,
    requests: VecDeque<Time>,
}

impl Handover {
    /// Keeps the level of a counter that another node owns from this view on.
    pub fn give_up(&mut self, tenant: Name, level: u64) {
        self.given_up.insert(tenant, level);
    }

    /// Gives counters away; each only once.
    pub fn take(&mut self, tenants: &[Name]) -> Vec<HandedCounter> {
        let give = |tenant: &Name| {
            let level = self.given_up.remove(tenant)?;
            Some(HandedCounter { tenant: tenant.clone(), level })
        };
        tenants.iter().filter_map(give).collect()
    }

    /// A counter that the owner of the view before may give.
    pub fn want(&mut self, tenant: Name, from: NodeId) {
        self.missing.entry(from).or_default().push(tenant);
    }

    /// Whom to ask now for which counters.
    pub fn request(&mut self, now: Time) -> Vec<(NodeId, Vec<Name>)> {
        let soon = self.requests.back().is_some_and(|last| now.since(*last) < REQUEST_INTERVAL);
        if self.missing.is_empty() || soon {
            return Vec::new();
        }
        self.requests.push_back(now);
        if self.requests.len() > REQUESTS_KEPT {
            self.missing.clear();
        }
        self.missing.iter().map(|(from, tenants)| (*from, tenants.clone())).collect()
    }

    /// Whether an answer is to a request of this process. What it gives is not asked for again.
    pub fn expects(&mut self, from: NodeId, asked: Time) -> bool {
        self.requests.contains(&asked) && self.missing.remove(&from).is_some()
    }
}
