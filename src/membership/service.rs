use super::exchange::view_no;
use super::marks::Marks;
use super::table::Table;
pub use super::table::{FORGET, SUSPECT};
use crate::kernel::component::{Component, Context};
use crate::kernel::ids::*;
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
    /// When its last letter came; none since this node made it a partner.
    pub heard: Option<Time>,
}

#[derive(Default)]
pub struct Membership {
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
    /// Whether a node is shown as quiet, so that its row grows older.
    any_quiet: bool,
    book_at: Time,
}

impl Membership {
    fn refresh(&mut self, ctx: &Context) {
        if self.turn == self.table.watch.turn {
            return;
        }
        self.turn = self.table.watch.turn;
        let mut old = std::mem::take(&mut self.watched);
        for n in self.table.watch.watched(ctx.me.node) {
            self.watched.insert(n, old.remove(&n).unwrap_or(ctx.now));
        }
        let watchers: Vec<NodeId> = self.table.watch.watchers(ctx.me.node).collect();
        self.partners.retain(|n, _| self.watched.contains_key(n) || watchers.contains(n));
    }

    fn ping(&mut self, ctx: &mut Context) {
        self.rounds += 1;
        self.refresh(ctx);
        let mut doubts: BTreeMap<NodeId, Vec<NodeId>> = BTreeMap::new();
        for (n, since) in self.watched.clone() {
            let Some(k) = self.table.rows.get(&n) else { continue };
            let quiet = ctx.now.since(k.heard.max(since));
            if k.live && quiet >= SUSPECT {
                self.table.quiet(n, ctx.now);
                ctx.log_event("member-missed", n.to_string());
            } else if k.live && quiet >= DOUBT {
                for w in self.table.watch.watchers(n).filter(|w| *w != ctx.me.node) {
                    doubts.entry(w).or_default().push(n);
                }
            } else if !k.live && !(self.rounds + n.0).is_multiple_of(3) {
                continue;
            }
            let g = self.gossip(n, ctx);
            ctx.send(n, Msg::Ping(Box::new(g)));
        }
        for (to, who) in doubts {
            ctx.send(to, Msg::Suspect { who });
        }
    }

    fn flush(&mut self, ctx: &mut Context) {
        if ctx.now.since(self.flushed) < FLUSH {
            return;
        }
        self.flushed = ctx.now;
        self.refresh(ctx);
        let no = view_no(ctx);
        let mut all: Vec<NodeId> = self.watched.keys().copied().collect();
        all.extend(self.table.watch.watchers(ctx.me.node));
        all.sort();
        all.dedup();
        for n in all {
            let behind = self
                .partners
                .get(&n)
                .is_some_and(|p| p.sent < self.table.seq || p.marked < self.marks.seq || p.view < no);
            if behind && self.table.rows.get(&n).is_some_and(|k| k.live) {
                let g = self.gossip(n, ctx);
                ctx.send(n, Msg::Gossip(Box::new(g)));
            }
        }
    }

    fn show(&mut self, ctx: &mut Context) {
        let aged = self.any_quiet && ctx.now.since(self.book_at) >= AGED;
        let settled = self.table.settles.is_some_and(|at| ctx.now >= at);
        if !self.table.dirty && !aged && !settled {
            return;
        }
        let rows = self.table.book(ctx.me, ctx.now);
        let now: BTreeMap<NodeId, bool> = rows.iter().map(|r| (r.who.node, r.quiet < SUSPECT)).collect();
        self.table.dirty = false;
        self.table.settles = self.table.next_settled(ctx.now);
        if self.table.settles.is_some() && now == self.shown {
            return;
        }
        self.any_quiet = now.values().any(|live| !live);
        for (node, live) in &now {
            if self.shown.get(node) != Some(live) {
                let what = if *live { "member-up" } else { "member-quiet" };
                ctx.log_event(what, node.to_string());
            }
        }
        self.shown = now;
        self.book_at = ctx.now;
        ctx.publish(JournalEvent::Members(Arc::new(rows)));
    }

    fn tick(&mut self, ctx: &mut Context) {
        if ctx.now.since(self.ticked) >= STALL {
            self.watched.values_mut().for_each(|t| *t = ctx.now);
        }
        self.ticked = ctx.now;
        if ctx.now.since(self.cleared) >= Span::ms(1000) {
            self.cleared = ctx.now;
            self.table.forget(ctx.now);
            self.marks.forget(ctx.now);
        }
        self.greet(ctx);
        if ctx.now.since(self.pinged) >= PING {
            self.pinged = ctx.now;
            self.ping(ctx);
        }
    }
}

impl Component for Membership {
    fn name(&self) -> &'static str {
        "membership"
    }

    fn on(&mut self, ev: &Event, ctx: &mut Context) {
        match ev {
            Event::Start => self.table.start(ctx.me),
            Event::Tick => self.tick(ctx),
            Event::Journal(JournalEvent::RunnerMarked(name)) => self.marks.add(name, Span(0), ctx),
            Event::Message { from, msg, fleet } => {
                if ctx.me.role == Role::Router && ctx.views.fleet == FleetId(0) && fleet.0 != 0 {
                    ctx.publish(JournalEvent::Fleet(*fleet));
                }
                self.table.heard(*from, ctx.now);
                self.mail(*from, msg, ctx);
            }
            _ => return,
        }
        self.flush(ctx);
        self.show(ctx);
    }

    fn status(&self, _now: Time) -> Vec<(&'static str, String)> {
        let live = self.table.rows.values().filter(|k| k.live).count();
        vec![("known", self.table.rows.len().to_string()), ("live", live.to_string())]
    }
}
