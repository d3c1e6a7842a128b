//! A router's side of placement: it tells wants, follows holdings, and knows the holder of the duty.

use crate::fleet::holdings::{HoldingsUpdate, UnmetDemand};
use crate::kernel::component::{Component, Context};
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use crate::rollout::router_reports::{is_small, router_count, tells_all};
use std::collections::BTreeMap;
use std::sync::Arc;

const GATHER: Span = Span::ms(20);
const HEARD: Span = Span::ms(1500);
const ASK: Span = Span::ms(300);
const ASK_IN_LARGE_FLEET: Span = Span::ms(1000);
/// How long wants are gathered in a large fleet: this long for each router.
const GATHER_PER_ROUTER: Span = Span(600);
/// How long wants are kept for a holder that is not known.
const WANTS_KEPT: Span = Span::ms(4000);

/// Who holds the placement duty, by what it sends.
#[derive(Clone, Copy, Default)]
pub struct DutyHolderContact {
    node: Option<NodeId>,
    term: Term,
    heard: Time,
}

impl DutyHolderContact {
    /// A holder sent holdings under `term`; whether that term is still the newest.
    pub fn heard(&mut self, from: NodeId, term: Term, now: Time) -> bool {
        if term < self.term {
            return false;
        }
        *self = DutyHolderContact { node: Some(from), term, heard: now };
        true
    }

    /// The holder, if it was heard lately.
    pub fn holder(&self, now: Time) -> Option<NodeId> {
        self.node.filter(|_| now.since(self.heard) < HEARD)
    }
}

/// A router's link to the holder of the placement duty: it tells wants and follows holdings.
#[derive(Default)]
pub struct PlacementClient {
    contact: DutyHolderContact,
    seq: u64,
    asked: Time,
    behind: bool,
    wants: BTreeMap<Name, UnmetDemand>,
    sent: BTreeMap<Name, Time>,
    /// When wants were last sent, or dropped.
    flushed: Time,
    /// Which controller is asked next while the holder is not known.
    turn: usize,
}

impl PlacementClient {
    fn holders(&self, ctx: &Context) -> Vec<NodeId> {
        match self.contact.holder(ctx.now) {
            Some(n) => vec![n],
            None if tells_all(ctx.views) => ctx.views.controllers().map(|r| r.who.node).collect(),
            None => vec![],
        }
    }

    /// Whom to ask for the holdings: the holder, or while it is not known all controllers of a small fleet, one after
    /// another those of a large one.
    fn asked_for_holdings(&mut self, ctx: &Context) -> Vec<NodeId> {
        let known = self.holders(ctx);
        if !known.is_empty() {
            return known;
        }
        let controllers: Vec<NodeId> = ctx.views.controllers().map(|row| row.who.node).collect();
        self.turn = self.turn.wrapping_add(1);
        let next = self.turn.checked_rem(controllers.len());
        next.map(|place| controllers[place]).into_iter().collect()
    }

    /// How long wants are gathered, so that all routers together send no more than those of a small fleet.
    fn gather(ctx: &Context) -> Span {
        match router_count(ctx.views) {
            few if is_small(few) => Span(0),
            many => Span(GATHER_PER_ROUTER.0 * many as u64),
        }
    }

    fn add(&mut self, want: &UnmetDemand) {
        let row = self.wants.entry(want.name.clone()).or_insert(UnmetDemand { count: 0, ..want.clone() });
        row.count += want.count;
        row.class = row.class.min(want.class);
    }

    fn flush(&mut self, ctx: &mut Context) {
        let waited = ctx.now.since(self.flushed);
        let holders = self.holders(ctx);
        if holders.is_empty() && waited >= WANTS_KEPT {
            self.flushed = ctx.now;
            return self.wants.clear();
        }
        if holders.is_empty() || waited < Self::gather(ctx) {
            return;
        }
        self.sent.retain(|_, t| ctx.now.since(*t) < GATHER);
        let held = |n: &Name| self.sent.contains_key(n);
        let rows: Vec<UnmetDemand> = self.wants.values().filter(|w| !held(&w.name)).cloned().collect();
        if rows.is_empty() {
            return;
        }
        for w in &rows {
            self.wants.remove(&w.name);
            self.sent.insert(w.name.clone(), ctx.now);
        }
        self.flushed = ctx.now;
        for to in holders {
            ctx.send(to, Msg::UnmetDemand(rows.clone()));
        }
    }

    /// Passes holdings on to the other routers of this zone.
    fn relay(tell: &HoldingsUpdate, ctx: &mut Context) {
        let passed = Arc::new(HoldingsUpdate { relay: false, ..tell.clone() });
        let is_mate = |row: &&MemberRow| {
            let who = &row.who;
            who.role == Role::Router && who.domain == ctx.me.domain && who.node != ctx.me.node
        };
        let mates: Vec<NodeId> = ctx.views.members.iter().filter(is_mate).map(|row| row.who.node).collect();
        for mate in mates {
            ctx.send(mate, Msg::Holdings(passed.clone()));
        }
    }

    fn told(&mut self, tell: &HoldingsUpdate, ctx: &mut Context) {
        let newer = tell.term > self.contact.term;
        if tell.term < self.contact.term || (!newer && tell.seq < self.seq) {
            return;
        }
        if newer {
            (self.seq, self.behind) = (tell.seq, true);
        }
        self.contact.heard(tell.holder, tell.term, ctx.now);
        if tell.whole {
            self.behind = false;
        } else if tell.seq > self.seq + 1 {
            self.behind = true;
        }
        let old = !tell.whole && !newer && tell.seq == self.seq;
        self.seq = tell.seq;
        if !old && !tell.rows.is_empty() {
            ctx.effects.push(Effect::Holdings(tell.rows.clone()));
        }
    }

    fn tick(&mut self, ctx: &mut Context) {
        self.flush(ctx);
        let quiet = self.contact.holder(ctx.now).is_none();
        let gap = if tells_all(ctx.views) { ASK } else { ASK_IN_LARGE_FLEET };
        if (self.behind || quiet) && ctx.now.since(self.asked) >= gap {
            self.asked = ctx.now;
            for to in self.asked_for_holdings(ctx) {
                ctx.send(to, Msg::HoldingsRequest);
            }
        }
    }
}

impl Component for PlacementClient {
    fn name(&self) -> &'static str {
        "seeker"
    }

    fn on(&mut self, ev: &Event, ctx: &mut Context) {
        match ev {
            Event::NameWanted(want) => {
                self.add(want);
                self.flush(ctx);
            }
            Event::Message { msg: Msg::Holdings(tell), .. } => {
                if tell.relay {
                    Self::relay(tell, ctx);
                }
                self.told(tell, ctx);
                self.tick(ctx);
            }
            Event::Tick => self.tick(ctx),
            _ => {}
        }
    }

    fn status(&self, now: Time) -> Vec<(&'static str, String)> {
        vec![
            ("term", self.contact.term.to_string()),
            ("seq", self.seq.to_string()),
            ("heard_ms_ago", now.since(self.contact.heard).as_ms().to_string()),
        ]
    }
}
