use super::check::Bad;
use super::check_denied::denied;
use super::check_tenants::tenants;
use super::record::Fact;
use super::replay::{Replay, replay};
use super::world::World;
use crate::fleet::slice::service_slice;
use crate::fleet::state::OutcomeCode;
use crate::kernel::ids::*;
use crate::kernel::rand::hash;
use crate::kernel::time::Span;
use crate::standin::script::Script;
use std::collections::BTreeMap;

/// How long after an acknowledgement an older version may still serve.
pub const LATE: Span = Span::ms(2050);

pub fn configs(w: &World) -> Bad {
    let r = replay(&w.record.rows);
    let mut bad = Bad::new();
    bad.extend(r.bad.iter().cloned());
    bad.extend(old_configs(w, &r));
    bad.extend(shown(w, &r));
    bad.extend(learnt(w, &r));
    bad.extend(kept(w, &r));
    bad.extend(tenants(w, &r));
    bad.extend(denied(w, &r));
    bad
}

pub fn old_configs(w: &World, r: &Replay) -> Bad {
    let mut calls: BTreeMap<u64, (&Name, &str, String)> = BTreeMap::new();
    let mut bad = Bad::new();
    for (t, f) in &w.record.rows {
        match f {
            Fact::Called { call, service, path, body, .. } => {
                let adapter = body.as_deref().and_then(Script::read).map_or(String::new(), |s| s.adapter);
                calls.insert(*call, (service, path, adapter));
            }
            Fact::RunBegan { call, model, runner, .. } if r.known(*t) => {
                let Some((named, path, adapter)) = calls.get(call) else { continue };
                let service = w.service_of(runner).unwrap_or(named);
                let floor = r.acked_before(*t - LATE);
                if r.in_force(*t, *t).any(|c| c.offers(service, path, model, adapter)) {
                    continue;
                }
                let past = r.taken.iter().rev().find(|c| c.offers(service, path, model, adapter));
                bad.push(match past {
                    Some(c) => format!(
                        "5 call {call} ({path} {model}) ran by {} when {floor} had been acknowledged for {}",
                        c.at,
                        t.since(r.at(floor).map_or(*t, |n| n.acked))
                    ),
                    None => format!("6 call {call} ({path} {model}) ran by a configuration never taken"),
                });
            }
            _ => {}
        }
    }
    bad
}

fn shown(w: &World, r: &Replay) -> Bad {
    let mut bad = Bad::new();
    for (t, f) in &w.record.rows {
        let Fact::Shown { place, since, at, print } = f else { continue };
        if !r.known(*t) || *at == Version(0) {
            continue;
        }
        match r.at(*at) {
            None => bad.push(format!("6 node {place} showed {at}, which nobody was told of")),
            Some(c) if c.print != *print => {
                bad.push(format!("6 node {place} showed {at} with other content than was acknowledged"))
            }
            _ => {}
        }
        let floor = r.acked_before(*since);
        if *at < floor {
            bad.push(format!("5 node {place} showed {at} after {floor} was acknowledged"));
        }
    }
    bad
}

fn learnt(w: &World, r: &Replay) -> Bad {
    let mut bad = Bad::new();
    for (t, f) in &w.record.rows {
        let Fact::Learnt { place, scope, at, config_at, print } = f else { continue };
        if !r.known(*t) || *at == Version(0) || *print == 0 {
            continue;
        }
        let named = scope.strip_prefix("service:");
        let seen = if named.is_some() { config_at } else { at };
        if *seen == Version(0) {
            continue;
        }
        let Some(c) = r.at(*seen) else {
            bad.push(format!("6 node {place} holds {scope} of {seen}, which nobody was told of"));
            continue;
        };
        let want = match named {
            None => Some(c.routes.fingerprint()),
            Some(n) => c.config.service(&Name::from(n)).map(|s| service_slice(&c.config, s).fingerprint()),
        };
        if want != Some(*print) {
            bad.push(format!("6 node {place} holds {scope} of {seen} with other content than was taken"));
        }
    }
    bad
}

fn kept(w: &World, r: &Replay) -> Bad {
    let mut bad = Bad::new();
    let best = w.nodes.iter().filter(|n| n.ready).filter_map(|n| n.node.as_ref());
    let Some(node) = best.max_by_key(|n| n.views.state.at) else { return bad };
    let state = &node.views.state;
    if let (Some(last), None) = (r.taken.last(), r.known_until) {
        if state.config_version != last.at {
            bad.push(format!(
                "6 {} is in force at the end, {} was the last taken",
                state.config_version, last.at
            ));
        } else if hash(&state.config.tree().to_string(), 4) != last.print {
            bad.push(format!("6 the content of {} at the end is not what was acknowledged", last.at));
        }
    }
    for c in &r.taken {
        let found = state.outcome(c.id);
        let aged = found.is_none() && state.outcomes.len() >= crate::fleet::state::MAX_OUTCOMES;
        if !aged && found.is_none_or(|o| o.code != OutcomeCode::Ok) {
            bad.push(format!("6 change {} was acknowledged as {} and is lost", c.id, c.at));
        }
    }
    for id in &r.refused {
        if state.outcome(*id).is_some_and(|o| o.code == OutcomeCode::Ok) {
            bad.push(format!("6 change {id} was refused and is in force"));
        }
    }
    bad
}
