use super::check::Bad;
use super::record::{Asked, Fact};
use super::world::World;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use std::collections::BTreeMap;

/// How long requests may reach a runner after the platform's list shows it as leaving.
const DRAIN: Span = Span::ms(4000);

/// Requests that reach a runner too long after the platform's list shows it as leaving.
pub fn drained(w: &World) -> Bad {
    let mut shown: BTreeMap<&Name, Time> = BTreeMap::new();
    let mut bad = Bad::new();
    for (t, f) in &w.record.rows {
        match f {
            Fact::ListShowsLeaving { runner } => drop(shown.entry(runner).or_insert(*t)),
            Fact::RunBegan { call, runner, place, .. } => {
                let late = shown.get(runner).map_or(Span(0), |at| t.since(*at));
                if late > DRAIN {
                    bad.push(format!("4 call {call} of node {place:?} reached {runner} {late} after it was listed as leaving"));
                }
            }
            _ => {}
        }
    }
    bad
}

pub fn leaving(w: &World) -> Bad {
    let mut learnt: BTreeMap<(Name, Option<usize>), Time> = BTreeMap::new();
    let mut asked: BTreeMap<ChangeId, Name> = BTreeMap::new();
    let mut bad = Bad::new();
    for (t, f) in &w.record.rows {
        match f {
            Fact::Asked { id, what: Asked::Leaving(r) } => drop(asked.insert(*id, r.clone())),
            Fact::Answered { id, status: 200, .. } => {
                if let Some(r) = asked.get(id) {
                    learnt.entry((r.clone(), None)).or_insert(*t);
                }
            }
            Fact::LeavingLearnt { runner, place } => {
                learnt.entry((runner.clone(), *place)).or_insert(*t);
            }
            Fact::Up { place } => learnt.retain(|k, _| k.1 != Some(*place)),
            Fact::RunBegan { call, runner, place, .. } => {
                let fleet = learnt.get(&(runner.clone(), None));
                let own = place.and_then(|p| learnt.get(&(runner.clone(), Some(p))));
                let Some(at) = fleet.into_iter().chain(own).min() else { continue };
                if t.since(*at) > Span::ms(3000) {
                    let late = t.since(*at);
                    bad.push(format!("4 call {call} reached {runner} {late} after its leaving was learnt"));
                }
            }
            _ => {}
        }
    }
    bad
}

pub fn versions(w: &World) -> Bad {
    let mut top: BTreeMap<(usize, String), Version> = BTreeMap::new();
    let mut bad = Bad::new();
    for (_, f) in &w.record.rows {
        let Fact::Learnt { place, scope, at, .. } = f else { continue };
        let best = top.entry((*place, scope.clone())).or_default();
        if *at < *best {
            bad.push(format!("5 node {place} slid back from {best} to {at} in {scope}"));
        }
        *best = (*best).max(*at);
    }
    bad
}
