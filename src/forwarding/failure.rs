//! What follows when a runner cannot be reached, or is lost with a request under way.

use super::request::*;
use crate::fleet::config::RouteKind;
use crate::gate::order::RefusalReason;
use crate::gate::{Balancer, Refusal, RoutingDecision};
use crate::kernel::time::Time;

impl RequestFlow {
    pub fn open_failed(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        why: Option<RefusalReason>,
        balancer: &mut Balancer,
        out: &mut Vec<Out>,
    ) {
        self.opened = self.opened.saturating_sub(1);
        let Some(runner) = self.attempt(attempt).map(|l| l.runner.instance.clone()) else { return };
        let good = if why.is_none() { Some(false) } else { None };
        self.close(now, attempt, good, balancer, out);
        if self.began || self.sent {
            return self.resume(now, runner, balancer, out);
        }
        match why {
            Some(RefusalReason::DeadlinePassed) => {
                self.refuse(now, Refusal::new(RefusalReason::DeadlinePassed, 1), balancer, out)
            }
            Some(_) => {
                let plan = balancer.route(now, &self.spec, &self.avoid);
                self.again(now, plan, balancer, out);
            }
            None => {
                balancer.on_unreachable(now, &runner);
                balancer.count("open_failed");
                self.avoid.push(runner);
                if !balancer.retry_budget.try_spend() {
                    return self.refuse(now, Refusal::new(RefusalReason::RetryBudgetSpent, 1), balancer, out);
                }
                let plan = balancer.route(now, &self.spec, &self.avoid);
                self.again(now, plan, balancer, out);
            }
        }
    }

    pub fn again(&mut self, now: Time, plan: RoutingDecision, balancer: &mut Balancer, out: &mut Vec<Out>) {
        match plan {
            RoutingDecision::Send(runner) => self.open_main(now, runner, out),
            RoutingDecision::Wait(_) => self.wait(out),
            RoutingDecision::Refuse(r) => self.refuse(now, r, balancer, out),
        }
    }

    pub fn lost(&mut self, now: Time, attempt: AttemptNo, balancer: &mut Balancer, out: &mut Vec<Out>) {
        let Some(runner) = self.attempt(attempt).map(|l| l.runner.instance.clone()) else { return };
        self.source_failed(now, balancer, out);
        self.sent = true;
        self.close(now, attempt, Some(false), balancer, out);
        balancer.count("lost");
        if self.stream || !self.began || self.spec.route_kind == RouteKind::Idempotent {
            return self.resume(now, runner, balancer, out);
        }
        self.refuse(now, Refusal::new(RefusalReason::NoRunner, 1), balancer, out);
    }
}
