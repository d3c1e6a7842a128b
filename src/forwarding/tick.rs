//! The periodic check of a request: deadlines, silent runners without report, and the progress of a move.

use super::request::*;
use crate::gate::order::RefusalReason;
use crate::gate::{Balancer, Refusal};
use crate::kernel::time::Time;

impl RequestFlow {
    /// Checks deadlines, silence and the move in progress.
    pub fn tick(&mut self, now: Time, balancer: &mut Balancer, out: &mut Vec<FlowAction>) {
        let slept = now.since(self.ticked_at) > PROCESS_PAUSE && self.ticked_at != Time(0);
        self.ticked_at = now;
        if slept {
            self.heard_at = now;
        }
        if self.attempts.is_empty() {
            return;
        }
        let main = self.main;
        let Some(runner) = self.runner_of(main) else { return };
        let idle = now.since(self.heard_at);
        let dark =
            self.may_run_again() && balancer.is_report_stale(now, &runner) && idle > UNREPORTED_SILENCE_LIMIT;
        if !self.is_answer_started && now >= self.spec.answer_deadline {
            self.may_have_run = true;
            balancer.count("due_after_send");
            self.close(now, main, Some(false), balancer, out);
            self.close_all(now, balancer, out);
            let text = "the runner did not answer within the due; it may still run";
            return out.push(FlowAction::OutcomeUnknown(504, text));
        }
        if self.is_answer_started && self.spec.completion_deadline.is_some_and(|by| now >= by) {
            balancer.count("due_in_answer");
            self.close_all(now, balancer, out);
            return out.push(FlowAction::Abort("the answer was not complete within the time of its route"));
        }
        let waits = self.standby.is_none() && now >= self.next_standby_at;
        let silent =
            waits && self.silence_limit().is_some_and(|s| idle > s) && balancer.retry_budget.credit() >= 1.0;
        if silent {
            balancer.count("runner_silent");
            balancer.on_unreachable(now, &runner);
        }
        if (dark || silent) && self.may_open_standby() && idle <= SILENCE_LIMIT {
            self.open_standby(now, &runner, balancer, out);
        } else if self.is_answer_started && idle > SILENCE_LIMIT || dark || silent {
            out.push(FlowAction::Log("runner-quiet", format!("{runner} {idle}")));
            let more = self.step(now, FlowEvent::Lost { attempt: main }, balancer);
            return out.extend(more);
        }
        if let Some((_, handover)) = &mut self.handover {
            let (id, steps) = (handover.id, handover.tick(now));
            let gone = balancer.move_from(&runner, &self.spec.model).is_none_or(|m| m.id != id);
            let steps = if steps.is_empty() && gone { handover.on_plan_withdrawn() } else { steps };
            return self.apply_handover(now, steps, balancer, out);
        }
        if self.may_open_standby() && self.standby.is_none() {
            self.begin_handover(now, balancer, out);
        }
    }

    /// Refuses the request, as its deadline has passed.
    pub fn on_deadline(&mut self, now: Time, balancer: &mut Balancer) -> Vec<FlowAction> {
        let mut out = Vec::new();
        self.refuse(now, Refusal::new(RefusalReason::DeadlinePassed, 1), balancer, &mut out);
        out
    }
}
