use super::answer_end::AnswerEnd;
use super::request::*;
use super::resume::ContinuationCheck;
use crate::fleet::runner::Runner;
use crate::gate::{Balancer, Refusal};
use crate::kernel::ids::*;
use crate::kernel::time::Time;
use crate::transfer::event_boundary::EventBoundary;
use crate::transfer::event_buffer::{EventSplitter, StreamEvent};

/// What the first event of a run must be, so that the stream can go on with it.
#[derive(Clone, PartialEq, Debug)]
pub enum ExpectedFirst {
    /// The first run, or one whose first event was found right: anything goes.
    Any,
    /// The last event that was passed on, once more; it is not passed on again.
    Repeat(StreamEvent),
    /// The event behind the last one that was passed on.
    Next,
}

/// One attempt at a runner, as the request's state machine sees it.
pub struct RunnerAttempt {
    pub no: AttemptNo,
    pub runner: Runner,
    pub splitter: EventSplitter,
    pub has_head: bool,
    pub opened_at: Time,
    pub buffer: Vec<StreamEvent>,
    /// Where the run stands in its stream.
    pub boundary: EventBoundary,
    /// Its end, kept while its last events are still to be passed on.
    pub deferred_end: Option<AnswerEnd>,
    pub expected_first: ExpectedFirst,
}

impl RunnerAttempt {
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
    pub fn attempt(&mut self, no: AttemptNo) -> Option<&mut RunnerAttempt> {
        self.attempts.iter_mut().find(|l| l.no == no)
    }

    /// The head of a run's answer has come.
    pub fn on_head(&mut self, attempt: AttemptNo) {
        if let Some(run) = self.attempt(attempt) {
            run.has_head = true;
        }
    }

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
        let Some(l) = self.attempt(attempt) else { return };
        l.has_head = true;
        let runner = l.runner.instance.clone();
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

    /// An event of the request's own run: the first one must go on where the stream stands.
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

    /// Whether `end` may be the honest one of this run: a stream whose end only its connection says ends behind a whole
    /// event, and a run that was to go on with a stream has given an event that does.
    fn is_end_plausible(&mut self, attempt: AttemptNo, end: AnswerEnd) -> bool {
        let stream = self.is_stream;
        self.attempt(attempt).is_some_and(|l| {
            let said = !stream || end == AnswerEnd::Framed || l.boundary.may_end();
            said && l.expected_first == ExpectedFirst::Any
        })
    }

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
        if let Some(l) = self.attempt(attempt) {
            let rest = l.splitter.take_rest();
            if !rest.is_empty() {
                out.push(FlowAction::Forward(rest));
            }
        }
        if let Some(l) = self.attempt(attempt) {
            let held = now.since(l.opened_at);
            balancer.record_occupancy(&self.spec.model, held);
        }
        self.close(now, attempt, Some(true), balancer, out);
        self.close_all(now, balancer, out);
        balancer.count("finished");
        out.push(FlowAction::Finish);
    }

    /// What is known of a request as it ends without a whole answer: for the log.
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

    pub fn runner_of(&mut self, attempt: AttemptNo) -> Option<Name> {
        self.attempt(attempt).map(|l| l.runner.instance.clone())
    }
}
