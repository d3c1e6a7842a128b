use super::reader::{Learnt, Reader, Topic};
use crate::colleagues::part::SUSPECT;
use crate::colleagues::rendezvous::homes;
use crate::fleet::slice::Slice;
use crate::fleet::state::Scope;
use crate::kernel::ids::*;
use crate::kernel::part::{Kit, Part};
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use std::collections::BTreeMap;

const ASK: Span = Span::ms(200);
const LATE: Span = Span::ms(700);
const WANTED: Span = Span::ms(3000);

pub struct News {
    pub reader: Reader,
    asked: Time,
    mine: BTreeMap<Scope, Time>,
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
        News { reader, asked: Time(0), mine: BTreeMap::new() }
    }

    fn routers(&self, kit: &Kit) -> Vec<NodeId> {
        let rows = kit
            .views
            .book
            .iter()
            .filter(|r| r.who.role == Role::Router && r.who.domain == kit.me.domain && r.quiet < SUSPECT);
        rows.map(|r| r.who.node).collect()
    }

    fn tick(&mut self, kit: &mut Kit) {
        if kit.now.since(self.asked) < ASK {
            return;
        }
        self.asked = kit.now;
        self.mine.retain(|_, t| kit.now.since(*t) < WANTED);
        let routers = self.routers(kit);
        let mut by: BTreeMap<NodeId, Vec<(Scope, Version)>> = BTreeMap::new();
        let tail = kit.views.view.as_ref().and_then(|v| v.tail());
        let scopes: Vec<Scope> = self.reader.topics.keys().cloned().collect();
        for scope in scopes {
            let have = (scope.clone(), self.reader.have(&scope));
            let late = self.reader.age(&scope, kit.now).is_none_or(|a| a > LATE);
            let order = homes(&scope_name(&scope), &routers);
            let home = order.first().copied().unwrap_or(kit.me.node);
            let own = home == kit.me.node || self.mine.contains_key(&scope);
            if let (true, Some(tail)) = (own || late, tail) {
                by.entry(tail).or_default().push(have.clone());
            }
            if !own {
                by.entry(home).or_default().push(have);
            }
        }
        for (to, have) in by {
            let nonce = self.reader.ask(kit.now);
            kit.send(to, Msg::NewsAsk { nonce, direct: Some(to) == tail, have });
        }
    }

    fn asked(&mut self, from: NodeId, nonce: u64, have: &[(Scope, Version)], kit: &mut Kit) {
        let mut items = Vec::new();
        for (scope, old) in have {
            self.mine.insert(scope.clone(), kit.now);
            let topic = self.reader.topics.entry(scope.clone()).or_default();
            let (Some(proven), Some(slice)) = (topic.proven, &topic.slice) else { continue };
            if topic.at < *old {
                continue;
            }
            let slice = (topic.at > *old || *old == Version(0)).then(|| slice.clone());
            let age = kit.now.since(proven);
            items.push(NewsItem { scope: scope.clone(), at: topic.at, age, slice });
        }
        kit.send(from, Msg::NewsTell { nonce, items });
    }

    fn told(&mut self, nonce: u64, items: &[NewsItem], kit: &mut Kit) {
        for l in self.reader.told(nonce, items) {
            if let Some(Slice::Routes(rows)) = &l.slice {
                for r in rows {
                    for scope in r.scopes() {
                        self.reader.topics.entry(scope).or_default();
                    }
                }
            }
            if l.slice.is_some() {
                kit.say("news", format!("{} {}", scope_name(&l.scope), l.at));
            }
            let Learnt { scope, at, slice, proven } = l;
            kit.out.push(Effect::Learn { scope, at, slice, proven });
        }
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
                Msg::NewsTell { nonce, items } => self.told(*nonce, items, kit),
                Msg::Nudge => {
                    self.asked = Time(0);
                    self.tick(kit);
                }
                Msg::NewsNo { view: Some(v), .. } if kit.views.older(v) => {
                    kit.note(Note::Heard(v.clone()));
                }
                _ => {}
            },
            _ => {}
        }
    }

    fn status(&self, now: Time) -> Vec<(&'static str, String)> {
        let row = |(s, t): (&Scope, &Topic)| {
            let age = t.proven.map_or("never".into(), |p| now.since(p).to_string());
            format!("{}={}@{age}", scope_name(s), t.at)
        };
        let rows: Vec<String> = self.reader.topics.iter().map(row).collect();
        vec![("topics", rows.join(" ")), ("home_of", self.mine.len().to_string())]
    }
}
