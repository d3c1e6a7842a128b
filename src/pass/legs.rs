use super::resume::Joined;
use super::ride::*;
use crate::fleet::runner::Runner;
use crate::gate::{Gate, Refusal};
use crate::kernel::ids::*;
use crate::kernel::time::Time;
use crate::transfer::tape::{Item, Splitter};

/// What the first event of a run must be, so that the stream can go on with it.
#[derive(Clone, PartialEq, Debug)]
pub enum Join {
    /// The first run, or one whose first event was found right: anything goes.
    Open,
    /// The last event that was passed on, once more; it is not passed on again.
    Repeat(Item),
    /// The event behind the last one that was passed on.
    Next,
}

/// One attempt at a runner, as the request's state machine sees it.
pub struct Leg {
    pub no: LegNo,
    pub runner: Runner,
    pub cut: Splitter,
    pub head: bool,
    pub since: Time,
    pub buffer: Vec<Item>,
    pub ended: bool,
    pub join: Join,
}

impl Leg {
    pub fn new(no: LegNo, runner: Runner, since: Time) -> Leg {
        let cut = Splitter::default();
        Leg { no, runner, cut, head: false, since, buffer: Vec::new(), ended: false, join: Join::Open }
    }
}

impl Ride {
    pub fn leg(&mut self, no: LegNo) -> Option<&mut Leg> {
        self.legs.iter_mut().find(|l| l.no == no)
    }

    pub fn head(
        &mut self,
        now: Time,
        leg: LegNo,
        status: u16,
        stream: bool,
        gate: &mut Gate,
        out: &mut Vec<Out>,
    ) {
        let fit = stream && status == 200;
        if self.is_standby(leg) {
            return self.standby_head(now, leg, fit, gate, out);
        }
        self.heard = now;
        if self.is_dest(leg) {
            if !fit {
                self.dest_failed(now, "the destination did not answer with a stream", gate, out);
            } else if let Some(l) = self.leg(leg) {
                l.head = true;
            }
            return;
        }
        let Some(l) = self.leg(leg) else { return };
        l.head = true;
        let runner = l.runner.instance.clone();
        if self.began {
            if !fit {
                self.close(now, leg, Some(false), gate, out);
                self.resume(now, runner, gate, out);
            }
            return;
        }
        self.began = true;
        self.sent = true;
        self.stream = fit;
        gate.count(if status < 500 { "answered" } else { "answered_5xx" });
        out.push(Out::Head { leg });
    }

    pub fn chunk(&mut self, now: Time, leg: LegNo, raw: &bytes::Bytes, gate: &mut Gate, out: &mut Vec<Out>) {
        if self.is_standby(leg) {
            return self.standby_chunk(now, leg, raw, gate, out);
        }
        let dest = self.is_dest(leg);
        if !dest {
            self.heard = now;
            if leg != self.main {
                return;
            }
            self.source_heard(now, gate, out);
            if !(self.order.resumable && self.stream) {
                out.push(Out::Pass(raw.clone()));
                return;
            }
        }
        let Some(l) = self.leg(leg) else { return };
        let items = l.cut.add(raw);
        if l.cut.too_long() {
            return self.step_into_lost(now, leg, gate, out);
        }
        for item in items {
            if dest && self.is_dest(leg) {
                self.dest_item(now, item, gate, out);
            } else if leg == self.main {
                match self.joined(leg, &item) {
                    Joined::Goes => self.main_item(now, item, gate, out),
                    Joined::Skipped => {}
                    Joined::Differs(how) => self.main_differs(now, leg, &how, gate, out),
                }
            }
            if self.over || self.legs.iter().all(|l| l.no != leg) {
                return;
            }
        }
    }

    pub fn step_into_lost(&mut self, now: Time, leg: LegNo, gate: &mut Gate, out: &mut Vec<Out>) {
        let more = self.step(now, In::Lost { leg }, gate);
        out.extend(more);
    }

    pub fn pass_item(&mut self, item: Item, out: &mut Vec<Out>) {
        if let Some(id) = &item.id {
            self.prev = self.sequence.last().map(|last| last.to_string());
            self.sequence.push(id);
            self.tail = Some(item.clone());
        }
        self.passed += 1;
        out.push(Out::Pass(item.raw));
    }

    pub fn ended(&mut self, now: Time, leg: LegNo, gate: &mut Gate, out: &mut Vec<Out>) {
        if self.is_dest(leg) {
            if let Some(l) = self.leg(leg) {
                l.ended = true;
            }
            return self.dest_ended(now, gate, out);
        }
        if self.is_standby(leg) {
            return self.standby_failed(now, "it ended without a word", None, gate, out);
        }
        if leg != self.main {
            return;
        }
        if self.leg(leg).is_some_and(|l| l.join != Join::Open) {
            return self.step_into_lost(now, leg, gate, out);
        }
        self.source_ended(now, gate, out);
        if let Some(l) = self.leg(leg) {
            let rest = l.cut.rest();
            if !rest.is_empty() {
                out.push(Out::Pass(rest));
            }
        }
        if let Some(l) = self.leg(leg) {
            let held = now.since(l.since);
            gate.ended(&self.order.model, held);
        }
        self.close(now, leg, Some(true), gate, out);
        self.close_all(now, gate, out);
        gate.count("finished");
        out.push(Out::Finish);
    }

    /// What is known of a request as it ends without a whole answer: for the log.
    pub fn standing(&self, refusal: &Refusal, gate: &Gate) -> String {
        let last = self.sequence.last().unwrap_or("none");
        let (opened, most, credit) = (self.opened, self.order.tries, gate.tries.credit());
        let why = refusal.code();
        format!("{why} passed={} last={last} attempts={opened}/{most} credit={credit:.1}", self.passed)
    }

    pub fn runner_of(&mut self, leg: LegNo) -> Option<Name> {
        self.leg(leg).map(|l| l.runner.instance.clone())
    }
}
