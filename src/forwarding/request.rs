//! State of a request, its events, and opening and closing of attempts.

use super::attempt::RunnerAttempt;
use crate::fleet::runner::Runner;
use crate::gate::{Balancer, Refusal, RequestSpec};
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::transfer::Handover;
use crate::transfer::continuation::Sequence;
use crate::transfer::event_buffer::StreamEvent;

pub use super::events::{AttemptNo, FlowAction, FlowEvent};

/// Longest silence of a runner after its answer has begun.
pub const SILENCE_LIMIT: Span = Span::ms(30_000);
/// Silence after which a runner without recent report is replaced, if the request may run again.
pub const UNREPORTED_SILENCE_LIMIT: Span = Span::ms(1500);
/// A pause between ticks that shows that this process did not run; the silence of the runner is then not counted.
pub const PROCESS_PAUSE: Span = Span::ms(500);

/// One request, from arrival to the end of its answer.
pub struct RequestFlow {
    /// The request.
    pub spec: RequestSpec,
    /// Attempts in progress.
    pub attempts: Vec<RunnerAttempt>,
    /// The attempt whose answer the client gets.
    pub main: AttemptNo,
    /// Number of the next attempt.
    pub next_attempt: AttemptNo,
    /// Runners that failed or rejected the request.
    pub avoid: Vec<Name>,
    /// Whether the head of an answer was forwarded.
    pub is_answer_started: bool,
    /// Whether a runner may have begun to execute the request.
    pub may_have_run: bool,
    /// Whether it was counted as a first attempt in the retry budget.
    pub is_counted: bool,
    /// Ids of the events forwarded.
    pub sequence: Sequence,
    /// Id of the event before the last one with an id.
    pub previous_event_id: Option<String>,
    /// The last event with an id that was forwarded.
    pub last_event: Option<StreamEvent>,
    /// Number of events forwarded.
    pub events_forwarded: u64,
    /// Whether an event with data and no id was forwarded after the last one with an id. The stream cannot be continued then.
    pub has_event_without_id: bool,
    /// Attempts that count against the limit of the route.
    pub attempts_opened: u64,
    /// A move of the stream in progress, and the attempt at its destination.
    pub handover: Option<(AttemptNo, Handover)>,
    /// Attempts reserved in the retry budget for that move.
    pub reserved_attempts: u64,
    /// The move that last failed or was postponed, when it may be tried again, and how often it failed.
    pub last_handover: Option<(MoveId, Time, u64)>,
    /// Whether the request has ended.
    pub is_over: bool,
    /// Whether its next attempt is yet to be paid from the retry budget.
    pub(super) owes_retry: bool,
    /// Whether it waits for a runner.
    pub(super) is_waiting: bool,
    /// When it first waited for a runner.
    pub(super) waiting_since: Option<Time>,
    /// When the main attempt last sent something.
    pub heard_at: Time,
    /// When the last tick came.
    pub ticked_at: Time,
    /// Whether the answer is an event stream.
    pub is_stream: bool,
    /// An attempt that may take over while the main one is silent.
    pub standby: Option<AttemptNo>,
    /// No standby is opened earlier.
    pub next_standby_at: Time,
}

impl RequestFlow {
    /// A request that has not started.
    pub fn new(spec: RequestSpec) -> RequestFlow {
        let sequence = Sequence::after(spec.last_event_id.clone());
        RequestFlow {
            spec,
            attempts: Vec::new(),
            main: 0,
            next_attempt: 1,
            avoid: Vec::new(),
            is_answer_started: false,
            may_have_run: false,
            is_counted: false,
            sequence,
            previous_event_id: None,
            last_event: None,
            events_forwarded: 0,
            has_event_without_id: false,
            attempts_opened: 0,
            handover: None,
            reserved_attempts: 0,
            last_handover: None,
            is_over: false,
            owes_retry: false,
            is_waiting: false,
            waiting_since: None,
            heard_at: Time(0),
            ticked_at: Time(0),
            is_stream: false,
            standby: None,
            next_standby_at: Time(0),
        }
    }

