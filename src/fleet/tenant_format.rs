//! Tenants in the product's own configuration format.
//!
//! A key is written as itself, or as `digest:` and its digest in hexadecimal digits. It is only ever shown as
//! a digest.
#![deny(missing_docs)]

use super::tenants::{KeyDigest, QuotaLimit, Tenant};
use crate::json::Reader;
use crate::json::tree::{Tree, map};
use crate::kernel::fault::{Fault, Kind};
use crate::kernel::ids::Name;
use std::collections::BTreeSet;

const DIGEST_MARK: &str = "digest:";
/// The highest rate of a quota, in thousandths of a request per second.
const RATE_MILLI_MOST: u64 = 1_000_000_000_000;
const BURST_MOST: u64 = 1_000_000_000;
const PRIORITY_MOST: u64 = 255;

/// Reads one tenant of the list, and adds its faults to `bad`.
pub fn read(place: usize, tree: &Tree, bad: &mut Vec<Fault>) -> Tenant {
    let mut reader = Reader::new(&format!("tenants[{place}]"), tree);
    let name = Name(reader.name("name"));
    let texts = reader.texts("keys");
    let has_priority = tree.get("priority").is_some();
    let priority = reader.num("priority", Some(0), 0, PRIORITY_MOST);
    let rate_milli = reader.num("rate_milli", Some(0), 0, RATE_MILLI_MOST);
    let burst = reader.num("burst", Some(0), 0, BURST_MOST);
    if rate_milli == 0 && burst > 0 {
        reader.fault("burst", "is given without a rate", "give rate_milli too, or drop it");
    }
    let mut keys = Vec::new();
    for text in &texts {
        match key(text) {
            Some(digest) => keys.push(digest),
            None => reader.fault("keys", "has a key that is empty or no digest", "write the key itself"),
        }
    }
    bad.extend(reader.done());
    let quota = (rate_milli > 0).then_some(QuotaLimit { rate_milli, burst });
    Tenant { name, keys, priority: has_priority.then_some(priority), quota }
}

fn key(text: &str) -> Option<KeyDigest> {
    match text.strip_prefix(DIGEST_MARK) {
        Some(digits) => KeyDigest::from_hex(digits),
        None => (!text.is_empty()).then(|| KeyDigest::of(text.as_bytes())),
    }
}

/// Faults that show only between tenants.
pub fn check(tenants: &[Tenant]) -> Vec<Fault> {
    let mut bad = Vec::new();
    let mut names = BTreeSet::new();
    let mut keys = BTreeSet::new();
    for (place, tenant) in tenants.iter().enumerate() {
        let mut say = |field: &str, what: &str, remedy: &str| {
            bad.push(Fault::new(Kind::Config, format!("tenants[{place}].{field}"), what, remedy));
        };
        if !names.insert(&tenant.name) {
            say("name", "is given twice", "rename or drop one");
        }
        if tenant.keys.iter().any(|key| !keys.insert(*key)) {
            say("keys", "holds a key that is given twice", "give each key once, to one tenant");
        }
    }
    bad
}

impl Tenant {
    /// The tenant as operators see it, with its keys as digests.
    pub fn tree(&self) -> Tree {
        let keys = self.keys.iter().map(|key| Tree::from(format!("{DIGEST_MARK}{}", key.to_hex())));
        let mut rows = vec![("name", self.name.0.as_str().into()), ("keys", keys.collect::<Vec<_>>().into())];
        if let Some(priority) = self.priority {
            rows.push(("priority", priority.into()));
        }
        if let Some(quota) = self.quota {
            rows.push(("rate_milli", quota.rate_milli.into()));
            rows.push(("burst", quota.burst.into()));
        }
        map(&rows)
    }
}
