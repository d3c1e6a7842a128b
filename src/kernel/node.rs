use super::component::{Component, Context, LocalNode, Views};
use super::journal::Journal;
use super::rand::Rand;
use super::step_times::StepTimes;
use super::time::Time;
use crate::msg::{Effect, Event, JournalEvent};
use std::collections::VecDeque;

pub struct Node {
    pub me: LocalNode,
    pub views: Views,
    pub journal: Journal,
    components: Vec<Box<dyn Component>>,
    rand: Box<dyn Rand>,
    pub free_disk_bytes: u64,
    pub is_disk_slow: bool,
    pub is_write_stuck: bool,
    /// Measures the steps, where a driver wants it.
    pub step_times: Option<StepTimes>,
}

impl Node {
    pub fn new(me: LocalNode, rand: Box<dyn Rand>) -> Node {
        Node {
            me,
            views: Views::default(),
            journal: Journal::default(),
            components: Vec::new(),
            rand,
            free_disk_bytes: u64::MAX,
            is_disk_slow: false,
            is_write_stuck: false,
            step_times: None,
        }
    }

    pub fn add(&mut self, component: Box<dyn Component>) {
        assert!(self.find(component.name()).is_none(), "component {} is there already", component.name());
        self.components.push(component);
    }

    pub fn find(&self, name: &str) -> Option<&dyn Component> {
        self.components.iter().find(|p| p.name() == name).map(|p| &**p)
    }

    pub fn status(&self, now: Time) -> Vec<(&'static str, &'static str, String)> {
        let mut rows = Vec::new();
        for p in &self.components {
            rows.extend(p.status(now).into_iter().map(|(k, v)| (p.name(), k, v)));
        }
        rows
    }

    pub fn feed(&mut self, now: Time, ev: Event) -> Vec<Effect> {
        let kind = ev.kind();
        if let Some(times) = &mut self.step_times {
            times.begin();
        }
        let mut out = Vec::new();
        let mut events: VecDeque<JournalEvent> = VecDeque::new();
        let mut next = Some(ev);
        while let Some(ev) = next {
            for p in &mut self.components {
                let mut ctx = Context {
                    now,
                    me: &self.me,
                    free_disk_bytes: self.free_disk_bytes,
                    is_disk_slow: self.is_disk_slow,
                    is_write_stuck: self.is_write_stuck,
                    rand: &mut *self.rand,
                    views: &mut self.views,
                    journal: &mut self.journal,
                    events: &mut events,
                    effects: &mut out,
                };
                p.on(&ev, &mut ctx);
                if let Some(times) = &mut self.step_times {
                    times.component(p.name());
                }
            }
            next = events.pop_front().map(Event::Journal);
        }
        if let Some(times) = &mut self.step_times {
            times.end(kind);
        }
        out
    }
}
