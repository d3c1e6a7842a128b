//! The router's side of serving leases.
//!
//! A router may serve by a topic for `freshness_limit` after it asked for the newest version. A serving lease
//! extends this while the controllers can't be reached. The tail grants one only to a router that has the
//! newest version of everything it serves by, and keeps a ledger of the grants: no change is acknowledged
//! before each router that holds a lease has confirmed the change, or has no more than `freshness_limit` left
//! of the lease.

use super::messages::{LeaseNumber, ServingLeaseGrant, ServingLeaseRequest};
use super::reader::TopicReader;
use super::relay_node::Distribution;
use crate::fleet::serving::serving_scopes;
use crate::fleet::slice::Slice;
use crate::fleet::state::Scope;
use crate::kernel::component::Context;
use crate::kernel::ids::Version;
use crate::kernel::time::{Span, Time};
use crate::msg::{Effect, Msg, Role};

/// How often a lease is renewed while nothing changes.
const RENEWAL_INTERVAL: Span = Span::ms(500);
/// With many routers each renews its lease less often: once in this time for each router,
const RENEWAL_PER_ROUTER: Span = Span::ms(4);
/// but at intervals of at most this part (one half) of the time by which a lease exceeds `freshness_limit`,
/// so that as much of it is always left.
const RENEWAL_SHARE: u64 = 2;
/// The shortest time between a request and the next one, which confirms a newer version.
const CONFIRMATION_INTERVAL: Span = Span::ms(15);

/// The request under way: when it was sent, and the topics that it names.
struct Request {
    nonce: u64,
    sent: Time,
    scopes: Vec<Scope>,
}

/// Topics by which the router may serve until a time.
pub struct LeasedTopics {
    /// The topics.
    pub scopes: Vec<Scope>,
    /// The end of the lease.
    pub until: Time,
}

/// The lease of one router.
#[derive(Default)]
pub struct ServingLease {
    request: Option<Request>,
    requested: Time,
    nonce: u64,
    last_grant: LeaseNumber,
    confirmed: Vec<Version>,
    cached: (Version, Vec<Scope>),
    until: Time,
}

impl ServingLease {
    /// The next request, if one is due: at once after a change, otherwise every `renewal`.
    pub fn request(&mut self, reader: &TopicReader, renewal: Span, now: Time) -> Option<ServingLeaseRequest> {
        let idle = now.since(self.requested);
        if idle < CONFIRMATION_INTERVAL {
            return None;
        }
        let scopes = self.scopes(reader)?;
        let versions = versions(reader, &scopes)?;
        if versions == self.confirmed && idle < renewal {
            return None;
        }
        self.confirmed = versions.clone();
        self.requested = now;
        self.nonce += 1;
        self.request = Some(Request { nonce: self.nonce, sent: now, scopes });
        Some(ServingLeaseRequest { nonce: self.nonce, last_grant: self.last_grant, versions })
    }

    /// Takes a grant. It counts from when its request was sent, and only if that request is the newest.
    pub fn granted(&mut self, grant: &ServingLeaseGrant) -> Option<LeasedTopics> {
        let request = self.request.take_if(|r| r.nonce == grant.nonce)?;
        if self.last_grant == LeaseNumber::default() {
            self.requested = Time(0);
        }
        self.last_grant = grant.grant;
        self.until = request.sent + grant.length;
        Some(LeasedTopics { scopes: request.scopes, until: self.until })
    }

    /// How long the lease still runs.
    pub fn left(&self, now: Time) -> Span {
        self.until.since(now)
    }

    fn scopes(&mut self, reader: &TopicReader) -> Option<Vec<Scope>> {
        let routes = &reader.topics.get(&Scope::Routes)?.history;
        let Slice::Routes(content) = &**routes.slice.as_ref()? else { return None };
        if self.cached.0 != routes.at || self.cached.1.is_empty() {
            self.cached = (routes.at, serving_scopes(&content.rows));
        }
        Some(self.cached.1.clone())
    }
}

/// The versions that a router has; `None` if one of the topics is not known yet.
fn versions(reader: &TopicReader, scopes: &[Scope]) -> Option<Vec<Version>> {
    let version = |s: &Scope| {
        let topic = reader.topics.get(s).filter(|t| t.history.slice.is_some() && !t.needs_whole)?;
        Some(topic.history.at)
    };
    scopes.iter().map(version).collect()
}

/// How often this router renews its lease while nothing changes.
fn renewal_interval(ctx: &Context) -> Span {
    let routers = ctx.views.members.iter().filter(|row| row.who.role == Role::Router).count() as u64;
    let longest = Span(ctx.me.serving_lease.0.saturating_sub(ctx.me.freshness_limit.0) / RENEWAL_SHARE);
    let wanted = Span(RENEWAL_PER_ROUTER.0 * routers);
    RENEWAL_INTERVAL.max(wanted.min(longest))
}

impl Distribution {
    /// Sends a request to the head, which passes it along the chain. The same message confirms the versions
    /// that this router has.
    pub(super) fn request_lease(&mut self, ctx: &mut Context) {
        if ctx.me.serving_lease <= ctx.me.freshness_limit {
            return;
        }
        let Some(head) = ctx.views.view.as_ref().and_then(|v| v.head()) else { return };
        let renewal = renewal_interval(ctx);
        if let Some(request) = self.lease.request(&self.reader, renewal, ctx.now) {
            ctx.send(head, Msg::ServingLeaseRequest(request));
        }
    }

    pub(super) fn on_lease_grant(&mut self, grant: &ServingLeaseGrant, ctx: &mut Context) {
        if let Some(LeasedTopics { scopes, until }) = self.lease.granted(grant) {
            ctx.effects.push(Effect::ServingLease { scopes, until });
        }
    }
}
