use super::askers::Askers;
use super::reader::{Learnt, Reader, Topic};
use crate::colleagues::part::SUSPECT;
use crate::colleagues::rendezvous::home;
use crate::fleet::slice::Slice;
use crate::fleet::state::Scope;
use crate::kernel::ids::*;
use crate::kernel::part::{Kit, Part};
use crate::kernel::rand::mix;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use std::collections::BTreeMap;

const ASK: Span = Span::ms(200);
const IDLE: Span = Span::ms(350);
const LIVELY: Span = Span::ms(2000);
const LATE: Span = Span::ms(700);
const LOST: Span = Span::ms(1200);
const WANTED: Span = Span::ms(3000);
const SPREAD: u64 = 100_000;

#[derive(Default)]
struct Due {
    at: Time,
}

impl Due {
    fn came(&mut self, wait: Span, kit: &mut Kit) -> bool {
        let came = kit.now >= self.at;
        if came {
            self.at = kit.now + wait + Span(kit.rand.below(wait.0 / 8));
        }
        came
    }
}

pub struct News {
    pub reader: Reader,
    tail: Due,
    home: Due,
    late: Due,
    rounds: u64,
    learnt: Time,
    mine: BTreeMap<Scope, Time>,
    askers: Askers,
}

pub fn scope_name(scope: &Scope) -> String {
    match scope {
        Scope::Routes => "routes".into(),
        Scope::Trial => "trial".into(),
        Scope::Duty => "duty".into(),
        Scope::Service(n) => format!("service:{n}"),
    }
}

impl News {
    pub fn new(started: Time) -> News {
        let mut reader = Reader::new(started);
        reader.topics.insert(Scope::Routes, Topic::default());
        reader.topics.insert(Scope::Trial, Topic::default());
        News {
            reader,
            tail: Due::default(),
            home: Due::default(),
            late: Due::default(),
            rounds: 0,
            learnt: started,
            mine: BTreeMap::new(),
            askers: Askers::default(),
        }
    }

    fn routers(&self, kit: &Kit) -> Vec<NodeId> {
        let rows = kit
            .views
            .book
            .iter()
            .filter(|r| r.who.role == Role::Router && r.who.domain == kit.me.domain && r.quiet < SUSPECT);
        rows.map(|r| r.who.node).collect()
    }

    fn ask(&mut self, to: NodeId, direct: bool, have: Vec<(Scope, Version)>, kit: &mut Kit) {
        if !have.is_empty() {
            let nonce = self.reader.ask(kit.now);
            kit.send(to, Msg::NewsAsk { nonce, direct, have });
        }
    }

    fn tick(&mut self, kit: &mut Kit) {
        let lively = kit.now.since(self.learnt) < LIVELY;
        let to_tail = self.tail.came(ASK, kit);
        let to_home = self.home.came(if lively { ASK } else { IDLE }, kit);
        let late = self.late.came(ASK, kit);
        if !to_tail && !to_home && !late {
            return;
        }
        self.mine.retain(|_, t| kit.now.since(*t) < WANTED);
        let tail = kit.views.view.as_ref().and_then(|v| v.tail());
        let routers = self.routers(kit);
        let proof = kit.me.proof.0;
        let patience = Span(LATE.0.min(proof * 35 / 100) + mix(kit.me.node.0) % SPREAD);
        let despair = Span(LOST.0.min(proof * 60 / 100));
        let mut homes: BTreeMap<NodeId, Vec<(Scope, Version)>> = BTreeMap::new();
        let (mut owned, mut missed, mut lost) = (Vec::new(), Vec::new(), Vec::new());
        for scope in self.reader.topics.keys() {
            let have = (scope.clone(), self.reader.have(scope));
            let age = self.reader.age(scope, kit.now);
            let home = home(&scope_name(scope), &routers).unwrap_or(kit.me.node);
            let own = home == kit.me.node || self.mine.contains_key(scope);
            if age.unwrap_or(kit.now.since(kit.me.started)) > despair {
                lost.push(have.clone());
            }
            match own {
                true if to_tail => owned.push(have),
                false if late && age.is_none_or(|a| a > patience) => missed.push(have.clone()),
                _ => {}
            }
            if !own && to_home {
                homes.entry(home).or_default().push((scope.clone(), self.reader.have(scope)));
            }
        }
        owned.append(&mut missed);
        if let Some(tail) = tail {
            self.ask(tail, true, owned, kit);
        }
        for (to, have) in homes {
            self.ask(to, false, have, kit);
        }
        if late && !lost.is_empty() {
            self.ask_around(tail, lost, kit);
        }
    }

