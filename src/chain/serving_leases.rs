//! The ledger of serving leases, kept by all members of the chain, and the version up to which changes are
//! released.
//!
//! With a serving lease a router may serve for longer than the freshness limit after its last contact (see
//! `distribution::serving_lease`). No request may be served by an old configuration more than the freshness limit
//! after a newer one was acknowledged. So the head acknowledges a change only once it is *released*: each router
//! with a lease has confirmed the change, or its lease ends within the freshness limit.
//!
//! Requests enter at the head and travel along the chain. Each member records a request in memory before the next
//! member gets it, and the tail grants it, so whichever member becomes the tail has the whole ledger. A new or
//! restarted member assumes that leases it does not know of run for a whole lease duration from then, or until its
//! predecessor has sent it the ledger (`ledger_transfer`).

use super::lease::LEASE_DURATION;
use super::ledger_transfer::LedgerRequest;
use super::version_history::VersionHistory;
use super::view::View;
use crate::kernel::component::{Component, Context};
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How far the clocks of two nodes may drift apart while a lease runs.
pub const CLOCK_DRIFT_MARGIN: Span = Span::ms(20);
/// How often the released version is sent up the chain again.
const RELEASED_INTERVAL: Span = Span::ms(150);

/// A router with a serving lease.
#[derive(Clone)]
pub(super) struct LeaseHolder {
    pub(super) until: Time,
    /// The versions that it has confirmed to have.
    pub(super) versions: Vec<Version>,
    pub(super) address: Option<SocketAddr>,
    pub(super) number: LeaseNumber,
}

/// The component of the controllers that keeps the ledger and publishes the released version.
#[derive(Clone, Default)]
pub struct ServingLeases {
    pub(super) holders: BTreeMap<NodeId, LeaseHolder>,
    history: VersionHistory,
    /// The view in which this node is a member. The ledger is complete except for what `unknown_until` covers.
    view: Option<ViewNo>,
    unknown_until: Time,
    pending: Vec<LeaseApplication>,
    application_count: u64,
    released_sent_at: Time,
    pub(super) ledger_request: LedgerRequest,
}

impl ServingLeases {
    /// Until when serving leases that this member does not know of may run.
    pub fn unknown_until(&self) -> Time {
        self.unknown_until
    }

    /// Records that all leases that this member does not know of end by `until`.
    pub(super) fn limit_unknown_until(&mut self, until: Time) {
        self.unknown_until = self.unknown_until.min(until);
    }

    /// Follows a change of view. A member of the previous view has recorded every application granted in it. Any
    /// other member, or a restarted one, clears its ledger and assumes a whole lease duration for what it does not
    /// know.
    fn follow_view(&mut self, ctx: &mut Context) {
        let view = ctx.views.role.view;
        if self.view == Some(view) {
            return;
        }
        let inside = ctx.views.view.as_ref().is_some_and(|v| v.no == view && v.has(ctx.me.node));
        let went_on = inside && self.view.is_some_and(|old| old.next() == view);
        if !went_on {
            self.holders.clear();
            self.history.clear();
            self.unknown_until = ctx.now + ctx.me.serving_lease + LEASE_DURATION;
            self.renew_ledger_request(ctx);
        }
        self.view = inside.then_some(view);
    }

    fn holds_tail_lease(&self, ctx: &Context) -> bool {
        let role = ctx.views.role;
        role.is_tail && self.view == Some(role.view) && ctx.now < role.lease_until
    }

    /// The current view, if the chain component of this node has the same. None on a member that hears no majority:
    /// its messages would make it look alive, and it would not be removed from the chain.
    pub(super) fn current_view(&self, ctx: &Context) -> Option<View> {
        if ctx.views.role.is_isolated {
            return None;
        }
        ctx.views.view.clone().filter(|v| Some(v.no) == self.view && v.no == ctx.views.role.view)
    }

    /// On the head: numbers a request, which then goes along the chain with all others since the last tick.
    fn on_lease_request(&mut self, router: NodeId, request: &ServingLeaseRequest, ctx: &mut Context) {
        let view = self.current_view(ctx).filter(|v| v.head() == Some(ctx.me.node));
        let Some(view) = view else {
            let view = ctx.views.view.clone();
            return ctx.send(router, Msg::UpdateRefused { nonce: 0, view });
        };
        self.application_count += 1;
        let number = LeaseNumber { view: view.no, count: self.application_count };
        let address = ctx.views.member(router).map(|m| m.addr);
        self.pending.push(LeaseApplication { number, router, address, request: request.clone() });
    }

    fn pass_on_pending(&mut self, ctx: &mut Context) {
        let rows = std::mem::take(&mut self.pending);
        if let (Some(view), false) = (self.current_view(ctx), rows.is_empty()) {
            self.on_applications(view.no, &rows, ctx);
        }
    }

    /// Records applications and passes them on; the tail grants them.
    fn on_applications(&mut self, view_no: ViewNo, rows: &[LeaseApplication], ctx: &mut Context) {
        let Some(view) = self.current_view(ctx).filter(|v| v.no == view_no) else { return };
        self.history.record(&ctx.views.state);
        if let Some(next) = view.successor(ctx.me.node) {
            rows.iter().for_each(|a| self.record(a, ctx));
            return ctx.chain(next, ChainMsg::LeaseApplications { view: view_no, rows: rows.to_vec() });
        }
        if self.holds_tail_lease(ctx) {
            rows.iter().for_each(|a| self.grant_or_note(a, ctx));
            self.release_confirmed(ctx);
        }
    }

