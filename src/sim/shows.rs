use super::record::{Asked, Fact};
use super::replay::is_unclear;
use super::world::{Event, World};
use crate::chain::reply::status;
use crate::fleet::read::read;
use crate::json::Tree;
use crate::kernel::ids::*;
use crate::kernel::rand::{Rand, hash};
use crate::kernel::time::Span;
use crate::msg::{self, Answer};
use std::collections::{BTreeMap, BTreeSet};

const SHOW: Span = Span::ms(600);

pub fn shown(body: &str) -> Option<(Version, u64)> {
    let tree = Tree::parse(body).ok()?;
    let at = Version::parse(tree.text("version")?)?;
    let config = read(tree.get("configuration")?).ok()?;
    Some((at, hash(&config.tree().to_string(), 4)))
}

pub fn version_of(body: &str) -> Version {
    let tree = Tree::parse(body).ok();
    tree.and_then(|t| Version::parse(t.text("version")?)).unwrap_or_default()
}

impl World {
    pub fn show_later(&mut self) {
        self.later(SHOW, Event::Do(Box::new(|w: &mut World| w.show())));
    }

    fn show(&mut self) {
        let place = self.rand.below(self.nodes.len() as u64) as usize;
        self.show_at(place);
        self.show_later();
    }

    pub fn show_at(&mut self, place: usize) {
        let id = self.fresh_id();
        self.shows.insert(id, (place, self.now));
        self.operate(place, msg::Event::ReadCall { id, path: "config".into() });
    }

    pub fn answered(&mut self, id: ChangeId, answer: Answer) {
        if let Some((place, since)) = self.shows.remove(&id) {
            if let (200, Some((at, print))) = (answer.status, shown(&answer.body)) {
                self.note(Fact::Shown { place, since, at, print });
            }
            return;
        }
        self.note(Fact::Answered { id, status: answer.status, at: version_of(&answer.body) });
        self.answers.insert(id, answer);
    }

    pub fn unresolved(&self) -> BTreeSet<ChangeId> {
        let mut open = BTreeSet::new();
        for (_, f) in &self.record.rows {
            match f {
                Fact::Asked { id, what: Asked::Config { .. } } => drop(open.insert(*id)),
                Fact::Answered { id, status, .. } if !is_unclear(*status) => drop(open.remove(id)),
                _ => {}
            }
        }
        open
    }

    pub fn resolve(&mut self) {
        for id in self.unresolved() {
            let ask = self.fresh_id();
            let place = self.routers()[0];
            self.operate(place, msg::Event::ReadCall { id: ask, path: format!("change/{id}") });
            if self.answer(ask, Span::ms(4000)).is_none() {
                continue;
            }
            let Some(got) = self.answers.get(&ask).cloned() else { continue };
            let found = Tree::parse(&got.body).ok().and_then(|t| t.text("code").map(|c| c.to_string()));
            let status = match found.as_deref() {
                Some("unknown-change") => 404,
                Some(code) => match code.parse().map(status) {
                    Ok(status) => status,
                    Err(_) => continue,
                },
                None => continue,
            };
            self.note(Fact::Answered { id, status, at: version_of(&got.body) });
        }
    }

    pub fn parts(&self, place: usize) -> BTreeMap<String, String> {
        let now = self.local(place);
        let Some(node) = &self.nodes[place].node else { return BTreeMap::new() };
        node.status(now).into_iter().map(|(p, k, v)| (format!("{p}.{k}"), v)).collect()
    }
}
