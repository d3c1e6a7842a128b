//! Tells routers what the runners hold: changes as they come in, all holdings at a new term or on request.

use super::Placement;
use super::component::REPORT_FRESHNESS;
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

/// How often a message is sent even if nothing changed, so that routers know the holder.
const HEARTBEAT_INTERVAL: Span = Span::ms(500);
/// How long changes of figures alone may wait, at least.
const MINOR_INTERVAL: Span = Span::ms(200);
/// The shortest time between two checks for changes in a large fleet: this long for each of its routers.
const CHECK_INTERVAL_PER_ROUTER: Span = Span::ms(1);
/// How many of these intervals changes of figures alone may wait.
const MINOR_CHECKS: u64 = 5;
/// How many rows of full holdings are sent in a tick.
const FULL_ROWS_PER_TICK: usize = 1024;
/// How many routers of a zone take turns in relaying messages.
const RELAYS_PER_ZONE: u64 = 2;
/// Routers that were silent for longer are not sent to.
const ROUTER_GONE_AFTER: Span = Span::ms(10_000);

/// What routers were told of the runners' holdings.
#[derive(Default)]
pub struct HoldingsPublisher {
    /// By runner, the names that are about to be unloaded and that routers should send no requests for.
    pub closing: BTreeMap<Name, BTreeSet<Name>>,
    /// The number of the last message under this term.
    seq: u64,
    /// The holdings as last sent.
    sent: BTreeMap<Name, RunnerHoldings>,
    /// When the last message was sent.
    sent_at: Time,
    /// When changes of figures were last sent.
    minor_sent_at: Time,
    /// When changes were last checked for.
    checked_at: Time,
    /// Whether the next message contains all holdings.
    sends_full: bool,
    /// Routers that have yet to be sent all holdings.
    awaiting_full: BTreeSet<NodeId>,
    /// How many more rows of full holdings this tick may send.
    full_rows_left: usize,
}

