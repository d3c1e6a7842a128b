//! The authority lease, under which an owner may grant tokens.
//!
//! The tail gives it only while it holds its own lease in the same view. So authority of a view has ended
//! `AUTHORITY_LEASE` after a tail of the next view leads.
#![deny(missing_docs)]

use crate::chain::serving_leases::CLOCK_DRIFT_MARGIN;
use crate::kernel::component::{Context, Views};
use crate::kernel::ids::ViewNo;
use crate::kernel::time::{Span, Time};
use std::collections::VecDeque;

/// How long authority runs, counted from its request. Longer bears longer stalls of the tail; a new owner waits as long.
pub const AUTHORITY_LEASE: Span = Span::ms(800);
/// How often authority is asked for.
const RENEWAL_INTERVAL: Span = Span::ms(150);
/// How many requests may be without an answer: those of one lease.
const REQUESTS_KEPT: usize = 8;

/// An owner's authority in the newest view that it knows.
#[derive(Clone, Default, Debug)]
pub struct Authority {
    view: ViewNo,
    requests: VecDeque<Time>,
    first_granted: Option<Time>,
    until: Time,
}

impl Authority {
    /// Ends with the view: authority of another view counts for nothing in this one.
    pub fn follow(&mut self, view: ViewNo) {
        if self.view != view {
            *self = Authority { view, ..Authority::default() };
        }
    }

    /// Whether it is time to ask, and notes that this is done now.
    pub fn renews(&mut self, now: Time) -> bool {
        if self.requests.back().is_some_and(|last| now.since(*last) < RENEWAL_INTERVAL) {
            return false;
        }
        self.requests.push_back(now);
        if self.requests.len() > REQUESTS_KEPT {
            self.requests.pop_front();
        }
        true
    }

    /// Takes the grant of one of its own requests.
    pub fn granted(&mut self, view: ViewNo, sent: Time, now: Time) {
        if view != self.view || !self.requests.contains(&sent) {
            return;
        }
        self.first_granted.get_or_insert(now);
        self.until = self.until.max(sent + AUTHORITY_LEASE);
    }

    /// Whether tokens may be granted.
    pub fn holds(&self, now: Time) -> bool {
        now < self.until
    }

    /// When all authority of earlier views has ended, if that is known.
    pub fn alone_from(&self) -> Option<Time> {
        self.first_granted.map(|first| first + AUTHORITY_LEASE + CLOCK_DRIFT_MARGIN)
    }

    /// How long it still runs.
    pub fn left(&self, now: Time) -> Span {
        self.until.since(now)
    }
}

/// Whether this node is the tail of the view and may give authority in it.
pub fn gives_authority(view: ViewNo, ctx: &Context) -> bool {
    let role = ctx.views.role;
    role.is_tail && role.view == view && is_current(view, ctx.views) && ctx.now < role.lease_until
}

fn is_current(view: ViewNo, views: &Views) -> bool {
    views.view.as_ref().is_some_and(|current| current.no == view)
}
