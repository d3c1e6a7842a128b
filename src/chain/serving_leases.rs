//! The ledger of serving leases, kept by the tail, and the version up to which changes are released.
//!
//! Routers serve by a lease for longer than `proof` after their last contact (see
//! `distribution::serving_lease`). So that nobody is served by an old configuration `proof` after a newer one was
//! acknowledged, the head acknowledges a change only once it is *released*: each router that holds a lease has
//! confirmed it, or has at most `proof` left of that lease. The ledger is in the tail's memory only. A tail that
//! is new, or was restarted, counts all that its predecessors may have granted as running for a whole lease from
//! the moment when it got its own lease from a majority of the voters.

use super::view::View;
use crate::distribution::messages::{ServingLeaseGrant, ServingLeaseRequest};
use crate::fleet::FleetState;
use crate::fleet::serving::serving_scopes;
use crate::fleet::slice::route_rows;
use crate::fleet::state::Scope;
use crate::kernel::component::{Component, Context};
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// What a router's clock may lose against the tail's while a lease runs.
const CLOCK_DRIFT_MARGIN: Span = Span::ms(20);
/// How often the released version is told up the chain again.
const REPEAT_INTERVAL: Span = Span::ms(150);
/// How many sets of versions are remembered, to know what a router has confirmed.
const HISTORY: usize = 64;

/// A router with a lease.
struct Holder {
    until: Time,
    /// The first version of the newest set that it has confirmed.
    confirmed_set: Version,
    address: Option<SocketAddr>,
    requested: u64,
}

/// The versions of all that routers serve by, and the first version of the chain at which they were that.
struct VersionSet {
    from: Version,
    versions: Vec<Version>,
}

/// The versions that routers serve by, as the chain went on.
#[derive(Default)]
struct VersionHistory {
    sets: VecDeque<VersionSet>,
    seen: Version,
    scopes: (Version, Vec<Scope>),
}

/// Component of the controllers that keeps the ledger while it is the tail, and passes on what is released.
#[derive(Default)]
pub struct ServingLeases {
    holders: BTreeMap<NodeId, Holder>,
    history: VersionHistory,
    /// The view in which this node is the tail and the ledger is whole, but for what `unknown_until` covers.
    tenure: Option<ViewNo>,
    unknown_until: Time,
    requests: u64,
    founded: bool,
    told: Time,
}

impl VersionHistory {
    fn clear(&mut self) {
        self.sets.clear();
    }

    /// Adds the present set if it differs from the last one. Versions that were skipped count as the new set's.
    fn follow(&mut self, state: &FleetState) {
        if state.at == self.seen && !self.sets.is_empty() {
            return;
        }
        let from = if self.sets.is_empty() { state.at } else { self.seen.next() };
        self.seen = state.at;
        let routes_at = state.scope_at(&Scope::Routes);
        if self.scopes.0 != routes_at || self.scopes.1.is_empty() {
            self.scopes = (routes_at, serving_scopes(&route_rows(&state.config)));
        }
        let versions: Vec<Version> = self.scopes.1.iter().map(|s| state.scope_at(s)).collect();
        if self.sets.back().is_some_and(|last| last.versions == versions) {
            return;
        }
        self.sets.push_back(VersionSet { from, versions });
        if self.sets.len() > HISTORY {
            self.sets.pop_front();
        }
    }

    fn newest(&self) -> Option<&VersionSet> {
        self.sets.back()
    }

    fn find(&self, versions: &[Version]) -> Option<Version> {
        self.sets.iter().rev().find(|s| s.versions == versions).map(|s| s.from)
    }

    /// The last version of the chain up to which a router that confirmed the set of `from` has everything.
    fn covers(&self, from: Version) -> Version {
        if self.sets.front().is_none_or(|first| first.from > from) {
            return from;
        }
        match self.sets.iter().find(|s| s.from > from) {
            Some(next) => Version(next.from.0 - 1),
            None => self.seen,
        }
    }
}

impl ServingLeases {
    /// Begins a tenure, or goes on with one. A tail that stays the tail in the next view keeps its ledger: no
    /// other tail was there in between.
    fn follow_role(&mut self, ctx: &mut Context) {
        let role = ctx.views.role;
        if !role.tail {
            self.tenure = None;
            return self.holders.clear();
        }
        if ctx.now >= role.until || self.tenure == Some(role.view) {
            return;
        }
        let went_on = self.tenure.is_some_and(|old| old.next() == role.view);
        if !went_on {
            self.holders.clear();
            self.history.clear();
            let first = self.founded && role.view == ViewNo(1);
            self.unknown_until = if first { ctx.now } else { ctx.now + ctx.me.lease };
        }
        self.founded = false;
        self.tenure = Some(role.view);
    }

