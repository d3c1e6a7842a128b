use super::pace::{Backoff, Timer};
use super::reader::{Topic, TopicChange, TopicReader};
use super::serving_lease::ServingLease;
use super::subscribers::Subscribers;
use crate::fleet::slice::Slice;
use crate::fleet::state::Scope;
use crate::kernel::component::{Component, Context};
use crate::kernel::ids::*;
use crate::kernel::rand::mix;
use crate::kernel::time::{Span, Time};
use crate::membership::rendezvous::home;
use crate::membership::service::QUIET_AFTER;
use crate::msg::*;
use std::collections::BTreeMap;

const ASK: Span = Span::ms(200);
const IDLE: Span = Span::ms(350);
const LIVELY: Span = Span::ms(2000);
const LATE: Span = Span::ms(700);
const LOST: Span = Span::ms(1200);
const WANTED: Span = Span::ms(3000);
const SPREAD: u64 = 100_000;

pub struct Distribution {
    pub reader: TopicReader,
    tail: Timer,
    home: Timer,
    late: Backoff,
    rounds: u64,
    learnt: Time,
    mine: BTreeMap<Scope, Time>,
    subscribers: Subscribers,
    pub(super) lease: ServingLease,
}

pub fn scope_name(scope: &Scope) -> String {
    match scope {
        Scope::Routes => "routes".into(),
        Scope::Candidate => "trial".into(),
        Scope::Duty => "duty".into(),
        Scope::Service(n) => format!("service:{n}"),
    }
}

impl Distribution {
    pub fn new(started: Time) -> Distribution {
        let mut reader = TopicReader::new(started);
        reader.topics.insert(Scope::Routes, Topic::default());
        reader.topics.insert(Scope::Candidate, Topic::default());
        Distribution {
            reader,
            tail: Timer::default(),
            home: Timer::default(),
            late: Backoff::default(),
            rounds: 0,
            learnt: started,
            mine: BTreeMap::new(),
            subscribers: Subscribers::default(),
            lease: ServingLease::default(),
        }
    }

    fn routers(&self, ctx: &Context) -> Vec<NodeId> {
        let rows = ctx.views.members.iter().filter(|r| {
            r.who.role == Role::Router && r.who.domain == ctx.me.domain && r.silence < QUIET_AFTER
        });
        rows.map(|r| r.who.node).collect()
    }

    fn ask(&mut self, to: NodeId, direct: bool, have: Vec<(Scope, Version)>, ctx: &mut Context) {
        if !have.is_empty() {
            let nonce = self.reader.start_request(ctx.now);
            ctx.send(to, Msg::UpdateRequest { nonce, direct, have });
        }
    }

    fn tick(&mut self, ctx: &mut Context) {
        let lively = ctx.now.since(self.learnt) < LIVELY;
        let to_tail = self.tail.take_due(ASK, ctx);
        let to_home = self.home.take_due(if lively { ASK } else { IDLE }, ctx);
        let late = self.late.take_due(ctx);
        if !to_tail && !to_home && !late {
            return;
        }
        self.mine.retain(|_, t| ctx.now.since(*t) < WANTED);
        let tail = ctx.views.view.as_ref().and_then(|v| v.tail());
        let routers = self.routers(ctx);
        let proof = ctx.me.freshness_limit.0;
        let max_age = Span(LATE.0.min(proof * 35 / 100) + mix(ctx.me.node.0) % SPREAD);
        let despair = Span(LOST.0.min(proof * 60 / 100));
        let mut homes: BTreeMap<NodeId, Vec<(Scope, Version)>> = BTreeMap::new();
        let (mut owned, mut missed, mut lost) = (Vec::new(), Vec::new(), Vec::new());
        for scope in self.reader.topics.keys() {
            let have = (scope.clone(), self.reader.known_version(scope));
            let age = self.reader.age(scope, ctx.now);
            let home = home(&scope_name(scope), &routers).unwrap_or(ctx.me.node);
            let own = home == ctx.me.node || self.mine.contains_key(scope);
            if age.unwrap_or(ctx.now.since(ctx.me.started)) > despair {
                lost.push(have.clone());
            }
            match own {
                true if to_tail => owned.push(have),
                false if late && age.is_none_or(|a| a > max_age) => missed.push(have.clone()),
                _ => {}
            }
            if !own && to_home {
                homes.entry(home).or_default().push((scope.clone(), self.reader.known_version(scope)));
            }
        }
        if late {
            self.late.record_attempt(!missed.is_empty() || !lost.is_empty());
        }
        owned.append(&mut missed);
        if let Some(tail) = tail {
            self.ask(tail, true, owned, ctx);
        }
        for (to, have) in homes {
            self.ask(to, false, have, ctx);
        }
        if late && !lost.is_empty() {
            self.ask_around(tail, lost, ctx);
        }
    }

    fn ask_around(&mut self, tail: Option<NodeId>, have: Vec<(Scope, Version)>, ctx: &mut Context) {
        let all: Vec<NodeId> =
            ctx.views.controllers().map(|r| r.who.node).filter(|n| Some(*n) != tail).collect();
        if all.is_empty() {
            return;
        }
        let from = (mix(ctx.me.node.0) % all.len() as u64 + self.rounds * 2) as usize;
        self.rounds += 1;
        for n in 0..all.len().min(2) {
            self.ask(all[(from + n) % all.len()], true, have.clone(), ctx);
        }
    }

    fn asked(&mut self, from: NodeId, nonce: u64, have: &[(Scope, Version)], ctx: &mut Context) {
        let mut items = Vec::new();
        for (scope, old) in have {
            self.mine.insert(scope.clone(), ctx.now);
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

    fn learn(&mut self, rows: Vec<TopicChange>, ctx: &mut Context) {
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
                self.learnt = ctx.now;
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

    fn hurry(&mut self, ctx: &mut Context) {
        (self.tail, self.home) = Default::default();
        self.late.reset();
        self.tick(ctx);
    }
}

impl Component for Distribution {
    fn name(&self) -> &'static str {
        "distribution"
    }

    fn on(&mut self, ev: &Event, ctx: &mut Context) {
        match ev {
            Event::Tick => {
                self.tick(ctx);
                self.request_lease(ctx);
            }
            Event::Message { from, msg, .. } => match msg {
                Msg::UpdateRequest { nonce, direct: false, have } => self.asked(*from, *nonce, have, ctx),
                Msg::UpdateReply { nonce, items } => {
                    let rows = self.reader.handle_reply(*nonce, items);
                    self.learn(rows, ctx);
                }
                Msg::UpdatePush { items } => {
                    let rows = self.reader.handle_push(items);
                    self.learn(rows, ctx);
                }
                Msg::ServingLeaseGrant(grant) => self.on_lease_grant(grant, ctx),
                Msg::RequestUpdates => self.hurry(ctx),
                Msg::UpdateRefused { view: Some(v), .. } if ctx.views.older(v) => {
                    ctx.publish(JournalEvent::ViewHeard(v.clone()));
                    self.hurry(ctx);
                }
                _ => {}
            },
            _ => {}
        }
    }

    fn status(&self, now: Time) -> Vec<(&'static str, String)> {
        let row = |(s, t): (&Scope, &Topic)| {
            let age = t.proven.map_or("never".into(), |p| now.since(p).to_string());
            format!("{}={}@{age}", scope_name(s), t.history.at)
        };
        let rows: Vec<String> = self.reader.topics.iter().map(row).collect();
        let left = self.lease.left(now).to_string();
        vec![
            ("topics", rows.join(" ")),
            ("serving_lease_left", left),
            ("home_of", self.mine.len().to_string()),
        ]
    }
}
