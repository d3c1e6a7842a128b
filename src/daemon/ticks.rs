//! When the timed work of a node is due.
//!
//! Messages wake a node hundreds of times a second. Its timed work is written for a tick each 20 ms, as the
//! simulator gives it, and must not be done anew for every message.
#![deny(missing_docs)]

use crate::kernel::time::{Span, Time};
use std::time::Duration;

/// The shortest time between two ticks.
pub const SHORTEST: Span = Span::ms(20);

/// The ticks of one node.
pub struct Ticks {
    idle_period: Span,
    last: Time,
    stirred: bool,
}

impl Ticks {
    /// Ticks each `idle_period` while nothing comes in, and at most each `SHORTEST` while something does.
    pub fn new(idle_period: Span) -> Ticks {
        Ticks { idle_period, last: Time(0), stirred: true }
    }

    /// How long the node may sleep until its next tick.
    pub fn wait(&self, now: Time) -> Duration {
        let period = if self.stirred { SHORTEST } else { self.idle_period };
        Duration::from_micros(period.0.saturating_sub(now.since(self.last).0))
    }

    /// Whether the next tick waits only for the inputs that are being served.
    pub fn is_overdue(&self, now: Time) -> bool {
        now.since(self.last) >= SHORTEST
    }

    /// The tick has been done: a slow processor has time for inputs before the next one.
    pub fn done(&mut self, now: Time) {
        self.last = now;
    }

    /// Whether a tick is due, after `events` came in.
    pub fn is_due(&mut self, now: Time, events: usize) -> bool {
        self.stirred |= events > 0;
        let period = if self.stirred { SHORTEST } else { self.idle_period };
        if now.since(self.last) < period {
            return false;
        }
        (self.last, self.stirred) = (now, false);
        true
    }
}
