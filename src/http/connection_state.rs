//! What a client's connection is doing and since when, and how it is closed for its limits.

use crate::fleet::config::Limits;
use crate::kernel::time::{Span, Time};
use std::task::{Context, Waker};

/// A connection is cut if its client takes nothing of an answer for this long.
const MAX_BLOCKED_TIME: Span = Span::ms(30_000);

/// What a client's connection is doing.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Phase {
    /// Between requests; may stay idle for `limit`.
    Idle { since: Time, limit: Span },
    /// Part of a request head has arrived.
    ReadingHead { since: Time },
    /// The body of a request is arriving; the last part of it came at `since`.
    ReceivingBody { since: Time },
    /// A request is being served.
    Serving,
    /// The answer is complete; part of it is not yet written to the socket.
    Flushing,
    /// Over a limit: nothing more is read.
    Expired,
}

/// The phase of a connection and the tasks to wake when it is closed.
pub(super) struct ConnectionState {
    pub(super) phase: Phase,
    reader: Option<Waker>,
    writer: Option<Waker>,
    /// Since when the client has taken nothing of what is to be written.
    blocked_since: Option<Time>,
    /// The connection was closed for its limits in the midst of a request.
    pub(super) is_cut: bool,
}

impl ConnectionState {
    /// Idle as of `since`, for `limit` at most.
    pub(super) fn idle(since: Time, limit: Span) -> ConnectionState {
        let phase = Phase::Idle { since, limit };
        ConnectionState { phase, reader: None, writer: None, blocked_since: None, is_cut: false }
    }

    /// Since when the client has sent nothing that is due from it, or taken nothing that is due to it.
    pub(super) fn stalled_since(&self) -> Option<Time> {
        match self.phase {
            Phase::Idle { since, .. } | Phase::ReadingHead { since } | Phase::ReceivingBody { since } => {
                Some(since)
            }
            Phase::Serving | Phase::Flushing => self.blocked_since,
            Phase::Expired => None,
        }
    }

    /// Closes the connection: nothing more is read or written.
    pub(super) fn cut(&mut self) {
        self.is_cut = !matches!(self.phase, Phase::Idle { .. } | Phase::ReadingHead { .. });
        self.expire();
    }

    fn expire(&mut self) {
        self.phase = Phase::Expired;
        for waker in [self.reader.take(), self.writer.take()].into_iter().flatten() {
            waker.wake();
        }
    }

    /// Expires the connection if it is over a limit.
    pub(super) fn expire_if_over(&mut self, now: Time, limits: &Limits) {
        let over = match self.phase {
            // The longer of the limits that held while it was idle: the client may know only the older one.
            Phase::Idle { since, limit } => now.since(since) > limit.max(Span::ms(limits.idle_ms)),
            Phase::ReadingHead { since } => now.since(since) > Span::ms(limits.head_ms),
            Phase::ReceivingBody { .. } | Phase::Expired => false,
            Phase::Serving | Phase::Flushing => {
                self.blocked_since.is_some_and(|since| now.since(since) > MAX_BLOCKED_TIME)
            }
        };
        if over {
            self.cut();
        }
    }

    /// True if the connection is over a limit and nothing more may be read; otherwise `cx` is woken when that changes.
    pub(super) fn poll_expired(&mut self, cx: &Context) -> bool {
        if self.phase == Phase::Expired {
            return true;
        }
        keep_waker(&mut self.reader, cx);
        false
    }

    /// True if nothing may be written because the connection was cut while its client took nothing; otherwise records
    /// whether it `is_blocked` and, if so, wakes `cx` when it is cut.
    pub(super) fn poll_cut_while_writing(&mut self, cx: &Context, now: Time, is_blocked: bool) -> bool {
        if !is_blocked {
            self.blocked_since = None;
            return false;
        }
        let was_blocked = self.blocked_since.is_some();
        self.blocked_since.get_or_insert(now);
        keep_waker(&mut self.writer, cx);
        was_blocked && self.is_cut
    }
}

fn keep_waker(kept: &mut Option<Waker>, cx: &Context) {
    if kept.as_ref().is_none_or(|waker| !waker.will_wake(cx.waker())) {
        *kept = Some(cx.waker().clone());
    }
}
