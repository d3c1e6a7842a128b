//! Schedules the ticks of a node.
//!
//! Messages wake a node hundreds of times a second. Its timed work is designed for one tick every 20 ms, as in the
//! simulator, and must not be repeated for every message.
#![deny(missing_docs)]

use crate::kernel::time::{Span, Time};
use std::time::Duration;

/// The shortest time between two ticks.
pub const SHORTEST: Span = Span::ms(20);

/// The tick schedule of one node.
pub struct Ticks {
    idle_period: Span,
    last: Time,
    stirred: bool,
}

impl Ticks {
    /// Ticks every `idle_period` without inputs, and at most every `SHORTEST` with inputs.
    pub fn new(idle_period: Span) -> Ticks {
        Ticks { idle_period, last: Time(0), stirred: true }
    }

    /// How long the node may sleep before its next tick.
    pub fn wait(&self, now: Time) -> Duration {
        let period = if self.stirred { SHORTEST } else { self.idle_period };
        Duration::from_micros(period.0.saturating_sub(now.since(self.last).0))
    }

    /// Whether the next tick is delayed only by the inputs that are being handled.
    pub fn is_overdue(&self, now: Time) -> bool {
        now.since(self.last) >= SHORTEST
    }

    /// Records the end of a tick. The next period counts from here, so that a slow processor has time for inputs between
    /// ticks.
    pub fn done(&mut self, now: Time) {
        self.last = now;
    }

    /// Whether a tick is due now, after `events` more inputs; if so, it counts as started.
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