    fn record(&mut self, a: &LeaseApplication, ctx: &Context) {
        self.drop_ended_processes(a);
        let until = ctx.now + ctx.me.serving_lease;
        let versions = a.request.versions.clone();
        self.holders.insert(a.router, LeaseHolder { until, versions, address: a.address, number: a.number });
    }

    /// On the tail: grants a lease to a router that has the newest versions; otherwise only records which it has.
    fn grant_or_note(&mut self, a: &LeaseApplication, ctx: &mut Context) {
        if self.history.is_newest(&a.request.versions) {
            self.record(a, ctx);
            let (nonce, grant, length) = (a.request.nonce, a.number, ctx.me.serving_lease);
            return ctx.send(a.router, Msg::ServingLeaseGrant(ServingLeaseGrant { nonce, grant, length }));
        }
        self.drop_ended_processes(a);
        let covered = self.history.covered_version(&a.request.versions);
        if let Some(holder) = self.holders.get_mut(&a.router)
            && covered >= self.history.covered_version(&holder.versions)
        {
            holder.versions = a.request.versions.clone();
            holder.number = a.number;
        }
    }

    /// Drops the leases of earlier processes at the same address. A process that received a grant was alive after
    /// it, so another process at its address whose request came before that grant has ended: two processes never
    /// have one address at a time.
    fn drop_ended_processes(&mut self, a: &LeaseApplication) {
        if a.address.is_some() {
            let ended = |id: &NodeId, h: &LeaseHolder| {
                *id != a.router && h.address == a.address && h.number < a.request.last_grant
            };
            self.holders.retain(|id, h| !ended(id, h));
        }
    }

    /// The newest version that no router can be behind for longer than the freshness limit from now.
    fn releasable_version(&mut self, ctx: &Context) -> Version {
        let horizon = ctx.now + ctx.me.freshness_limit;
        if self.unknown_until + CLOCK_DRIFT_MARGIN > horizon {
            return Version(0);
        }
        self.holders.retain(|_, h| h.until + CLOCK_DRIFT_MARGIN > horizon);
        let confirmed = self.holders.values().map(|h| self.history.covered_version(&h.versions));
        confirmed.min().unwrap_or(ctx.views.state.at).min(ctx.views.state.at)
    }

    fn release_confirmed(&mut self, ctx: &mut Context) {
        if !self.holds_tail_lease(ctx) {
            return;
        }
        self.history.record(&ctx.views.state);
        let upto = self.releasable_version(ctx);
        self.publish_released(upto, ctx);
    }

    fn publish_released(&mut self, upto: Version, ctx: &mut Context) {
        if upto > ctx.views.released {
            ctx.publish(JournalEvent::Released(upto));
            self.send_released(ctx);
        }
    }

    /// Sends the released version to the previous member, which passes it on up the chain.
    fn send_released(&mut self, ctx: &mut Context) {
        self.released_sent_at = ctx.now;
        let Some(view) = self.current_view(ctx) else { return };
        if let Some(previous) = view.predecessor(ctx.me.node) {
            let upto = ctx.views.released;
            ctx.chain(previous, ChainMsg::Released { view: view.no, upto });
        }
    }

    fn tick(&mut self, ctx: &mut Context) {
        self.request_ledger(ctx);
        self.pass_on_pending(ctx);
        self.release_confirmed(ctx);
        if ctx.now.since(self.released_sent_at) >= RELEASED_INTERVAL {
            self.send_released(ctx);
        }
    }
}

impl Component for ServingLeases {
    fn name(&self) -> &'static str {
        "serving_leases"
    }

    fn on(&mut self, ev: &Event, ctx: &mut Context) {
        self.follow_view(ctx);
        match ev {
            Event::Journal(JournalEvent::Founded) => self.unknown_until = ctx.now,
            Event::Message { from, msg: Msg::ServingLeaseRequest(request), .. } => {
                self.on_lease_request(*from, request, ctx)
            }
            Event::Message { msg: Msg::Chain(ChainMsg::LeaseApplications { view, rows }), .. } => {
                self.on_applications(*view, rows, ctx)
            }
            Event::Message {
                from, msg: Msg::Chain(ChainMsg::LeaseLedgerRequest { view, nonce }), ..
            } => self.on_ledger_request(*from, *view, *nonce, ctx),
            Event::Message { msg: Msg::Chain(ChainMsg::LeaseLedger { view, nonce, ledger }), .. } => {
                self.on_ledger(*view, *nonce, ledger, ctx)
            }
            Event::Message { msg: Msg::Chain(ChainMsg::Released { view, upto }), .. }
                if *view == ctx.views.role.view =>
            {
                self.publish_released(*upto, ctx)
            }
            Event::Journal(JournalEvent::Committed { .. }) => self.release_confirmed(ctx),
            Event::Tick => self.tick(ctx),
            _ => {}
        }
    }

    fn status(&self, _now: Time) -> Vec<(&'static str, String)> {
        vec![("holders", self.holders.len().to_string())]
    }
}
