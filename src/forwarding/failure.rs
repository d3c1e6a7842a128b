//! What happens when the main attempt cannot be opened or is lost.

use super::request::*;
use crate::fleet::config::RouteKind;
use crate::gate::order::RefusalReason;
use crate::gate::{Balancer, Refusal};
use crate::kernel::time::Time;

impl RequestFlow {
    /// Handles an attempt of which nothing was sent: tries another runner, on the retry budget if the runner was unreachable.
    pub fn on_open_failed(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        why: Option<RefusalReason>,
        balancer: &mut Balancer,
        out: &mut Vec<FlowAction>,
    ) {
        self.attempts_opened = self.attempts_opened.saturating_sub(1);
        let Some(runner) = self.attempt(attempt).map(|run| run.runner.instance.clone()) else { return };
        let good = if why.is_none() { Some(false) } else { None };
        self.close(now, attempt, good, balancer, out);
        if self.is_answer_started || self.may_have_run {
            return self.resume(now, runner, balancer, out);
        }
        match why {
            Some(RefusalReason::DeadlinePassed) => {
                self.refuse(now, Refusal::new(RefusalReason::DeadlinePassed, 1), balancer, out)
            }
            Some(_) => {
                let decision = balancer.route(now, &self.spec, &self.avoid);
                self.apply_decision(now, decision, balancer, out);
            }
            None => {
                balancer.on_unreachable(now, &runner);
                balancer.count("open_failed");
                self.avoid.push(runner);
                if !balancer.retry_budget.try_spend() {
                    return self.refuse(now, Refusal::new(RefusalReason::RetryBudgetSpent, 1), balancer, out);
                }
                let decision = balancer.route(now, &self.spec, &self.avoid);
                self.apply_decision(now, decision, balancer, out);
            }
        }
    }

    /// Handles the loss of the main attempt: continues elsewhere if the request may run again.
    pub fn on_main_lost(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        balancer: &mut Balancer,
        out: &mut Vec<FlowAction>,
    ) {
        let Some(runner) = self.attempt(attempt).map(|run| run.runner.instance.clone()) else { return };
        self.on_source_failed(now, balancer, out);
        self.may_have_run = true;
        self.close(now, attempt, Some(false), balancer, out);
        balancer.count("lost");
        if self.is_stream || !self.is_answer_started || self.spec.route_kind == RouteKind::Idempotent {
            return self.resume(now, runner, balancer, out);
        }
        self.refuse(now, Refusal::new(RefusalReason::NoRunner, 1), balancer, out);
    }
}
