//! An acquire request of a router that is in progress at an owner.
//!
#![deny(missing_docs)]

use super::messages::{Acquire, AcquireKey, AcquireRow};
use crate::kernel::time::{Span, Time};

/// Interval at which an unanswered request is sent again.
const RESEND_INTERVAL: Span = Span::ms(150);

/// A request with the times at which it was first and last sent.
#[derive(Clone, Debug)]
pub struct PendingAcquire {
    request: Acquire,
    first_sent_at: Time,
    last_sent_at: Time,
}

impl PendingAcquire {
    /// A request that is sent now.
    pub fn new(request: Acquire, now: Time) -> PendingAcquire {
        PendingAcquire { request, first_sent_at: now, last_sent_at: now }
    }

    /// Its key.
    pub fn key(&self) -> AcquireKey {
        self.request.key
    }

    /// Its rows.
    pub fn rows(&self) -> &[AcquireRow] {
        &self.request.rows
    }

    /// Until when tokens of its answer may be used.
    pub fn valid_until(&self, grant_lease: Span) -> Time {
        self.first_sent_at + grant_lease
    }

    /// Time since it was first sent.
    pub fn age(&self, now: Time) -> Span {
        now.since(self.first_sent_at)
    }

    /// The request, if it is due to be sent again.
    pub fn resend(&mut self, now: Time) -> Option<Acquire> {
        if now.since(self.last_sent_at) < RESEND_INTERVAL {
            return None;
        }
        self.last_sent_at = now;
        Some(self.request.clone())
    }
}
