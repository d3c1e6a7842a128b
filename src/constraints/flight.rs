//! A router's question that is under way at an owner.
#![deny(missing_docs)]

use super::messages::{Acquire, AcquireKey, AcquireRow};
use crate::kernel::time::{Span, Time};

/// How soon a question without an answer is sent again.
const RESEND_INTERVAL: Span = Span::ms(150);

/// A question, when it was sent first, and when last.
#[derive(Clone, Debug)]
pub struct Flight {
    question: Acquire,
    first_sent: Time,
    last_sent: Time,
}

impl Flight {
    /// A question that is sent now.
    pub fn new(question: Acquire, now: Time) -> Flight {
        Flight { question, first_sent: now, last_sent: now }
    }

    /// Its key.
    pub fn key(&self) -> AcquireKey {
        self.question.key
    }

    /// What it asks for.
    pub fn rows(&self) -> &[AcquireRow] {
        &self.question.rows
    }

    /// Until when tokens of its answer may be used.
    pub fn valid_until(&self, grant_lease: Span) -> Time {
        self.first_sent + grant_lease
    }

    /// How long ago it was sent first.
    pub fn age(&self, now: Time) -> Span {
        now.since(self.first_sent)
    }

    /// The question, if it is time to send it again.
    pub fn resend(&mut self, now: Time) -> Option<Acquire> {
        if now.since(self.last_sent) < RESEND_INTERVAL {
            return None;
        }
        self.last_sent = now;
        Some(self.question.clone())
    }
}
