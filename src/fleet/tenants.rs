//! Tenants: who may send requests, how urgent theirs are, and how many they may send.
//!
//! Keys are kept as digests only, so that no state, log or message holds one.
#![deny(missing_docs)]

use super::named::Named;
use crate::kernel::ids::{DocumentDigest, Name};
use bitcode::{Decode, Encode};

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
