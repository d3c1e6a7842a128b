//! The answers that an owner gave, for questions that are sent again.
#![deny(missing_docs)]

use super::messages::{AcquireKey, GrantedRow};
use crate::kernel::ids::NodeId;
use crate::kernel::time::{Span, Time};
use std::collections::BTreeMap;

/// How long an answer is kept. A router gives a question up long before.
const ANSWER_KEPT: Span = Span::ms(5000);

struct GivenAnswer {
    key: AcquireKey,
    rows: Vec<GrantedRow>,
    given: Time,
}

/// What a question is to this owner.
pub enum Question {
    /// Not answered yet.
    New,
    /// Answered so before.
    Repeated(Vec<GrantedRow>),
    /// Older than one that was answered; the router waits for it no more.
    Outdated,
}

/// The newest answer to each router. A router has one question under way at each owner.
#[derive(Default)]
pub struct GivenAnswers {
    by_router: BTreeMap<NodeId, GivenAnswer>,
}

impl GivenAnswers {
    /// Whether a question was answered.
    pub fn judge(&self, router: NodeId, key: AcquireKey) -> Question {
        match self.by_router.get(&router) {
            Some(last) if last.key == key => Question::Repeated(last.rows.clone()),
            Some(last) if key < last.key => Question::Outdated,
            _ => Question::New,
        }
    }

    /// Notes an answer.
    pub fn add(&mut self, router: NodeId, key: AcquireKey, rows: Vec<GrantedRow>, given: Time) {
        self.by_router.insert(router, GivenAnswer { key, rows, given });
    }

    /// Drops what no repeat may still ask for.
    pub fn sweep(&mut self, now: Time) {
        self.by_router.retain(|_, answer| now.since(answer.given) < ANSWER_KEPT);
    }

    /// How many are kept.
    pub fn len(&self) -> usize {
        self.by_router.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.by_router.is_empty()
    }
}
