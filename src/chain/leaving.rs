//! Graceful departure: a member that was told to stop leaves only once the others hold what it holds.
//!
//! It proposes the view without itself, which passes its vote to a ready member without one, as soon as enough
//! other members hold all that is committed and a majority of the votes remains with live members. Until then it
//! keeps working; the daemon limits how long by its grace period. What it waits for is reported to the daemon and
//! logged.
#![deny(missing_docs)]

use super::core::Chain;
use super::view::View;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;

/// A controller outside the chain that was silent for less than this may still take this one's place.
const SUCCESSOR_HEARD: Span = Span::ms(1500);

/// The progress of a member that was told to stop.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Departure {
    /// Whether the process may exit now.
    pub is_done: bool,
    /// How many other members that stay hold all that is committed.
    pub copies: usize,
    /// How many of them there must be.
    pub required_copies: usize,
    /// How many votes belong to live members that stay.
    pub votes: usize,
    /// How many votes make a majority.
    pub majority: usize,
}

impl Departure {
    /// Whether the others can go on without this member.
    fn others_suffice(&self) -> bool {
        self.copies >= self.required_copies && self.votes >= self.majority
    }
}

impl std::fmt::Display for Departure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let state = if self.is_done { "left" } else { "not left yet" };
        let (copies, wanted) = (self.copies, self.required_copies);
        write!(f, "{state}: others hold {copies} of {wanted} required copies and {} votes", self.votes)?;
        write!(f, ", a majority is {}", self.majority)
    }
}

impl Chain {
    /// Begins to leave, because the process was told to stop.
    pub fn begin_leaving(&mut self, ctx: &mut Context) {
        if self.departure.is_none() {
            self.departure = Some(Departure::default());
            self.update_departure(ctx);
        }
    }

    /// Whether `node` has announced that it is leaving.
    pub fn is_leaving(&self, node: NodeId) -> bool {
        self.peers.get(&node).is_some_and(|p| p.is_leaving)
    }

    /// Proposes the view without this member, if the others can go on in it.
    pub fn propose_leaving(&mut self, view: &View, ctx: &mut Context) {
        let next = self.view_without_self(view, ctx.now);
        if self.departure_without_me(&next, ctx).others_suffice() {
            self.propose_view(next, None, Span(0), ctx);
        }
    }

    /// Reports the progress of leaving to the daemon when it has changed.
    pub fn update_departure(&mut self, ctx: &mut Context) {
        let Some(old) = self.departure else { return };
        if old.is_done {
            return;
        }
        let now = match self.view.clone() {
            Some(view) if view.has(self.node_id) => {
                let next = self.view_without_self(&view, ctx.now);
                let rest = self.departure_without_me(&next, ctx);
                Departure { is_done: self.has_nobody_to_wait_for(&view, ctx), ..rest }
            }
            Some(view) => Departure { is_done: true, ..self.departure_without_me(&view, ctx) },
            None => Departure { is_done: true, ..Departure::default() },
        };
        if now != old {
            self.departure = Some(now);
            ctx.log_event("leaving", now.to_string());
            ctx.effects.push(Effect::Leaving(now));
        }
    }

    fn view_without_self(&self, view: &View, now: Time) -> View {
        let mut candidates = view.without_vote();
        candidates.retain(|n| *n != self.node_id && self.will_stay(view, *n, now));
        view.without_leaver(self.node_id, &candidates)
    }

    /// What the other members hold in `next`. Those before this member hold all that it holds; those after it have
    /// reported what they all hold, which they do only once they are ready.
    fn departure_without_me(&self, next: &View, ctx: &Context) -> Departure {
        let stay = |n: &&NodeId| self.will_stay(next, **n, ctx.now);
        let synced = !self.in_chain() || (self.is_ready && self.synced_to_tail() >= self.committed);
        let copies = if synced { next.chain.iter().filter(stay).count() } else { 0 };
        Departure {
            is_done: false,
            copies,
            required_copies: ctx.me.required_copies(),
            votes: next.voters.iter().filter(|v| next.has(**v)).filter(stay).count(),
            majority: next.majority(),
        }
    }

    /// Whether `node` is a live member that stays. Of two members that leave at the same time, the one nearer to
    /// the head goes first.
    fn will_stay(&self, view: &View, node: NodeId, now: Time) -> bool {
        let place = |n: NodeId| self.view.as_ref().and_then(|v| v.chain.iter().position(|c| *c == n));
        let goes_first = self.is_leaving(node) && place(node) < place(self.node_id);
        view.has(node) && self.is_heard(node, now) && !goes_first
    }

    /// Whether waiting is useless: this member holds nothing that the others lack, or no other controller could
    /// take over, as when all are stopped at once.
    fn has_nobody_to_wait_for(&self, view: &View, ctx: &Context) -> bool {
        if !self.is_ready && !view.voters.contains(&self.node_id) {
            return true;
        }
        let all_leave = view.nodes().iter().all(|n| *n == self.node_id || self.is_leaving(*n));
        let outside = |r: &MemberRow| {
            r.who.node != self.node_id && !view.has(r.who.node) && r.silence < SUCCESSOR_HEARD
        };
        all_leave && !ctx.views.controllers().any(outside)
    }
}

/// What a controller said of itself in its last heartbeat.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerState {
    /// It hears no majority or cannot write. It still sends heartbeats and grants leases, but counts as lost.
    pub is_impaired: bool,
    /// Its disk is not nearly full.
    pub has_room: bool,
    /// It was told to stop and is leaving.
    pub is_leaving: bool,
}
