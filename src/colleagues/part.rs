use super::exchange::view_no;
use super::marks::Marks;
use super::table::Table;
pub use super::table::{FORGET, SUSPECT};
use crate::kernel::ids::*;
use crate::kernel::part::{Kit, Part};
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use std::collections::BTreeMap;
use std::sync::Arc;

pub const PING: Span = Span::ms(200);
pub const DOUBT: Span = Span::ms(600);
const STALL: Span = Span::ms(600);
const FLUSH: Span = Span::ms(20);
const AGED: Span = Span::ms(2000);

#[derive(Default)]
pub struct Partner {
    pub sent: u64,
    pub marked: u64,
    pub view: ViewNo,
    pub off: Option<Time>,
}

#[derive(Default)]
pub struct Colleagues {
    pub table: Table,
    pub marks: Marks,
    pub partners: BTreeMap<NodeId, Partner>,
    watched: BTreeMap<NodeId, Time>,
    turn: u64,
    rounds: u64,
    pinged: Time,
    pub greeted: Time,
    ticked: Time,
    flushed: Time,
    cleared: Time,
    pub synced: Time,
    pub served: Time,
    pub tries: u64,
    shown: BTreeMap<NodeId, bool>,
    book_at: Time,
}

impl Colleagues {
    fn refresh(&mut self, kit: &Kit) {
        if self.turn == self.table.watch.turn {
            return;
        }
        self.turn = self.table.watch.turn;
        let mut old = std::mem::take(&mut self.watched);
        for n in self.table.watch.watched(kit.me.node) {
            self.watched.insert(n, old.remove(&n).unwrap_or(kit.now));
        }
        let watchers: Vec<NodeId> = self.table.watch.watchers(kit.me.node).collect();
        self.partners.retain(|n, _| self.watched.contains_key(n) || watchers.contains(n));
    }

    fn ping(&mut self, kit: &mut Kit) {
        self.rounds += 1;
        self.refresh(kit);
        let mut doubts: BTreeMap<NodeId, Vec<NodeId>> = BTreeMap::new();
        for (n, since) in self.watched.clone() {
            let Some(k) = self.table.rows.get(&n) else { continue };
            let quiet = kit.now.since(k.heard.max(since));
            if k.live && quiet >= SUSPECT {
                self.table.quiet(n, kit.now);
                kit.say("colleague-missed", n.to_string());
            } else if k.live && quiet >= DOUBT {
                for w in self.table.watch.watchers(n).filter(|w| *w != kit.me.node) {
                    doubts.entry(w).or_default().push(n);
                }
            } else if !k.live && !(self.rounds + n.0).is_multiple_of(3) {
                continue;
            }
            let g = self.gossip(n, kit);
            kit.send(n, Msg::Ping(Box::new(g)));
        }
        for (to, who) in doubts {
            kit.send(to, Msg::Doubt { who });
        }
    }

    fn flush(&mut self, kit: &mut Kit) {
        if kit.now.since(self.flushed) < FLUSH {
            return;
        }
        self.flushed = kit.now;
        self.refresh(kit);
        let no = view_no(kit);
        let mut all: Vec<NodeId> = self.watched.keys().copied().collect();
        all.extend(self.table.watch.watchers(kit.me.node));
        all.sort();
        all.dedup();
        for n in all {
            let behind = self
                .partners
                .get(&n)
                .is_some_and(|p| p.sent < self.table.seq || p.marked < self.marks.seq || p.view < no);
            if behind && self.table.rows.get(&n).is_some_and(|k| k.live) {
                let g = self.gossip(n, kit);
                kit.send(n, Msg::Gossip(Box::new(g)));
            }
        }
    }

    fn show(&mut self, kit: &mut Kit) {
        let any = self.shown.values().any(|live| !live);
        let due = any && kit.now.since(self.book_at) >= AGED;
        if !self.table.dirty && !due {
            return;
        }
        let rows = self.table.book(kit.me, kit.now);
        let now: BTreeMap<NodeId, bool> = rows.iter().map(|r| (r.who.node, r.quiet < SUSPECT)).collect();
        self.table.dirty = self.table.rows.iter().any(|(n, k)| !k.live && now.get(n) == Some(&true));
        if self.table.dirty && now == self.shown {
            return;
        }
        for (node, live) in &now {
            if self.shown.get(node) != Some(live) {
                let what = if *live { "colleague-up" } else { "colleague-quiet" };
                kit.say(what, node.to_string());
            }
        }
        self.shown = now;
        self.book_at = kit.now;
        kit.note(Note::Book(Arc::new(rows)));
    }

    fn tick(&mut self, kit: &mut Kit) {
        if kit.now.since(self.ticked) >= STALL {
            self.watched.values_mut().for_each(|t| *t = kit.now);
        }
        self.ticked = kit.now;
        if kit.now.since(self.cleared) >= Span::ms(1000) {
            self.cleared = kit.now;
            self.table.forget(kit.now);
            self.marks.forget(kit.now);
        }
        self.greet(kit);
        if kit.now.since(self.pinged) >= PING {
            self.pinged = kit.now;
            self.ping(kit);
        }
    }
}

impl Part for Colleagues {
    fn name(&self) -> &'static str {
        "colleagues"
    }

    fn on(&mut self, ev: &Event, kit: &mut Kit) {
        match ev {
            Event::Start => self.table.start(kit.me),
            Event::Tick => self.tick(kit),
            Event::Note(Note::Marked(name)) => self.marks.add(name, Span(0), kit),
            Event::Mail { from, msg, fleet } => {
                if kit.me.role == Role::Router && kit.views.fleet == FleetId(0) && fleet.0 != 0 {
                    kit.note(Note::Fleet(*fleet));
                }
                self.table.heard(*from, kit.now);
                self.mail(*from, msg, kit);
            }
            _ => return,
        }
        self.flush(kit);
        self.show(kit);
    }

    fn status(&self, _now: Time) -> Vec<(&'static str, String)> {
        let live = self.table.rows.values().filter(|k| k.live).count();
        vec![("known", self.table.rows.len().to_string()), ("live", live.to_string())]
    }
}
