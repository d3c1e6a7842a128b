//! A request that newer routes send to another service, or on other terms, before any of it has run.
//!
//! Its state machine ends with [`FlowAction::Readmit`]. Whoever drives it has the request admitted by the newest routes
//! ([`crate::gate::readmission`]) and begins a new one with what the old one carries over. A request of which something may
//! have run stays where it ran.

use super::request::*;
use crate::gate::order::RefusalReason;
use crate::gate::{Balancer, Refusal, RequestSpec};
use crate::kernel::ids::Name;
use crate::kernel::time::Time;

/// What a request keeps when it is admitted anew.
#[derive(Clone, Debug)]
pub struct CarriedOver {
    /// The request as it was admitted before.
    pub spec: RequestSpec,
    /// Attempts that count against the limit of the route.
    attempts_opened: u64,
    /// Runners that failed or rejected it.
    avoid: Vec<Name>,
    /// Whether the retry budget of its service counted it as a first attempt.
    is_counted: bool,
}

impl RequestFlow {
    /// A request that was admitted anew as `spec`. If a runner of another service has rejected it, its next attempt draws
    /// on the retry budget as any further attempt does.
    pub fn readmitted(spec: RequestSpec, carried: CarriedOver) -> RequestFlow {
        let is_same_service = spec.service == carried.spec.service;
        let was_attempted = carried.attempts_opened > 0;
        RequestFlow {
            attempts_opened: carried.attempts_opened,
            avoid: carried.avoid,
            is_counted: was_attempted || (carried.is_counted && is_same_service),
            owes_retry: was_attempted && !is_same_service,
            ..RequestFlow::new(spec)
        }
    }

    /// Ends the request here so that it is admitted anew; one that may have run is not.
    pub(super) fn leave_for_readmission(
        &mut self,
        now: Time,
        balancer: &mut Balancer,
        out: &mut Vec<FlowAction>,
    ) {
        if self.is_answer_started || self.may_have_run {
            return self.refuse(now, Refusal::new(RefusalReason::RouteChanged, 0), balancer, out);
        }
        self.close_all(now, balancer, out);
        balancer.count("readmitted");
        let mut spec = self.spec.clone();
        spec.waiting_since = spec.waiting_since.or(self.waiting_since);
        out.push(FlowAction::Readmit(Box::new(CarriedOver {
            spec,
            attempts_opened: self.attempts_opened,
            avoid: self.avoid.clone(),
            is_counted: self.is_counted,
        })));
    }

    /// Pays for the next attempt of a request that a runner of its former service has rejected; false if it cannot go on.
    pub(super) fn pay_owed_retry(&mut self, balancer: &mut Balancer) -> bool {
        if self.attempts_opened >= self.spec.max_attempts && self.attempts_opened > 0 {
            return false;
        }
        !std::mem::take(&mut self.owes_retry) || balancer.retry_budget.try_spend()
    }
}
