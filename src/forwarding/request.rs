use super::answer_end::AnswerEnd;
use super::attempt::RunnerAttempt;
use crate::fleet::runner::Runner;
use crate::gate::order::RefusalReason;
use crate::gate::{Balancer, Refusal, RequestSpec, RoutingDecision};
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::protocol::Load;
use crate::transfer::Handover;
use crate::transfer::continuation::Sequence;
use crate::transfer::event_buffer::Item;
use bytes::Bytes;

pub const QUIET: Span = Span::ms(30_000);
pub const DARK_QUIET: Span = Span::ms(1500);
pub const SLEPT: Span = Span::ms(500);

pub type AttemptNo = u64;

#[derive(Debug)]
pub enum In {
    Go,
    Woken(RoutingDecision),
    OpenFailed { attempt: AttemptNo, why: Option<RefusalReason> },
    Lost { attempt: AttemptNo },
    Shed { attempt: AttemptNo, gone: bool },
    Load { attempt: AttemptNo, load: Load },
    Head { attempt: AttemptNo, status: u16, stream: bool },
    Chunk { attempt: AttemptNo, raw: Bytes },
    End { attempt: AttemptNo, end: AnswerEnd },
    Gone,
    Tick,
}

impl In {
    /// The attempt that the event is about.
    pub fn attempt(&self) -> Option<AttemptNo> {
        match self {
            In::OpenFailed { attempt, .. } | In::Lost { attempt } | In::Head { attempt, .. } => {
                Some(*attempt)
            }
            In::Shed { attempt, .. } | In::Load { attempt, .. } => Some(*attempt),
            In::Chunk { attempt, .. } | In::End { attempt, .. } => Some(*attempt),
            In::Go | In::Woken(_) | In::Gone | In::Tick => None,
        }
    }
}

