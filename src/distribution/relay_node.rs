//! The component of a router that keeps its topics up to date, and the relay node of its zone for some of
//! them.
//!
//! Rendezvous hashing gives each topic a relay node among the routers of a zone. The relay node asks the tail
//! and answers the other routers. A router whose topic is late asks the tail itself; if nothing helps it asks
//! other controllers, which may know a newer view of the chain.

use super::pace::{Backoff, Timer};
use super::reader::{Topic, TopicChange, TopicReader};
use super::serving_lease::ServingLease;
use super::subscribers::Subscribers;
pub use super::topic_name::scope_name;
use crate::fleet::slice::Slice;
use crate::fleet::state::Scope;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::rand::mix;
use crate::kernel::time::{Span, Time};
use crate::membership::rendezvous::home;
use crate::membership::service::QUIET_AFTER;
use crate::msg::*;
use std::collections::BTreeMap;

mod events;

/// Interval of requests to the tail, and to relay nodes after a recent change.
const REQUEST_INTERVAL: Span = Span::ms(200);
/// Interval of requests to relay nodes while nothing changes.
const IDLE_REQUEST_INTERVAL: Span = Span::ms(350);
/// How long a change counts as recent.
const RECENT_CHANGE: Span = Span::ms(2000);
/// A topic without freshness_limit for this long is late; at most 35 % of the freshness limit.
const LATE_AFTER: Span = Span::ms(700);
/// A topic without freshness_limit for this long is asked for at other controllers; at most 60 % of the freshness
/// limit.
const LOST_AFTER: Span = Span::ms(1200);
/// How long a topic is relayed after the last request for it.
const RELAY_TTL: Span = Span::ms(3000);
/// Microseconds over which the routers spread the moment at which they take a topic for late.
const LATE_SPREAD_US: u64 = 100_000;

/// The distribution component of a router.
pub struct Distribution {
    /// The topics of this router.
    pub reader: TopicReader,
    tail_timer: Timer,
    home_timer: Timer,
    /// When late topics may be asked for next.
    late_backoff: Backoff,
    fallback_rounds: u64,
    /// When a topic last changed.
    changed_at: Time,
    /// When others last asked for a topic here.
    relayed: BTreeMap<Scope, Time>,
    subscribers: Subscribers,
    /// The serving lease of this router.
    pub(super) lease: ServingLease,
}

impl Distribution {
    /// A component that knows no topic yet.
    pub fn new(started: Time) -> Distribution {
        let mut reader = TopicReader::new(started);
        reader.topics.insert(Scope::Routes, Topic::default());
        reader.topics.insert(Scope::Candidate, Topic::default());
        Distribution {
            reader,
            tail_timer: Timer::default(),
            home_timer: Timer::default(),
            late_backoff: Backoff::default(),
            fallback_rounds: 0,
            changed_at: started,
            relayed: BTreeMap::new(),
            subscribers: Subscribers::default(),
            lease: ServingLease::default(),
        }
    }

    /// The routers of this zone that were heard of recently.
    fn zone_routers(&self, ctx: &Context) -> Vec<NodeId> {
        let rows = ctx.views.members.iter().filter(|r| {
            r.who.role == Role::Router && r.who.domain == ctx.me.domain && r.silence < QUIET_AFTER
        });
        rows.map(|r| r.who.node).collect()
    }

    fn request(&mut self, to: NodeId, direct: bool, have: Vec<(Scope, Version)>, ctx: &mut Context) {
        if !have.is_empty() {
            let nonce = self.reader.start_request(ctx.now);
            ctx.send(to, Msg::UpdateRequest { nonce, direct, have });
        }
    }

