//! Judges from outside whose requests were refused for good: only those that a configuration which may be in force does
//! not allow.
#![deny(missing_docs)]

use super::check::Bad;
use super::record::Fact;
use super::replay::Replay;
use super::world::World;
use crate::kernel::ids::*;
use crate::kernel::time::Time;
use crate::standin::script::Script;
use crate::standin::tally::End;
use std::collections::BTreeMap;

/// The codes of answers that clients never repeat; `check_tenants` judges those about keys.
const FINAL_CODES: [&str; 4] = ["unknown-route", "route-changed", "unknown-model", "service-gone"];

struct Sent<'a> {
    at: Time,
    path: &'a str,
    model: Name,
    adapter: String,
}

/// The requests that were refused for good although each configuration between their arrival and their end allows them,
/// or before there was any.
pub fn denied(w: &World, replay: &Replay) -> Bad {
    let mut calls: BTreeMap<u64, Sent> = BTreeMap::new();
    let mut bad = Bad::new();
    for (now, fact) in &w.record.rows {
        match fact {
            Fact::Called { call, path, body, .. } => {
                let named = body.as_deref().and_then(Script::read);
                let (model, adapter) = named.map_or_else(Default::default, |s| (s.model, s.adapter));
                calls.insert(*call, Sent { at: *now, path, model: Name(model), adapter });
            }
            Fact::Ended { call, end: End::Refused, code, .. } if FINAL_CODES.contains(&code.as_str()) => {
                let Some(sent) = calls.get(call).filter(|_| replay.known(*now)) else { continue };
                let mut possible = replay.in_force(sent.at, *now);
                if possible.all(|taken| taken.allows(sent.path, &sent.model, &sent.adapter)) {
                    bad.push(format!(
                        "13 call {call} ({} {}) got {code}, allowed throughout",
                        sent.path, sent.model
                    ));
                }
            }
            _ => {}
        }
    }
    bad
}
