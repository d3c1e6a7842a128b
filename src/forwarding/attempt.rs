//! A single attempt at a runner, and the events of the main attempt.

use super::answer_end::AnswerEnd;
use super::request::*;
use super::resume::ContinuationCheck;
use crate::fleet::runner::Runner;
use crate::gate::{Balancer, Refusal};
use crate::kernel::ids::*;
use crate::kernel::time::Time;
use crate::transfer::event_boundary::EventBoundary;
use crate::transfer::event_buffer::{EventSplitter, StreamEvent};

/// What the first event of an attempt must be to continue the stream.
#[derive(Clone, PartialEq, Debug)]
pub enum ExpectedFirst {
    /// Anything: the first attempt, or one whose first event was checked.
    Any,
    /// The last event forwarded, repeated; it is not forwarded again.
    Repeat(StreamEvent),
    /// The event after the last one forwarded.
    Next,
}

/// An attempt at a runner.
pub struct RunnerAttempt {
    /// Its number.
    pub no: AttemptNo,
    /// The runner.
    pub runner: Runner,
    /// Splits the body into events.
    pub splitter: EventSplitter,
    /// Whether the head of its answer has come.
    pub has_head: bool,
    /// When it was opened.
    pub opened_at: Time,
    /// Unused events.
    pub buffer: Vec<StreamEvent>,
    /// Whether the stream is between two events or inside one.
    pub boundary: EventBoundary,
    /// Its end, if its last events are still to be forwarded.
    pub deferred_end: Option<AnswerEnd>,
    /// What its first event must be.
    pub expected_first: ExpectedFirst,
}

impl RunnerAttempt {
    /// An attempt that may begin with any event.
    pub fn new(no: AttemptNo, runner: Runner, since: Time) -> RunnerAttempt {
        let cut = EventSplitter::default();
        RunnerAttempt {
            no,
            runner,
            splitter: cut,
            has_head: false,
            opened_at: since,
            buffer: Vec::new(),
            boundary: EventBoundary::default(),
            deferred_end: None,
            expected_first: ExpectedFirst::Any,
        }
    }
}

impl RequestFlow {
    /// The attempt with this number, if it is open.
    pub fn attempt(&mut self, no: AttemptNo) -> Option<&mut RunnerAttempt> {
        self.attempts.iter_mut().find(|run| run.no == no)
    }

    /// Records that the head of an answer has come.
    pub fn on_head(&mut self, attempt: AttemptNo) {
        if let Some(run) = self.attempt(attempt) {
            run.has_head = true;
        }
    }

    /// Handles the head of the main attempt: forwards the first one; a later one must be a stream to continue with.
    pub fn on_main_head(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        status: u16,
        stream: bool,
        balancer: &mut Balancer,
        out: &mut Vec<FlowAction>,
    ) {
        let fit = stream && status == 200;
        self.heard_at = now;
        let Some(run) = self.attempt(attempt) else { return };
        run.has_head = true;
        let runner = run.runner.instance.clone();
        if self.is_answer_started {
            if !fit {
                self.close(now, attempt, Some(false), balancer, out);
                self.resume(now, runner, balancer, out);
            }
            return;
        }
        self.is_answer_started = true;
        self.may_have_run = true;
        self.is_stream = fit;
        balancer.count(if status < 500 { "answered" } else { "answered_5xx" });
        out.push(FlowAction::Head { attempt });
    }

    /// Handles an event of the main attempt; the first one must continue the stream.
    pub fn on_main_item(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        item: StreamEvent,
        balancer: &mut Balancer,
        out: &mut Vec<FlowAction>,
    ) {
        match self.check_continuation(attempt, &item) {
            ContinuationCheck::Continues => {
                self.close_unneeded_standby(now, balancer, out);
                self.on_source_item(now, item, balancer, out);
            }
            ContinuationCheck::Skip => {}
            ContinuationCheck::Differs(how) => self.on_main_differs(now, attempt, &how, balancer, out),
        }
    }

    /// Forwards an event and records its place.
    pub fn forward_event(&mut self, item: StreamEvent, out: &mut Vec<FlowAction>) {
        if let Some(id) = &item.id {
            self.previous_event_id = self.sequence.last().map(|last| last.to_string());
            self.sequence.push(id);
            self.last_event = Some(item.clone());
            self.has_event_without_id = false;
        } else {
            self.has_event_without_id |= item.has_data();
        }
        self.events_forwarded += 1;
        out.push(FlowAction::Forward(item.raw));
    }

    /// Whether `end` can be a regular end. A stream that ends with its connection must be between two events, and an attempt
    /// that was to continue a stream must have done so.
    fn is_end_plausible(&mut self, attempt: AttemptNo, end: AnswerEnd) -> bool {
        let stream = self.is_stream;
        self.attempt(attempt).is_some_and(|run| {
            let said = !stream || end == AnswerEnd::Framed || run.boundary.may_end();
            said && run.expected_first == ExpectedFirst::Any
        })
    }

    /// Handles the end of the main attempt; an implausible one counts as a loss.
    pub fn on_main_end(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        end: AnswerEnd,
        balancer: &mut Balancer,
        out: &mut Vec<FlowAction>,
    ) {
        if !self.is_end_plausible(attempt, end) {
            balancer.count("ended_early");
            return self.on_main_lost(now, attempt, balancer, out);
        }
        self.on_source_end(now, balancer, out);
        if let Some(run) = self.attempt(attempt) {
            let rest = run.splitter.take_rest();
            if !rest.is_empty() {
                out.push(FlowAction::Forward(rest));
            }
        }
        if let Some(run) = self.attempt(attempt) {
            let held = now.since(run.opened_at);
            balancer.record_occupancy(&self.spec.model, held);
        }
        self.close(now, attempt, Some(true), balancer, out);
        self.close_all(now, balancer, out);
        balancer.count("finished");
        out.push(FlowAction::Finish);
    }

    /// Log text for a request that ends without a complete answer.
    pub fn failure_summary(&self, refusal: &Refusal, balancer: &Balancer) -> String {
        let last = self.sequence.last().unwrap_or("none");
        let (opened, most, credit) =
            (self.attempts_opened, self.spec.max_attempts, balancer.retry_budget.credit());
        let why = refusal.code();
        format!(
            "{why} passed={} last={last} attempts={opened}/{most} credit={credit:.1}",
            self.events_forwarded
        )
    }

    /// The runner of an attempt.
    pub fn runner_of(&mut self, attempt: AttemptNo) -> Option<Name> {
        self.attempt(attempt).map(|run| run.runner.instance.clone())
    }
}
