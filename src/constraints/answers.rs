//! The answers that an owner gave, to repeat them for requests that are sent again.
//!
#![deny(missing_docs)]

use super::messages::{AcquireKey, GrantedRow};
use crate::kernel::ids::NodeId;
use crate::kernel::time::{Span, Time};
use std::collections::BTreeMap;

/// How long an answer is kept. A router gives up a request long before.
const ANSWER_KEPT: Span = Span::ms(5000);

struct GivenAnswer {
    key: AcquireKey,
    rows: Vec<GrantedRow>,
    given_at: Time,
}

/// Whether an acquire request is new to this owner.
pub enum AcquireStatus {
    /// Not answered yet.
    New,
    /// Already answered, with these rows.
    Repeated(Vec<GrantedRow>),
    /// Older than one that was answered; the router no longer waits for it.
    Outdated,
}

/// The newest answer to each router. A router has at most one request in progress at each owner.
#[derive(Default)]
pub struct GivenAnswers {
    by_router: BTreeMap<NodeId, GivenAnswer>,
}

impl GivenAnswers {
    /// Whether a request was answered already.
    pub fn classify(&self, router: NodeId, key: AcquireKey) -> AcquireStatus {
        match self.by_router.get(&router) {
            Some(last) if last.key == key => AcquireStatus::Repeated(last.rows.clone()),
            Some(last) if key < last.key => AcquireStatus::Outdated,
            _ => AcquireStatus::New,
        }
    }

    /// Records an answer.
    pub fn add(&mut self, router: NodeId, key: AcquireKey, rows: Vec<GrantedRow>, given: Time) {
        self.by_router.insert(router, GivenAnswer { key, rows, given_at: given });
    }

    /// Drops answers that can no longer be asked for again.
    pub fn sweep(&mut self, now: Time) {
        self.by_router.retain(|_, answer| now.since(answer.given_at) < ANSWER_KEPT);
    }

    /// Number of answers kept.
    pub fn len(&self) -> usize {
        self.by_router.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.by_router.is_empty()
    }
}
