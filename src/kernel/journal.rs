use super::time::Time;
use crate::msg::JournalEvent;
use std::collections::VecDeque;

pub const KEEP: usize = 4096;

#[derive(Default)]
pub struct Journal {
    rows: VecDeque<(u64, Time, JournalEvent)>,
    next: u64,
}

impl Journal {
    pub fn add(&mut self, now: Time, note: JournalEvent) -> u64 {
        let at = self.next;
        self.next += 1;
        self.rows.push_back((at, now, note));
        if self.rows.len() > KEEP {
            self.rows.pop_front();
        }
        at
    }

    pub fn since(&self, at: u64) -> impl Iterator<Item = &(u64, Time, JournalEvent)> {
        self.rows.iter().filter(move |r| r.0 >= at)
    }

    pub fn len(&self) -> u64 {
        self.next
    }

    pub fn is_empty(&self) -> bool {
        self.next == 0
    }
}
