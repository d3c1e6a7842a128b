//! What follows when a runner cannot be reached, or is lost with a request under way.

use super::request::*;
use crate::fleet::config::RouteKind;
use crate::gate::order::Why;
use crate::gate::{Gate, Plan, Refusal};
use crate::kernel::time::Time;

impl RequestFlow {
    pub fn open_failed(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        why: Option<Why>,
        gate: &mut Gate,
        out: &mut Vec<Out>,
    ) {
        self.opened = self.opened.saturating_sub(1);
        let Some(runner) = self.attempt(attempt).map(|l| l.runner.instance.clone()) else { return };
        let good = if why.is_none() { Some(false) } else { None };
        self.close(now, attempt, good, gate, out);
        if self.began || self.sent {
            return self.resume(now, runner, gate, out);
        }
        match why {
            Some(Why::Due) => self.refuse(now, Refusal::new(Why::Due, 1), gate, out),
            Some(_) => {
                let plan = gate.plan(now, &self.order, &self.avoid);
                self.again(now, plan, gate, out);
            }
            None => {
                gate.unreachable(now, &runner);
                gate.count("open_failed");
                self.avoid.push(runner);
                if !gate.tries.spend() {
                    return self.refuse(now, Refusal::new(Why::NoBudget, 1), gate, out);
                }
                let plan = gate.plan(now, &self.order, &self.avoid);
                self.again(now, plan, gate, out);
            }
        }
    }

    pub fn again(&mut self, now: Time, plan: Plan, gate: &mut Gate, out: &mut Vec<Out>) {
        match plan {
            Plan::Send(runner) => self.open_main(now, runner, out),
            Plan::Wait(_) => self.wait(out),
            Plan::Refuse(r) => self.refuse(now, r, gate, out),
        }
    }

    pub fn lost(&mut self, now: Time, attempt: AttemptNo, gate: &mut Gate, out: &mut Vec<Out>) {
        let Some(runner) = self.attempt(attempt).map(|l| l.runner.instance.clone()) else { return };
        self.source_failed(now, gate, out);
        self.sent = true;
        self.close(now, attempt, Some(false), gate, out);
        gate.count("lost");
        if self.stream || !self.began || self.order.kind == RouteKind::Idempotent {
            return self.resume(now, runner, gate, out);
        }
        self.refuse(now, Refusal::new(Why::NoRunner, 1), gate, out);
    }
}