/// The routers that relay a message to their zones, one in each. Two of a zone take turns, so that while one
/// of them is lost its zone misses only every other message, and notices that by the next one.
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
    /// The holdings of all runners, with pending orders applied.
    fn runner_holdings(&self, now: Time) -> BTreeMap<Name, RunnerHoldings> {
        let runner_row = |(name, (at, report)): (&Name, &(Time, crate::fleet::runner::RunnerReport))| {
            let mut closing = self.publisher.closing.get(name).cloned().unwrap_or_default();
            let going = self.pending.table.at_runner(name).filter(|f| f.is_effective_unload());
            closing.extend(going.map(|f| f.name.clone()));
            let closing: Vec<Name> = closing.into_iter().collect();
            let mut report = report.clone();
            for f in self.pending.table.at_runner(name).filter(|f| f.is_finished) {
                if !report.has(&f.name) {
                    report.holds.push(f.name.clone());
                }
            }
            (name.clone(), RunnerHoldings::of(name, &report, &closing, now.since(*at) >= REPORT_FRESHNESS))
        };
        self.reports.iter().map(runner_row).collect()
    }

    /// The routers that were heard of lately.
    fn live_routers(&self, ctx: &Context) -> Vec<NodeId> {
        let live =
            ctx.views.members.iter().filter(|r| r.who.role == Role::Router && r.silence < ROUTER_GONE_AFTER);
        live.map(|r| r.who.node).collect()
    }

    /// Sends routers what changed, unless that was done a moment ago; a later tick does it then.
    pub fn push_changes(&mut self, ctx: &mut Context) {
        let gap = match router_count(ctx.views) {
            few if is_small_fleet(few) => Span(0),
            many => Span(CHECK_INTERVAL_PER_ROUTER.0 * many as u64),
        };
        if ctx.now.since(self.publisher.checked_at) >= gap {
            self.push_now(gap, ctx);
        }
    }

    /// Tells routers at once that a name is closing, before the order to unload it is sent.
    pub fn push_closing(&mut self, ctx: &mut Context) {
        self.push_now(Span(0), ctx);
    }

    /// Sends what changed, or a heartbeat if one is due. `gap` is the interval between two checks.
    fn push_now(&mut self, gap: Span, ctx: &mut Context) {
        if self.term == Term(0) {
            return;
        }
        self.publisher.checked_at = ctx.now;
        let rows = self.runner_holdings(ctx.now);
        let already_sent = &self.publisher.sent;
        let changed: Vec<RunnerHoldings> =
            rows.values().filter_map(|r| r.changes_since(already_sent.get(&r.runner))).collect();
        let is_minor =
            changed.iter().all(|r| rows[&r.runner].differs_only_in_figures(already_sent.get(&r.runner)));
        let is_heartbeat_due = ctx.now.since(self.publisher.sent_at) >= HEARTBEAT_INTERVAL;
        let max_age = Span(MINOR_INTERVAL.0.max(gap.0 * MINOR_CHECKS));
        let is_due =
            !changed.is_empty() && (!is_minor || ctx.now.since(self.publisher.minor_sent_at) >= max_age);
        if !is_heartbeat_due && !is_due && !self.publisher.sends_full {
            return;
        }
        let is_full = std::mem::take(&mut self.publisher.sends_full);
        self.publisher.seq += 1;
        self.publisher.sent_at = ctx.now;
        self.publisher.minor_sent_at = ctx.now;
        let rows_sent = if is_full { rows.values().cloned().collect() } else { changed };
        self.publisher.sent = rows;
        let relay = !reports_to_all_controllers(ctx.views);
        let message = Arc::new(self.holdings_update(is_full, relay, rows_sent, ctx));
        let receivers = if relay { relay_routers(self.publisher.seq, ctx) } else { self.live_routers(ctx) };
        for to in receivers {
            ctx.send(to, Msg::Holdings(message.clone()));
        }
    }

    /// A message with these rows.
    fn holdings_update(
        &self,
        whole: bool,
        relay: bool,
        rows: Vec<RunnerHoldings>,
        ctx: &Context,
    ) -> HoldingsUpdate {
        HoldingsUpdate { holder: ctx.me.node, term: self.term, seq: self.publisher.seq, whole, relay, rows }
    }

    /// A router requests all holdings; it is sent them as the tick's limit allows.
    pub fn request_full_push(&mut self, to: NodeId, ctx: &mut Context) {
        if self.term > Term(0) {
            self.publisher.awaiting_full.insert(to);
            self.send_full_pushes(ctx);
        }
    }

    /// Renews the tick's limit, and sends all holdings to the next routers that wait for them.
    pub fn continue_full_pushes(&mut self, ctx: &mut Context) {
        self.publisher.full_rows_left = FULL_ROWS_PER_TICK;
        self.send_full_pushes(ctx);
    }

    /// Sends all holdings to waiting routers, up to the tick's limit.
    fn send_full_pushes(&mut self, ctx: &mut Context) {
        let size = self.publisher.sent.len().max(1);
        if self.publisher.awaiting_full.is_empty() || self.publisher.full_rows_left == 0 {
            return;
        }
        let rows = self.publisher.sent.values().cloned().collect();
        let message = Arc::new(self.holdings_update(true, false, rows, ctx));
        while self.publisher.full_rows_left > 0
            && let Some(to) = self.publisher.awaiting_full.pop_first()
        {
            self.publisher.full_rows_left = self.publisher.full_rows_left.saturating_sub(size);
            ctx.send(to, Msg::Holdings(message.clone()));
        }
    }

    /// Marks a name of a runner as about to be unloaded, or takes the mark back.
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

    /// Starts anew, with a message of all holdings.
    pub fn reset_publisher(&mut self) {
        self.publisher = HoldingsPublisher { sends_full: true, ..HoldingsPublisher::default() };
    }
}