    fn ask_around(&mut self, tail: Option<NodeId>, have: Vec<(Scope, Version)>, kit: &mut Kit) {
        let all: Vec<NodeId> =
            kit.views.controllers().map(|r| r.who.node).filter(|n| Some(*n) != tail).collect();
        if all.is_empty() {
            return;
        }
        let from = (mix(kit.me.node.0) % all.len() as u64 + self.rounds * 2) as usize;
        self.rounds += 1;
        for n in 0..all.len().min(2) {
            self.ask(all[(from + n) % all.len()], true, have.clone(), kit);
        }
    }

    fn asked(&mut self, from: NodeId, nonce: u64, have: &[(Scope, Version)], kit: &mut Kit) {
        let mut items = Vec::new();
        for (scope, old) in have {
            self.mine.insert(scope.clone(), kit.now);
            let topic = self.reader.topics.entry(scope.clone()).or_default();
            self.askers.note(from, scope, topic.past.at.max(*old), kit.now);
            let (Some(proven), true) = (topic.proven, topic.past.slice.is_some()) else { continue };
            if topic.past.at < *old {
                continue;
            }
            let (at, body) = (topic.past.at, topic.past.body(*old));
            items.push(NewsItem { scope: scope.clone(), at, age: kit.now.since(proven), body });
        }
        kit.send(from, Msg::NewsTell { nonce, items });
    }

    fn learn(&mut self, rows: Vec<Learnt>, kit: &mut Kit) {
        let mut pushes: BTreeMap<NodeId, Vec<NewsItem>> = BTreeMap::new();
        for l in rows {
            if let Some(Slice::Routes(rows)) = &l.slice {
                for r in rows {
                    for scope in r.scopes() {
                        self.reader.topics.entry(scope).or_default();
                    }
                }
            }
            if l.slice.is_some() {
                self.learnt = kit.now;
                kit.say("news", format!("{} {}", scope_name(&l.scope), l.at));
                if let Some(topic) = self.reader.topics.get(&l.scope) {
                    for (to, item) in self.askers.behind(&l.scope, &topic.past, kit.now) {
                        pushes.entry(to).or_default().push(item);
                    }
                }
            }
            let Learnt { scope, at, slice, proven } = l;
            kit.out.push(Effect::Learn { scope, at, slice, proven });
        }
        for (to, items) in pushes {
            kit.send(to, Msg::NewsPush { items });
        }
    }

    fn hurry(&mut self, kit: &mut Kit) {
        (self.tail, self.home, self.late) = Default::default();
        self.tick(kit);
    }
}

impl Part for News {
    fn name(&self) -> &'static str {
        "news"
    }

    fn on(&mut self, ev: &Event, kit: &mut Kit) {
        match ev {
            Event::Tick => self.tick(kit),
            Event::Mail { from, msg, .. } => match msg {
                Msg::NewsAsk { nonce, direct: false, have } => self.asked(*from, *nonce, have, kit),
                Msg::NewsTell { nonce, items } => {
                    let rows = self.reader.told(*nonce, items);
                    self.learn(rows, kit);
                }
                Msg::NewsPush { items } => {
                    let rows = self.reader.pushed(items);
                    self.learn(rows, kit);
                }
                Msg::Nudge => self.hurry(kit),
                Msg::NewsNo { view: Some(v), .. } if kit.views.older(v) => {
                    kit.note(Note::Heard(v.clone()));
                    self.hurry(kit);
                }
                _ => {}
            },
            _ => {}
        }
    }

    fn status(&self, now: Time) -> Vec<(&'static str, String)> {
        let row = |(s, t): (&Scope, &Topic)| {
            let age = t.proven.map_or("never".into(), |p| now.since(p).to_string());
            format!("{}={}@{age}", scope_name(s), t.past.at)
        };
        let rows: Vec<String> = self.reader.topics.iter().map(row).collect();
        vec![("topics", rows.join(" ")), ("home_of", self.mine.len().to_string())]
    }
}
