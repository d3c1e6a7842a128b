//! A second run beside a silent one.
//!
//! A runner that is silent may be well: a crowded one puts requests back and reads them again. So the run of a stream
//! that was begun is left alone, and another runner is asked to go on where the stream stands. Whichever gives the
//! next event carries the stream on, and the other run is closed. A second run that fails, or does not go on where the
//! stream stands, changes nothing for the first.
#![deny(missing_docs)]

use super::request::*;
use super::resume::Joined;
use crate::gate::{Gate, Plan};
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};
use bytes::Bytes;

/// The pause between two looks for a runner to stand by.
const STANDBY_PAUSE: Span = Span::ms(200);

impl RequestFlow {
    /// Whether `attempt` is the run that stands by.
    pub fn is_standby(&self, attempt: AttemptNo) -> bool {
        self.standby == Some(attempt)
    }

    /// Whether a silent run is left alone while another is asked, as a begun stream that may be resumed is.
    pub fn has_standby_rights(&self) -> bool {
        self.began && self.stream && self.order.resumable && !self.unplaced
    }

    /// Asks another runner to go on with the stream, if there is one now and the budget allows it.
    pub fn open_standby(&mut self, now: Time, silent: &Name, gate: &mut Gate, out: &mut Vec<Out>) {
        let spent = self.opened >= self.order.tries || gate.tries.credit() < 1.0;
        if self.standby.is_some() || self.hand.is_some() || spent || now < self.standby_next {
            return;
        }
        self.standby_next = now + STANDBY_PAUSE;
        let mut avoid = self.avoid.clone();
        avoid.push(silent.clone());
        self.order_resumed(now);
        let Plan::Send(runner) = gate.nominate(now, &self.order, &avoid) else { return };
        if !gate.tries.spend() {
            return;
        }
        gate.take(now, &runner, &self.order);
        gate.count("standby_opened");
        out.push(Out::Told("standby", format!("{} beside silent {silent}", runner.instance)));
        self.opened += 1;
        let heard = self.heard;
        self.standby = Some(self.open_at_last(now, runner, out));
        self.heard = heard;
    }

    /// The run that stands by began to answer.
    pub fn standby_head(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        fit: bool,
        gate: &mut Gate,
        out: &mut Vec<Out>,
    ) {
        if !fit {
            return self.standby_failed(now, "it did not answer with a stream", None, gate, out);
        }
        if let Some(l) = self.attempt(attempt) {
            l.head = true;
        }
    }

    /// Events of the run that stands by: the first one that goes on with the stream makes it the stream's own run.
    pub fn standby_chunk(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        raw: &Bytes,
        gate: &mut Gate,
        out: &mut Vec<Out>,
    ) {
        let Some(l) = self.attempt(attempt) else { return };
        let items = l.cut.add(raw);
        if l.cut.too_long() {
            return self.standby_failed(now, "an event was too long", Some(false), gate, out);
        }
        for item in items {
            match self.joined(attempt, &item) {
                Joined::Goes => {
                    self.standby_takes_over(now, attempt, gate, out);
                    self.pass_item(item, out);
                }
                Joined::Skipped => {}
                Joined::Differs(how) => {
                    gate.count("resume_differs");
                    return self.standby_failed(now, &how, Some(false), gate, out);
                }
            }
        }
    }

    fn standby_takes_over(&mut self, now: Time, attempt: AttemptNo, gate: &mut Gate, out: &mut Vec<Out>) {
        if self.main == attempt {
            return;
        }
        let silent = std::mem::replace(&mut self.main, attempt);
        self.standby = None;
        self.heard = now;
        let from = self.runner_of(silent).unwrap_or_default();
        let to = self.runner_of(attempt).unwrap_or_default();
        gate.count("standby_took_over");
        out.push(Out::Told("standby-took-over", format!("{from}>{to}")));
        self.avoid.push(from);
        self.close(now, silent, Some(false), gate, out);
    }

    /// The stream's own run is lost: the one that stands by is the resumed one from now on, if there is one.
    pub fn standby_steps_in(&mut self, lost: &Name, out: &mut Vec<Out>) -> bool {
        let Some(attempt) = self.standby.take() else { return false };
        self.avoid.push(lost.clone());
        self.main = attempt;
        out.push(Out::Told("standby-steps-in", format!("for lost {lost}")));
        true
    }

    /// The run that stands by is of no use; the stream stays where it is.
    pub fn standby_failed(
        &mut self,
        now: Time,
        why: &str,
        good: Option<bool>,
        gate: &mut Gate,
        out: &mut Vec<Out>,
    ) {
        let Some(attempt) = self.standby.take() else { return };
        let runner = self.runner_of(attempt).unwrap_or_default();
        out.push(Out::Told("standby-failed", format!("{runner}: {why}")));
        self.avoid.push(runner);
        self.close(now, attempt, good, gate, out);
    }

    /// The stream's own run gave the next event: none has to stand by.
    pub fn source_heard(&mut self, now: Time, gate: &mut Gate, out: &mut Vec<Out>) {
        let Some(attempt) = self.standby.take() else { return };
        gate.count("standby_not_needed");
        self.close(now, attempt, None, gate, out);
    }
}
