//! Reads the tenants of a configuration: names, API keys, priorities and quotas.
#![deny(missing_docs)]

use super::merge::TENANTS;
use crate::fleet::tenants::{KeyDigest, QuotaLimit, Tenant};
use crate::json::Tree;
use crate::kernel::fault::{Fault, Kind};
use crate::kernel::ids::Name;
use hyper::header::HeaderValue;
use std::collections::BTreeSet;

/// The largest value of a tenant's number: requests per second, burst or priority.
const MAX_QUOTA_VALUE: f64 = 1e9;
const MILLI_PER_UNIT: f64 = 1000.0;

fn fault(place: &str, what: &str, remedy: &str) -> Fault {
    Fault::new(Kind::Config, place, what, remedy)
}

/// Reads the list of tenants and collects its faults. A fault names the position of an item and never contains a key.
pub fn read(document: &Tree, faults: &mut Vec<Fault>) -> Vec<Tenant> {
    match document.get(TENANTS) {
        None | Some(Tree::Null | Tree::List(_)) => {}
        Some(_) => faults.push(fault(TENANTS, "is no list", "send a list of tenants")),
    }
    let mut names = BTreeSet::new();
    let mut keys = BTreeSet::new();
    let mut tenants = Vec::new();
    for (place, item) in document.list(TENANTS).iter().enumerate() {
        let at = format!("{TENANTS}[{place}]");
        let Some(tenant) = read_one(&at, item, faults) else { continue };
        if !names.insert(tenant.name.clone()) {
            faults.push(fault(&at, "has the name of another", "rename one of the two"));
        }
        if tenant.keys.iter().any(|key| !keys.insert(*key)) {
            faults.push(fault(&at, "shares a key with another tenant", "give each key to one tenant"));
        }
        tenants.push(tenant);
    }
    tenants
}

/// Reads one tenant; `None` if it is faulty.
fn read_one(at: &str, item: &Tree, faults: &mut Vec<Fault>) -> Option<Tenant> {
    let name = item.text("Name").filter(|name| is_header_value(name));
    let Some(name) = name else {
        faults.push(fault(
            at,
            "has no Name that can stand in a header",
            "name it, without control characters",
        ));
        return None;
    };
    let before = faults.len();
    let keys = read_keys(at, item, faults);
    let rate = read_number(at, item, "RatePerS", faults);
    let burst = read_number(at, item, "Burst", faults);
    let priority = read_number(at, item, "Priority", faults);
    if faults.len() > before {
        return None;
    }
    let quota = rate.filter(|per_s| *per_s > 0.0).map(|per_s| QuotaLimit {
        rate_milli: (per_s * MILLI_PER_UNIT).ceil() as u64,
        burst: burst.unwrap_or(0.0) as u64,
    });
    Some(Tenant { name: Name::from(name), keys, priority: priority.map(|rank| rank as u64), quota })
}

/// Whether a text can be sent as the value of a header.
fn is_header_value(text: &str) -> bool {
    !text.is_empty() && text.trim() == text && HeaderValue::from_bytes(text.as_bytes()).is_ok()
}

/// The digests of a tenant's keys.
fn read_keys(at: &str, item: &Tree, faults: &mut Vec<Fault>) -> Vec<KeyDigest> {
    let mut keys = BTreeSet::new();
    match item.get("ApiKeys") {
        None | Some(Tree::Null) => {}
        Some(Tree::List(items)) => {
            for key in items {
                match key {
                    Tree::Text(text) if !text.is_empty() => drop(keys.insert(KeyDigest::of(text.as_bytes()))),
                    _ => faults.push(fault(at, "has a key that is no text", "give keys as texts")),
                }
            }
        }
        Some(_) => faults.push(fault(at, "ApiKeys is no list", "list the keys")),
    }
    keys.into_iter().collect()
}

/// A number from 0 to `MAX_QUOTA_VALUE`; `None` if it is absent or, with a fault, malformed.
fn read_number(at: &str, item: &Tree, key: &str, faults: &mut Vec<Fault>) -> Option<f64> {
    item.get(key).filter(|value| **value != Tree::Null)?;
    match item.float(key) {
        Some(number) if (0.0..=MAX_QUOTA_VALUE).contains(&number) => Some(number),
        _ => {
            faults.push(fault(&format!("{at}.{key}"), "is no number from 0 to 10^9", "give such a number"));
            None
        }
    }
}
