//! Heartbeats between members, who is heard, and what the members together hold.
#![deny(missing_docs)]

use super::core::{Chain, HEARTBEAT_INTERVAL, SILENCE_LIMIT};
use super::leaving::PeerState;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;

/// A tick that comes this much after the last one follows a sleep or a freeze.
const SLEPT: Span = Span::ms(300);
/// The free bytes below which a disk counts as nearly full.
pub const ROOM: u64 = 4 << 20;
/// With less room than this a member takes nothing that it would have to write: what it has stays synced, so
/// that it goes on granting leases and answering reads.
pub const ROOM_TO_WRITE: u64 = 512 << 10;

impl Chain {
    /// All that this member does by time: heartbeats, lease, agreement, repair and joining. A proposal that is
    /// under way when no majority is heard is given up: whom it leaves out was judged by links that are cut.
    pub fn tick(&mut self, ctx: &mut Context) {
        let slept = ctx.now.since(self.ticked) > SLEPT;
        self.ticked = ctx.now;
        self.found(ctx);
        self.update_departure(ctx);
        let Some(view) = self.view.clone() else {
            return self.join(ctx);
        };
        let isolated = !self.hears_majority(ctx.now);
        if slept || (self.isolated && !isolated) {
            for node in view.all() {
                self.mark_alive(node, ctx.now);
            }
        }
        self.isolated = isolated;
        if isolated {
            self.proposal = None;
        }
        self.speak(&view.all(), view.no, isolated, ctx);
        if !isolated {
            self.renew_lease(ctx);
        }
        self.acceptor_tick(ctx);
        self.repair(ctx);
        self.join(ctx);
        self.trim(ctx);
    }

    fn speak(&mut self, all: &[NodeId], no: ViewNo, isolated: bool, ctx: &mut Context) {
        if ctx.now.since(self.beat_at) < HEARTBEAT_INTERVAL {
            return;
        }
        self.beat_at = ctx.now;
        let beat = self.heartbeat(no, ctx);
        for node in all.iter().filter(|n| **n != self.ident) {
            ctx.chain(*node, beat.clone());
        }
        if !isolated {
            self.announce(ctx);
            self.report_progress(ctx);
        }
    }

    fn heartbeat(&self, view: ViewNo, ctx: &Context) -> ChainMsg {
        let (room, leaving) = (ctx.free_disk_bytes >= ROOM, self.departure.is_some());
        let impaired = self.isolated || !self.can_write(ctx);
        ChainMsg::Heartbeat { view, room, impaired, leaving }
    }

    /// Takes a heartbeat. One that cannot write is left out of the view and cannot ask to join, so nobody would
    /// speak to it; the answer shows it that it still reaches a majority.
    pub fn beat(&mut self, from: NodeId, no: ViewNo, said: PeerState, ctx: &mut Context) {
        self.peers.insert(from, said);
        let Some(view) = self.view.clone() else { return };
        if no < view.no {
            return ctx.chain(from, ChainMsg::ViewDecided { view });
        }
        if said.impaired && !view.all().contains(&from) {
            let answer = self.heartbeat(view.no, ctx);
            ctx.chain(from, answer);
        }
    }

    /// Notes that something came from a controller. One that says that it is impaired still counts toward the
    /// majority that hears this node, and as lost from the chain all the same.
    pub fn note_heard(&mut self, from: NodeId, msg: &ChainMsg, now: Time) {
        self.reached_at.insert(from, now);
        if let ChainMsg::Heartbeat { impaired, .. } = msg {
            self.peers.entry(from).or_default().impaired = *impaired;
        }
        let needs_no_disk = matches!(msg, ChainMsg::LeaseRequest { .. } | ChainMsg::LeaseGrant { .. });
        if !needs_no_disk && !self.is_impaired(from) {
            self.alive_at.insert(from, now);
        }
    }

    fn is_impaired(&self, node: NodeId) -> bool {
        self.peers.get(&node).is_some_and(|said| said.impaired)
    }

    /// Whether a vote or an entry of this node would be synced soon.
    pub fn can_write(&self, ctx: &Context) -> bool {
        ctx.free_disk_bytes >= ROOM_TO_WRITE && !ctx.is_write_stuck
    }

    /// For how long nothing was heard of `node`.
    pub fn quiet(&self, node: NodeId, now: Time) -> Span {
        now.since(self.alive_at.get(&node).copied().unwrap_or_default())
    }

    /// Counts `node` as heard just now.
    pub fn mark_alive(&mut self, node: NodeId, now: Time) {
        self.alive_at.insert(node, now);
        self.reached_at.insert(node, now);
    }

    /// Whether `node` was heard of lately.
    pub fn hears(&self, node: NodeId, now: Time) -> bool {
        node == self.ident || self.quiet(node, now) < SILENCE_LIMIT
    }

    /// Whether messages of a majority of the voters, this node's own vote included, came through lately.
    pub fn hears_majority(&self, now: Time) -> bool {
        let Some(view) = &self.view else { return false };
        let near = |v: &NodeId| self.reached_at.get(v).is_some_and(|t| now.since(*t) < SILENCE_LIMIT);
        let n = view.voters.iter().filter(|v| **v == self.ident || near(v)).count();
        n >= view.majority()
    }

    /// Whether enough voters can sync a vote. Asking for votes that cannot come would only pause the leases that
    /// the same voters still grant.
    pub fn has_writing_majority(&self, ctx: &Context) -> bool {
        let Some(view) = &self.view else { return false };
        let writes = |v: &&NodeId| match **v == self.ident {
            true => self.can_write(ctx),
            false => self.hears(**v, ctx.now) && !self.is_impaired(**v),
        };
        view.voters.iter().filter(writes).count() >= view.majority()
    }

    /// The version up to which this member and all behind it have synced every change.
    pub fn lowest(&self) -> Version {
        match self.view.as_ref().and_then(|v| v.after(self.ident)) {
            Some(_) => self.chain_synced.min(self.log.last()),
            None => self.log.last(),
        }
    }

    /// Whether enough members hold all that is committed here, so that it may be acknowledged.
    pub fn safe(&self, ctx: &Context) -> bool {
        let copies = self.view.as_ref().map_or(0, |v| v.chain.len());
        copies >= ctx.me.required_copies() && self.lowest() >= self.committed
    }

    /// Whether enough other members have room on their disks.
    pub fn spared(&self, ctx: &Context) -> bool {
        let Some(view) = &self.view else { return false };
        let fine = |n: &&NodeId| self.hears(**n, ctx.now) && self.peers.get(*n).is_some_and(|p| p.room);
        view.chain.iter().filter(|n| **n != self.ident).filter(fine).count() >= ctx.me.required_copies()
    }
}
