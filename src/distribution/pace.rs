//! When a router asks for topics again.
#![deny(missing_docs)]

use crate::kernel::component::{Context, Views};
use crate::kernel::time::{Span, Time};
use crate::msg::Role;

/// The first interval at which an unanswered request is repeated.
const FIRST_INTERVAL: Span = Span::ms(200);
/// At the longest interval, one controller receives at most one request in this time from all routers
/// together.
const INTERVAL_PER_ROUTER: Span = Span::ms(5);

/// A timer with jitter.
#[derive(Default)]
pub(super) struct Timer {
    /// When it is due.
    due_at: Time,
}

impl Timer {
    /// Whether the timer is due; if so, it is due again after `wait` and up to an eighth more.
    pub(super) fn take_due(&mut self, wait: Span, ctx: &mut Context) -> bool {
        let is_due = ctx.now >= self.due_at;
        if is_due {
            self.due_at = ctx.now + wait + Span(ctx.rand.below(wait.0 / 8));
        }
        is_due
    }
}

/// Exponential backoff for requests to the controllers, up to an interval at which they can handle the
/// requests of all routers at once.
#[derive(Default)]
pub(super) struct Backoff {
    timer: Timer,
    attempts: u32,
}

impl Backoff {
    /// Whether the next request may be sent.
    pub(super) fn take_due(&mut self, ctx: &mut Context) -> bool {
        let wait = Span(FIRST_INTERVAL.0 << self.attempts.min(16)).min(max_interval(ctx.views));
        self.timer.take_due(wait, ctx)
    }

    /// Notes whether a request was sent; if there was none to send, the interval is the first one again.
    pub(super) fn record_attempt(&mut self, any: bool) {
        self.attempts = if any { self.attempts + 1 } else { 0 };
    }

    /// Allows one request at once. Only one, because all routers may have the same reason.
    pub(super) fn reset(&mut self) {
        self.timer = Timer::default();
    }
}

/// The longest interval.
fn max_interval(views: &Views) -> Span {
    let routers = views.members.iter().filter(|row| row.who.role == Role::Router).count();
    FIRST_INTERVAL.max(Span(INTERVAL_PER_ROUTER.0 * routers as u64))
}
