use super::request::*;
use crate::gate::order::Why;
use crate::gate::{Gate, Refusal};
use crate::kernel::ids::MoveId;
use crate::kernel::time::{Span, Time};
use crate::transfer::Handover;
use crate::transfer::event_buffer::Item;
use crate::transfer::handover::Out as Hand;

const AGAIN: Span = Span::ms(1000);
const ATTEMPTS: u64 = 5;
const NEEDS: u64 = 2;

impl RequestFlow {
    /// An event of the run that a stream is being moved to, other than a piece of its answer.
    pub fn dest_event(&mut self, now: Time, ev: In, gate: &mut Gate, out: &mut Vec<Out>) {
        match ev {
            In::OpenFailed { .. } => self.dest_failed(now, "the destination could not be reached", gate, out),
            In::Lost { .. } => self.dest_failed(now, "the destination failed", gate, out),
            In::Shed { .. } => self.dest_failed(now, "the destination turned it away", gate, out),
            In::Head { attempt, status, stream } => {
                self.heard = now;
                if stream && status == 200 {
                    return self.head_came(attempt);
                }
                self.dest_failed(now, "the destination did not answer with a stream", gate, out);
            }
            In::End { attempt, end } => {
                if let Some(run) = self.attempt(attempt) {
                    run.ended = Some(end);
                }
                self.dest_ended(now, gate, out);
            }
            _ => {}
        }
    }

    pub fn main_item(&mut self, now: Time, item: Item, gate: &mut Gate, out: &mut Vec<Out>) {
        let Some((_, hand)) = &mut self.hand else { return self.pass_item(item, out) };
        let steps = hand.source(now, item);
        self.apply(now, steps, gate, out);
    }

    pub fn dest_item(&mut self, now: Time, item: Item, gate: &mut Gate, out: &mut Vec<Out>) {
        let Some((_, hand)) = &mut self.hand else { return };
        let steps = hand.dest(now, item);
        self.apply(now, steps, gate, out);
    }

    pub fn dest_failed(&mut self, now: Time, why: &'static str, gate: &mut Gate, out: &mut Vec<Out>) {
        let Some((_, hand)) = &mut self.hand else { return };
        let steps = hand.dest_failed(why);
        self.apply(now, steps, gate, out);
    }

    pub fn dest_ended(&mut self, now: Time, gate: &mut Gate, out: &mut Vec<Out>) {
        let Some((_, hand)) = &mut self.hand else { return };
        let steps = hand.dest_end();
        self.apply(now, steps, gate, out);
    }

    pub fn source_ended(&mut self, now: Time, gate: &mut Gate, out: &mut Vec<Out>) {
        let Some((_, hand)) = &mut self.hand else { return };
        let steps = hand.source_end();
        self.apply(now, steps, gate, out);
    }

    pub fn source_failed(&mut self, now: Time, gate: &mut Gate, out: &mut Vec<Out>) {
        let Some((_, hand)) = &mut self.hand else { return };
        let steps = hand.source_failed();
        self.apply(now, steps, gate, out);
    }

    fn apply(&mut self, now: Time, steps: Vec<Hand>, gate: &mut Gate, out: &mut Vec<Out>) {
        for step in steps {
            match step {
                Hand::Pass(item) => self.pass_item(item, out),
                Hand::CloseDest => {
                    if let Some(attempt) = self.hand.as_ref().map(|h| h.0) {
                        self.close(now, attempt, None, gate, out);
                    }
                }
                Hand::Open { last, cut } => {
                    let Some((_, hand)) = &self.hand else { return };
                    let (id, to) = (hand.id, hand.to.clone());
                    let kept = cut || hand.round == 1;
                    if !self.open_dest(now, id, &to, (last, kept), gate, out) {
                        let Some((_, hand)) = &mut self.hand else { return };
                        let more = hand.dest_failed("the destination is not listed, or the budget is spent");
                        return self.apply(now, more, gate, out);
                    }
                }
                Hand::Switch => self.switch(now, gate, out),
                Hand::Abort(why) => {
                    let Some((_, hand)) = self.hand.take() else { return };
                    gate.tries.give_back(std::mem::take(&mut self.reserved));
                    gate.move_row(hand.id).aborted += 1;
                    self.hand_off = Some((hand.id, now + AGAIN, self.tried(hand.id) + 1));
                    out.push(Out::Told("move-aborted", format!("{} {why}", hand.id)));
                }
                Hand::Abandon => {
                    let Some((_, hand)) = self.hand.take() else { return };
                    gate.tries.give_back(std::mem::take(&mut self.reserved));
                    gate.move_row(hand.id).aborted += 1;
                    out.push(Out::Told("move-abandoned", format!("{} the source finished", hand.id)));
                }
            }
        }
        let main = self.main;
        if self.hand.is_none()
            && let Some(end) = self.attempt(main).and_then(|l| l.ended)
        {
            self.ended(now, main, end, gate, out);
        }
    }

