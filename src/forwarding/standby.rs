//! A second run beside a silent one.
//!
//! A runner that is silent may be well: a crowded one puts requests back and reads them again. So the run of a stream
//! that was begun is left alone, and another runner is asked to go on where the stream stands. Whichever gives the
//! next event carries the stream on, and the other run is closed. A second run that fails, or does not go on where the
//! stream stands, changes nothing for the first.
#![deny(missing_docs)]

use super::request::*;
use super::resume::Joined;
use crate::gate::{Balancer, RoutingDecision};
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};
use crate::transfer::event_buffer::Item;

/// The pause between two looks for a runner to stand by.
const STANDBY_PAUSE: Span = Span::ms(200);

impl RequestFlow {
    /// An event of the run that stands by, other than a piece of its answer.
    pub fn standby_event(&mut self, now: Time, ev: In, balancer: &mut Balancer, out: &mut Vec<Out>) {
        match ev {
            In::OpenFailed { why, .. } => {
                self.opened = self.opened.saturating_sub(1);
                let good = why.is_none().then_some(false);
                self.standby_failed(now, "it could not be reached", good, balancer, out);
            }
            In::Lost { .. } => self.standby_failed(now, "it failed", Some(false), balancer, out),
            In::Shed { attempt, gone } => {
                let runner = self.runner_of(attempt).unwrap_or_default();
                balancer.on_rejected(now, &runner, &self.spec, gone);
                self.standby_failed(now, "it turned the request away", None, balancer, out);
            }
            In::Head { status: 200, stream: true, attempt } => self.head_came(attempt),
            In::Head { .. } => {
                self.standby_failed(now, "it did not answer with a stream", None, balancer, out);
            }
            In::End { .. } => self.standby_failed(now, "it ended without a word", None, balancer, out),
            _ => {}
        }
    }

    /// Whether a silent run is left alone while another is asked, as a begun stream that may be resumed is.
    pub fn has_standby_rights(&self) -> bool {
        self.began && self.stream && self.spec.is_resumable && !self.unplaced
    }

    /// Asks another runner to go on with the stream, if there is one now and the budget allows it.
    pub fn open_standby(&mut self, now: Time, silent: &Name, balancer: &mut Balancer, out: &mut Vec<Out>) {
        let spent = self.opened >= self.spec.max_attempts || balancer.retry_budget.credit() < 1.0;
        if self.standby.is_some() || self.hand.is_some() || spent || now < self.standby_next {
            return;
        }
        self.standby_next = now + STANDBY_PAUSE;
        let mut avoid = self.avoid.clone();
        avoid.push(silent.clone());
        self.order_resumed(now);
        let RoutingDecision::Send(runner) = balancer.choose_runner(now, &self.spec, &avoid) else { return };
        if !balancer.retry_budget.try_spend() {
            return;
        }
        balancer.claim_slot(now, &runner, &self.spec);
        balancer.count("standby_opened");
        out.push(Out::Told("standby", format!("{} beside silent {silent}", runner.instance)));
        self.opened += 1;
        let heard = self.heard;
        self.standby = Some(self.open_at_last(now, runner, out));
        self.heard = heard;
    }

    /// An event of the run that stands by: the first one that goes on with the stream makes it the stream's own run.
    pub fn standby_item(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        item: Item,
        balancer: &mut Balancer,
        out: &mut Vec<Out>,
    ) {
        match self.joined(attempt, &item) {
            Joined::Goes => {
                self.standby_takes_over(now, attempt, balancer, out);
                self.pass_item(item, out);
            }
            Joined::Skipped => {}
            Joined::Differs(how) => {
                balancer.count("resume_differs");
                self.standby_failed(now, &how, Some(false), balancer, out);
            }
        }
    }

    fn standby_takes_over(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        balancer: &mut Balancer,
        out: &mut Vec<Out>,
    ) {
        let silent = std::mem::replace(&mut self.main, attempt);
        self.standby = None;
        self.heard = now;
        let from = self.runner_of(silent).unwrap_or_default();
        let to = self.runner_of(attempt).unwrap_or_default();
        balancer.count("standby_took_over");
        out.push(Out::Told("standby-took-over", format!("{from}>{to}")));
        self.avoid.push(from);
        self.close(now, silent, Some(false), balancer, out);
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
        balancer: &mut Balancer,
        out: &mut Vec<Out>,
    ) {
        let Some(attempt) = self.standby.take() else { return };
        let runner = self.runner_of(attempt).unwrap_or_default();
        out.push(Out::Told("standby-failed", format!("{runner}: {why}")));
        self.avoid.push(runner);
        self.close(now, attempt, good, balancer, out);
    }

    /// The stream's own run gave the next event: none has to stand by.
    pub fn source_heard(&mut self, now: Time, balancer: &mut Balancer, out: &mut Vec<Out>) {
        let Some(attempt) = self.standby.take() else { return };
        balancer.count("standby_not_needed");
        self.close(now, attempt, None, balancer, out);
    }
}
