//! The recent events of a node, for its status and for the simulator.

use super::time::Time;
use crate::msg::JournalEvent;
use std::collections::VecDeque;

/// How many events are kept.
pub const KEEP: usize = 4096;

/// A bounded list of numbered events.
#[derive(Default)]
pub struct Journal {
    rows: VecDeque<(u64, Time, JournalEvent)>,
    next: u64,
}

impl Journal {
    /// Numbers an event, and keeps it unless it carries state: hundreds of whole configurations would not
    /// fit into memory.
    pub fn add(&mut self, now: Time, note: JournalEvent) -> u64 {
        let at = self.next;
        self.next += 1;
        if carries_state(&note) {
            return at;
        }
        self.rows.push_back((at, now, note));
        if self.rows.len() > KEEP {
            self.rows.pop_front();
        }
        at
    }

    /// The kept events from a number on.
    pub fn since(&self, at: u64) -> impl Iterator<Item = &(u64, Time, JournalEvent)> {
        let first = self.rows.partition_point(|row| row.0 < at);
        self.rows.range(first..)
    }

    /// How many events are kept.
    pub fn kept(&self) -> usize {
        self.rows.len()
    }

    /// How many events were added since the start.
    pub fn len(&self) -> u64 {
        self.next
    }

    /// Whether none was added.
    pub fn is_empty(&self) -> bool {
        self.next == 0
    }
}

fn carries_state(event: &JournalEvent) -> bool {
    matches!(
        event,
        JournalEvent::Committed { .. } | JournalEvent::Submitted(_) | JournalEvent::StateLoaded(_)
    )
}
