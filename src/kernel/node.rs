use super::journal::Journal;
use super::part::{Kit, Me, Part, Views};
use super::rand::Rand;
use super::time::Time;
use crate::msg::{Effect, Event, Note};
use std::collections::VecDeque;

pub struct Node {
    pub me: Me,
    pub views: Views,
    pub journal: Journal,
    parts: Vec<Box<dyn Part>>,
    rand: Box<dyn Rand>,
    pub room: u64,
    pub slow: bool,
}

impl Node {
    pub fn new(me: Me, rand: Box<dyn Rand>) -> Node {
        Node {
            me,
            views: Views::default(),
            journal: Journal::default(),
            parts: Vec::new(),
            rand,
            room: u64::MAX,
            slow: false,
        }
    }

    pub fn add(&mut self, part: Box<dyn Part>) {
        assert!(self.find(part.name()).is_none(), "part {} is there already", part.name());
        self.parts.push(part);
    }

    pub fn find(&self, name: &str) -> Option<&dyn Part> {
        self.parts.iter().find(|p| p.name() == name).map(|p| &**p)
    }

    pub fn status(&self, now: Time) -> Vec<(&'static str, &'static str, String)> {
        let mut rows = Vec::new();
        for p in &self.parts {
            rows.extend(p.status(now).into_iter().map(|(k, v)| (p.name(), k, v)));
        }
        rows
    }

    pub fn feed(&mut self, now: Time, ev: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        let mut notes: VecDeque<Note> = VecDeque::new();
        let mut next = Some(ev);
        while let Some(ev) = next {
            for p in &mut self.parts {
                let mut kit = Kit {
                    now,
                    me: &self.me,
                    room: self.room,
                    slow: self.slow,
                    rand: &mut *self.rand,
                    views: &mut self.views,
                    journal: &mut self.journal,
                    notes: &mut notes,
                    out: &mut out,
                };
                p.on(&ev, &mut kit);
            }
            next = notes.pop_front().map(Event::Note);
        }
        out
    }
}
