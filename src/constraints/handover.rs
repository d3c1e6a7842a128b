//! Counters that pass from one owner to the next when the view changes while both are alive.
//!
//! The old owner stops granting when it learns of the new view, and hands each counter over once. So the new owner need
//! neither wait nor start with an empty bucket.
//!
#![deny(missing_docs)]

use super::messages::HandedCounter;
use crate::kernel::ids::{Name, NodeId};
use crate::kernel::time::{Span, Time};
use std::collections::{BTreeMap, VecDeque};

/// Interval at which missing counters are requested.
const REQUEST_INTERVAL: Span = Span::ms(40);
/// Requests after which missing counters are no longer expected.
const REQUESTS_KEPT: usize = 32;

/// What one controller hands over and requests in one view.
#[derive(Default)]
pub struct Handover {
    offered: BTreeMap<Name, u64>,
    wanted: BTreeMap<NodeId, Vec<Name>>,
    requested_at: VecDeque<Time>,
}

impl Handover {
    /// Keeps the level of a counter that another node owns from this view on.
    pub fn offer(&mut self, tenant: Name, level: u64) {
        self.offered.insert(tenant, level);
    }

    /// Hands over counters, each only once.
    pub fn take(&mut self, tenants: &[Name]) -> Vec<HandedCounter> {
        let give = |tenant: &Name| {
            let level = self.offered.remove(tenant)?;
            Some(HandedCounter { tenant: tenant.clone(), level })
        };
        tenants.iter().filter_map(give).collect()
    }

    /// Records a counter that the owner in the previous view may hand over.
    pub fn want(&mut self, tenant: Name, from: NodeId) {
        self.wanted.entry(from).or_default().push(tenant);
    }

    /// The requests that are due now: whom to ask for which counters.
    pub fn request(&mut self, now: Time) -> Vec<(NodeId, Vec<Name>)> {
        let soon = self.requested_at.back().is_some_and(|last| now.since(*last) < REQUEST_INTERVAL);
        if self.wanted.is_empty() || soon {
            return Vec::new();
        }
        self.requested_at.push_back(now);
        if self.requested_at.len() > REQUESTS_KEPT {
            self.wanted.clear();
        }
        self.wanted.iter().map(|(from, tenants)| (*from, tenants.clone())).collect()
    }

    /// Whether an answer belongs to a request of this process. What it contains is not requested again.
    pub fn expects(&mut self, from: NodeId, asked: Time) -> bool {
        self.requested_at.contains(&asked) && self.wanted.remove(&from).is_some()
    }
}
