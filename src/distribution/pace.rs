//! When a router asks for a topic again.
#![deny(missing_docs)]

use crate::kernel::component::{Context, Views};
use crate::kernel::time::{Span, Time};
use crate::msg::Role;

/// How often a question is repeated that nobody answers, at first.
const FIRST: Span = Span::ms(200);
/// All routers together ask one controller at most once in this time, once their questions have become rarer.
const PER_ROUTER: Span = Span::ms(5);

/// Something that is due at times.
#[derive(Default)]
pub(super) struct Timer {
    at: Time,
}

impl Timer {
    /// Whether it is due; if so, it is due again after `wait`, drawn a little longer.
    pub(super) fn take_due(&mut self, wait: Span, ctx: &mut Context) -> bool {
        let take_due = ctx.now >= self.at;
        if take_due {
            self.at = ctx.now + wait + Span(ctx.rand.below(wait.0 / 8));
        }
        take_due
    }
}

/// Questions to the core that are asked more and more rarely while they do not help, down to a rate that the core
/// bears from all routers at once.
#[derive(Default)]
pub(super) struct Backoff {
    due: Timer,
    in_vain: u32,
}

impl Backoff {
    /// Whether the next question may be asked.
    pub(super) fn take_due(&mut self, ctx: &mut Context) -> bool {
        let wait = Span(FIRST.0 << self.in_vain.min(16)).min(longest(ctx.views));
        self.due.take_due(wait, ctx)
    }

    /// A question was asked, or there was none to ask.
    pub(super) fn record_attempt(&mut self, any: bool) {
        self.in_vain = if any { self.in_vain + 1 } else { 0 };
    }

    /// There is a reason to ask at once: once, as all routers may have it.
    pub(super) fn reset(&mut self) {
        self.due = Timer::default();
    }
}

/// The longest that this router waits before it asks the core again in vain.
fn longest(views: &Views) -> Span {
    let routers = views.members.iter().filter(|row| row.who.role == Role::Router).count();
    FIRST.max(Span(PER_ROUTER.0 * routers as u64))
}
