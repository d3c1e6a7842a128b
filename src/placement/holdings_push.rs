//! What the holder of the placement duty tells routers of the runners' holdings.

use super::component::{Placement, REPORT};
use crate::fleet::holdings::{HoldingsUpdate, RunnerHoldings};
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::membership::rendezvous::home;
use crate::membership::service::QUIET_AFTER;
use crate::msg::*;
use crate::rollout::router_reports::{is_small, router_count, tells_all};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const BEAT: Span = Span::ms(500);
const MINOR: Span = Span::ms(200);
/// The shortest time between two looks for changes in a large fleet: this long for each of its routers.
const GAP_PER_ROUTER: Span = Span::ms(1);
/// How much longer mere figures may wait than the rest, in gaps.
const MINOR_GAPS: u64 = 5;
/// How many rows of whole holdings are sent in a tick.
const ROWS_OF_WHOLE: usize = 1024;
/// How many routers of a zone take turns in passing holdings on.
const RELAYS_OF_ZONE: u64 = 2;
const GONE: Span = Span::ms(10_000);

/// What routers were told of the runners' holdings.
#[derive(Default)]
pub struct HoldingsPublisher {
    pub closing: BTreeMap<Name, BTreeSet<Name>>,
    seq: u64,
    sent: BTreeMap<Name, RunnerHoldings>,
    beat: Time,
    minor: Time,
    looked: Time,
    whole: bool,
    /// Routers that are yet to be told all that is held.
    behind: BTreeSet<NodeId>,
    /// How many more rows of whole holdings this tick may send.
    rows_left: usize,
}

/// The routers that pass a message on to their zones, one in each. Two of a zone take turns, so that all miss only
/// every other message while one of them is lost, and notice it by the next.
fn relays(seq: u64, ctx: &Context) -> Vec<NodeId> {
    let mut zones: BTreeMap<&Name, Vec<NodeId>> = BTreeMap::new();
    let live =
        ctx.views.members.iter().filter(|row| row.who.role == Role::Router && row.silence < QUIET_AFTER);
    for row in live {
        zones.entry(&row.who.domain).or_default().push(row.who.node);
    }
    let key = format!("holdings-{}", seq % RELAYS_OF_ZONE);
    zones.values().filter_map(|routers| home(&key, routers)).collect()
}

impl Placement {
    fn rows(&self, now: Time) -> BTreeMap<Name, RunnerHoldings> {
        let row = |(name, (at, r)): (&Name, &(Time, crate::fleet::runner::RunnerReport))| {
            let mut closing = self.push.closing.get(name).cloned().unwrap_or_default();
            let going = self.flights.rows.at(name).filter(|f| f.unloads());
            closing.extend(going.map(|f| f.name.clone()));
            let closing: Vec<Name> = closing.into_iter().collect();
            let mut r = r.clone();
            for f in self.flights.rows.at(name).filter(|f| f.there) {
                if !r.has(&f.name) {
                    r.holds.push(f.name.clone());
                }
            }
            (name.clone(), RunnerHoldings::of(name, &r, &closing, now.since(*at) >= REPORT))
        };
        self.reports.iter().map(row).collect()
    }

    fn routers(&self, ctx: &Context) -> Vec<NodeId> {
        let live = ctx.views.members.iter().filter(|r| r.who.role == Role::Router && r.silence < GONE);
        live.map(|r| r.who.node).collect()
    }

    /// Tells routers what changed, unless they were told a moment ago; a later tick then does.
    pub fn push(&mut self, ctx: &mut Context) {
        let gap = match router_count(ctx.views) {
            few if is_small(few) => Span(0),
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
        let news: Vec<RunnerHoldings> = rows.values().filter_map(|r| r.after(old.get(&r.runner))).collect();
        let minor = news.iter().all(|r| rows[&r.runner].minor(old.get(&r.runner)));
        let beat = ctx.now.since(self.push.beat) >= BEAT;
        let max_age = Span(MINOR.0.max(gap.0 * MINOR_GAPS));
        let due = !news.is_empty() && (!minor || ctx.now.since(self.push.minor) >= max_age);
        if !beat && !due && !self.push.whole {
            return;
        }
        let whole = std::mem::take(&mut self.push.whole);
        self.push.seq += 1;
        self.push.beat = ctx.now;
        self.push.minor = ctx.now;
        let rows_told = if whole { rows.values().cloned().collect() } else { news };
        self.push.sent = rows;
        let relay = !tells_all(ctx.views);
        let tell = Arc::new(self.tell(whole, relay, rows_told, ctx));
        let receivers = if relay { relays(self.push.seq, ctx) } else { self.routers(ctx) };
        for to in receivers {
            ctx.send(to, Msg::Holdings(tell.clone()));
        }
    }

    fn tell(&self, whole: bool, relay: bool, rows: Vec<RunnerHoldings>, ctx: &Context) -> HoldingsUpdate {
        HoldingsUpdate { holder: ctx.me.node, term: self.term, seq: self.push.seq, whole, relay, rows }
    }

    /// A router asks for all that is held; it is told in its turn.
    pub fn push_whole(&mut self, to: NodeId, ctx: &mut Context) {
        if self.term > Term(0) {
            self.push.behind.insert(to);
            self.push_to_behind(ctx);
        }
    }

    /// Allows again what a tick may send of whole holdings, and tells the next routers that are behind.
    pub fn push_on(&mut self, ctx: &mut Context) {
        self.push.rows_left = ROWS_OF_WHOLE;
        self.push_to_behind(ctx);
    }

    fn push_to_behind(&mut self, ctx: &mut Context) {
        let size = self.push.sent.len().max(1);
        if self.push.behind.is_empty() || self.push.rows_left == 0 {
            return;
        }
        let rows = self.push.sent.values().cloned().collect();
        let tell = Arc::new(self.tell(true, false, rows, ctx));
        while self.push.rows_left > 0
            && let Some(to) = self.push.behind.pop_first()
        {
            self.push.rows_left = self.push.rows_left.saturating_sub(size);
            ctx.send(to, Msg::Holdings(tell.clone()));
        }
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
        self.push = HoldingsPublisher { whole: true, ..HoldingsPublisher::default() };
    }
}
