//! The topics that a node has received, with the time at which each was last proven to be the newest version.

use super::history::{ChangeHistory, UpdateBody};
use crate::fleet::slice::Slice;
use crate::fleet::state::Scope;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::TopicUpdate;
use std::collections::BTreeMap;

/// How long a router may serve by a topic after it asked for the newest version, where the settings say
/// nothing.
pub const FRESHNESS_LIMIT: Span = Span::ms(2000);
/// How long a serving lease runs where the settings say nothing: `FRESHNESS_LIMIT`, and how long an
/// acknowledgement may wait.
pub const SERVING_LEASE: Span = Span::ms(4500);
/// How many unanswered requests are remembered.
const MAX_REQUESTS: u64 = 256;

/// A topic, as far as it was received.
#[derive(Default)]
pub struct Topic {
    /// Its content.
    pub history: ChangeHistory,
    /// When the newest answered request was sent, less the age that the answer stated.
    pub proven: Option<Time>,
    /// Whether an update did not fit, so that the whole content is needed.
    pub needs_whole: bool,
}

/// The topics of a node.
#[derive(Default)]
pub struct TopicReader {
    /// The topics by scope.
    pub topics: BTreeMap<Scope, Topic>,
    /// When the unanswered requests were sent, by nonce.
    requests: BTreeMap<u64, Time>,
    /// The last nonce.
    next: u64,
    /// When the node started. Earlier proofs are ignored: a restarted node could otherwise go back to an
    /// older version.
    pub started: Time,
}

/// News of a topic.
pub struct TopicChange {
    /// The topic.
    pub scope: Scope,
    /// Its version.
    pub at: Version,
    /// Its content, if it is new.
    pub slice: Option<Slice>,
    /// When this version was known to be the newest.
    pub proven: Time,
}

impl Topic {
    /// Takes an update; returns whether it brought new content.
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
    /// A reader without topics.
    pub fn new(started: Time) -> TopicReader {
        TopicReader { started, ..TopicReader::default() }
    }

    /// Notes that a request is sent, and returns its nonce.
    pub fn start_request(&mut self, now: Time) -> u64 {
        self.next += 1;
        self.requests.insert(self.next, now);
        while self.requests.len() as u64 > MAX_REQUESTS {
            self.requests.pop_first();
        }
        self.next
    }

    /// The version to ask from: 0 if the whole content is needed.
    pub fn known_version(&self, scope: &Scope) -> Version {
        let topic = self.topics.get(scope).filter(|t| t.history.slice.is_some() && !t.needs_whole);
        topic.map_or(Version(0), |t| t.history.at)
    }

    /// Takes the reply to a request: content that is not older than the known one, and proof that it was
    /// the newest when the request was sent.
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

    /// Takes pushed content. It proves nothing, because no request asked for it.
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

    /// How long ago the topic was last proven; `None` if never.
    pub fn age(&self, scope: &Scope, now: Time) -> Option<Span> {
        let topic = self.topics.get(scope)?;
        Some(now.since(topic.proven?))
    }
}

fn learnt(item: &TopicUpdate, topic: &Topic, new: bool, proven: Time) -> TopicChange {
    let slice = topic.history.slice.as_ref().filter(|_| new).map(|s| Slice::clone(s));
    TopicChange { scope: item.scope.clone(), at: topic.history.at, slice, proven }
}
