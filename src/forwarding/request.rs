use super::answer_end::AnswerEnd;
use super::attempt::RunnerAttempt;
use crate::fleet::runner::Runner;
use crate::gate::order::Why;
use crate::gate::{Gate, Order, Plan, Refusal};
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
    Woken(Plan),
    OpenFailed { attempt: AttemptNo, why: Option<Why> },
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
    pub order: Order,
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
    pub fn new(order: Order) -> RequestFlow {
        let sequence = Sequence::after(order.last.clone());
        RequestFlow {
            order,
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

    pub fn step(&mut self, now: Time, ev: In, gate: &mut Gate) -> Vec<Out> {
        let mut out = Vec::new();
        if let In::Woken(plan) = &ev
            && !std::mem::take(&mut self.waiting)
        {
            self.decline(now, plan, gate);
            return out;
        }
        if self.over || self.is_stray(&ev) {
            return out;
        }
        if let Some((_, hand)) = &mut self.hand {
            hand.more = gate.tries.credit() >= 1.0;
        }
        match ev {
            In::Go => {
                let plan = gate.enter(now, &self.order);
                self.carry(now, plan, gate, &mut out);
            }
            In::Woken(plan) => self.carry(now, plan, gate, &mut out),
            In::Load { attempt, load } => self.told_load(now, attempt, load, gate),
            In::Gone => {
                gate.count("caller_gone");
                self.close_all(now, gate, &mut out);
            }
            In::Tick => self.tick(now, gate, &mut out),
            of_attempt => self.attempt_event(now, of_attempt, gate, &mut out),
        }
        out
    }

    fn is_stray(&self, ev: &In) -> bool {
        ev.attempt().is_some_and(|attempt| self.attempts.iter().all(|l| l.no != attempt))
    }

    fn carry(&mut self, now: Time, plan: Plan, gate: &mut Gate, out: &mut Vec<Out>) {
        match plan {
            Plan::Send(runner) => {
                if !self.counted {
                    self.counted = true;
                    gate.tries.first();
                }
                self.open_main(now, runner, out);
            }
            Plan::Wait(_) => self.wait(out),
            Plan::Refuse(r) => self.refuse(now, r, gate, out),
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
    fn decline(&self, now: Time, plan: &Plan, gate: &mut Gate) {
        if let Plan::Send(runner) = plan {
            gate.count("plan_untaken");
            gate.release(now, &runner.instance, &self.order.model, None);
        }
    }

    pub fn refuse(&mut self, now: Time, r: Refusal, gate: &mut Gate, out: &mut Vec<Out>) {
        self.close_all(now, gate, out);
        if self.began {
            gate.count("broken");
            out.push(Out::Told("stream-broken", self.standing(&r, gate)));
            out.push(Out::Break("no runner could go on with the stream"));
        } else if self.sent {
            gate.count("unknown");
            out.push(Out::Unknown(
                502,
                "the runner was lost after it may have begun; its outcome is not known",
            ));
        } else {
            gate.count("refused");
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
        gate: &mut Gate,
        out: &mut Vec<Out>,
    ) {
        let Some(at) = self.attempts.iter().position(|l| l.no == attempt) else { return };
        let l = self.attempts.remove(at);
        out.push(Out::Close { attempt });
        gate.release(now, &l.runner.instance, &self.order.model, good);
    }

    pub fn close_all(&mut self, now: Time, gate: &mut Gate, out: &mut Vec<Out>) {
        self.over = true;
        self.waiting = false;
        gate.inbox.drop_id(self.order.id);
        self.hand = None;
        self.standby = None;
        gate.tries.give_back(std::mem::take(&mut self.reserved));
        let all: Vec<AttemptNo> = self.attempts.iter().map(|l| l.no).collect();
        for attempt in all {
            self.close(now, attempt, None, gate, out);
        }
    }
}
