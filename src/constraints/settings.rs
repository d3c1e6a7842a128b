//! How strictly quotas are kept, and the leases and rates that follow.
//!
#![deny(missing_docs)]

use crate::fleet::tenants::QuotaLimit;
use crate::kernel::time::Span;

/// Shortest lease of a grant: several round trips between busy machines.
const GRANT_LEASE_LEAST: Span = Span::ms(250);
/// Longest lease of a grant; a longer one has no benefit.
const GRANT_LEASE_MOST: Span = Span::ms(1000);
/// One, in thousandths.
const MILLI: u64 = 1000;

/// In any window, a tenant may make (rate x window + burst) x (1 + tolerance) + slack requests.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct QuotaSettings {
    /// Length of a window.
    pub window: Span,
    /// The tolerance in thousandths.
    pub tolerance_milli: u64,
    /// Additional requests.
    pub slack: u64,
}

impl Default for QuotaSettings {
    fn default() -> QuotaSettings {
        QuotaSettings { window: Span::ms(5000), tolerance_milli: 100, slack: 20 }
    }
}

impl QuotaSettings {
    /// How long a token may be used, counted from the request that acquired it.
    pub fn grant_lease(&self) -> Span {
        Span(self.tolerated().0.clamp(GRANT_LEASE_LEAST.0, GRANT_LEASE_MOST.0))
    }

    /// The limit of the bucket for a quota. Uses in a window come from grants in it and in one lease before it, so a bucket may
    /// grant in that time no more than the window allows.
    pub fn bucket_limit(&self, quota: QuotaLimit) -> QuotaLimit {
        let granting = self.window.0 + self.grant_lease().0;
        let allowed = self.window.0 + self.tolerated().0;
        let rate =
            u128::from(quota.rate_milli) * u128::from(allowed.min(granting)) / u128::from(granting.max(1));
        QuotaLimit { rate_milli: rate as u64, burst: quota.burst.saturating_add(self.slack / 2) }
    }

    /// Most requests in a window.
    pub fn window_limit(&self, quota: QuotaLimit) -> f64 {
        let per_s = quota.rate_milli as f64 / MILLI as f64;
        let nominal = per_s * self.window.0 as f64 / 1e6 + quota.burst as f64;
        nominal * (1.0 + self.tolerance_milli as f64 / MILLI as f64) + self.slack as f64
    }

    /// The part of a window that corresponds to the tolerance.
    fn tolerated(&self) -> Span {
        Span(self.window.0.saturating_mul(self.tolerance_milli) / MILLI)
    }
}