    fn leads(&self, ctx: &Context) -> bool {
        self.tenure == Some(ctx.views.role.view) && ctx.now < ctx.views.role.until
    }

    fn requested(&mut self, from: NodeId, request: &ServingLeaseRequest, ctx: &mut Context) {
        self.follow_role(ctx);
        if !self.leads(ctx) {
            let view = ctx.views.view.clone();
            return ctx.send(from, Msg::UpdateRefused { nonce: 0, view });
        }
        self.history.follow(&ctx.views.state);
        self.requests += 1;
        let address = ctx.views.member(from).map(|m| m.addr);
        self.end_earlier_lives(from, address, request.last_grant);
        let newest = self.history.newest().filter(|s| s.versions == request.versions).map(|s| s.from);
        if let Some(set) = newest {
            let until = ctx.now + ctx.me.lease;
            let holder = Holder { until, confirmed_set: set, address, requested: self.requests };
            self.holders.insert(from, holder);
            let (nonce, grant, length) = (request.nonce, self.requests, ctx.me.lease);
            ctx.send(from, Msg::ServingLeaseGrant(ServingLeaseGrant { nonce, grant, length }));
        } else if let Some(holder) = self.holders.get_mut(&from) {
            holder.requested = self.requests;
            let confirmed = self.history.find(&request.versions).unwrap_or_default();
            holder.confirmed_set = holder.confirmed_set.max(confirmed);
        }
        self.release(ctx);
    }

    /// A process that got a grant here is alive after that grant. Another one at its address that asked before
    /// it has ended since: two processes never hold one address at a time.
    fn end_earlier_lives(&mut self, from: NodeId, address: Option<SocketAddr>, last_grant: u64) {
        if address.is_some() {
            let ended =
                |id: &NodeId, h: &Holder| *id != from && h.address == address && h.requested < last_grant;
            self.holders.retain(|id, h| !ended(id, h));
        }
    }

    /// The newest version that no router can be behind of for longer than `proof` from now.
    fn releasable(&mut self, ctx: &Context) -> Version {
        let horizon = ctx.now + ctx.me.proof;
        if self.unknown_until + CLOCK_DRIFT_MARGIN > horizon {
            return Version(0);
        }
        self.holders.retain(|_, h| h.until + CLOCK_DRIFT_MARGIN > horizon);
        let confirmed = self.holders.values().map(|h| self.history.covers(h.confirmed_set));
        confirmed.min().unwrap_or(ctx.views.state.at).min(ctx.views.state.at)
    }

    fn release(&mut self, ctx: &mut Context) {
        if !self.leads(ctx) {
            return;
        }
        self.history.follow(&ctx.views.state);
        let upto = self.releasable(ctx);
        self.raise(upto, ctx);
    }

    fn raise(&mut self, upto: Version, ctx: &mut Context) {
        if upto > ctx.views.released {
            ctx.publish(JournalEvent::Released(upto));
            self.tell(ctx);
        }
    }

    /// Tells the member before this one in the chain, which tells the one before it.
    fn tell(&mut self, ctx: &mut Context) {
        self.told = ctx.now;
        let (role, upto) = (ctx.views.role, ctx.views.released);
        let before = |view: &View| view.before(ctx.me.node);
        let previous = ctx.views.view.as_ref().filter(|v| v.no == role.view).and_then(before);
        if let Some(previous) = previous {
            ctx.chain(previous, ChainMsg::Released { view: role.view, upto });
        }
    }

    fn tick(&mut self, ctx: &mut Context) {
        self.follow_role(ctx);
        self.release(ctx);
        if ctx.now.since(self.told) >= REPEAT_INTERVAL {
            self.tell(ctx);
        }
    }
}

impl Component for ServingLeases {
    fn name(&self) -> &'static str {
        "serving_leases"
    }

    fn on(&mut self, ev: &Event, ctx: &mut Context) {
        match ev {
            Event::Mail { from, msg: Msg::ServingLeaseRequest(request), .. } => {
                self.requested(*from, request, ctx)
            }
            Event::Mail { msg: Msg::Chain(ChainMsg::Released { view, upto }), .. }
                if *view == ctx.views.role.view =>
            {
                self.raise(*upto, ctx)
            }
            Event::Journal(JournalEvent::Founded) => self.founded = true,
            Event::Journal(JournalEvent::Committed { .. }) => self.release(ctx),
            Event::Tick => self.tick(ctx),
            _ => {}
        }
    }

    fn status(&self, _now: Time) -> Vec<(&'static str, String)> {
        vec![("holders", self.holders.len().to_string())]
    }
}
