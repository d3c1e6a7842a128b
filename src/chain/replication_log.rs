use crate::kernel::ids::*;
use crate::msg::Entry;
use std::collections::VecDeque;

#[derive(Clone, Default)]
/// The entries a member holds, from the one after `base`.
pub struct ReplicationLog {
    pub base: Version,
    pub tag: ViewNo,
    pub entries: VecDeque<Entry>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Fit {
    Next,
    Known,
    Gap,
    Clash,
}

impl ReplicationLog {
    pub fn last(&self) -> Version {
        self.entries.back().map_or(self.base, |e| e.at)
    }

    pub fn get(&self, at: Version) -> Option<&Entry> {
        let n = at.0.checked_sub(self.base.0 + 1)?;
        self.entries.get(n as usize)
    }

    pub fn fit(&self, e: &Entry) -> Fit {
        if e.at == self.last().next() {
            return Fit::Next;
        }
        if e.at > self.last() {
            return Fit::Gap;
        }
        match self.get(e.at) {
            Some(old) if old.view != e.view => Fit::Clash,
            _ => Fit::Known,
        }
    }

    pub fn after(&self, at: Version, most: usize) -> Option<Vec<Entry>> {
        if at < self.base {
            return None;
        }
        let skip = (at.0 - self.base.0) as usize;
        Some(self.entries.iter().skip(skip).take(most).cloned().collect())
    }

    pub fn trim(&mut self, at: Version) {
        while self.entries.front().is_some_and(|e| e.at <= at) {
            if let Some(e) = self.entries.pop_front() {
                self.base = e.at;
                self.tag = e.view;
            }
        }
    }
}
