//! Joining the chain: a snapshot, then the changes after it, then a place at the end.
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
/// How soon it asks again while members have not answered yet.
const JOIN_RETRY: Span = Span::ms(60);
/// How often a slow disk is tried.
const DISK_TRIAL_INTERVAL: Span = Span::ms(1000);
/// A joiner is taken in once it lacks at most so many changes.
const MAX_LAG: u64 = 8;
/// Behind by more bytes than this (and than two configurations), a member that joins is sent the snapshot.
const MAX_CATCH_UP_BYTES: usize = 512 << 10;

/// What a node outside the chain remembers of its joining.
#[derive(Clone, Default)]
pub struct Joiner {
    /// Whether it has a snapshot and follows changes.
    pub is_following: bool,
    /// When it asked to join last.
    pub asked_at: Time,
    /// When it tried its disk last.
    pub disk_tried_at: Time,
    /// When each member answered last.
    pub answered_at: BTreeMap<NodeId, Time>,
}

impl Joiner {
    /// Ends joining when a view comes; what was followed outside the chain is not relied on.
    pub fn stop(&mut self, inside: bool) {
        if !inside {
            self.is_following = false;
        }
        self.asked_at = Time(0);
    }
}

impl Chain {
    /// Asks the tail to be taken in, once all other members are in touch.
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

    /// Answers a node that wants to join: with a snapshot, changes, or a proposal that takes it in.
    pub fn on_join(&mut self, from: NodeId, synced: Version, is_following: bool, ctx: &mut Context) {
        let Some(view) = self.view.clone() else { return };
        if !self.is_tail() || view.has(from) {
            ctx.chain(from, ChainMsg::JoinAck);
            return ctx.chain(from, ChainMsg::ViewDecided { view });
        }
        if !self.is_ready || ctx.now >= self.lease.valid_until {
            return;
        }
        let Some(want) = view.with(from, ctx.me) else { return };
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

    /// Takes a whole state in place of the own log.
    pub fn on_snapshot(&mut self, from: NodeId, at: Version, state: &FleetState, ctx: &mut Context) {
        let pred = self.view.as_ref().and_then(|v| v.before(self.node_id));
        if self.in_chain() && (pred != Some(from) || at <= self.log.last()) {
            return;
        }
        if !self.in_chain() && self.joiner.is_following && at <= self.log.last() {
            return;
        }
        let tag = ctx.views.view.as_ref().map_or(ViewNo(0), |v| v.no);
        self.log = ReplicationLog::after_snapshot(at, tag);
        self.committed = at;
        self.joiner.is_following = true;
        let rows = self.records(state);
        ctx.effects.push(Effect::Rewrite(rows));
        ctx.log_event("snapshot", format!("{at} from {from}"));
        ctx.publish(JournalEvent::StateLoaded(Arc::new(state.clone())));
    }

    /// Takes the changes after the snapshot.
    pub fn on_catch_up(&mut self, from: NodeId, entries: &[Entry], ctx: &mut Context) {
        let tail = ctx.views.view.as_ref().and_then(|v| v.tail());
        if self.in_chain() || !self.joiner.is_following || tail != Some(from) {
            return;
        }
        for e in entries {
            match self.log.classify(e) {
                EntryFit::Next => self.append_entry(e.clone(), ctx),
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
