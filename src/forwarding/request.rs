use super::attempt::RunnerAttempt;
use crate::fleet::runner::Runner;
use crate::gate::{Balancer, Refusal, RequestSpec, RoutingDecision};
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::transfer::Handover;
use crate::transfer::continuation::Sequence;
use crate::transfer::event_buffer::StreamEvent;

pub use super::events::{AttemptNo, FlowAction, FlowEvent};

pub const SILENCE_LIMIT: Span = Span::ms(30_000);
pub const UNREPORTED_SILENCE_LIMIT: Span = Span::ms(1500);
pub const PROCESS_PAUSE: Span = Span::ms(500);

pub struct RequestFlow {
    pub spec: RequestSpec,
    pub attempts: Vec<RunnerAttempt>,
    pub main: AttemptNo,
    pub next_attempt: AttemptNo,
    pub avoid: Vec<Name>,
    pub is_answer_started: bool,
    pub may_have_run: bool,
    pub is_counted: bool,
    /// The ids that were passed on.
    pub sequence: Sequence,
    pub previous_event_id: Option<String>,
    pub last_event: Option<StreamEvent>,
    pub events_forwarded: u64,
    /// Whether an event without an id was passed on behind the last one with an id.
    pub has_event_without_id: bool,
    pub attempts_opened: u64,
    pub handover: Option<(AttemptNo, Handover)>,
    pub reserved_attempts: u64,
    pub last_handover: Option<(MoveId, Time, u64)>,
    pub is_over: bool,
    /// Whether it waits for a runner, by its last word to the forwarding.
    is_waiting: bool,
    pub heard_at: Time,
    pub ticked_at: Time,
    pub is_stream: bool,
    /// Another run that may go on with the stream while its own runner is silent.
    pub standby: Option<AttemptNo>,
    /// No standby is looked for before.
    pub next_standby_at: Time,
}

impl RequestFlow {
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
            is_waiting: false,
            heard_at: Time(0),
            ticked_at: Time(0),
            is_stream: false,
            standby: None,
            next_standby_at: Time(0),
        }
    }

    pub fn step(&mut self, now: Time, ev: FlowEvent, balancer: &mut Balancer) -> Vec<FlowAction> {
        let mut out = Vec::new();
        if let FlowEvent::Routed(plan) = &ev
            && !std::mem::take(&mut self.is_waiting)
        {
            self.return_unused_slot(now, plan, balancer);
            return out;
        }
        if self.is_over || self.is_stray(&ev) {
            return out;
        }
        if let Some((_, handover)) = &mut self.handover {
            handover.has_credit = balancer.retry_budget.credit() >= 1.0;
        }
        match ev {
            FlowEvent::Start => {
                let plan = balancer.route_new(now, &self.spec);
                self.apply_decision(now, plan, balancer, &mut out);
            }
            FlowEvent::Routed(plan) => self.apply_decision(now, plan, balancer, &mut out),
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

    fn is_stray(&self, ev: &FlowEvent) -> bool {
        ev.attempt().is_some_and(|attempt| self.attempts.iter().all(|l| l.no != attempt))
    }

    fn apply_decision(
        &mut self,
        now: Time,
        plan: RoutingDecision,
        balancer: &mut Balancer,
        out: &mut Vec<FlowAction>,
    ) {
        match plan {
            RoutingDecision::Send(runner) => {
                if !self.is_counted {
                    self.is_counted = true;
                    balancer.retry_budget.record_first_send();
                }
                self.open_main(now, runner, out);
            }
            RoutingDecision::Wait(_) => self.wait_for_runner(out),
            RoutingDecision::Refuse(r) => self.refuse(now, r, balancer, out),
        }
    }

    /// Whether it waits for a runner.
    pub fn is_waiting(&self) -> bool {
        self.is_waiting
    }

    /// From now on the request waits for a runner.
    pub fn wait_for_runner(&mut self, out: &mut Vec<FlowAction>) {
        self.is_waiting = true;
        out.push(FlowAction::Wait { avoid: self.avoid.clone() });
    }

    /// A plan that came when the request no longer waited: its slot is free again.
    fn return_unused_slot(&self, now: Time, plan: &RoutingDecision, balancer: &mut Balancer) {
        if let RoutingDecision::Send(runner) = plan {
            balancer.count("plan_untaken");
            balancer.release_slot(now, &runner.instance, &self.spec.model, None);
        }
    }

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
            out.push(FlowAction::Refuse(r));
        }
    }

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

    pub fn close(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        good: Option<bool>,
        balancer: &mut Balancer,
        out: &mut Vec<FlowAction>,
    ) {
        let Some(at) = self.attempts.iter().position(|l| l.no == attempt) else { return };
        let l = self.attempts.remove(at);
        out.push(FlowAction::Close { attempt });
        balancer.release_slot(now, &l.runner.instance, &self.spec.model, good);
    }

    pub fn close_all(&mut self, now: Time, balancer: &mut Balancer, out: &mut Vec<FlowAction>) {
        self.is_over = true;
        self.is_waiting = false;
        balancer.queue.remove_request(self.spec.id);
        self.handover = None;
        self.standby = None;
        balancer.retry_budget.return_reserved(std::mem::take(&mut self.reserved_attempts));
        let all: Vec<AttemptNo> = self.attempts.iter().map(|l| l.no).collect();
        for attempt in all {
            self.close(now, attempt, None, balancer, out);
        }
    }
}
