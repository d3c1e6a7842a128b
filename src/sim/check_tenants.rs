//! Judges from outside whose requests ran: each under the tenant that holds its key, by a configuration that may be in
//! force then.
#![deny(missing_docs)]

use super::check::Bad;
use super::record::Fact;
use super::replay::{Replay, Taken};
use super::world::World;
use crate::fleet::slice::route_match;
use crate::fleet::tenants::KeyDigest;
use crate::kernel::ids::*;
use crate::kernel::time::Time;
use std::collections::BTreeMap;

/// The code of an answer that says the key is not known.
const UNKNOWN_KEY: &str = "unknown-key";

struct Sent<'a> {
    at: Time,
    path: &'a str,
    key: Option<&'a str>,
}

/// Under which tenant a configuration lets a request run.
#[derive(PartialEq, Eq)]
enum Allowed<'a> {
    Nobody,
    WithoutTenant,
    Under(&'a Name),
}

/// All objections to whose requests ran, and to whose were refused.
pub fn tenants(w: &World, replay: &Replay) -> Bad {
    let mut calls: BTreeMap<u64, Sent> = BTreeMap::new();
    let mut bad = Bad::new();
    for (now, fact) in &w.record.rows {
        match fact {
            Fact::Called { call, path, key, .. } => {
                calls.insert(*call, Sent { at: *now, path, key: key.as_deref() });
            }
            Fact::RunBegan { call, tenant, place: Some(_), .. } if replay.known(*now) => {
                let Some(sent) = calls.get(call) else { continue };
                bad.extend(ran(replay, *now, *call, sent, tenant.as_ref()));
            }
            Fact::Ended { call, code, .. } if code == UNKNOWN_KEY && replay.known(*now) => {
                let Some(sent) = calls.get(call) else { continue };
                bad.extend(refused(replay, *now, *call, sent));
            }
            _ => {}
        }
    }
    bad
}

fn ran(replay: &Replay, now: Time, call: u64, sent: &Sent, tenant: Option<&Name>) -> Option<String> {
    let fits = |taken: &Taken| match (allowed(taken, sent), tenant) {
        (Allowed::Under(owner), Some(name)) => owner == name,
        (Allowed::WithoutTenant, None) => true,
        _ => false,
    };
    if replay.in_force(now, now).any(fits) {
        return None;
    }
    let tenant = tenant.map_or("no tenant", |name| name.0.as_str());
    Some(format!("12 call {call} ({}) ran under {tenant}, which does not hold its key", sent.path))
}

fn refused(replay: &Replay, now: Time, call: u64, sent: &Sent) -> Option<String> {
    let mut possible = replay.in_force(sent.at, now).peekable();
    let known = possible.peek().is_some() && possible.all(|taken| allowed(taken, sent) != Allowed::Nobody);
    known.then(|| {
        format!("5 call {call} ({}) was refused for its key, which every configuration knows", sent.path)
    })
}

fn allowed<'a>(taken: &'a Taken, sent: &Sent) -> Allowed<'a> {
    let Some(row) = route_match(&taken.routes.rows, "", sent.path) else { return Allowed::Nobody };
    let digest = sent.key.map(|key| KeyDigest::of(key.as_bytes()));
    let owner = taken.config.tenants.iter().find(|t| digest.is_some_and(|key| t.keys.contains(&key)));
    match owner {
        Some(tenant) => Allowed::Under(&tenant.name),
        None if row.route.open || taken.config.tenants.is_empty() => Allowed::WithoutTenant,
        None => Allowed::Nobody,
    }
}
