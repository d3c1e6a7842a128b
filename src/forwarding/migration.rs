use super::request::*;
use crate::gate::Balancer;
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
    pub fn dest_event(&mut self, now: Time, ev: In, balancer: &mut Balancer, out: &mut Vec<Out>) {
        match ev {
            In::OpenFailed { .. } => {
                self.dest_failed(now, "the destination could not be reached", balancer, out)
            }
            In::Lost { .. } => self.dest_failed(now, "the destination failed", balancer, out),
            In::Shed { .. } => self.dest_failed(now, "the destination turned it away", balancer, out),
            In::Head { attempt, status, stream } => {
                self.heard = now;
                if stream && status == 200 {
                    return self.head_came(attempt);
                }
                self.dest_failed(now, "the destination did not answer with a stream", balancer, out);
            }
            In::End { attempt, end } => {
                if let Some(run) = self.attempt(attempt) {
                    run.ended = Some(end);
                }
                self.dest_ended(now, balancer, out);
            }
            _ => {}
        }
    }

    pub fn main_item(&mut self, now: Time, item: Item, balancer: &mut Balancer, out: &mut Vec<Out>) {
        let Some((_, hand)) = &mut self.hand else { return self.pass_item(item, out) };
        let steps = hand.source(now, item);
        self.apply(now, steps, balancer, out);
    }

    pub fn dest_item(&mut self, now: Time, item: Item, balancer: &mut Balancer, out: &mut Vec<Out>) {
        let Some((_, hand)) = &mut self.hand else { return };
        let steps = hand.dest(now, item);
        self.apply(now, steps, balancer, out);
    }

    pub fn dest_failed(&mut self, now: Time, why: &'static str, balancer: &mut Balancer, out: &mut Vec<Out>) {
        let Some((_, hand)) = &mut self.hand else { return };
        let steps = hand.dest_failed(why);
        self.apply(now, steps, balancer, out);
    }

    pub fn dest_ended(&mut self, now: Time, balancer: &mut Balancer, out: &mut Vec<Out>) {
        let Some((_, hand)) = &mut self.hand else { return };
        let steps = hand.dest_end();
        self.apply(now, steps, balancer, out);
    }

    pub fn source_ended(&mut self, now: Time, balancer: &mut Balancer, out: &mut Vec<Out>) {
        let Some((_, hand)) = &mut self.hand else { return };
        let steps = hand.source_end();
        self.apply(now, steps, balancer, out);
    }

    pub fn source_failed(&mut self, now: Time, balancer: &mut Balancer, out: &mut Vec<Out>) {
        let Some((_, hand)) = &mut self.hand else { return };
        let steps = hand.source_failed();
        self.apply(now, steps, balancer, out);
    }

    pub(super) fn apply(&mut self, now: Time, steps: Vec<Hand>, balancer: &mut Balancer, out: &mut Vec<Out>) {
        for step in steps {
            match step {
                Hand::Pass(item) => self.pass_item(item, out),
                Hand::CloseDest => {
                    if let Some(attempt) = self.hand.as_ref().map(|h| h.0) {
                        self.close(now, attempt, None, balancer, out);
                    }
                }
                Hand::Open { last, cut } => {
                    let Some((_, hand)) = &self.hand else { return };
                    let (id, to) = (hand.id, hand.to.clone());
                    let kept = cut || hand.round == 1;
                    if !self.open_dest(now, id, &to, (last, kept), balancer, out) {
                        let Some((_, hand)) = &mut self.hand else { return };
                        let more = hand.dest_failed("the destination is not listed, or the budget is spent");
                        return self.apply(now, more, balancer, out);
                    }
                }
                Hand::Switch => self.switch(now, balancer, out),
                Hand::Abort(why) => {
                    let Some((_, hand)) = self.hand.take() else { return };
                    balancer.retry_budget.return_reserved(std::mem::take(&mut self.reserved));
                    balancer.move_report_mut(hand.id).aborted += 1;
                    self.hand_off = Some((hand.id, now + AGAIN, self.tried(hand.id) + 1));
                    out.push(Out::Told("move-aborted", format!("{} {why}", hand.id)));
                }
                Hand::Abandon => {
                    let Some((_, hand)) = self.hand.take() else { return };
                    balancer.retry_budget.return_reserved(std::mem::take(&mut self.reserved));
                    balancer.move_report_mut(hand.id).aborted += 1;
                    out.push(Out::Told("move-abandoned", format!("{} the source finished", hand.id)));
                }
            }
        }
        let main = self.main;
        if self.hand.is_none()
            && let Some(end) = self.attempt(main).and_then(|l| l.ended)
        {
            self.ended(now, main, end, balancer, out);
        }
    }

    fn open_dest(
        &mut self,
        now: Time,
        id: MoveId,
        to: &crate::kernel::ids::Name,
        (last, kept): (Option<String>, bool),
        balancer: &mut Balancer,
        out: &mut Vec<Out>,
    ) -> bool {
        let listed =
            balancer.slice.as_ref().and_then(|s| s.runners.iter().find(|r| r.instance == *to).cloned());
        let marked = balancer.health.get(to).is_some_and(|h| h.is_leaving);
        let Some(runner) = listed.filter(|r| !r.leaving && !marked) else { return false };
        if kept && self.reserved > 0 {
            self.reserved -= 1;
            balancer.retry_budget.spend_reserved();
        } else if !balancer.retry_budget.try_spend() {
            return false;
        }
        balancer.move_report_mut(id).tries += 1;
        balancer.claim_slot(now, &runner, &self.spec);
        let heard = self.heard;
        let no = self.open(now, runner, last, out);
        self.heard = heard;
        if let Some(h) = &mut self.hand {
            h.0 = no;
        }
        true
    }

    fn switch(&mut self, now: Time, balancer: &mut Balancer, out: &mut Vec<Out>) {
        let Some((attempt, hand)) = self.hand.take() else { return };
        let old = self.main;
        self.main = attempt;
        self.heard = now;
        self.close(now, old, None, balancer, out);
        balancer.move_report_mut(hand.id).moved += 1;
        let text = format!("{} rounds={} gaps={:?} ms={:?}", hand.id, hand.round, hand.gaps, hand.rounds_ms);
        out.push(Out::Told("move-done", text));
    }

    fn tried(&self, id: MoveId) -> u64 {
        self.hand_off.filter(|o| o.0 == id).map_or(0, |o| o.2)
    }

    pub(super) fn begin(&mut self, now: Time, balancer: &mut Balancer, out: &mut Vec<Out>) {
        let main = self.main;
        let Some(from) = self.runner_of(main) else { return };
        let Some(plan) = balancer.move_from(&from, &self.spec.model) else { return };
        if let Some((id, after, n)) = self.hand_off
            && id == plan.id
            && (now < after || n >= ATTEMPTS)
        {
            return;
        }
        if self.opened >= self.spec.max_attempts {
            return;
        }
        let Some(s) = balancer.slice.clone() else { return };
        if !balancer.has_slot(now, &plan.to) {
            self.hand_off = Some((plan.id, now + AGAIN, self.tried(plan.id)));
            balancer.move_report_mut(plan.id).postponed += 1;
            return;
        }
        if !balancer.retry_budget.try_reserve(NEEDS) {
            balancer.move_report_mut(plan.id).postponed += 1;
            self.hand_off = Some((plan.id, now + AGAIN, self.tried(plan.id)));
            return;
        }
        self.reserved = NEEDS;
        self.opened += 1;
        let rules = (s.moving.clone(), self.spec.run_contract);
        let last = self.sequence.last().map(|last| last.to_string());
        let (hand, steps) = Handover::new(plan.id, plan.to.clone(), rules, now, last);
        self.hand = Some((0, hand));
        self.apply(now, steps, balancer, out);
    }
}
