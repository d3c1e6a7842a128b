//! A node: its components, what they share, and the loop that hands events to them.

use super::component::{Component, Context, LocalNode, Views};
use super::journal::Journal;
use super::rand::Rand;
use super::step_times::StepTimes;
use super::time::Time;
use crate::msg::{Effect, Event, JournalEvent};
use std::collections::VecDeque;

/// A deterministic state machine: an event goes in, effects come out.
pub struct Node {
    /// Identity and settings.
    pub me: LocalNode,
    /// What the components know in common.
    pub views: Views,
    /// The recent events.
    pub journal: Journal,
    components: Vec<Box<dyn Component>>,
    rand: Box<dyn Rand>,
    /// The free space on the disk, set by the driver.
    pub free_disk_bytes: u64,
    /// Whether a disk write takes too long, or the last one did; set by the driver.
    pub is_disk_slow: bool,
    /// Whether a disk write takes too long right now; set by the driver.
    pub is_write_stuck: bool,
    /// Measures the steps, if the driver wants it.
    pub step_times: Option<StepTimes>,
}

impl Node {
    /// A node without components.
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

    /// Adds a component.
    ///
    /// # Panics
    ///
    /// If a component of that name exists.
    pub fn add(&mut self, component: Box<dyn Component>) {
        assert!(self.find(component.name()).is_none(), "component {} is there already", component.name());
        self.components.push(component);
    }

    /// The component of this name.
    pub fn find(&self, name: &str) -> Option<&dyn Component> {
        self.components.iter().find(|p| p.name() == name).map(|p| &**p)
    }

    /// The status of all components: component, key and value.
    pub fn status(&self, now: Time) -> Vec<(&'static str, &'static str, String)> {
        let mut rows = Vec::new();
        for p in &self.components {
            rows.extend(p.status(now).into_iter().map(|(k, v)| (p.name(), k, v)));
        }
        rows
    }

    /// Handles an event, and all events that the components publish in response, and returns the effects.
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
