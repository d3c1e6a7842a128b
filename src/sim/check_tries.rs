use super::check::Bad;
use super::record::Fact;
use super::world::World;
use crate::fleet::read::read_text;
use crate::kernel::ids::*;
use crate::kernel::time::Time;
use crate::msg::Role;
use std::collections::{BTreeMap, BTreeSet};

pub const SLACK: f64 = 1.0;

pub fn small_allowance(allowance: u64, routers: u64) -> u64 {
    allowance.max(routers * crate::gate::budget::MIN_CREDIT_LIMIT)
}

pub fn tries(w: &World) -> Bad {
    let rule = read_text(&w.plan.config()).map(|c| c.budget).unwrap_or_default();
    let routers = w.nodes.iter().filter(|n| n.role == Role::Router).count().max(w.plan.routers) as u64;
    let most = small_allowance(rule.allowance, routers) as f64;
    let mut bad = Bad::new();
    for (service, sends) in sends(w) {
        if let Some((from, to, over)) = worst(&sends, rule.percent as f64 / 100.0, most + SLACK) {
            bad.push(format!(
                "7 {service} had {over:.0} extra tries over a share of {}% from {} to {}, most {most}",
                rule.percent,
                from.0 / 1000,
                to.0 / 1000
            ));
        }
    }
    bad
}

pub fn sends(w: &World) -> BTreeMap<Name, Vec<(Time, bool)>> {
    let tried = w.record.rows.iter().any(|r| matches!(r.1, Fact::Tried { .. }));
    let mut of: BTreeMap<u64, Name> = BTreeMap::new();
    let mut seen = BTreeSet::new();
    let mut out: BTreeMap<Name, Vec<(Time, bool)>> = BTreeMap::new();
    for (t, f) in &w.record.rows {
        let call = match f {
            Fact::Called { call, service, .. } => {
                of.insert(*call, service.clone());
                continue;
            }
            Fact::Tried { call } if tried => call,
            Fact::RunBegan { call, .. } if !tried => call,
            _ => continue,
        };
        if let Some(service) = of.get(call) {
            out.entry(service.clone()).or_default().push((*t, seen.insert(*call)));
        }
    }
    out
}

pub fn worst(sends: &[(Time, bool)], share: f64, most: f64) -> Option<(Time, Time, f64)> {
    let (mut over, mut from) = (0.0f64, Time(0));
    let mut top: Option<(Time, Time, f64)> = None;
    for (t, first) in sends {
        if over <= 0.0 {
            (over, from) = (0.0, *t);
        }
        over += if *first { -share } else { 1.0 };
        if over > most && top.is_none_or(|b| over > b.2) {
            top = Some((from, *t, over));
        }
    }
    top
}
