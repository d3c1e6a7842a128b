//! The tail's lease: only under it the tail answers reads and proves that it is the newest.
//!
//! A tail that is to be left out because it cannot write returns its lease, so that the voters need not wait until it
//! has run out: the change of view then takes a few messages, and a member that is lost meanwhile hardly ever finds it
//! half made.
#![deny(missing_docs)]

use super::core::Chain;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::ChainMsg;
use std::collections::BTreeMap;

/// How long a granted lease may be used, counted from its request.
pub const LEASE_DURATION: Span = Span::ms(800);
/// How long a voter that granted a lease neither promises nor accepts a view without its holder.
pub const LEASE_HOLD: Span = Span::ms(850);
/// How often the tail asks for its lease.
pub const LEASE_RENEW_INTERVAL: Span = Span::ms(200);
/// A tail that returned its lease asks for none for so long; by then the view has changed, or never will.
const RETURN_BACKOFF: Span = Span::ms(400);

/// The tail's own lease.
#[derive(Clone, Default)]
pub struct Lease {
    /// Until when it may be used.
    pub valid_until: Time,
    /// When it was asked for last.
    pub requested_at: Time,
    /// When it was last returned; grants of what was asked for until then count no more.
    pub returned_at: Time,
    /// The newest request that each voter has granted.
    pub grants: BTreeMap<NodeId, Time>,
}

impl Chain {
    /// Asks all voters for the lease, if this is the tail and it is time.
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

    /// A voter grants the tail its lease, unless a next view is under way.
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

    /// Counts a grant; the lease runs from the latest request that a majority has granted.
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

    /// Gives the lease up, if this tail cannot write and is to be left out of view `no`: from here on it answers
    /// nothing as the tail, whatever was granted before.
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

    /// The tail has returned the lease that it asked for at `sent`. Only the very lease that this voter granted last
    /// ends so: a word that comes late says nothing of a later one.
    pub fn on_lease_returned(&mut self, from: NodeId, view_no: ViewNo, sent: Time, ctx: &mut Context) {
        let current = self.view.as_ref().is_some_and(|view| view.no == view_no);
        if !current || self.acceptor.granted_lease != Some((from, sent)) {
            return;
        }
        self.acceptor.lease_hold_until = Time(0);
        self.accept_deferred(ctx);
    }

    /// Whether this voter may still be bound by a lease that it granted before it was restarted.
    pub fn is_in_restart_wait(&self, now: Time) -> bool {
        now.since(self.started_at) < LEASE_HOLD + Span::ms(50)
    }
}
