//! The tail's lease: the tail answers reads, and confirms that its view is current, only while it holds it.
//!
//! A tail that is being removed because it cannot write returns its lease, so that the voters need not wait for it
//! to expire. The view change then takes only a few messages, which leaves little time for another member to be
//! lost in the middle of it.
#![deny(missing_docs)]

use super::core::Chain;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::ChainMsg;
use std::collections::BTreeMap;

/// How long the tail may use a granted lease, counted from its request.
pub const LEASE_DURATION: Span = Span::ms(800);
/// How long a voter that granted a lease holds back the acceptance of a view that would end it. Longer than
/// `LEASE_DURATION`, so that the lease has expired by then.
pub const LEASE_HOLD: Span = Span::ms(850);
/// How often the tail requests a renewal.
pub const LEASE_RENEW_INTERVAL: Span = Span::ms(200);
/// How long a tail that returned its lease requests no new one. If the view has not changed by then, it will not.
const RETURN_BACKOFF: Span = Span::ms(400);

/// The tail's record of its lease.
#[derive(Clone, Default)]
pub struct Lease {
    /// Until when the lease may be used.
    pub valid_until: Time,
    /// When it was last requested.
    pub requested_at: Time,
    /// When it was last returned; grants of requests up to then are ignored.
    pub returned_at: Time,
    /// The send time of the newest request that each voter has granted.
    pub grants: BTreeMap<NodeId, Time>,
}

impl Chain {
    /// Requests the lease from all voters, if this is the ready tail and a renewal is due.
    pub fn renew_lease(&mut self, ctx: &mut Context) {
        let Some(view) = self.view.clone() else { return };
        if !self.is_tail() || !self.is_ready || self.awaits_first_vote(ctx) {
            return;
        }
        let rests =
            self.lease.returned_at != Time(0) && ctx.now.since(self.lease.returned_at) < RETURN_BACKOFF;
        if rests || ctx.now.since(self.lease.requested_at) < LEASE_RENEW_INTERVAL {
            return;
        }
        self.lease.requested_at = ctx.now;
        for node in &view.voters {
            ctx.chain(*node, ChainMsg::LeaseRequest { view: view.no, sent: ctx.now });
        }
    }

    /// On a voter: grants the lease to the tail, unless a view change is under way.
    pub fn on_lease_request(&mut self, from: NodeId, view_no: ViewNo, sent: Time, ctx: &mut Context) {
        let Some(view) = &self.view else { return };
        if view.no != view_no || view.tail() != Some(from) || !view.voters.contains(&self.node_id) {
            return;
        }
        if self.is_in_restart_wait(ctx.now) || !self.acceptor.may_grant(ctx.now) {
            return;
        }
        self.acceptor.lease_hold_until = ctx.now + LEASE_HOLD;
        self.acceptor.granted_lease = Some((from, sent));
        ctx.chain(from, ChainMsg::LeaseGrant { view: view_no, sent });
    }

    /// Counts a grant. The lease runs from the newest request that a majority has granted.
    pub fn on_lease_grant(&mut self, from: NodeId, view_no: ViewNo, sent: Time) {
        let Some(view) = &self.view else { return };
        if view.no != view_no
            || !self.is_tail()
            || !view.voters.contains(&from)
            || sent <= self.lease.returned_at
        {
            return;
        }
        let best = self.lease.grants.entry(from).or_default();
        *best = (*best).max(sent);
        let mut sends: Vec<Time> = self.lease.grants.values().copied().collect();
        sends.sort();
        sends.reverse();
        if let Some(t) = sends.get(view.majority() - 1) {
            self.lease.valid_until = self.lease.valid_until.max(*t + LEASE_DURATION);
        }
    }

    /// Returns the lease if this tail cannot write and `view_no` is the view that removes it. From then on it
    /// answers nothing as the tail, whatever was granted before.
    pub fn return_lease(&mut self, view_no: ViewNo, ctx: &mut Context) {
        let Some(view) = self.view.clone() else { return };
        if view_no != view.no.next() || !self.is_tail() || self.can_write(ctx) {
            return;
        }
        let sent = self.lease.requested_at;
        self.lease.valid_until = Time(0);
        self.lease.returned_at = ctx.now;
        self.lease.grants.clear();
        ctx.log_event("lease-returned", view.no.to_string());
        for node in &view.voters {
            ctx.chain(*node, ChainMsg::LeaseReturned { view: view.no, sent });
        }
    }

    /// On a voter: the tail has returned the lease that it requested at `sent`. Ignored unless that is the lease
    /// granted last, since a delayed message says nothing about a later lease.
    pub fn on_lease_returned(&mut self, from: NodeId, view_no: ViewNo, sent: Time, ctx: &mut Context) {
        let current = self.view.as_ref().is_some_and(|view| view.no == view_no);
        if !current || self.acceptor.granted_lease != Some((from, sent)) {
            return;
        }
        self.acceptor.lease_hold_until = Time(0);
        self.accept_deferred(ctx);
    }

    /// Whether a lease that this voter granted before its restart may still be in use.
    pub fn is_in_restart_wait(&self, now: Time) -> bool {
        now.since(self.started_at) < LEASE_HOLD + Span::ms(50)
    }
}
