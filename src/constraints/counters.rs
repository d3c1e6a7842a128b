//! The token buckets that a controller owns in the newest view it knows.
//!
#![deny(missing_docs)]

use super::bucket::TokenBucket;
use super::handover::Handover;
use super::messages::HandedCounter;
use super::ownership::owner_of;
use super::settings::QuotaSettings;
use crate::chain::view::View;
use crate::fleet::FleetConfig;
use crate::fleet::tenants::QuotaLimit;
use crate::kernel::ids::{Name, NodeId, ViewNo};
use crate::kernel::time::Time;
use std::collections::BTreeMap;

/// A bucket for each tenant with a quota that this node owns.
#[derive(Default)]
pub struct Counters {
    node: NodeId,
    view: Option<View>,
    quotas: BTreeMap<Name, QuotaLimit>,
    buckets: BTreeMap<Name, TokenBucket>,
    /// Counters on their way to or from other owners.
    pub handover: Handover,
}

impl Counters {
    /// Whether this view is the current one here.
    pub fn follows_view(&self, view: &View) -> bool {
        self.view.as_ref().is_some_and(|current| current.no == view.no)
    }

    /// Number of the current view.
    pub fn view_no(&self) -> ViewNo {
        self.view.as_ref().map_or(ViewNo::default(), |view| view.no)
    }

    /// Keeps the counters of tenants that this node owned in the previous view and owns in the new one: nobody else could grant
    /// in between. Others are offered to their new owners, or requested from their old ones.
    pub fn follow_view(&mut self, view: &View, node: NodeId, now: Time) {
        let old = self.view.replace(view.clone());
        self.node = node;
        self.handover = Handover::default();
        let Some(old) = old.filter(|old| old.no.next() == view.no) else { return self.buckets.clear() };
        let lost = self.buckets.extract_if(.., |tenant, _| owner_of(view, tenant) != Some(node));
        for (tenant, mut bucket) in lost {
            if bucket.is_open(now) {
                self.handover.offer(tenant, bucket.level(now));
            }
        }
        for tenant in self.quotas.keys().filter(|tenant| owner_of(view, tenant) == Some(node)) {
            let before = owner_of(&old, tenant).filter(|before| *before != node && view.has(*before));
            before.into_iter().for_each(|before| self.handover.want(tenant.clone(), before));
        }
    }

    /// Applies the limits of a configuration.
    pub fn set_limits(&mut self, settings: QuotaSettings, config: &FleetConfig, now: Time) {
        let limited = |quota| settings.bucket_limit(quota);
        let rows = config.tenants.iter();
        self.quotas = rows.filter_map(|tenant| Some((tenant.name.clone(), limited(tenant.quota?)))).collect();
        self.buckets.retain(|tenant, _| self.quotas.contains_key(tenant));
        for (tenant, bucket) in &mut self.buckets {
            bucket.set_limit(self.quotas[tenant], now);
        }
    }

    /// Adds an empty bucket, open from `opens`, for each owned tenant that has none yet.
    pub fn add_missing(&mut self, opens: Time) {
        for (tenant, limit) in &self.quotas {
            if !self.buckets.contains_key(tenant) && self.owns(tenant) {
                self.buckets.insert(tenant.clone(), TokenBucket::empty(*limit, opens));
            }
        }
    }

    /// Takes over counters from the owner in the previous view, unless they are already counted anew.
    pub fn on_handover(
        &mut self,
        from: NodeId,
        view: ViewNo,
        asked: Time,
        rows: &[HandedCounter],
        now: Time,
    ) {
        if view != self.view_no() || !self.handover.expects(from, asked) {
            return;
        }
        for row in rows {
            let Some(limit) = self.quotas.get(&row.tenant).filter(|_| self.owns(&row.tenant)) else {
                continue;
            };
            if self.buckets.get(&row.tenant).is_none_or(|bucket| !bucket.is_open(now)) {
                let bucket = TokenBucket::handed_over(*limit, row.level, now);
                self.buckets.insert(row.tenant.clone(), bucket);
            }
        }
    }

    /// Whether this node owns the tenant, and its bucket is open or it has no quota.
    pub fn counts_for(&self, tenant: &Name, now: Time) -> bool {
        let counted = match self.buckets.get(tenant) {
            Some(bucket) => bucket.is_open(now),
            None => !self.quotas.contains_key(tenant),
        };
        counted && self.owns(tenant)
    }

    /// The bucket of a tenant.
    pub fn bucket(&mut self, tenant: &Name) -> Option<&mut TokenBucket> {
        self.buckets.get_mut(tenant)
    }

    /// Whether no tenant has a quota.
    pub fn has_no_limits(&self) -> bool {
        self.quotas.is_empty()
    }

    /// Number of buckets.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    fn owns(&self, tenant: &Name) -> bool {
        self.view.as_ref().and_then(|view| owner_of(view, tenant)) == Some(self.node)
    }
}