#[derive(Debug)]
pub enum Out {
    Wait { avoid: Vec<Name> },
    Open { attempt: AttemptNo, runner: Runner, last: Option<String> },
    Close { attempt: AttemptNo },
    Head { attempt: AttemptNo },
    Pass(Bytes),
    Finish,
    Break(&'static str),
    Refuse(Refusal),
    Unknown(u16, &'static str),
    Told(&'static str, String),
}

pub struct RequestFlow {
    pub spec: RequestSpec,
    pub attempts: Vec<RunnerAttempt>,
    pub main: AttemptNo,
    pub next: AttemptNo,
    pub avoid: Vec<Name>,
    pub began: bool,
    pub sent: bool,
    pub counted: bool,
    /// The ids that were passed on.
    pub sequence: Sequence,
    pub prev: Option<String>,
    pub tail: Option<Item>,
    pub passed: u64,
    /// Whether an event without an id was passed on behind the last one with an id.
    pub unplaced: bool,
    pub opened: u64,
    pub hand: Option<(AttemptNo, Handover)>,
    pub reserved: u64,
    pub hand_off: Option<(MoveId, Time, u64)>,
    pub over: bool,
    /// Whether it waits for a runner, by its last word to the forwarding.
    waiting: bool,
    pub heard: Time,
    pub ticked: Time,
    pub stream: bool,
    /// Another run that may go on with the stream while its own runner is silent.
    pub standby: Option<AttemptNo>,
    /// No standby is looked for before.
    pub standby_next: Time,
}

impl RequestFlow {
    pub fn new(spec: RequestSpec) -> RequestFlow {
        let sequence = Sequence::after(spec.last_event_id.clone());
        RequestFlow {
            spec,
            attempts: Vec::new(),
            main: 0,
            next: 1,
            avoid: Vec::new(),
            began: false,
            sent: false,
            counted: false,
            sequence,
            prev: None,
            tail: None,
            passed: 0,
            unplaced: false,
            opened: 0,
            hand: None,
            reserved: 0,
            hand_off: None,
            over: false,
            waiting: false,
            heard: Time(0),
            ticked: Time(0),
            stream: false,
            standby: None,
            standby_next: Time(0),
        }
    }

    pub fn step(&mut self, now: Time, ev: In, balancer: &mut Balancer) -> Vec<Out> {
        let mut out = Vec::new();
        if let In::Woken(plan) = &ev
            && !std::mem::take(&mut self.waiting)
        {
            self.decline(now, plan, balancer);
            return out;
        }
        if self.over || self.is_stray(&ev) {
            return out;
        }
        if let Some((_, hand)) = &mut self.hand {
            hand.more = balancer.retry_budget.credit() >= 1.0;
        }
        match ev {
            In::Go => {
                let plan = balancer.route_new(now, &self.spec);
                self.carry(now, plan, balancer, &mut out);
            }
            In::Woken(plan) => self.carry(now, plan, balancer, &mut out),
            In::Load { attempt, load } => self.told_load(now, attempt, load, balancer),
            In::Gone => {
                balancer.count("caller_gone");
                self.close_all(now, balancer, &mut out);
            }
            In::Tick => self.tick(now, balancer, &mut out),
            of_attempt => self.attempt_event(now, of_attempt, balancer, &mut out),
        }
        out
    }

    fn is_stray(&self, ev: &In) -> bool {
        ev.attempt().is_some_and(|attempt| self.attempts.iter().all(|l| l.no != attempt))
    }

    fn carry(&mut self, now: Time, plan: RoutingDecision, balancer: &mut Balancer, out: &mut Vec<Out>) {
        match plan {
            RoutingDecision::Send(runner) => {
                if !self.counted {
                    self.counted = true;
                    balancer.retry_budget.record_first_send();
                }
                self.open_main(now, runner, out);
            }
            RoutingDecision::Wait(_) => self.wait(out),
            RoutingDecision::Refuse(r) => self.refuse(now, r, balancer, out),
        }
    }

    /// Whether it waits for a runner.
    pub fn is_waiting(&self) -> bool {
        self.waiting
    }

    /// From now on the request waits for a runner.
    pub fn wait(&mut self, out: &mut Vec<Out>) {
        self.waiting = true;
        out.push(Out::Wait { avoid: self.avoid.clone() });
    }

    /// A plan that came when the request no longer waited: its slot is free again.
    fn decline(&self, now: Time, plan: &RoutingDecision, balancer: &mut Balancer) {
        if let RoutingDecision::Send(runner) = plan {
            balancer.count("plan_untaken");
            balancer.release_slot(now, &runner.instance, &self.spec.model, None);
        }
    }

    pub fn refuse(&mut self, now: Time, r: Refusal, balancer: &mut Balancer, out: &mut Vec<Out>) {
        self.close_all(now, balancer, out);
        if self.began {
            balancer.count("broken");
            out.push(Out::Told("stream-broken", self.standing(&r, balancer)));
            out.push(Out::Break("no runner could go on with the stream"));
        } else if self.sent {
            balancer.count("unknown");
            out.push(Out::Unknown(
                502,
                "the runner was lost after it may have begun; its outcome is not known",
            ));
        } else {
            balancer.count("refused");
            out.push(Out::Refuse(r));
        }
    }

    pub fn open(&mut self, now: Time, runner: Runner, last: Option<String>, out: &mut Vec<Out>) -> AttemptNo {
        let no = self.next;
        self.next += 1;
        self.heard = now;
        self.attempts.push(RunnerAttempt::new(no, runner.clone(), now));
        out.push(Out::Open { attempt: no, runner, last });
        no
    }

    pub fn close(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        good: Option<bool>,
        balancer: &mut Balancer,
        out: &mut Vec<Out>,
    ) {
        let Some(at) = self.attempts.iter().position(|l| l.no == attempt) else { return };
        let l = self.attempts.remove(at);
        out.push(Out::Close { attempt });
        balancer.release_slot(now, &l.runner.instance, &self.spec.model, good);
    }

    pub fn close_all(&mut self, now: Time, balancer: &mut Balancer, out: &mut Vec<Out>) {
        self.over = true;
        self.waiting = false;
        balancer.queue.remove_request(self.spec.id);
        self.hand = None;
        self.standby = None;
        balancer.retry_budget.return_reserved(std::mem::take(&mut self.reserved));
        let all: Vec<AttemptNo> = self.attempts.iter().map(|l| l.no).collect();
        for attempt in all {
            self.close(now, attempt, None, balancer, out);
        }
    }
}
