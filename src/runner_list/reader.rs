//! Makes sure that some controller reads the list of runners, and spreads which runners it shows as leaving.
//!
//! Normally only the holder of the placement duty reads the list. Whoever reads it tells the other controllers at
//! once. A controller that has heard of no list for its own maximum age reads it itself, whatever it believes about
//! the holder and the chain. The news that a runner is leaving needs neither the duty nor a commit.
#![deny(missing_docs)]

use super::messages::{ListRead, RunnerListing};
use super::timing::ListTiming;
use crate::kernel::component::{Component, Context};
use crate::kernel::ids::{FleetId, Name, NodeId};
use crate::kernel::time::{Span, Time};
use crate::membership::rendezvous::homes;
use crate::msg::*;
use std::collections::BTreeMap;

/// How often routers are told directly that a runner is leaving, besides gossip: once, and again with the next
/// list.
const MAX_ANNOUNCEMENTS: u32 = 2;
/// Nodes silent for this long are not told.
const SILENT_LIMIT: Span = Span::ms(10_000);

/// The component of a controller that watches over the reading of the list.
pub struct ListReader {
    timing: ListTiming,
    /// When the newest list was requested, as far as this node knows.
    newest_listing_at: Time,
    /// When this node last requested the list because no other did.
    requested_at: Time,
    /// The runners that the lists read by this node show as leaving, and how often routers were told.
    leaving_announced: BTreeMap<Name, u32>,
}

impl ListReader {
    /// A reader that assumes that the list was read at `now`.
    pub fn new(now: Time, timing: ListTiming) -> ListReader {
        ListReader { timing, newest_listing_at: now, requested_at: now, leaving_announced: BTreeMap::new() }
    }

    /// How old the list may become before this node reads it.
    fn max_age(&self, ctx: &Context) -> Span {
        let live =
            ctx.views.controllers().filter(|row| row.silence == Span(0) || row.who.node == ctx.me.node);
        let order = homes("runner-list", &live.map(|row| row.who.node).collect::<Vec<NodeId>>());
        let rank = order.iter().position(|node| *node == ctx.me.node).unwrap_or(order.len());
        self.timing.max_age(rank, order.len())
    }

    fn read_if_overdue(&mut self, ctx: &mut Context) {
        if ctx.views.fleet == FleetId(0) {
            return;
        }
        let age = ctx.now.since(self.newest_listing_at.max(self.requested_at));
        if age >= self.timing.max_age(0, 1) && age >= self.max_age(ctx) {
            self.requested_at = ctx.now;
            ctx.log_event(
                "runner-list-unread",
                format!("for {}, read here", ctx.now.since(self.newest_listing_at)),
            );
            ctx.effects.push(Effect::ReadList);
        }
    }

    fn on_listing(&mut self, listing: &RunnerListing, ctx: &mut Context) {
        self.newest_listing_at = self.newest_listing_at.max(listing.requested_at);
        let leaving: Vec<Name> =
            listing.runners.iter().filter(|r| r.leaving).map(|r| r.instance.clone()).collect();
        self.leaving_announced.retain(|name, _| leaving.contains(name));
        for name in &leaving {
            if !self.leaving_announced.contains_key(name) {
                self.leaving_announced.insert(name.clone(), 0);
                ctx.publish(JournalEvent::RunnerMarked(name.clone()));
            }
        }
        self.notify_routers(ctx);
        self.notify_controllers(ctx.now.since(listing.requested_at), leaving, ctx);
    }

    fn notify_routers(&mut self, ctx: &mut Context) {
        let mut names = Vec::new();
        for (name, announced) in self.leaving_announced.iter_mut().filter(|row| *row.1 < MAX_ANNOUNCEMENTS) {
            *announced += 1;
            names.push(name.clone());
        }
        if !names.is_empty() {
            for node in others(Role::Router, ctx) {
                ctx.send(node, Msg::RunnersLeaving(names.clone()));
            }
        }
    }

    fn notify_controllers(&self, age: Span, leaving: Vec<Name>, ctx: &mut Context) {
        let read = ListRead { age, leaving };
        for node in others(Role::Controller, ctx) {
            ctx.send(node, Msg::ListRead(Box::new(read.clone())));
        }
    }
}

fn others(role: Role, ctx: &Context) -> Vec<NodeId> {
    let rows = ctx.views.members.iter().filter(|row| row.who.role == role && row.silence < SILENT_LIMIT);
    rows.map(|row| row.who.node).filter(|node| *node != ctx.me.node).collect()
}

impl Component for ListReader {
    fn name(&self) -> &'static str {
        "runner-list"
    }

    fn on(&mut self, ev: &Event, ctx: &mut Context) {
        match ev {
            Event::Tick => self.read_if_overdue(ctx),
            Event::RunnersListed(listing) => self.on_listing(listing, ctx),
            Event::Message { msg: Msg::ListRead(read), .. } => {
                self.newest_listing_at = self.newest_listing_at.max(ctx.now - read.age);
            }
            _ => {}
        }
    }

    fn status(&self, now: Time) -> Vec<(&'static str, String)> {
        vec![
            ("age", now.since(self.newest_listing_at).to_string()),
            ("leaving", self.leaving_announced.len().to_string()),
        ]
    }
}
