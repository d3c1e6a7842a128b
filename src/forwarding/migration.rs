//! Planned moves of a stream to another runner: drives a `transfer::Handover` and performs its actions.

use super::move_start::MOVE_RETRY_PAUSE;
use super::request::*;
use crate::gate::Balancer;
use crate::kernel::ids::MoveId;
use crate::kernel::time::Time;
use crate::transfer::event_buffer::StreamEvent;
use crate::transfer::handover::HandoverAction;

impl RequestFlow {
    /// Handles an event of the destination, other than a piece of its answer.
    pub fn on_destination_event(
        &mut self,
        now: Time,
        ev: FlowEvent,
        balancer: &mut Balancer,
        out: &mut Vec<FlowAction>,
    ) {
        match ev {
            FlowEvent::OpenFailed { .. } => {
                self.on_destination_failed(now, "the destination could not be reached", balancer, out)
            }
            FlowEvent::Lost { .. } => {
                self.on_destination_failed(now, "the destination failed", balancer, out)
            }
            FlowEvent::Rejected { .. } => {
                self.on_destination_failed(now, "the destination turned it away", balancer, out)
            }
            FlowEvent::Head { attempt, status, is_stream: stream } => {
                self.heard_at = now;
                if stream && status == 200 {
                    return self.on_head(attempt);
                }
                self.on_destination_failed(
                    now,
                    "the destination did not answer with a stream",
                    balancer,
                    out,
                );
            }
            FlowEvent::End { attempt, end } => {
                if let Some(run) = self.attempt(attempt) {
                    run.deferred_end = Some(end);
                }
                self.on_destination_end(now, balancer, out);
            }
            _ => {}
        }
    }

    /// Handles an event of the main attempt's stream: forwards it, or passes it to the move.
    pub fn on_source_item(
        &mut self,
        now: Time,
        item: StreamEvent,
        balancer: &mut Balancer,
        out: &mut Vec<FlowAction>,
    ) {
        let Some((_, handover)) = &mut self.handover else { return self.forward_event(item, out) };
        let steps = handover.on_source_event(now, item);
        self.apply_handover(now, steps, balancer, out);
    }

    /// Handles an event of the destination's stream.
    pub fn on_destination_item(
        &mut self,
        now: Time,
        item: StreamEvent,
        balancer: &mut Balancer,
        out: &mut Vec<FlowAction>,
    ) {
        let Some((_, handover)) = &mut self.handover else { return };
        let steps = handover.on_destination_event(now, item);
        self.apply_handover(now, steps, balancer, out);
    }

    /// The destination has failed; the stream stays.
    pub fn on_destination_failed(
        &mut self,
        now: Time,
        why: &'static str,
        balancer: &mut Balancer,
        out: &mut Vec<FlowAction>,
    ) {
        let Some((_, handover)) = &mut self.handover else { return };
        let steps = handover.on_destination_failed(why);
        self.apply_handover(now, steps, balancer, out);
    }

    /// The destination's answer has ended.
    pub fn on_destination_end(&mut self, now: Time, balancer: &mut Balancer, out: &mut Vec<FlowAction>) {
        let Some((_, handover)) = &mut self.handover else { return };
        let steps = handover.on_destination_end();
        self.apply_handover(now, steps, balancer, out);
    }

    /// The main attempt has ended; the move is abandoned.
    pub fn on_source_end(&mut self, now: Time, balancer: &mut Balancer, out: &mut Vec<FlowAction>) {
        let Some((_, handover)) = &mut self.handover else { return };
        let steps = handover.on_source_end();
        self.apply_handover(now, steps, balancer, out);
    }

    /// The main attempt has failed; the move is aborted.
    pub fn on_source_failed(&mut self, now: Time, balancer: &mut Balancer, out: &mut Vec<FlowAction>) {
        let Some((_, handover)) = &mut self.handover else { return };
        let steps = handover.on_source_failed();
        self.apply_handover(now, steps, balancer, out);
    }