    /// Handles an event and returns what is to be done.
    pub fn step(&mut self, now: Time, ev: FlowEvent, balancer: &mut Balancer) -> Vec<FlowAction> {
        let mut out = Vec::new();
        if let FlowEvent::Routed(decision) = &ev
            && !std::mem::take(&mut self.is_waiting)
        {
            self.return_unused_slot(now, decision, balancer);
            return out;
        }
        if self.is_over || self.is_stray(&ev) {
            return out;
        }
        if let Some((_, handover)) = &mut self.handover {
            handover.has_credit = balancer.retry_budget.credit() >= 1.0;
        }
        match ev {
            FlowEvent::Start => self.start(now, balancer, &mut out),
            FlowEvent::Routed(decision) => self.apply_decision(now, decision, balancer, &mut out),
            FlowEvent::Load { attempt, load } => self.on_load(now, attempt, load, balancer),
            FlowEvent::ClientGone => {
                balancer.count("caller_gone");
                self.close_all(now, balancer, &mut out);
            }
            FlowEvent::Tick => self.tick(now, balancer, &mut out),
            of_attempt => self.on_attempt_event(now, of_attempt, balancer, &mut out),
        }
        out
    }

    /// Whether the event belongs to an attempt that is closed.
    fn is_stray(&self, ev: &FlowEvent) -> bool {
        ev.attempt().is_some_and(|attempt| self.attempts.iter().all(|run| run.no != attempt))
    }

    /// Ends the request without a complete answer: broken off, outcome unknown or refused, by what has happened so far.
    pub fn refuse(&mut self, now: Time, r: Refusal, balancer: &mut Balancer, out: &mut Vec<FlowAction>) {
        self.close_all(now, balancer, out);
        if self.is_answer_started {
            balancer.count("broken");
            out.push(FlowAction::Log("stream-broken", self.failure_summary(&r, balancer)));
            out.push(FlowAction::Abort("no runner could go on with the stream"));
        } else if self.may_have_run {
            balancer.count("unknown");
            out.push(FlowAction::OutcomeUnknown(
                502,
                "the runner was lost after it may have begun; its outcome is not known",
            ));
        } else {
            balancer.count("refused");
            r.final_counter().into_iter().for_each(|counter| balancer.count(counter));
            out.push(FlowAction::Refuse(r));
        }
    }

    /// Opens an attempt at a runner.
    pub fn open(
        &mut self,
        now: Time,
        runner: Runner,
        last: Option<String>,
        out: &mut Vec<FlowAction>,
    ) -> AttemptNo {
        let no = self.next_attempt;
        self.next_attempt += 1;
        self.heard_at = now;
        self.attempts.push(RunnerAttempt::new(no, runner.clone(), now));
        out.push(FlowAction::Open { attempt: no, runner, last_event_id: last });
        no
    }

    /// Closes an attempt; `good` is its result for the health of the runner, if it says anything.
    pub fn close(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        good: Option<bool>,
        balancer: &mut Balancer,
        out: &mut Vec<FlowAction>,
    ) {
        let Some(at) = self.attempts.iter().position(|run| run.no == attempt) else { return };
        let run = self.attempts.remove(at);
        out.push(FlowAction::Close { attempt });
        balancer.release_slot(now, &run.runner.instance, &self.spec.model, good);
    }

    /// Ends the request: closes all attempts and returns what it holds at the balancer.
    pub fn close_all(&mut self, now: Time, balancer: &mut Balancer, out: &mut Vec<FlowAction>) {
        self.is_over = true;
        self.is_waiting = false;
        balancer.queue.remove_request(self.spec.id);
        self.handover = None;
        self.standby = None;
        balancer.retry_budget.return_reserved(std::mem::take(&mut self.reserved_attempts));
        let all: Vec<AttemptNo> = self.attempts.iter().map(|run| run.no).collect();
        for attempt in all {
            self.close(now, attempt, None, balancer, out);
        }
    }
}
