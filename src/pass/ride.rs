use super::legs::Leg;
use crate::fleet::runner::Runner;
use crate::gate::order::Why;
use crate::gate::{Gate, Order, Plan, Refusal};
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::seam::Load;
use crate::transfer::Handover;
use crate::transfer::continuation::Sequence;
use crate::transfer::tape::Item;
use bytes::Bytes;

pub const QUIET: Span = Span::ms(30_000);
pub const DARK_QUIET: Span = Span::ms(1500);
pub const SLEPT: Span = Span::ms(500);

pub type LegNo = u64;

#[derive(Debug)]
pub enum In {
    Go,
    Woken(Plan),
    OpenFailed { leg: LegNo, why: Option<Why> },
    Lost { leg: LegNo },
    Shed { leg: LegNo, gone: bool },
    Load { leg: LegNo, load: Load },
    Head { leg: LegNo, status: u16, stream: bool },
    Chunk { leg: LegNo, raw: Bytes },
    End { leg: LegNo },
    Gone,
    Tick,
}

#[derive(Debug)]
pub enum Out {
    Wait { avoid: Vec<Name> },
    Open { leg: LegNo, runner: Runner, last: Option<String> },
    Close { leg: LegNo },
    Head { leg: LegNo },
    Pass(Bytes),
    Finish,
    Break(&'static str),
    Refuse(Refusal),
    Unknown(u16, &'static str),
    Told(&'static str, String),
}

pub struct Ride {
    pub order: Order,
    pub legs: Vec<Leg>,
    pub main: LegNo,
    pub next: LegNo,
    pub avoid: Vec<Name>,
    pub began: bool,
    pub sent: bool,
    pub counted: bool,
    /// The ids that were passed on.
    pub sequence: Sequence,
    pub prev: Option<String>,
    pub tail: Option<Item>,
    pub passed: u64,
    pub opened: u64,
    pub hand: Option<(LegNo, Handover)>,
    pub reserved: u64,
    pub hand_off: Option<(MoveId, Time, u64)>,
    pub over: bool,
    pub heard: Time,
    pub ticked: Time,
    pub stream: bool,
    /// Another run that may go on with the stream while its own runner is silent.
    pub standby: Option<LegNo>,
    /// No standby is looked for before.
    pub standby_next: Time,
}

impl Ride {
    pub fn new(order: Order) -> Ride {
        let sequence = Sequence::after(order.last.clone());
        Ride {
            order,
            legs: Vec::new(),
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
            opened: 0,
            hand: None,
            reserved: 0,
            hand_off: None,
            over: false,
            heard: Time(0),
            ticked: Time(0),
            stream: false,
            standby: None,
            standby_next: Time(0),
        }
    }

    pub fn step(&mut self, now: Time, ev: In, gate: &mut Gate) -> Vec<Out> {
        let mut out = Vec::new();
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
            In::OpenFailed { leg, why } => self.open_failed(now, leg, why, gate, &mut out),
            In::Lost { leg } => self.lost(now, leg, gate, &mut out),
            In::Shed { leg, gone } => self.shed(now, leg, gone, gate, &mut out),
            In::Load { leg, load } => self.told_load(now, leg, load, gate),
            In::Head { leg, status, stream } => self.head(now, leg, status, stream, gate, &mut out),
            In::Chunk { leg, raw } => self.chunk(now, leg, &raw, gate, &mut out),
            In::End { leg } => self.ended(now, leg, gate, &mut out),
            In::Gone => {
                gate.inbox.drop_id(self.order.id);
                gate.count("caller_gone");
                self.close_all(now, gate, &mut out);
            }
            In::Tick => self.tick(now, gate, &mut out),
        }
        out
    }

    fn is_stray(&self, ev: &In) -> bool {
        let leg = match ev {
            In::OpenFailed { leg, .. } | In::Lost { leg } | In::Head { leg, .. } => leg,
            In::Shed { leg, .. } | In::Load { leg, .. } => leg,
            In::Chunk { leg, .. } | In::End { leg } => leg,
            _ => return false,
        };
        self.legs.iter().all(|l| l.no != *leg)
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
            Plan::Wait(_) => out.push(Out::Wait { avoid: self.avoid.clone() }),
            Plan::Refuse(r) => self.refuse(now, r, gate, out),
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

    pub fn open(&mut self, now: Time, runner: Runner, last: Option<String>, out: &mut Vec<Out>) -> LegNo {
        let no = self.next;
        self.next += 1;
        self.heard = now;
        self.legs.push(Leg::new(no, runner.clone(), now));
        out.push(Out::Open { leg: no, runner, last });
        no
    }

    pub fn close(&mut self, now: Time, leg: LegNo, good: Option<bool>, gate: &mut Gate, out: &mut Vec<Out>) {
        let Some(at) = self.legs.iter().position(|l| l.no == leg) else { return };
        let l = self.legs.remove(at);
        out.push(Out::Close { leg });
        gate.release(now, &l.runner.instance, &self.order.model, good);
    }

    pub fn close_all(&mut self, now: Time, gate: &mut Gate, out: &mut Vec<Out>) {
        self.over = true;
        self.hand = None;
        self.standby = None;
        gate.tries.give_back(std::mem::take(&mut self.reserved));
        let all: Vec<LegNo> = self.legs.iter().map(|l| l.no).collect();
        for leg in all {
            self.close(now, leg, None, gate, out);
        }
    }
}
