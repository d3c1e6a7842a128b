//! What a balancer reports to the controllers, and what runners tell about themselves.

use super::core::Balancer;
use super::order::RequestSpec;
use super::table::BalancerTable;
use crate::fleet::state::{MovePlan, Phase};
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::{MoveProgress, RouterReport};
use crate::protocol::Load;

/// How long a request counts as demand after it was last seen waiting.
const DEMAND_RETENTION: Span = Span::ms(2000);

impl Balancer {
    /// The report of a move.
    pub fn move_report_mut(&mut self, id: MoveId) -> &mut MoveProgress {
        self.move_reports.entry(id).or_insert_with(|| MoveProgress { id, ..MoveProgress::default() })
    }

    /// The move of a model away from a runner, if streams are being moved.
    pub fn move_from(&self, runner: &Name, model: &str) -> Option<MovePlan> {
        let slice = self.slice.as_ref()?;
        let found =
            slice.moves.iter().find(|m| m.phase == Phase::Warm && m.from == *runner && m.model.0 == model);
        found.cloned()
    }

    /// Requests still in progress on the source of a move.
    fn active_on_source(&self, m: &MovePlan) -> u64 {
        self.active_requests.get(&(m.from.clone(), m.model.clone())).copied().unwrap_or(0)
    }

    /// Adds this service to the report of the router.
    pub fn fill_report(&mut self, now: Time, out: &mut RouterReport) {
        for waiter in self.queue.iter() {
            for name in [&waiter.spec.model, &waiter.spec.adapter] {
                if let Some(rows) = self.demand.get_mut(name.as_str()) {
                    rows.insert(waiter.spec.id, now);
                }
            }
        }
        for rows in self.demand.values_mut() {
            rows.retain(|_, t| now.since(*t) < DEMAND_RETENTION);
        }
        self.demand.retain(|_, rows| !rows.is_empty());
        let demand = &self.demand;
        self.throughput.retain_missing(&|n| demand.contains_key(n));
        for (name, rows) in &self.demand {
            out.demand.push((self.service.clone(), Name(name.clone()), rows.len() as u64));
        }
        self.report_uses(now, out);
        let credit = self.retry_budget.credit() as u64;
        out.tries.push((
            self.service.clone(),
            self.retry_budget.first_sends,
            self.retry_budget.extra_sends,
            credit,
        ));
        let live: Vec<MovePlan> = self.slice.as_ref().map_or(vec![], |slice| slice.moves.clone());
        for m in &live {
            let left = self.active_on_source(m);
            let row = self.move_report_mut(m.id);
            row.left = left;
            out.moves.push(row.clone());
        }
        for (name, health) in &self.health {
            let listed =
                self.slice.as_ref().and_then(|slice| slice.runners.iter().find(|r| r.instance == *name));
            if health.is_leaving && listed.is_some_and(|r| !r.leaving) {
                out.leaving.push(name.clone());
            }
        }
    }

    /// Applies the load that a runner told in an answer.
    pub fn on_load(&mut self, now: Time, runner: &Name, load: Load) {
        if let Some(health) = self.health.get_mut(runner) {
            health.on_load(now, load);
        }
    }

    /// A runner rejected a request without running it; `gone` if it lacks the weights.
    pub fn on_rejected(&mut self, now: Time, runner: &Name, spec: &RequestSpec, gone: bool) {
        if gone {
            self.on_missing_weights(now, runner, spec);
        } else if let Some(health) = self.health.get_mut(runner) {
            health.mark_full(now);
        }
    }

    /// A runner could not be reached or is silent.
    pub fn on_unreachable(&mut self, now: Time, runner: &Name) {
        if let Some(health) = self.health.get_mut(runner) {
            health.eject_unreachable(now);
        }
    }

    /// Whether no recent report of the runner is known.
    pub fn is_report_stale(&self, now: Time, runner: &Name) -> bool {
        self.health.get(runner).is_none_or(|health| health.fresh_report(now).is_none())
    }

    /// Whether the runner has a free slot by its report.
    pub fn has_slot(&self, now: Time, runner: &Name) -> bool {
        let Some(health) = self.health.get(runner) else { return false };
        health.fresh_report(now).is_some_and(|r| health.load(now) < r.slots)
    }
}

impl BalancerTable {
    /// The report of this router to the controllers.
    pub fn router_report(&self, now: Time) -> RouterReport {
        let mut out = RouterReport { routes_version: self.routes_version(), ..RouterReport::default() };
        for balancer in self.balancers() {
            balancer.lock().unwrap().fill_report(now, &mut out);
        }
        if let (_, Some(t)) = self.candidate() {
            out.candidate_seen = t.id;
        }
        out
    }
}
