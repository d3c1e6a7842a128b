//! The authority lease, under which an owner may grant tokens.
//!
//! The tail grants it only while it holds its own lease in the same view. So all authority of a view has ended
//! `AUTHORITY_LEASE` after a tail of the next view is in office.
//!
#![deny(missing_docs)]

use crate::chain::serving_leases::CLOCK_DRIFT_MARGIN;
use crate::kernel::component::{Context, Views};
use crate::kernel::ids::ViewNo;
use crate::kernel::time::{Span, Time};
use std::collections::VecDeque;

/// Duration of authority, counted from its request. A longer lease tolerates longer stalls of the tail, but a new owner has
/// to wait as long.
pub const AUTHORITY_LEASE: Span = Span::ms(800);
/// Interval of renewal requests.
const RENEWAL_INTERVAL: Span = Span::ms(150);
/// Most unanswered requests remembered: those of one lease.
const REQUESTS_KEPT: usize = 8;

/// Authority of an owner in the newest view it knows.
#[derive(Clone, Default, Debug)]
pub struct Authority {
    view: ViewNo,
    requests: VecDeque<Time>,
    first_granted: Option<Time>,
    valid_until: Time,
}

impl Authority {
    /// Drops authority when the view changes: that of another view is not valid in this one.
    pub fn follow(&mut self, view: ViewNo) {
        if self.view != view {
            *self = Authority { view, ..Authority::default() };
        }
    }

    /// Whether a renewal is due; if so, records it as sent now.
    pub fn begins_renewal(&mut self, now: Time) -> bool {
        if self.requests.back().is_some_and(|last| now.since(*last) < RENEWAL_INTERVAL) {
            return false;
        }
        self.requests.push_back(now);
        if self.requests.len() > REQUESTS_KEPT {
            self.requests.pop_front();
        }
        true
    }

    /// Accepts the grant of a request of its own.
    pub fn granted(&mut self, view: ViewNo, sent: Time, now: Time) {
        if view != self.view || !self.requests.contains(&sent) {
            return;
        }
        self.first_granted.get_or_insert(now);
        self.valid_until = self.valid_until.max(sent + AUTHORITY_LEASE);
    }

    /// Whether tokens may be granted.
    pub fn holds(&self, now: Time) -> bool {
        now < self.valid_until
    }

    /// When all authority of earlier views has ended, if known.
    pub fn exclusive_from(&self) -> Option<Time> {
        self.first_granted.map(|first| first + AUTHORITY_LEASE + CLOCK_DRIFT_MARGIN)
    }

    /// Remaining time of the authority.
    pub fn remaining(&self, now: Time) -> Span {
        self.valid_until.since(now)
    }
}

/// Whether this node is the tail of the view and may grant authority in it.
pub fn may_grant_authority(view: ViewNo, ctx: &Context) -> bool {
    let role = ctx.views.role;
    role.is_tail && role.view == view && is_current(view, ctx.views) && ctx.now < role.lease_until
}

fn is_current(view: ViewNo, views: &Views) -> bool {
    views.view.as_ref().is_some_and(|current| current.no == view)
}
