//! What one router holds of all tenants' quotas. Requests take their tokens here, before they enter a gate.
#![deny(missing_docs)]

use super::tenant_share::TenantShare;
pub use super::tenant_share::{QuotaDecision, Wake};
use crate::kernel::ids::Name;
use crate::kernel::time::Time;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Tokens of a tenant are wanted.
#[derive(Clone, PartialEq, Debug)]
pub struct QuotaDemand {
    /// The tenant.
    pub tenant: Name,
    /// Requests that began to wait.
    pub needed: u32,
    /// Requests that got a token here in the last second.
    pub last_second: u32,
}

/// An owner's answer for a tenant.
#[derive(Clone, PartialEq, Debug)]
pub struct Grant {
    /// The tenant.
    pub tenant: Name,
    /// Tokens, each for one request.
    pub tokens: u32,
    /// Until when they may be used.
    pub valid_until: Time,
    /// Until when the tenant is over its quota.
    pub blocked_until: Option<Time>,
}

/// Whom the shares tell that tokens are wanted.
pub type QuotaAsker = Arc<dyn Fn(QuotaDemand) + Send + Sync>;

/// What became of requests of tenants with quotas.
#[derive(Clone, Copy, Default, Debug)]
pub struct QuotaCounts {
    /// Requests that found a token.
    pub at_once: u64,
    /// Requests that waited for one.
    pub waited: u64,
    /// Requests beyond their tenant's quota.
    pub blocked: u64,
    /// Requests that got no token in their time.
    pub unanswered: u64,
}

/// The shares of one router.
#[derive(Default)]
pub struct Shares {
    tenants: BTreeMap<Name, TenantShare>,
    asker: Option<QuotaAsker>,
    counts: QuotaCounts,
}

impl Shares {
    /// Sets whom to tell what is wanted.
    pub fn on_wanted(&mut self, asker: QuotaAsker) {
        self.asker = Some(asker);
    }

    /// A request of a tenant with a quota. Nothing is returned if it waits; `wake` tells it then.
    pub fn request(&mut self, now: Time, tenant: &Name, due: Time, wake: Wake) -> Option<QuotaDecision> {
        let share = self.tenants.entry(tenant.clone()).or_default();
        if share.use_token(now) {
            self.counts.at_once += 1;
            self.top_up(now, tenant);
            return Some(QuotaDecision::Granted);
        }
        if let Some(wait) = share.blocked(now) {
            self.counts.blocked += 1;
            return Some(QuotaDecision::Blocked(wait));
        }
        share.wait(due, wake);
        let demand = QuotaDemand { tenant: tenant.clone(), needed: 1, last_second: share.last_second(now) };
        self.counts.waited += 1;
        self.tell(demand);
        None
    }

    /// Owners have answered.
    pub fn granted(&mut self, now: Time, grants: &[Grant]) {
        for grant in grants {
            let share = self.tenants.entry(grant.tenant.clone()).or_default();
            share.add(grant.tokens, grant.valid_until, now);
            if let Some(until) = grant.blocked_until {
                self.counts.blocked += share.waiting() as u64;
                share.block(until, now);
            }
        }
    }

    /// Drops what has expired, and refuses requests whose time is over.
    pub fn sweep(&mut self, now: Time) {
        for share in self.tenants.values_mut() {
            self.counts.unanswered += share.end_overdue(now);
        }
        self.tenants.retain(|_, share| !share.is_idle(now));
    }

    /// What became of the requests so far.
    pub fn counts(&self) -> QuotaCounts {
        self.counts
    }

    /// Valid tokens that are not used yet.
    pub fn outstanding(&mut self, now: Time) -> u64 {
        self.tenants.values_mut().map(|share| share.outstanding(now)).sum()
    }

    /// Requests that wait for a token.
    pub fn waiting(&self) -> usize {
        self.tenants.values().map(TenantShare::waiting).sum()
    }

    /// Asks ahead as the last token was used by a tenant that is served often here.
    fn top_up(&mut self, now: Time, tenant: &Name) {
        let Some(share) = self.tenants.get_mut(tenant) else { return };
        if share.outstanding(now) == 0 {
            let demand =
                QuotaDemand { tenant: tenant.clone(), needed: 0, last_second: share.last_second(now) };
            self.tell(demand);
        }
    }

    fn tell(&self, demand: QuotaDemand) {
        if let Some(asker) = &self.asker {
            asker(demand);
        }
    }
}
