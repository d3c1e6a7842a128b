//! The membership component: pings the watched nodes, detects silent ones, spreads changes and publishes the
//! members.

use super::exchange::view_no;
use super::marks::Marks;
use super::table::Table;
pub use super::table::{FORGET_AFTER, QUIET_AFTER};
use crate::kernel::component::{Component, Context};
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// How often a node pings the nodes that it watches.
pub const PING_INTERVAL: Span = Span::ms(200);
/// After this silence a watched node is suspected: its other watchers are asked whether they heard it.
pub const SUSPECT_AFTER: Span = Span::ms(600);
/// A tick this long after the last one follows a suspension of this process; silences are then counted anew.
const STALL_LIMIT: Span = Span::ms(600);
/// How often changes are sent to partners at most.
const FLUSH_INTERVAL: Span = Span::ms(20);
/// How often the members are published anew while one is quiet, so that its silence is up to date.
const AGE_REFRESH_INTERVAL: Span = Span::ms(2000);

/// What a node keeps about a partner: a node that it watches or is watched by.
#[derive(Default)]
pub struct Partner {
    /// The change number up to which rows were sent to it.
    pub sent_seq: u64,
    /// The change number up to which marks were sent to it.
    pub sent_marks_seq: u64,
    /// The number of the newest view that it knows.
    pub known_view: ViewNo,
    /// Since when its digest has differed from the one of this node.
    pub differs_since: Option<Time>,
    /// When it was last heard from; none if not yet since it became a partner.
    pub heard_at: Option<Time>,
}

/// The membership component of a node.
#[derive(Default)]
pub struct Membership {
    /// All known nodes.
    pub table: Table,
    /// The runners marked as leaving.
    pub marks: Marks,
    /// The partners of this node.
    pub partners: BTreeMap<NodeId, Partner>,
    /// The nodes that this node watches, and since when.
    watched: BTreeMap<NodeId, Time>,
    /// The generation of the watch assignments that `watched` reflects.
    watch_generation: u64,
    ping_rounds: u64,
    pinged_at: Time,
    /// When the seeds were last greeted.
    pub greeted_at: Time,
    ticked_at: Time,
    flushed_at: Time,
    expired_rows_dropped_at: Time,
    /// When a full exchange was last requested.
    pub sync_requested_at: Time,
    /// When everything known was last sent.
    pub snapshot_sent_at: Time,
    /// How many full exchanges were requested since digests last agreed.
    pub sync_tries: u64,
    /// Which nodes were live when the members were last published.
    published_live: BTreeMap<NodeId, bool>,
    /// Whether a node was published as quiet, so that its published silence has to be refreshed.
    has_quiet_node: bool,
    published_at: Time,
}

impl Membership {
    /// Follows a change of the watch assignments.
    fn refresh_watch(&mut self, ctx: &Context) {
        if self.watch_generation == self.table.watch.generation {
            return;
        }
        self.watch_generation = self.table.watch.generation;
        let mut old = std::mem::take(&mut self.watched);
        for node in self.table.watch.watched(ctx.me.node) {
            self.watched.insert(node, old.remove(&node).unwrap_or(ctx.now));
        }
        let watchers: Vec<NodeId> = self.table.watch.watchers(ctx.me.node).collect();
        self.partners.retain(|node, _| self.watched.contains_key(node) || watchers.contains(node));
    }

    /// Pings the watched nodes, suspected and quiet ones included; quiet ones only in every third round.
    fn send_pings(&mut self, ctx: &mut Context) {
        self.ping_rounds += 1;
        self.refresh_watch(ctx);
        let mut suspects: BTreeMap<NodeId, Vec<NodeId>> = BTreeMap::new();
        for (node, since) in self.watched.clone() {
            let Some(known) = self.table.rows.get(&node) else { continue };
            let silence = ctx.now.since(known.heard_at.max(since));
            if known.is_live && silence >= QUIET_AFTER {
                self.table.mark_quiet(node, ctx.now);
                ctx.log_event("member-missed", node.to_string());
            } else if known.is_live && silence >= SUSPECT_AFTER {
                for watcher in self.table.watch.watchers(node).filter(|watcher| *watcher != ctx.me.node) {
                    suspects.entry(watcher).or_default().push(node);
                }
            } else if !known.is_live && !(self.ping_rounds + node.0).is_multiple_of(3) {
                continue;
            }
            let gossip = self.next_gossip(node, ctx);
            ctx.send(node, Msg::Ping(Box::new(gossip)));
        }
        for (to, who) in suspects {
            ctx.send(to, Msg::Suspect { who });
        }
    }

