use super::core::{BEAT, Chain, LOST};
use crate::kernel::ids::*;
use crate::kernel::part::Kit;
use crate::kernel::time::{Span, Time};
use crate::msg::*;

const GAP: Span = Span::ms(300);
pub const ROOM: u64 = 4 << 20;

impl Chain {
    pub fn tick(&mut self, kit: &mut Kit) {
        let slept = kit.now.since(self.ticked) > GAP;
        self.ticked = kit.now;
        self.found(kit);
        let Some(view) = self.view.clone() else {
            return self.join(kit);
        };
        let deaf = !self.hears_most(kit.now);
        if slept || (self.deaf && !deaf) {
            for node in view.all() {
                self.hear(node, kit.now);
            }
        }
        self.deaf = deaf;
        self.speak(&view.all(), view.no, deaf, kit);
        if !deaf {
            self.term_tick(kit);
        }
        self.seat_tick(kit);
        self.mend(kit);
        self.join(kit);
        self.trim(kit);
    }

    fn speak(&mut self, all: &[NodeId], no: ViewNo, deaf: bool, kit: &mut Kit) {
        if kit.now.since(self.beat_at) < BEAT {
            return;
        }
        self.beat_at = kit.now;
        let room = kit.room >= ROOM;
        for node in all.iter().filter(|n| **n != self.ident) {
            kit.chain(*node, ChainMsg::Beat { view: no, room, deaf });
        }
        if !deaf {
            self.greet(kit);
            self.report(kit);
        }
    }

    pub fn beat(&mut self, from: NodeId, no: ViewNo, room: bool, kit: &mut Kit) {
        self.spare.insert(from, room);
        let Some(view) = self.view.clone() else { return };
        if no < view.no {
            kit.chain(from, ChainMsg::Decide { view });
        }
    }

    pub fn quiet(&self, node: NodeId, now: Time) -> Span {
        now.since(self.heard.get(&node).copied().unwrap_or_default())
    }

    pub fn hear(&mut self, node: NodeId, now: Time) {
        self.heard.insert(node, now);
        self.ears.insert(node, now);
    }

    pub fn hears(&self, node: NodeId, now: Time) -> bool {
        node == self.ident || self.quiet(node, now) < LOST
    }

    pub fn hears_most(&self, now: Time) -> bool {
        let Some(view) = &self.view else { return false };
        let near = |v: &NodeId| self.ears.get(v).is_some_and(|t| now.since(*t) < LOST);
        let n = view.voters.iter().filter(|v| **v == self.ident || near(v)).count();
        n >= view.majority()
    }

    pub fn lowest(&self) -> Version {
        match self.view.as_ref().and_then(|v| v.after(self.ident)) {
            Some(_) => self.low.min(self.log.last()),
            None => self.log.last(),
        }
    }

    pub fn safe(&self, kit: &Kit) -> bool {
        let copies = self.view.as_ref().map_or(0, |v| v.chain.len());
        copies >= kit.me.need() && self.lowest() >= self.done
    }

    pub fn spared(&self, kit: &Kit) -> bool {
        let Some(view) = &self.view else { return false };
        let fine = |n: &&NodeId| self.hears(**n, kit.now) && self.spare.get(*n) == Some(&true);
        view.chain.iter().filter(|n| **n != self.ident).filter(fine).count() >= kit.me.need()
    }
}
