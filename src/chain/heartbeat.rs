//! Heartbeats between members, failure detection from them, and the timed work of the chain.
#![deny(missing_docs)]

use super::core::{Chain, HEARTBEAT_INTERVAL, SILENCE_LIMIT};
use super::leaving::PeerState;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;

/// A tick this long after the last one follows a suspension of the process.
const SUSPEND_GAP: Span = Span::ms(300);
/// A disk with fewer free bytes counts as nearly full.
pub const NEARLY_FULL_BYTES: u64 = 4 << 20;
/// With fewer free bytes a member takes nothing that it would have to write. What it has stays synced, so that it
/// can go on granting leases and answering reads.
pub const MIN_WRITE_BYTES: u64 = 512 << 10;

impl Chain {
    /// The timed work: heartbeats, lease, agreement, view changes and joining. A proposal under way is dropped when
    /// no majority is heard, since cut links may have made live members look lost. After a suspension, or when a
    /// majority is heard again, all silences are counted anew.
    pub fn tick(&mut self, ctx: &mut Context) {
        let slept = ctx.now.since(self.ticked_at) > SUSPEND_GAP;
        self.ticked_at = ctx.now;
        self.found_fleet(ctx);
        self.update_departure(ctx);
        let Some(view) = self.view.clone() else {
            return self.request_join(ctx);
        };
        let is_isolated = !self.hears_majority(ctx.now);
        if slept || (self.is_isolated && !is_isolated) {
            for node in view.nodes() {
                self.mark_alive(node, ctx.now);
            }
        }
        self.is_isolated = is_isolated;
        if is_isolated {
            self.proposal = None;
        }
        self.send_heartbeats(&view.nodes(), view.no, is_isolated, ctx);
        if !is_isolated {
            self.renew_lease(ctx);
        }
        self.acceptor_tick(ctx);
        self.repair_view(ctx);
        self.request_join(ctx);
        self.trim_log(ctx);
    }

    fn send_heartbeats(&mut self, all: &[NodeId], view_no: ViewNo, is_isolated: bool, ctx: &mut Context) {
        if ctx.now.since(self.heartbeat_sent_at) < HEARTBEAT_INTERVAL {
            return;
        }
        self.heartbeat_sent_at = ctx.now;
        let beat = self.heartbeat(view_no, ctx);
        for node in all.iter().filter(|n| **n != self.node_id) {
            ctx.chain(*node, beat.clone());
        }
        if !is_isolated {
            self.announce_log_end(ctx);
            self.report_progress(ctx);
        }
    }

    fn heartbeat(&self, view: ViewNo, ctx: &Context) -> ChainMsg {
        let (has_room, is_leaving) = (ctx.free_disk_bytes >= NEARLY_FULL_BYTES, self.departure.is_some());
        let is_impaired = self.is_isolated || !self.can_write(ctx);
        ChainMsg::Heartbeat { view, has_room, is_impaired, is_leaving }
    }

    /// Handles a heartbeat. A node that cannot write is removed from the view and cannot ask to join, so nobody
    /// else would send to it; it is answered with a heartbeat, from which it learns that it still reaches a
    /// majority.
    pub fn on_heartbeat(&mut self, from: NodeId, view_no: ViewNo, state: PeerState, ctx: &mut Context) {
        self.peers.insert(from, state);
        let Some(view) = self.view.clone() else { return };
        if view_no < view.no {
            return ctx.chain(from, ChainMsg::ViewDecided { view });
        }
        if state.is_impaired && !view.nodes().contains(&from) {
            let answer = self.heartbeat(view.no, ctx);
            ctx.chain(from, answer);
        }
    }

    /// Records that a message came from a controller. An impaired one counts for `hears_majority`, but not as
    /// alive, so it is removed from the chain. Nor do lease messages show that it is alive: they need no working
    /// disk.
    pub fn note_heard(&mut self, from: NodeId, msg: &ChainMsg, now: Time) {
        self.last_reached_at.insert(from, now);
        if let ChainMsg::Heartbeat { is_impaired, .. } = msg {
            self.peers.entry(from).or_default().is_impaired = *is_impaired;
        }
        let needs_no_disk = matches!(msg, ChainMsg::LeaseRequest { .. } | ChainMsg::LeaseGrant { .. });
        if !needs_no_disk && !self.is_impaired(from) {
            self.last_alive_at.insert(from, now);
        }
    }

    fn is_impaired(&self, node: NodeId) -> bool {
        self.peers.get(&node).is_some_and(|peer| peer.is_impaired)
    }

    /// Whether this node can sync a vote or an entry: its disk has room and no write is stuck.
    pub fn can_write(&self, ctx: &Context) -> bool {
        ctx.free_disk_bytes >= MIN_WRITE_BYTES && !ctx.is_write_stuck
    }

    /// How long `node` has not been heard as alive.
    pub fn silence(&self, node: NodeId, now: Time) -> Span {
        now.since(self.last_alive_at.get(&node).copied().unwrap_or_default())
    }

    /// Counts `node` as heard now.
    pub fn mark_alive(&mut self, node: NodeId, now: Time) {
        self.last_alive_at.insert(node, now);
        self.last_reached_at.insert(node, now);
    }

    /// Whether `node` was heard as alive within `SILENCE_LIMIT`.
    pub fn is_heard(&self, node: NodeId, now: Time) -> bool {
        node == self.node_id || self.silence(node, now) < SILENCE_LIMIT
    }

    /// Whether a majority of the voters, this node included, was heard within `SILENCE_LIMIT`, impaired or not.
    pub fn hears_majority(&self, now: Time) -> bool {
        let Some(view) = &self.view else { return false };
        let near = |v: &NodeId| self.last_reached_at.get(v).is_some_and(|t| now.since(*t) < SILENCE_LIMIT);
        let n = view.voters.iter().filter(|v| **v == self.node_id || near(v)).count();
        n >= view.majority()
    }

    /// Whether a majority of the voters can sync a vote. Without it a proposal cannot succeed, and would only make
    /// the voters pause the leases that they still grant.
    pub fn has_writing_majority(&self, ctx: &Context) -> bool {
        let Some(view) = &self.view else { return false };
        let writes = |v: &&NodeId| match **v == self.node_id {
            true => self.can_write(ctx),
            false => self.is_heard(**v, ctx.now) && !self.is_impaired(**v),
        };
        view.voters.iter().filter(writes).count() >= view.majority()
    }

    /// The version up to which this member and all after it in the chain have synced every change.
    pub fn synced_to_tail(&self) -> Version {
        match self.view.as_ref().and_then(|v| v.successor(self.node_id)) {
            Some(_) => self.successor_synced_to_tail.min(self.log.last()),
            None => self.log.last(),
        }
    }

    /// Whether enough members hold all that is committed here for it to be acknowledged.
    pub fn has_enough_copies(&self, ctx: &Context) -> bool {
        let copies = self.view.as_ref().map_or(0, |v| v.chain.len());
        copies >= ctx.me.required_copies() && self.synced_to_tail() >= self.committed
    }

    /// Whether enough other members are heard and have room on their disks.
    pub fn peers_have_room(&self, ctx: &Context) -> bool {
        let Some(view) = &self.view else { return false };
        let fine =
            |n: &&NodeId| self.is_heard(**n, ctx.now) && self.peers.get(*n).is_some_and(|p| p.has_room);
        view.chain.iter().filter(|n| **n != self.node_id).filter(fine).count() >= ctx.me.required_copies()
    }
}
