//! The periodic check of a request: deadlines, silent or unreachable runners, and the progress of a move.

use super::request::*;
use crate::gate::order::RefusalReason;
use crate::gate::{Balancer, Refusal};
use crate::kernel::time::Time;

impl RequestFlow {
    pub fn tick(&mut self, now: Time, balancer: &mut Balancer, out: &mut Vec<Out>) {
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
        let dark = self.may_run_again() && balancer.is_report_stale(now, &runner) && idle > DARK_QUIET;
        if !self.began && now >= self.spec.answer_deadline {
            self.sent = true;
            balancer.count("due_after_send");
            self.close(now, main, Some(false), balancer, out);
            self.close_all(now, balancer, out);
            let text = "the runner did not answer within the due; it may still run";
            return out.push(Out::Unknown(504, text));
        }
        if self.began && self.spec.completion_deadline.is_some_and(|by| now >= by) {
            balancer.count("due_in_answer");
            self.close_all(now, balancer, out);
            return out.push(Out::Break("the answer was not complete within the time of its route"));
        }
        let waits = self.standby.is_none() && now >= self.standby_next;
        let silent =
            waits && self.silence().is_some_and(|s| idle > s) && balancer.retry_budget.credit() >= 1.0;
        if silent {
            balancer.count("runner_silent");
            balancer.on_unreachable(now, &runner);
        }
        if (dark || silent) && self.has_standby_rights() && idle <= QUIET {
            self.open_standby(now, &runner, balancer, out);
        } else if self.began && idle > QUIET || dark || silent {
            out.push(Out::Told("runner-quiet", format!("{runner} {idle}")));
            let more = self.step(now, In::Lost { attempt: main }, balancer);
            return out.extend(more);
        }
        if let Some((_, hand)) = &mut self.hand {
            let (id, steps) = (hand.id, hand.tick(now));
            let gone = balancer.move_from(&runner, &self.spec.model).is_none_or(|m| m.id != id);
            let steps = if steps.is_empty() && gone { hand.withdrawn() } else { steps };
            return self.apply(now, steps, balancer, out);
        }
        if self.has_standby_rights() && self.standby.is_none() {
            self.begin(now, balancer, out);
        }
    }

    pub fn expired(&mut self, now: Time, balancer: &mut Balancer) -> Vec<Out> {
        let mut out = Vec::new();
        self.refuse(now, Refusal::new(RefusalReason::DeadlinePassed, 1), balancer, &mut out);
        out
    }
}
