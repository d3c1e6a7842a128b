//! What a request does with the decisions of its balancer.

use super::request::*;
use crate::gate::order::RefusalReason;
use crate::gate::{Balancer, Refusal, RoutingDecision};
use crate::kernel::time::Time;

impl RequestFlow {
    /// Has the balancer decide on a request that has just arrived.
    pub(super) fn start(&mut self, now: Time, balancer: &mut Balancer, out: &mut Vec<FlowAction>) {
        if !self.pay_owed_retry(balancer) {
            return self.refuse(now, Refusal::new(RefusalReason::RetryBudgetSpent, 1), balancer, out);
        }
        let decision = balancer.route_new(now, &self.spec);
        self.apply_decision(now, decision, balancer, out);
    }

    /// Carries out the balancer's decision on a first or further attempt.
    pub(super) fn apply_decision(
        &mut self,
        now: Time,
        decision: RoutingDecision,
        balancer: &mut Balancer,
        out: &mut Vec<FlowAction>,
    ) {
        match decision {
            RoutingDecision::Send(runner) => {
                if !self.is_counted {
                    self.is_counted = true;
                    balancer.retry_budget.record_first_send();
                }
                self.open_main(now, runner, out);
            }
            RoutingDecision::Wait(_) => self.wait_for_runner(now, out),
            RoutingDecision::Readmit => self.leave_for_readmission(now, balancer, out),
            RoutingDecision::Refuse(r) => self.refuse(now, r, balancer, out),
        }
    }

    /// Whether it waits for a runner.
    pub fn is_waiting(&self) -> bool {
        self.is_waiting
    }

    /// Queues the request.
    pub fn wait_for_runner(&mut self, now: Time, out: &mut Vec<FlowAction>) {
        self.is_waiting = true;
        self.waiting_since.get_or_insert(now);
        out.push(FlowAction::Wait { avoid: self.avoid.clone() });
    }

    /// Frees the slot of a decision that came after the request stopped waiting.
    pub(super) fn return_unused_slot(&self, now: Time, decision: &RoutingDecision, balancer: &mut Balancer) {
        if let RoutingDecision::Send(runner) = decision {
            balancer.count("plan_untaken");
            balancer.release_slot(now, &runner.instance, &self.spec.model, None);
        }
    }
}
