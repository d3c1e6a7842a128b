//! The share of all tenants' quotas held by one router. Requests take their tokens here, before they enter a balancer.
//!
#![deny(missing_docs)]

use super::tenant_share::TenantShare;
pub use super::tenant_share::{QuotaDecision, Wake};
use crate::kernel::ids::Name;
use crate::kernel::time::Time;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A tenant needs tokens.
#[derive(Clone, PartialEq, Debug)]
pub struct QuotaDemand {
    /// The tenant.
    pub tenant: Name,
    /// Requests that have begun to wait.
    pub needed: u32,
    /// Requests that got a token here in the last second.
    pub last_second: u32,
}

/// The answer of an owner for a tenant.
#[derive(Clone, PartialEq, Debug)]
pub struct Grant {
    /// The tenant.
    pub tenant: Name,
    /// Tokens, each for one request.
    pub tokens: u32,
    /// End of their lease.
    pub valid_until: Time,
    /// Until when the tenant is over its quota.
    pub blocked_until: Option<Time>,
}

/// Called when tokens are needed.
pub type QuotaAsker = Arc<dyn Fn(QuotaDemand) + Send + Sync>;

/// Outcomes of requests of tenants with quotas.
#[derive(Clone, Copy, Default, Debug)]
pub struct QuotaCounts {
    /// Requests that found a token.
    pub at_once: u64,
    /// Requests that waited for one.
    pub waited: u64,
    /// Requests over the quota of their tenant.
    pub blocked: u64,
    /// Requests that got no token before their deadline.
    pub unanswered: u64,
}

/// The quota shares of one router.
#[derive(Default)]
pub struct Shares {
    tenants: BTreeMap<Name, TenantShare>,
    on_demand: Option<QuotaAsker>,
    counts: QuotaCounts,
}

impl Shares {
    /// Sets what is called when tokens are needed.
    pub fn set_demand_handler(&mut self, asker: QuotaAsker) {
        self.on_demand = Some(asker);
    }

    /// Decides on a request of a tenant with a quota. Nothing is returned if it waits; `wake` then receives the decision.
    pub fn request(&mut self, now: Time, tenant: &Name, due: Time, wake: Wake) -> Option<QuotaDecision> {
        let share = self.tenants.entry(tenant.clone()).or_default();
        if share.use_token(now) {
            self.counts.at_once += 1;
            self.request_ahead(now, tenant);
            return Some(QuotaDecision::Granted);
        }
        if let Some(wait) = share.blocked(now) {
            self.counts.blocked += 1;
            return Some(QuotaDecision::Blocked(wait));
        }
        share.wait(due, wake);
        let demand = QuotaDemand { tenant: tenant.clone(), needed: 1, last_second: share.last_second(now) };
        self.counts.waited += 1;
        self.signal_demand(demand);
        None
    }

    /// Applies answers of owners.
    pub fn on_granted(&mut self, now: Time, grants: &[Grant]) {
        for grant in grants {
            let share = self.tenants.entry(grant.tenant.clone()).or_default();
            share.add(grant.tokens, grant.valid_until, now);
            if let Some(until) = grant.blocked_until {
                self.counts.blocked += share.waiting() as u64;
                share.block(until, now);
            }
        }
    }

    /// Drops what has expired, and refuses requests whose deadline has passed.
    pub fn sweep(&mut self, now: Time) {
        for share in self.tenants.values_mut() {
            self.counts.unanswered += share.refuse_overdue(now);
        }
        self.tenants.retain(|_, share| !share.is_idle(now));
    }

    /// Outcomes so far.
    pub fn counts(&self) -> QuotaCounts {
        self.counts
    }

    /// Valid unused tokens.
    pub fn outstanding(&mut self, now: Time) -> u64 {
        self.tenants.values_mut().map(|share| share.outstanding(now)).sum()
    }

    /// Requests that wait for a token.
    pub fn waiting(&self) -> usize {
        self.tenants.values().map(TenantShare::waiting).sum()
    }

    /// Requests tokens ahead when the last one was taken by a tenant that is used often here.
    fn request_ahead(&mut self, now: Time, tenant: &Name) {
        let Some(share) = self.tenants.get_mut(tenant) else { return };
        if share.outstanding(now) == 0 {
            let demand =
                QuotaDemand { tenant: tenant.clone(), needed: 0, last_second: share.last_second(now) };
            self.signal_demand(demand);
        }
    }

    fn signal_demand(&self, demand: QuotaDemand) {
        if let Some(asker) = &self.on_demand {
            asker(demand);
        }
    }
}
