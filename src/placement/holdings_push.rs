//! What the holder of the placement duty tells routers of the runners' holdings.

use super::component::{Placement, REPORT_FRESHNESS};
use crate::fleet::holdings::{HoldingsUpdate, RunnerHoldings};
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::membership::rendezvous::home;
use crate::membership::service::QUIET_AFTER;
use crate::msg::*;
use crate::rollout::router_reports::{is_small_fleet, reports_to_all_controllers, router_count};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const HEARTBEAT_INTERVAL: Span = Span::ms(500);
const MINOR_INTERVAL: Span = Span::ms(200);
/// The shortest time between two looks for changes in a large fleet: this long for each of its routers.
const CHECK_INTERVAL_PER_ROUTER: Span = Span::ms(1);
/// How much longer mere figures may wait than the rest, in gaps.
const MINOR_CHECKS: u64 = 5;
/// How many rows of whole holdings are sent in a tick.
const FULL_ROWS_PER_TICK: usize = 1024;
/// How many routers of a zone take turns in passing holdings on.
const RELAYS_PER_ZONE: u64 = 2;
const ROUTER_GONE_AFTER: Span = Span::ms(10_000);

/// What routers were told of the runners' holdings.
#[derive(Default)]
pub struct HoldingsPublisher {
    pub closing: BTreeMap<Name, BTreeSet<Name>>,
    seq: u64,
    sent: BTreeMap<Name, RunnerHoldings>,
    sent_at: Time,
    minor_sent_at: Time,
    checked_at: Time,
    sends_full: bool,
    /// Routers that are yet to be told all that is held.
    awaiting_full: BTreeSet<NodeId>,
    /// How many more rows of whole holdings this tick may send.
    full_rows_left: usize,
}

/// The routers that pass a message on to their zones, one in each. Two of a zone take turns, so that all miss only
/// every other message while one of them is lost, and notice it by the next.
fn relay_routers(seq: u64, ctx: &Context) -> Vec<NodeId> {
    let mut zones: BTreeMap<&Name, Vec<NodeId>> = BTreeMap::new();
    let live =
        ctx.views.members.iter().filter(|row| row.who.role == Role::Router && row.silence < QUIET_AFTER);
    for row in live {
        zones.entry(&row.who.domain).or_default().push(row.who.node);
    }
    let key = format!("holdings-{}", seq % RELAYS_PER_ZONE);
    zones.values().filter_map(|routers| home(&key, routers)).collect()
}

impl Placement {
    fn runner_holdings(&self, now: Time) -> BTreeMap<Name, RunnerHoldings> {
        let row = |(name, (at, r)): (&Name, &(Time, crate::fleet::runner::RunnerReport))| {
            let mut closing = self.publisher.closing.get(name).cloned().unwrap_or_default();
            let going = self.pending.table.at_runner(name).filter(|f| f.is_effective_unload());
            closing.extend(going.map(|f| f.name.clone()));
            let closing: Vec<Name> = closing.into_iter().collect();
            let mut r = r.clone();
            for f in self.pending.table.at_runner(name).filter(|f| f.is_finished) {
                if !r.has(&f.name) {
                    r.holds.push(f.name.clone());
                }
            }
            (name.clone(), RunnerHoldings::of(name, &r, &closing, now.since(*at) >= REPORT_FRESHNESS))
        };
        self.reports.iter().map(row).collect()
    }

    fn live_routers(&self, ctx: &Context) -> Vec<NodeId> {
        let live =
            ctx.views.members.iter().filter(|r| r.who.role == Role::Router && r.silence < ROUTER_GONE_AFTER);
        live.map(|r| r.who.node).collect()
    }

    /// Tells routers what changed, unless they were told a moment ago; a later tick then does.
    pub fn push_changes(&mut self, ctx: &mut Context) {
        let gap = match router_count(ctx.views) {
            few if is_small_fleet(few) => Span(0),
            many => Span(CHECK_INTERVAL_PER_ROUTER.0 * many as u64),
        };
        if ctx.now.since(self.publisher.checked_at) >= gap {
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
        self.publisher.checked_at = ctx.now;
        let rows = self.runner_holdings(ctx.now);
        let old = &self.publisher.sent;
        let news: Vec<RunnerHoldings> =
            rows.values().filter_map(|r| r.changes_since(old.get(&r.runner))).collect();
        let minor = news.iter().all(|r| rows[&r.runner].differs_only_in_figures(old.get(&r.runner)));
        let beat = ctx.now.since(self.publisher.sent_at) >= HEARTBEAT_INTERVAL;
        let max_age = Span(MINOR_INTERVAL.0.max(gap.0 * MINOR_CHECKS));
        let due = !news.is_empty() && (!minor || ctx.now.since(self.publisher.minor_sent_at) >= max_age);
        if !beat && !due && !self.publisher.sends_full {
            return;
        }
        let whole = std::mem::take(&mut self.publisher.sends_full);
        self.publisher.seq += 1;
        self.publisher.sent_at = ctx.now;
        self.publisher.minor_sent_at = ctx.now;
        let rows_told = if whole { rows.values().cloned().collect() } else { news };
        self.publisher.sent = rows;
        let relay = !reports_to_all_controllers(ctx.views);
        let tell = Arc::new(self.holdings_update(whole, relay, rows_told, ctx));
        let receivers = if relay { relay_routers(self.publisher.seq, ctx) } else { self.live_routers(ctx) };
        for to in receivers {
            ctx.send(to, Msg::Holdings(tell.clone()));
        }
    }

    fn holdings_update(
        &self,
        whole: bool,
        relay: bool,
        rows: Vec<RunnerHoldings>,
        ctx: &Context,
    ) -> HoldingsUpdate {
        HoldingsUpdate { holder: ctx.me.node, term: self.term, seq: self.publisher.seq, whole, relay, rows }
    }

    /// A router asks for all that is held; it is told in its turn.
    pub fn request_full_push(&mut self, to: NodeId, ctx: &mut Context) {
        if self.term > Term(0) {
            self.publisher.awaiting_full.insert(to);
            self.send_full_pushes(ctx);
        }
    }

    /// Allows again what a tick may send of whole holdings, and tells the next routers that are behind.
    pub fn continue_full_pushes(&mut self, ctx: &mut Context) {
        self.publisher.full_rows_left = FULL_ROWS_PER_TICK;
        self.send_full_pushes(ctx);
    }

    fn send_full_pushes(&mut self, ctx: &mut Context) {
        let size = self.publisher.sent.len().max(1);
        if self.publisher.awaiting_full.is_empty() || self.publisher.full_rows_left == 0 {
            return;
        }
        let rows = self.publisher.sent.values().cloned().collect();
        let tell = Arc::new(self.holdings_update(true, false, rows, ctx));
        while self.publisher.full_rows_left > 0
            && let Some(to) = self.publisher.awaiting_full.pop_first()
        {
            self.publisher.full_rows_left = self.publisher.full_rows_left.saturating_sub(size);
            ctx.send(to, Msg::Holdings(tell.clone()));
        }
    }

    pub fn set_closing(&mut self, runner: &Name, name: &Name, closed: bool) {
        let row = self.publisher.closing.entry(runner.clone()).or_default();
        if closed {
            row.insert(name.clone());
        } else {
            row.remove(name);
        }
        if row.is_empty() {
            self.publisher.closing.remove(runner);
        }
    }

    pub fn reset_publisher(&mut self) {
        self.publisher = HoldingsPublisher { sends_full: true, ..HoldingsPublisher::default() };
    }
}
