//! What the holder of the placement duty tells routers of the runners' holdings.

use super::duty::{Placement, REPORT};
use crate::fleet::holdings::{HeldRow, HeldTell};
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use std::collections::{BTreeMap, BTreeSet};

const BEAT: Span = Span::ms(500);
const MINOR: Span = Span::ms(200);
/// Up to this many routers are told of every change at once.
const ROUTERS_TOLD_AT_ONCE: usize = 32;
/// The shortest time between two looks for changes with more routers: this long for each of them.
const GAP_PER_ROUTER: Span = Span::ms(1);
/// How much longer mere figures may wait than the rest, in gaps.
const MINOR_GAPS: u64 = 5;
const GONE: Span = Span::ms(10_000);

/// What routers were told of the runners' holdings.
#[derive(Default)]
pub struct Push {
    pub closing: BTreeMap<Name, BTreeSet<Name>>,
    seq: u64,
    sent: BTreeMap<Name, HeldRow>,
    beat: Time,
    minor: Time,
    looked: Time,
    whole: bool,
}

impl Placement {
    fn rows(&self, now: Time) -> BTreeMap<Name, HeldRow> {
        let row = |(name, (at, r)): (&Name, &(Time, crate::fleet::runner::Report))| {
            let mut closing = self.push.closing.get(name).cloned().unwrap_or_default();
            let going = self.flights.rows.values().filter(|f| f.runner == *name && f.unloads());
            closing.extend(going.map(|f| f.name.clone()));
            let closing: Vec<Name> = closing.into_iter().collect();
            let mut r = r.clone();
            for f in self.flights.rows.values().filter(|f| f.runner == *name && f.there) {
                if !r.has(&f.name) {
                    r.holds.push(f.name.clone());
                }
            }
            (name.clone(), HeldRow::of(name, &r, &closing, now.since(*at) >= REPORT))
        };
        self.reports.iter().map(row).collect()
    }

    fn routers(&self, ctx: &Context) -> Vec<NodeId> {
        let live = ctx.views.members.iter().filter(|r| r.who.role == Role::Router && r.quiet < GONE);
        live.map(|r| r.who.node).collect()
    }

    /// Tells routers what changed, unless they were told a moment ago; a later tick then does.
    pub fn push(&mut self, ctx: &mut Context) {
        let gap = match self.tells.len() {
            few if few <= ROUTERS_TOLD_AT_ONCE => Span(0),
            many => Span(GAP_PER_ROUTER.0 * many as u64),
        };
        if ctx.now.since(self.push.looked) >= gap {
            self.push_now(gap, ctx);
        }
    }

    /// Tells routers at once that a name is closing, before the order to unload it goes out.
    pub fn push_closing(&mut self, ctx: &mut Context) {
        self.push_now(Span(0), ctx);
    }

    fn push_now(&mut self, gap: Span, ctx: &mut Context) {
        if self.term == Term(0) {
            return;
        }
        self.push.looked = ctx.now;
        let rows = self.rows(ctx.now);
        let old = &self.push.sent;
        let news: Vec<HeldRow> = rows.values().filter_map(|r| r.after(old.get(&r.runner))).collect();
        let minor = news.iter().all(|r| rows[&r.runner].minor(old.get(&r.runner)));
        let beat = ctx.now.since(self.push.beat) >= BEAT;
        let patience = Span(MINOR.0.max(gap.0 * MINOR_GAPS));
        let due = !news.is_empty() && (!minor || ctx.now.since(self.push.minor) >= patience);
        if !beat && !due && !self.push.whole {
            return;
        }
        let whole = std::mem::take(&mut self.push.whole);
        self.push.seq += 1;
        self.push.beat = ctx.now;
        self.push.minor = ctx.now;
        let tell = HeldTell {
            term: self.term,
            seq: self.push.seq,
            whole,
            rows: if whole { rows.values().cloned().collect() } else { news },
        };
        self.push.sent = rows;
        for to in self.routers(ctx) {
            ctx.send(to, Msg::Held(Box::new(tell.clone())));
        }
    }

    pub fn push_whole(&mut self, to: NodeId, ctx: &mut Context) {
        if self.term == Term(0) {
            return;
        }
        let rows = self.push.sent.values().cloned().collect();
        let tell = HeldTell { term: self.term, seq: self.push.seq, whole: true, rows };
        ctx.send(to, Msg::Held(Box::new(tell)));
    }

    pub fn close_to(&mut self, runner: &Name, name: &Name, closed: bool) {
        let row = self.push.closing.entry(runner.clone()).or_default();
        if closed {
            row.insert(name.clone());
        } else {
            row.remove(name);
        }
        if row.is_empty() {
            self.push.closing.remove(runner);
        }
    }

    pub fn push_anew(&mut self) {
        self.push = Push { whole: true, ..Push::default() };
    }
}
