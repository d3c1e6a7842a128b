//! Tenants: who may send requests, how urgent theirs are, and how many they may send.
//!
//! Keys are kept as digests only, so that no state, log or message holds one.
#![deny(missing_docs)]

use super::named::Named;
use crate::kernel::ids::{DocumentDigest, Name};
use bitcode::{Decode, Encode};
use std::collections::HashMap;
use std::sync::Arc;

/// What separates the digest of a key from those of documents.
const KEY_DOMAIN: &[u8] = b"tenant key";

/// The digest of a tenant's key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Encode, Decode)]
pub struct KeyDigest(DocumentDigest);

impl KeyDigest {
    /// The digest of the key that a client sends.
    pub fn of(key: &[u8]) -> KeyDigest {
        KeyDigest(DocumentDigest::of(&[KEY_DOMAIN, key]))
    }

    /// The digest as operators may read and write it.
    pub fn to_hex(&self) -> String {
        self.0.to_hex()
    }

    /// Reads what `to_hex` writes.
    pub fn from_hex(text: &str) -> Option<KeyDigest> {
        DocumentDigest::from_hex(text).map(KeyDigest)
    }
}

/// How many requests a tenant may make, counted over all nodes.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Encode, Decode)]
pub struct QuotaLimit {
    /// Thousandths of a request per second.
    pub rate_milli: u64,
    /// Requests above the rate.
    pub burst: u64,
}

/// A tenant as the configuration has it.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Tenant {
    /// Its name, which runners are told.
    pub name: Name,
    /// The digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Its rank, 0 first; it goes before that of the route.
    pub priority: Option<u64>,
    /// Its quota; none is no limit.
    pub quota: Option<QuotaLimit>,
}

impl Named for Tenant {
    fn name(&self) -> &Name {
        &self.name
    }
}

/// The tenants of one configuration, found by their keys.
#[derive(Default, Debug)]
pub struct Tenants {
    by_key: HashMap<KeyDigest, Arc<Tenant>>,
    count: usize,
}

impl Tenants {
    /// Whether the configuration has no tenants, so that no request needs a key.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// The tenant that holds the key. Only digests are compared, so the time it takes tells nothing of a key.
    pub fn owner(&self, key: &KeyDigest) -> Option<&Arc<Tenant>> {
        self.by_key.get(key)
    }

    /// What a request with this key is admitted by, if some tenant holds the key.
    pub fn credential(&self, key: KeyDigest) -> Option<Credential> {
        let tenant = self.owner(&key)?.clone();
        Some(Credential { key, tenant })
    }
}

impl From<Vec<Tenant>> for Tenants {
    fn from(rows: Vec<Tenant>) -> Tenants {
        let count = rows.len();
        let mut by_key = HashMap::new();
        for tenant in rows.into_iter().map(Arc::new) {
            for key in &tenant.keys {
                by_key.insert(*key, tenant.clone());
            }
        }
        Tenants { by_key, count }
    }
}

/// What a request was admitted by: the digest of its key, and the tenant that held the key then.
#[derive(Clone, Debug)]
pub struct Credential {
    /// The digest of the key.
    pub key: KeyDigest,
    /// Its owner.
    pub tenant: Arc<Tenant>,
}

/// How urgent the requests of a tenant are, before the class of their route; 0 is first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct TenantRank(pub u8);

impl TenantRank {
    /// The rank of all requests where there are no tenants.
    pub const FIRST: TenantRank = TenantRank(0);
    /// The rank of a tenant without one of its own, and of requests without a tenant.
    pub const UNRANKED: TenantRank = TenantRank(1);
}

impl Tenant {
    /// How urgent its requests are.
    pub fn rank(&self) -> TenantRank {
        self.priority.map_or(TenantRank::UNRANKED, |rank| TenantRank(rank.min(u64::from(u8::MAX)) as u8))
    }
}