    /// Performs the actions of a move.
    pub(super) fn apply_handover(
        &mut self,
        now: Time,
        steps: Vec<HandoverAction>,
        balancer: &mut Balancer,
        out: &mut Vec<FlowAction>,
    ) {
        for step in steps {
            match step {
                HandoverAction::Forward(item) => self.forward_event(item, out),
                HandoverAction::CloseDestination => {
                    if let Some(attempt) = self.handover.as_ref().map(|h| h.0) {
                        self.close(now, attempt, None, balancer, out);
                    }
                }
                HandoverAction::Open { last_event_id: last, is_cut: cut } => {
                    let Some((_, handover)) = &self.handover else { return };
                    let (id, to) = (handover.id, handover.to.clone());
                    let kept = cut || handover.round == 1;
                    if !self.open_destination(now, id, &to, (last, kept), balancer, out) {
                        let Some((_, handover)) = &mut self.handover else { return };
                        let more = handover
                            .on_destination_failed("the destination is not listed, or the budget is spent");
                        return self.apply_handover(now, more, balancer, out);
                    }
                }
                HandoverAction::Switch => self.switch_to_destination(now, balancer, out),
                HandoverAction::Abort(why) => {
                    let Some((_, handover)) = self.handover.take() else { return };
                    balancer.retry_budget.return_reserved(std::mem::take(&mut self.reserved_attempts));
                    balancer.move_report_mut(handover.id).aborted += 1;
                    self.last_handover =
                        Some((handover.id, now + MOVE_RETRY_PAUSE, self.handover_attempts(handover.id) + 1));
                    out.push(FlowAction::Log("move-aborted", format!("{} {why}", handover.id)));
                }
                HandoverAction::Abandon => {
                    let Some((_, handover)) = self.handover.take() else { return };
                    balancer.retry_budget.return_reserved(std::mem::take(&mut self.reserved_attempts));
                    balancer.move_report_mut(handover.id).aborted += 1;
                    out.push(FlowAction::Log(
                        "move-abandoned",
                        format!("{} the source finished", handover.id),
                    ));
                }
            }
        }
        let main = self.main;
        if self.handover.is_none()
            && let Some(end) = self.attempt(main).and_then(|run| run.deferred_end)
        {
            self.on_main_end(now, main, end, balancer, out);
        }
    }

    /// Opens an attempt at the destination, on reserved credit for the first round and the cut; false if that is not possible.
    fn open_destination(
        &mut self,
        now: Time,
        id: MoveId,
        to: &crate::kernel::ids::Name,
        (last, kept): (Option<String>, bool),
        balancer: &mut Balancer,
        out: &mut Vec<FlowAction>,
    ) -> bool {
        let listed =
            balancer.slice.as_ref().and_then(|s| s.runners.iter().find(|r| r.instance == *to).cloned());
        let marked = balancer.health.get(to).is_some_and(|h| h.is_leaving);
        let Some(runner) = listed.filter(|r| !r.leaving && !marked) else { return false };
        if kept && self.reserved_attempts > 0 {
            self.reserved_attempts -= 1;
            balancer.retry_budget.spend_reserved();
        } else if !balancer.retry_budget.try_spend() {
            return false;
        }
        balancer.move_report_mut(id).tries += 1;
        balancer.claim_slot(now, &runner, &self.spec);
        let heard = self.heard_at;
        let no = self.open(now, runner, last, out);
        self.heard_at = heard;
        if let Some(h) = &mut self.handover {
            h.0 = no;
        }
        true
    }

    /// Makes the destination the main attempt.
    fn switch_to_destination(&mut self, now: Time, balancer: &mut Balancer, out: &mut Vec<FlowAction>) {
        let Some((attempt, handover)) = self.handover.take() else { return };
        let old = self.main;
        self.main = attempt;
        self.heard_at = now;
        self.close(now, old, None, balancer, out);
        balancer.move_report_mut(handover.id).moved += 1;
        let text = format!(
            "{} rounds={} gaps={:?} ms={:?}",
            handover.id, handover.round, handover.gaps, handover.rounds_ms
        );
        out.push(FlowAction::Log("move-done", text));
    }
}
