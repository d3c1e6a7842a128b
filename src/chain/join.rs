//! Joining the chain: the node gets a snapshot, then the entries after it, then a place at the end of the chain.
#![deny(missing_docs)]

use super::core::{Chain, SILENCE_LIMIT};
use super::heartbeat::MIN_WRITE_BYTES;
use super::replication_log::{EntryFit, ReplicationLog};
use crate::fleet::FleetState;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// How often a node outside the chain asks to join.
const JOIN_INTERVAL: Span = Span::ms(250);
/// How soon it asks again while some members have not answered yet.
const JOIN_RETRY: Span = Span::ms(60);
/// How often a slow or full disk is tested with a write.
const DISK_TRIAL_INTERVAL: Span = Span::ms(1000);
/// A joining node is proposed as a member once it lacks at most this many entries.
const MAX_LAG: u64 = 8;
/// A joining node that lacks more bytes than this, and than twice the configuration, is sent a snapshot.
const MAX_CATCH_UP_BYTES: usize = 512 << 10;

/// What a node outside the chain keeps while it joins.
#[derive(Clone, Default)]
pub struct Joiner {
    /// Whether it has a snapshot and receives the entries after it.
    pub is_following: bool,
    /// When it last asked to join.
    pub asked_at: Time,
    /// When it last tested its disk.
    pub disk_tried_at: Time,
    /// When each member last answered.
    pub answered_at: BTreeMap<NodeId, Time>,
}

impl Joiner {
    /// Ends joining when a view is installed. A node still outside the chain starts again from a snapshot.
    pub fn stop(&mut self, inside: bool) {
        if !inside {
            self.is_following = false;
        }
        self.asked_at = Time(0);
    }
}

impl Chain {
    /// Asks the tail to join, once all other members have answered.
    pub fn request_join(&mut self, ctx: &mut Context) {
        if self.departure.is_some() {
            return;
        }
        if self.in_chain() || self.fleet == FleetId(0) || ctx.now.since(self.joiner.asked_at) < JOIN_INTERVAL
        {
            return;
        }
        if ctx.is_disk_slow || ctx.free_disk_bytes < MIN_WRITE_BYTES {
            return self.try_disk(ctx);
        }
        let Some(view) = ctx.views.view.clone() else { return };
        self.joiner.asked_at = ctx.now;
        let met =
            |n: &NodeId| self.joiner.answered_at.get(n).is_some_and(|t| ctx.now.since(*t) < SILENCE_LIMIT);
        let (tail, all) = (view.tail(), view.chain.iter().all(|n| view.tail() == Some(*n) || met(n)));
        let (synced, is_following) = (self.log.last(), self.joiner.is_following);
        for node in view.chain.iter().copied().filter(|n| all || Some(*n) != tail) {
            ctx.chain(node, ChainMsg::JoinRequest { synced, is_following });
        }
        if !all {
            self.joiner.asked_at = ctx.now - Span(JOIN_INTERVAL.0 - JOIN_RETRY.0);
        }
    }

    fn try_disk(&mut self, ctx: &mut Context) {
        if ctx.now.since(self.joiner.disk_tried_at) >= DISK_TRIAL_INTERVAL {
            self.joiner.disk_tried_at = ctx.now;
            ctx.save(Record::Ident { node: self.node_id });
        }
    }

    /// Answers a node that wants to join. Any member but the tail only confirms contact; the tail sends a snapshot
    /// or the missing entries, and proposes the view with the node once it has nearly caught up.
    pub fn on_join(&mut self, from: NodeId, synced: Version, is_following: bool, ctx: &mut Context) {
        let Some(view) = self.view.clone() else { return };
        if !self.is_tail() || view.has(from) {
            ctx.chain(from, ChainMsg::JoinAck);
            return ctx.chain(from, ChainMsg::ViewDecided { view });
        }
        if !self.is_ready || ctx.now >= self.lease.valid_until {
            return;
        }
        let Some(want) = view.with_member(from, ctx.me) else { return };
        let cheap = self.log.bytes_after(synced)
            <= MAX_CATCH_UP_BYTES.max(2 * ctx.views.state.config.size_estimate());
        let rows = if is_following && cheap { self.log.entries_after(synced) } else { None };
        let Some(entries) = rows else {
            let state = Box::new(ctx.views.state.clone());
            return ctx.chain(from, ChainMsg::Snapshot { at: self.committed, state });
        };
        let near = synced.0 + MAX_LAG >= self.committed.0;
        ctx.chain(from, ChainMsg::CatchUp { entries, committed: self.committed });
        if near && self.proposal.is_none() && !self.is_in_restart_wait(ctx.now) {
            self.propose_view(want, None, Span(0), ctx);
        }
    }

    /// Replaces the own log with a snapshot.
    pub fn on_snapshot(&mut self, from: NodeId, at: Version, state: &FleetState, ctx: &mut Context) {
        let pred = self.view.as_ref().and_then(|v| v.predecessor(self.node_id));
        if self.in_chain() && (pred != Some(from) || at <= self.log.last()) {
            return;
        }
        if !self.in_chain() && self.joiner.is_following && at <= self.log.last() {
            return;
        }
        let base_view = ctx.views.view.as_ref().map_or(ViewNo(0), |v| v.no);
        self.log = ReplicationLog::after_snapshot(at, base_view);
        self.committed = at;
        self.joiner.is_following = true;
        let rows = self.records(state);
        ctx.effects.push(Effect::Rewrite(rows));
        ctx.log_event("snapshot", format!("{at} from {from}"));
        ctx.publish(JournalEvent::StateLoaded(Arc::new(state.clone())));
    }

    /// Appends the entries after the snapshot.
    pub fn on_catch_up(&mut self, from: NodeId, entries: &[Entry], ctx: &mut Context) {
        let tail = ctx.views.view.as_ref().and_then(|v| v.tail());
        if self.in_chain() || !self.joiner.is_following || tail != Some(from) {
            return;
        }
        for entry in entries {
            match self.log.classify(entry) {
                EntryFit::Next => self.append_entry(entry.clone(), ctx),
                EntryFit::AlreadyHeld => {}
                EntryFit::Gap => break,
                EntryFit::Conflict => {
                    self.joiner.is_following = false;
                    return;
                }
            }
        }
        self.apply_up_to(self.log.last(), ctx);
        self.joiner.asked_at = Time(0);
    }
}