    fn tick(&mut self, ctx: &mut Context) {
        let is_recent = ctx.now.since(self.changed_at) < RECENT_CHANGE;
        let tail_due = self.tail_timer.take_due(REQUEST_INTERVAL, ctx);
        let home_due =
            self.home_timer.take_due(if is_recent { REQUEST_INTERVAL } else { IDLE_REQUEST_INTERVAL }, ctx);
        let late = self.late_backoff.take_due(ctx);
        if !tail_due && !home_due && !late {
            return;
        }
        self.relayed.retain(|_, t| ctx.now.since(*t) < RELAY_TTL);
        let tail = ctx.views.view.as_ref().and_then(|v| v.tail());
        let routers = self.zone_routers(ctx);
        let freshness_limit = ctx.me.freshness_limit.0;
        let late_after =
            Span(LATE_AFTER.0.min(freshness_limit * 35 / 100) + mix(ctx.me.node.0) % LATE_SPREAD_US);
        let lost_after = Span(LOST_AFTER.0.min(freshness_limit * 60 / 100));
        let mut homes: BTreeMap<NodeId, Vec<(Scope, Version)>> = BTreeMap::new();
        let (mut owned, mut late_topics, mut lost_topics) = (Vec::new(), Vec::new(), Vec::new());
        for scope in self.reader.topics.keys() {
            let have = (scope.clone(), self.reader.known_version(scope));
            let age = self.reader.age(scope, ctx.now);
            let home = home(&scope_name(scope), &routers).unwrap_or(ctx.me.node);
            let own = home == ctx.me.node || self.relayed.contains_key(scope);
            if age.unwrap_or(ctx.now.since(ctx.me.started)) > lost_after {
                lost_topics.push(have.clone());
            }
            match own {
                true if tail_due => owned.push(have),
                false if late && age.is_none_or(|a| a > late_after) => late_topics.push(have.clone()),
                _ => {}
            }
            if !own && home_due {
                homes.entry(home).or_default().push((scope.clone(), self.reader.known_version(scope)));
            }
        }
        if late {
            self.late_backoff.record_attempt(!late_topics.is_empty() || !lost_topics.is_empty());
        }
        owned.append(&mut late_topics);
        if let Some(tail) = tail {
            self.request(tail, true, owned, ctx);
        }
        for (to, have) in homes {
            self.request(to, false, have, ctx);
        }
        if late && !lost_topics.is_empty() {
            self.request_from_controllers(tail, lost_topics, ctx);
        }
    }

    /// Asks two controllers other than the tail, different ones each time.
    fn request_from_controllers(
        &mut self,
        tail: Option<NodeId>,
        have: Vec<(Scope, Version)>,
        ctx: &mut Context,
    ) {
        let all: Vec<NodeId> =
            ctx.views.controllers().map(|r| r.who.node).filter(|n| Some(*n) != tail).collect();
        if all.is_empty() {
            return;
        }
        let from = (mix(ctx.me.node.0) % all.len() as u64 + self.fallback_rounds * 2) as usize;
        self.fallback_rounds += 1;
        for n in 0..all.len().min(2) {
            self.request(all[(from + n) % all.len()], true, have.clone(), ctx);
        }
    }

    /// Answers another router with the topics that this router knows, and relays them from now on.
    fn serve_request(&mut self, from: NodeId, nonce: u64, have: &[(Scope, Version)], ctx: &mut Context) {
        let mut items = Vec::new();
        for (scope, old) in have {
            self.relayed.insert(scope.clone(), ctx.now);
            let topic = self.reader.topics.entry(scope.clone()).or_default();
            self.subscribers.record(from, scope, topic.history.at.max(*old), ctx.now);
            let (Some(proven), true) = (topic.proven, topic.history.slice.is_some()) else { continue };
            if topic.history.at < *old {
                continue;
            }
            let (at, body) = (topic.history.at, topic.history.update_since(*old));
            items.push(TopicUpdate { scope: scope.clone(), at, age: ctx.now.since(proven), body });
        }
        ctx.send(from, Msg::UpdateReply { nonce, items });
    }

    /// Passes changes on: to the router, to subscribers, and to the serving lease.
    fn publish(&mut self, rows: Vec<TopicChange>, ctx: &mut Context) {
        let mut pushes: BTreeMap<NodeId, Vec<TopicUpdate>> = BTreeMap::new();
        for l in rows {
            if let Some(Slice::Routes(routes)) = &l.slice {
                for r in &routes.rows {
                    for scope in r.scopes() {
                        self.reader.topics.entry(scope).or_default();
                    }
                }
            }
            if l.slice.is_some() {
                self.changed_at = ctx.now;
                ctx.log_event("distribution", format!("{} {}", scope_name(&l.scope), l.at));
                if let Some(topic) = self.reader.topics.get(&l.scope) {
                    for (to, item) in self.subscribers.take_updates(&l.scope, &topic.history, ctx.now) {
                        pushes.entry(to).or_default().push(item);
                    }
                }
            }
            let TopicChange { scope, at, slice, proven } = l;
            ctx.effects.push(Effect::Topic { scope, at, slice, proven });
        }
        for (to, items) in pushes {
            ctx.send(to, Msg::UpdatePush { items });
        }
        self.request_lease(ctx);
    }

    fn request_all_now(&mut self, ctx: &mut Context) {
        (self.tail_timer, self.home_timer) = Default::default();
        self.late_backoff.reset();
        self.tick(ctx);
    }
}
