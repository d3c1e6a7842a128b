use super::core::{Chain, LOST};
use super::log::{Fit, Log};
use crate::fleet::FleetState;
use crate::kernel::ids::*;
use crate::kernel::part::Kit;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use std::collections::BTreeMap;
use std::sync::Arc;

const KNOCK: Span = Span::ms(250);
const SOON: Span = Span::ms(60);
const TRY: Span = Span::ms(1000);
const NEAR: u64 = 8;

#[derive(Default)]
pub struct Joiner {
    pub following: bool,
    pub asked: Time,
    pub tried: Time,
    pub met: BTreeMap<NodeId, Time>,
}

impl Joiner {
    pub fn stop(&mut self, inside: bool) {
        if !inside {
            self.following = false;
        }
        self.asked = Time(0);
    }
}

impl Chain {
    pub fn join(&mut self, kit: &mut Kit) {
        if self.in_chain() || self.fleet == FleetId(0) || kit.now.since(self.joiner.asked) < KNOCK {
            return;
        }
        if kit.slow {
            return self.try_disk(kit);
        }
        let Some(view) = kit.views.view.clone() else { return };
        self.joiner.asked = kit.now;
        let met = |n: &NodeId| self.joiner.met.get(n).is_some_and(|t| kit.now.since(*t) < LOST);
        let (tail, all) = (view.tail(), view.chain.iter().all(|n| view.tail() == Some(*n) || met(n)));
        let (have, following) = (self.log.last(), self.joiner.following);
        for node in view.chain.iter().copied().filter(|n| all || Some(*n) != tail) {
            kit.chain(node, ChainMsg::Join { have, following });
        }
        if !all {
            self.joiner.asked = kit.now - Span(KNOCK.0 - SOON.0);
        }
    }

    fn try_disk(&mut self, kit: &mut Kit) {
        if kit.now.since(self.joiner.tried) >= TRY {
            self.joiner.tried = kit.now;
            kit.save(Record::Ident { node: self.ident });
        }
    }

    pub fn join_asked(&mut self, from: NodeId, have: Version, following: bool, kit: &mut Kit) {
        let Some(view) = self.view.clone() else { return };
        if !self.is_tail() || view.has(from) {
            kit.chain(from, ChainMsg::Met);
            return kit.chain(from, ChainMsg::Decide { view });
        }
        if !self.ready || kit.now >= self.tail.until {
            return;
        }
        let Some(want) = view.with(from, kit.me) else { return };
        let rows = if following { self.log.after(have, 64) } else { None };
        let Some(entries) = rows else {
            let state = Box::new(kit.views.state.clone());
            return kit.chain(from, ChainMsg::Snapshot { at: self.done, state });
        };
        let near = have.0 + NEAR >= self.done.0;
        kit.chain(from, ChainMsg::Follow { entries, done: self.done });
        if near && self.bid.is_none() && !self.sits_out(kit.now) {
            self.bid_for(want, None, Span(0), kit);
        }
    }

    pub fn snapshot(&mut self, from: NodeId, at: Version, state: &FleetState, kit: &mut Kit) {
        let pred = self.view.as_ref().and_then(|v| v.before(self.ident));
        if self.in_chain() && (pred != Some(from) || at <= self.done) {
            return;
        }
        if !self.in_chain() && self.joiner.following && at <= self.log.last() {
            return;
        }
        let tag = kit.views.view.as_ref().map_or(ViewNo(0), |v| v.no);
        self.log = Log { base: at, tag, rows: Default::default() };
        self.done = at;
        self.joiner.following = true;
        let rows = self.records(state);
        kit.out.push(Effect::Rewrite(rows));
        kit.say("snapshot", format!("{at} from {from}"));
        kit.note(Note::Load(Arc::new(state.clone())));
    }

    pub fn follow(&mut self, from: NodeId, entries: &[Entry], kit: &mut Kit) {
        let tail = kit.views.view.as_ref().and_then(|v| v.tail());
        if self.in_chain() || !self.joiner.following || tail != Some(from) {
            return;
        }
        for e in entries {
            match self.log.fit(e) {
                Fit::Next => self.keep(e.clone(), kit),
                Fit::Known => {}
                Fit::Gap => break,
                Fit::Clash => {
                    self.joiner.following = false;
                    return;
                }
            }
        }
        self.fold_to(self.log.last(), kit);
        self.joiner.asked = Time(0);
    }
}
