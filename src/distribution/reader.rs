use super::history::{ChangeHistory, UpdateBody};
use crate::fleet::slice::Slice;
use crate::fleet::state::Scope;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::TopicUpdate;
use std::collections::BTreeMap;

pub const FRESHNESS_LIMIT: Span = Span::ms(2000);
/// How long a serving lease runs where the settings say nothing: `FRESH`, and what an acknowledgement may wait.
pub const SERVING_LEASE: Span = Span::ms(4500);
const MAX_REQUESTS: u64 = 256;

#[derive(Default)]
pub struct Topic {
    pub history: ChangeHistory,
    pub proven: Option<Time>,
    pub needs_whole: bool,
}

#[derive(Default)]
pub struct TopicReader {
    pub topics: BTreeMap<Scope, Topic>,
    requests: BTreeMap<u64, Time>,
    next: u64,
    pub started: Time,
}

pub struct TopicChange {
    pub scope: Scope,
    pub at: Version,
    pub slice: Option<Slice>,
    pub proven: Time,
}

impl Topic {
    fn take(&mut self, item: &TopicUpdate) -> bool {
        let done = match &item.body {
            UpdateBody::Same => return false,
            UpdateBody::Whole(slice) => {
                self.history.advance(item.at, slice.clone());
                true
            }
            UpdateBody::Steps(steps) => {
                steps.last().is_some_and(|s| s.at == item.at) && self.history.apply_steps(steps)
            }
        };
        self.needs_whole = !done;
        done
    }
}

impl TopicReader {
    pub fn new(started: Time) -> TopicReader {
        TopicReader { started, ..TopicReader::default() }
    }

    pub fn start_request(&mut self, now: Time) -> u64 {
        self.next += 1;
        self.requests.insert(self.next, now);
        while self.requests.len() as u64 > MAX_REQUESTS {
            self.requests.pop_first();
        }
        self.next
    }

    pub fn known_version(&self, scope: &Scope) -> Version {
        let topic = self.topics.get(scope).filter(|t| t.history.slice.is_some() && !t.needs_whole);
        topic.map_or(Version(0), |t| t.history.at)
    }

    pub fn handle_reply(&mut self, nonce: u64, items: &[TopicUpdate]) -> Vec<TopicChange> {
        let Some(sent) = self.requests.get(&nonce).copied() else { return vec![] };
        let mut out = Vec::new();
        for item in items {
            let proven = sent - item.age;
            let Some(topic) = self.topics.get_mut(&item.scope) else { continue };
            let at = topic.history.at;
            if proven < self.started || item.at < at {
                continue;
            }
            if topic.proven.is_some_and(|p| p >= proven) && item.at == at {
                continue;
            }
            let new = item.at > at || topic.history.slice.is_none();
            if new && !topic.take(item) {
                continue;
            }
            topic.proven = topic.proven.max(Some(proven));
            out.push(learnt(item, topic, new, proven));
        }
        out
    }

    pub fn handle_push(&mut self, items: &[TopicUpdate]) -> Vec<TopicChange> {
        let mut out = Vec::new();
        for item in items {
            let Some(topic) = self.topics.get_mut(&item.scope) else { continue };
            let Some(proven) = topic.proven else { continue };
            if item.at > topic.history.at && topic.take(item) {
                out.push(learnt(item, topic, true, proven));
            }
        }
        out
    }

    pub fn age(&self, scope: &Scope, now: Time) -> Option<Span> {
        let topic = self.topics.get(scope)?;
        Some(now.since(topic.proven?))
    }
}

fn learnt(item: &TopicUpdate, topic: &Topic, new: bool, proven: Time) -> TopicChange {
    let slice = topic.history.slice.as_ref().filter(|_| new).map(|s| Slice::clone(s));
    TopicChange { scope: item.scope.clone(), at: topic.history.at, slice, proven }
}
