//! A router's side of placement: it sends wants to the duty holder, receives holdings, and tracks who the
//! holder is.

use crate::fleet::holdings::{HoldingsUpdate, UnmetDemand};
use crate::kernel::component::{Component, Context};
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use crate::rollout::router_reports::{is_small_fleet, reports_to_all_controllers, router_count};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The shortest time between two wants of the same name.
const RESEND_INTERVAL: Span = Span::ms(20);
/// How long a holder that sends nothing counts as known.
const HOLDER_TIMEOUT: Span = Span::ms(1500);
/// How often holdings are requested while some are missing.
const REQUEST_INTERVAL: Span = Span::ms(300);
/// The same in a large fleet.
const REQUEST_INTERVAL_IN_LARGE_FLEET: Span = Span::ms(1000);
/// How long wants are gathered in a large fleet: this long for each router, in microseconds.
const GATHER_INTERVAL_PER_ROUTER: Span = Span(600);
/// How long wants are kept while no holder is known.
const WANT_LIFETIME: Span = Span::ms(4000);

/// Which controller holds the placement duty, by the messages it sends.
#[derive(Clone, Copy, Default)]
pub struct DutyHolderContact {
    node: Option<NodeId>,
    term: Term,
    heard_at: Time,
}

impl DutyHolderContact {
    /// A holder sent holdings under `term`; returns whether that term is the newest.
    pub fn record_message(&mut self, from: NodeId, term: Term, now: Time) -> bool {
        if term < self.term {
            return false;
        }
        *self = DutyHolderContact { node: Some(from), term, heard_at: now };
        true
    }

    /// The holder, if it was heard of lately.
    pub fn holder(&self, now: Time) -> Option<NodeId> {
        self.node.filter(|_| now.since(self.heard_at) < HOLDER_TIMEOUT)
    }
}

/// A router's connection to the holder of the placement duty.
#[derive(Default)]
pub struct PlacementClient {
    contact: DutyHolderContact,
    seq: u64,
    holdings_requested_at: Time,
    needs_full: bool,
    unsent_wants: BTreeMap<Name, UnmetDemand>,
    sent_at: BTreeMap<Name, Time>,
    /// When wants were last sent or dropped.
    flushed_at: Time,
    /// Which controller is asked next while the holder is not known.
    next_controller: usize,
}

impl PlacementClient {
    /// Whom wants are sent to: the holder, or while it is not known all controllers of a small fleet.
    fn want_receivers(&self, ctx: &Context) -> Vec<NodeId> {
        match self.contact.holder(ctx.now) {
            Some(holder) => vec![holder],
            None if reports_to_all_controllers(ctx.views) => {
                ctx.views.controllers().map(|r| r.who.node).collect()
            }
            None => vec![],
        }
    }

    /// Whom to request holdings from: the holder, or while it is not known all controllers of a small fleet,
    /// or the controllers of a large one in turn.
    fn holdings_sources(&mut self, ctx: &Context) -> Vec<NodeId> {
        let known = self.want_receivers(ctx);
        if !known.is_empty() {
            return known;
        }
        let controllers: Vec<NodeId> = ctx.views.controllers().map(|row| row.who.node).collect();
        self.next_controller = self.next_controller.wrapping_add(1);
        let next = self.next_controller.checked_rem(controllers.len());
        next.map(|index| controllers[index]).into_iter().collect()
    }

    /// How long wants are gathered, so that all routers together send no more than those of a small fleet.
    fn gather_interval(ctx: &Context) -> Span {
        match router_count(ctx.views) {
            few if is_small_fleet(few) => Span(0),
            many => Span(GATHER_INTERVAL_PER_ROUTER.0 * many as u64),
        }
    }

    /// Adds a want to those not sent yet.
    fn add(&mut self, want: &UnmetDemand) {
        let row =
            self.unsent_wants.entry(want.name.clone()).or_insert(UnmetDemand { count: 0, ..want.clone() });
        row.count += want.count;
        row.class = row.class.min(want.class);
    }

    /// Sends the gathered wants, if it is time.
    fn flush(&mut self, ctx: &mut Context) {
        let waited = ctx.now.since(self.flushed_at);
        let holders = self.want_receivers(ctx);
        if holders.is_empty() && waited >= WANT_LIFETIME {
            self.flushed_at = ctx.now;
            return self.unsent_wants.clear();
        }
        if holders.is_empty() || waited < Self::gather_interval(ctx) {
            return;
        }
        self.sent_at.retain(|_, t| ctx.now.since(*t) < RESEND_INTERVAL);
        let held = |n: &Name| self.sent_at.contains_key(n);
        let rows: Vec<UnmetDemand> =
            self.unsent_wants.values().filter(|want| !held(&want.name)).cloned().collect();
        if rows.is_empty() {
            return;
        }
        for want in &rows {
            self.unsent_wants.remove(&want.name);
            self.sent_at.insert(want.name.clone(), ctx.now);
        }
        self.flushed_at = ctx.now;
        for to in holders {
            ctx.send(to, Msg::UnmetDemand(rows.clone()));
        }
    }

    /// Relays holdings to the other routers of this zone.
    fn relay(update: &HoldingsUpdate, ctx: &mut Context) {
        let passed = Arc::new(HoldingsUpdate { relay: false, ..update.clone() });
        let is_mate = |row: &&MemberRow| {
            let who = &row.who;
            who.role == Role::Router && who.domain == ctx.me.domain && who.node != ctx.me.node
        };
        let mates: Vec<NodeId> = ctx.views.members.iter().filter(is_mate).map(|row| row.who.node).collect();
        for mate in mates {
            ctx.send(mate, Msg::Holdings(passed.clone()));
        }
    }

    /// Takes in holdings; a gap in their numbers means that all must be requested.
    fn record_holdings(&mut self, update: &HoldingsUpdate, ctx: &mut Context) {
        let newer = update.term > self.contact.term;
        if update.term < self.contact.term || (!newer && update.seq < self.seq) {
            return;
        }
        if newer {
            (self.seq, self.needs_full) = (update.seq, true);
        }
        self.contact.record_message(update.holder, update.term, ctx.now);
        if update.whole {
            self.needs_full = false;
        } else if update.seq > self.seq + 1 {
            self.needs_full = true;
        }
        let is_duplicate = !update.whole && !newer && update.seq == self.seq;
        self.seq = update.seq;
        if !is_duplicate && !update.rows.is_empty() {
            ctx.effects.push(Effect::Holdings(update.rows.clone()));
        }
    }

    /// Sends wants and requests missing holdings.
    fn tick(&mut self, ctx: &mut Context) {
        self.flush(ctx);
        let quiet = self.contact.holder(ctx.now).is_none();
        let gap = if reports_to_all_controllers(ctx.views) {
            REQUEST_INTERVAL
        } else {
            REQUEST_INTERVAL_IN_LARGE_FLEET
        };
        if (self.needs_full || quiet) && ctx.now.since(self.holdings_requested_at) >= gap {
            self.holdings_requested_at = ctx.now;
            for to in self.holdings_sources(ctx) {
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
                self.record_holdings(tell, ctx);
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
            ("heard_ms_ago", now.since(self.contact.heard_at).as_ms().to_string()),
        ]
    }
}