    /// Sends changes to partners that lack them.
    fn send_changes(&mut self, ctx: &mut Context) {
        if ctx.now.since(self.flushed_at) < FLUSH_INTERVAL {
            return;
        }
        self.flushed_at = ctx.now;
        self.refresh_watch(ctx);
        let no = view_no(ctx);
        let mut all: Vec<NodeId> = self.watched.keys().copied().collect();
        all.extend(self.table.watch.watchers(ctx.me.node));
        all.sort();
        all.dedup();
        for node in all {
            let behind = self.partners.get(&node).is_some_and(|partner| {
                partner.sent_seq < self.table.seq
                    || partner.sent_marks_seq < self.marks.seq
                    || partner.known_view < no
            });
            if behind && self.table.rows.get(&node).is_some_and(|known| known.is_live) {
                let gossip = self.next_gossip(node, ctx);
                ctx.send(node, Msg::Gossip(Box::new(gossip)));
            }
        }
    }

    /// Publishes the members if they have changed.
    fn publish_rows(&mut self, ctx: &mut Context) {
        let aged = self.has_quiet_node && ctx.now.since(self.published_at) >= AGE_REFRESH_INTERVAL;
        let settled = self.table.next_settles_at.is_some_and(|at| ctx.now >= at);
        if !self.table.is_dirty && !aged && !settled {
            return;
        }
        let rows = self.table.rows_shown(ctx.me, ctx.now);
        let now: BTreeMap<NodeId, bool> =
            rows.iter().map(|r| (r.who.node, r.silence < QUIET_AFTER)).collect();
        self.table.is_dirty = false;
        self.table.next_settles_at = self.table.next_settled(ctx.now);
        if self.table.next_settles_at.is_some() && now == self.published_live {
            return;
        }
        self.has_quiet_node = now.values().any(|live| !live);
        for (node, live) in &now {
            if self.published_live.get(node) != Some(live) {
                let what = if *live { "member-up" } else { "member-quiet" };
                ctx.log_event(what, node.to_string());
            }
        }
        self.published_live = now;
        self.published_at = ctx.now;
        ctx.publish(JournalEvent::Members(Arc::new(rows)));
    }

    fn tick(&mut self, ctx: &mut Context) {
        if ctx.now.since(self.ticked_at) >= STALL_LIMIT {
            self.watched.values_mut().for_each(|t| *t = ctx.now);
        }
        self.ticked_at = ctx.now;
        if ctx.now.since(self.expired_rows_dropped_at) >= Span::ms(1000) {
            self.expired_rows_dropped_at = ctx.now;
            self.table.drop_expired(ctx.now);
            self.marks.drop_expired(ctx.now);
        }
        self.greet_seeds(ctx);
        if ctx.now.since(self.pinged_at) >= PING_INTERVAL {
            self.pinged_at = ctx.now;
            self.send_pings(ctx);
        }
    }
}

impl Component for Membership {
    fn name(&self) -> &'static str {
        "membership"
    }

    fn on(&mut self, ev: &Event, ctx: &mut Context) {
        match ev {
            Event::Start => self.table.start(ctx.me),
            Event::Tick => self.tick(ctx),
            Event::Journal(JournalEvent::RunnerMarked(name)) => self.marks.add(name, Span(0), ctx),
            Event::Message { from, msg, fleet } => {
                if ctx.me.role == Role::Router && ctx.views.fleet == FleetId(0) && fleet.0 != 0 {
                    ctx.publish(JournalEvent::Fleet(*fleet));
                }
                self.table.mark_heard(*from, ctx.now);
                self.on_message(*from, msg, ctx);
            }
            _ => return,
        }
        self.send_changes(ctx);
        self.publish_rows(ctx);
    }

    fn status(&self, _now: Time) -> Vec<(&'static str, String)> {
        let live = self.table.rows.values().filter(|known| known.is_live).count();
        vec![("known", self.table.rows.len().to_string()), ("live", live.to_string())]
    }
}