    fn open_dest(
        &mut self,
        now: Time,
        id: MoveId,
        to: &crate::kernel::ids::Name,
        (last, kept): (Option<String>, bool),
        gate: &mut Gate,
        out: &mut Vec<Out>,
    ) -> bool {
        let listed = gate.slice.as_ref().and_then(|s| s.runners.iter().find(|r| r.instance == *to).cloned());
        let marked = gate.health.get(to).is_some_and(|h| h.leaving);
        let Some(runner) = listed.filter(|r| !r.leaving && !marked) else { return false };
        if kept && self.reserved > 0 {
            self.reserved -= 1;
            gate.tries.spend_held();
        } else if !gate.tries.spend() {
            return false;
        }
        gate.move_row(id).tries += 1;
        gate.take(now, &runner, &self.order);
        let heard = self.heard;
        let no = self.open(now, runner, last, out);
        self.heard = heard;
        if let Some(h) = &mut self.hand {
            h.0 = no;
        }
        true
    }

    fn switch(&mut self, now: Time, gate: &mut Gate, out: &mut Vec<Out>) {
        let Some((attempt, hand)) = self.hand.take() else { return };
        let old = self.main;
        self.main = attempt;
        self.heard = now;
        self.close(now, old, None, gate, out);
        gate.move_row(hand.id).moved += 1;
        let text = format!("{} rounds={} gaps={:?} ms={:?}", hand.id, hand.round, hand.gaps, hand.rounds_ms);
        out.push(Out::Told("move-done", text));
    }

    fn tried(&self, id: MoveId) -> u64 {
        self.hand_off.filter(|o| o.0 == id).map_or(0, |o| o.2)
    }

    fn begin(&mut self, now: Time, gate: &mut Gate, out: &mut Vec<Out>) {
        let main = self.main;
        let Some(from) = self.runner_of(main) else { return };
        let Some(plan) = gate.move_from(&from, &self.order.model) else { return };
        if let Some((id, after, n)) = self.hand_off
            && id == plan.id
            && (now < after || n >= ATTEMPTS)
        {
            return;
        }
        if self.opened >= self.order.tries {
            return;
        }
        let Some(s) = gate.slice.clone() else { return };
        if !gate.has_slot(now, &plan.to) {
            self.hand_off = Some((plan.id, now + AGAIN, self.tried(plan.id)));
            gate.move_row(plan.id).postponed += 1;
            return;
        }
        if !gate.tries.reserve(NEEDS) {
            gate.move_row(plan.id).postponed += 1;
            self.hand_off = Some((plan.id, now + AGAIN, self.tried(plan.id)));
            return;
        }
        self.reserved = NEEDS;
        self.opened += 1;
        let rules = (s.moving.clone(), self.order.runs);
        let last = self.sequence.last().map(|last| last.to_string());
        let (hand, steps) = Handover::new(plan.id, plan.to.clone(), rules, now, last);
        self.hand = Some((0, hand));
        self.apply(now, steps, gate, out);
    }

    pub fn tick(&mut self, now: Time, gate: &mut Gate, out: &mut Vec<Out>) {
        let slept = now.since(self.ticked) > SLEPT && self.ticked != Time(0);
        self.ticked = now;
        if slept {
            self.heard = now;
        }
        if self.attempts.is_empty() {
            return;
        }
        let main = self.main;
        let Some(runner) = self.runner_of(main) else { return };
        let idle = now.since(self.heard);
        let dark = self.may_run_again() && gate.dark(now, &runner) && idle > DARK_QUIET;
        if !self.began && now >= self.order.end {
            self.sent = true;
            gate.count("due_after_send");
            self.close(now, main, Some(false), gate, out);
            self.close_all(now, gate, out);
            let text = "the runner did not answer within the due; it may still run";
            return out.push(Out::Unknown(504, text));
        }
        if self.began && self.order.whole_by.is_some_and(|by| now >= by) {
            gate.count("due_in_answer");
            self.close_all(now, gate, out);
            return out.push(Out::Break("the answer was not complete within the time of its route"));
        }
        let waits = self.standby.is_none() && now >= self.standby_next;
        let silent = waits && self.silence().is_some_and(|s| idle > s) && gate.tries.credit() >= 1.0;
        if silent {
            gate.count("runner_silent");
            gate.unreachable(now, &runner);
        }
        if (dark || silent) && self.has_standby_rights() && idle <= QUIET {
            self.open_standby(now, &runner, gate, out);
        } else if self.began && idle > QUIET || dark || silent {
            out.push(Out::Told("runner-quiet", format!("{runner} {idle}")));
            let more = self.step(now, In::Lost { attempt: main }, gate);
            return out.extend(more);
        }
        if let Some((_, hand)) = &mut self.hand {
            let (id, steps) = (hand.id, hand.tick(now));
            let gone = gate.move_from(&runner, &self.order.model).is_none_or(|m| m.id != id);
            let steps = if steps.is_empty() && gone { hand.withdrawn() } else { steps };
            return self.apply(now, steps, gate, out);
        }
        if self.has_standby_rights() && self.standby.is_none() {
            self.begin(now, gate, out);
        }
    }

    pub fn expired(&mut self, now: Time, gate: &mut Gate) -> Vec<Out> {
        let mut out = Vec::new();
        self.refuse(now, Refusal::new(Why::Due, 1), gate, &mut out);
        out
    }
}
