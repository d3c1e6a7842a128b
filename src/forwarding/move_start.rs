//! The start of a planned move of a stream to another runner.

use super::request::*;
use crate::gate::Balancer;
use crate::kernel::ids::MoveId;
use crate::kernel::time::{Span, Time};
use crate::transfer::Handover;

/// Failures after which a move is no longer tried for a request.
const MOVE_ATTEMPTS_MAX: u64 = 5;
/// Attempts reserved for a move: for its first round and for the cut.
const MOVE_RESERVED_ATTEMPTS: u64 = 2;
/// Pause before a move that failed or was postponed is tried again.
pub(super) const MOVE_RETRY_PAUSE: Span = Span::ms(1000);

impl RequestFlow {
    /// How often this move has failed for the request.
    pub(super) fn handover_attempts(&self, id: MoveId) -> u64 {
        self.last_handover.filter(|o| o.0 == id).map_or(0, |o| o.2)
    }

    /// Begins a move if one is planned for the runner and slot, attempts and retry credit allow it.
    pub(super) fn begin_handover(&mut self, now: Time, balancer: &mut Balancer, out: &mut Vec<FlowAction>) {
        let main = self.main;
        let Some(from) = self.runner_of(main) else { return };
        let Some(plan) = balancer.move_from(&from, &self.spec.model) else { return };
        if let Some((id, after, n)) = self.last_handover
            && id == plan.id
            && (now < after || n >= MOVE_ATTEMPTS_MAX)
        {
            return;
        }
        if self.attempts_opened >= self.spec.max_attempts {
            return;
        }
        let Some(s) = balancer.slice.clone() else { return };
        if !balancer.has_slot(now, &plan.to) {
            self.last_handover = Some((plan.id, now + MOVE_RETRY_PAUSE, self.handover_attempts(plan.id)));
            balancer.move_report_mut(plan.id).postponed += 1;
            return;
        }
        if !balancer.retry_budget.try_reserve(MOVE_RESERVED_ATTEMPTS) {
            balancer.move_report_mut(plan.id).postponed += 1;
            self.last_handover = Some((plan.id, now + MOVE_RETRY_PAUSE, self.handover_attempts(plan.id)));
            return;
        }
        self.reserved_attempts = MOVE_RESERVED_ATTEMPTS;
        self.attempts_opened += 1;
        let rules = (s.moving.clone(), self.spec.run_contract);
        let last = self.sequence.last().map(|last| last.to_string());
        let (handover, steps) = Handover::new(plan.id, plan.to.clone(), rules, now, last);
        self.handover = Some((0, handover));
        self.apply_handover(now, steps, balancer, out);
    }
}
