//! Tenants: who may send requests, how urgent these are, and how many there may be.
//!
//! Keys are kept as digests only, so that no state, log or message contains one.
#![deny(missing_docs)]

use super::named::Named;
use crate::kernel::ids::{DocumentDigest, Name};
use bitcode::{Decode, Encode};
use std::collections::HashMap;
use std::sync::Arc;

/// Separates the digests of keys from those of documents.
const KEY_DOMAIN: &[u8] = b"tenant key";

/// The digest of a tenant's key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Encode, Decode)]
pub struct KeyDigest(DocumentDigest);

impl KeyDigest {
    /// The digest of the key that a client sends.
    pub fn of(key: &[u8]) -> KeyDigest {
        KeyDigest(DocumentDigest::of(&[KEY_DOMAIN, key]))
    }

    /// The digest as operators read and write it.
    pub fn to_hex(&self) -> String {
        self.0.to_hex()
    }

    /// Parses what `to_hex` writes; `None` if the text is anything else.
    pub fn from_hex(text: &str) -> Option<KeyDigest> {
        DocumentDigest::from_hex(text).map(KeyDigest)
    }
}

/// How many requests a tenant may make, counted over all nodes.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Encode, Decode)]
pub struct QuotaLimit {
    /// The rate, in thousandths of a request per second.
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
    /// Its rank, 0 being the most urgent; it takes precedence over the class of the route.
    pub priority: Option<u64>,
    /// Its quota; `None` means no limit.
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

    /// The tenant that owns the key. Only digests are compared, so the time it takes reveals nothing about
    /// a key.
    pub fn owner(&self, key: &KeyDigest) -> Option<&Arc<Tenant>> {
        self.by_key.get(key)
    }

    /// What a request with this key is admitted by; `None` if no tenant owns the key.
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

/// What a request was admitted by.
#[derive(Clone, Debug)]
pub struct Credential {
    /// The digest of the key.
    pub key: KeyDigest,
    /// The tenant that owned the key then.
    pub tenant: Arc<Tenant>,
}

/// How urgent a tenant's requests are, 0 being the most urgent; it takes precedence over the class of their
/// route.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct TenantRank(pub u8);

impl TenantRank {
    /// The rank of all requests where there are no tenants.
    pub const FIRST: TenantRank = TenantRank(0);
    /// The rank of a tenant without a priority, and of requests without a tenant.
    pub const UNRANKED: TenantRank = TenantRank(1);
}

impl Tenant {
    /// How urgent its requests are.
    pub fn rank(&self) -> TenantRank {
        self.priority.map_or(TenantRank::UNRANKED, |rank| TenantRank(rank.min(u64::from(u8::MAX)) as u8))
    }
}
