//! The holder's leases of runners, each granted by the deputy before an order goes out.
//!
//! A deputy that becomes the next holder knows by its grants which runners its predecessor may have sent orders to, and
//! waits for these alone. Without a deputy orders need no lease, and the next holder waits for all runners.
#![deny(missing_docs)]

use super::lease_messages::{OrderLeaseGrant, OrderLeaseRequest};
use crate::fleet::duty::Deputy;
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};
use std::collections::{BTreeMap, BTreeSet};

/// How long after its request a lease allows orders to arrive.
pub const LEASE: Span = Span::ms(1000);
/// A lease with less time left than this isn't used for a further order.
const LEAST_LEFT: Span = Span::ms(300);
/// A request without an answer is repeated after this.
const AGAIN: Span = Span::ms(100);
/// A deputy that leaves requests unanswered for so long is replaced.
const SILENT: Span = Span::ms(400);

struct Request {
    sent: Time,
    runners: Vec<Name>,
}

/// The leases of one holder.
#[derive(Default)]
pub struct OrderLeases {
    deputy: Option<Deputy>,
    /// When the newest granted request for a runner was sent.
    granted: BTreeMap<Name, Time>,
    wanted: BTreeSet<Name>,
    unanswered: BTreeMap<u64, Request>,
    /// Since when the deputy owes an answer.
    silent_since: Option<Time>,
    last_request: u64,
    /// The deputy has granted a request, and so knows of its appointment.
    is_known: bool,
}

impl OrderLeases {
    /// Takes in who grants leases; those of another appointment are void.
    pub fn follow(&mut self, deputy: Option<Deputy>) {
        if self.deputy != deputy {
            *self = OrderLeases { deputy, ..OrderLeases::default() };
        }
    }

    /// Until when an order to `runner` may arrive; if no lease allows one, a lease is asked for with the next request.
    pub fn until(&mut self, runner: &Name, now: Time) -> Option<Time> {
        if self.deputy.is_none() {
            return Some(Time(u64::MAX));
        }
        let end = self.granted.get(runner).map(|sent| *sent + LEASE);
        let usable = end.filter(|end| now + LEAST_LEFT < *end);
        if usable.is_none() {
            self.want(runner, now);
        }
        usable
    }

    /// Asks for a lease of `runner` with the next request, unless one that was sent is still fresh.
    pub fn want(&mut self, runner: &Name, now: Time) {
        let asked = |request: &Request| now.since(request.sent) < AGAIN && request.runners.contains(runner);
        if self.deputy.is_some() && !self.unanswered.values().any(asked) {
            self.wanted.insert(runner.clone());
        }
    }

    /// The request for all leases that are wanted, if any are. The first one goes out without any, so that the deputy
    /// knows early from when on it has granted all.
    pub fn next_request(&mut self, now: Time) -> Option<OrderLeaseRequest> {
        let deputy = self.deputy?;
        if self.wanted.is_empty() && (self.is_known || self.is_asked(now)) {
            return None;
        }
        let runners: Vec<Name> = std::mem::take(&mut self.wanted).into_iter().collect();
        self.last_request += 1;
        self.unanswered.retain(|_, request| now.since(request.sent) < LEASE);
        self.unanswered.insert(self.last_request, Request { sent: now, runners: runners.clone() });
        self.silent_since.get_or_insert(now);
        Some(OrderLeaseRequest { deputy, request: self.last_request, runners })
    }

    /// Whether a request was sent that is still fresh.
    fn is_asked(&self, now: Time) -> bool {
        self.unanswered.values().any(|request| now.since(request.sent) < AGAIN)
    }

    /// Takes in a grant; the runners that are leased by it.
    pub fn granted(&mut self, grant: &OrderLeaseGrant, now: Time) -> Vec<Name> {
        if self.deputy != Some(grant.deputy) {
            return vec![];
        }
        let Some(request) = self.unanswered.remove(&grant.request) else { return vec![] };
        self.is_known = true;
        self.silent_since = self.unanswered.values().map(|request| request.sent).min();
        self.granted.retain(|_, sent| now.since(*sent) < LEASE);
        for runner in &request.runners {
            let sent = self.granted.entry(runner.clone()).or_insert(request.sent);
            *sent = request.sent.max(*sent);
        }
        request.runners
    }

    /// The deputy that has owed an answer for too long, if it has.
    pub fn silent_deputy(&self, now: Time) -> Option<Deputy> {
        let silent = self.silent_since.is_some_and(|since| now.since(since) >= SILENT);
        self.deputy.filter(|_| silent)
    }
}
