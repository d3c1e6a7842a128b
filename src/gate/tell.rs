use super::core::Balancer;
use super::order::RequestSpec;
use crate::fleet::state::{MovePlan, Phase};
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::{MoveProgress, RouterReport};
use crate::protocol::Load;

const DEMAND_RETENTION: Span = Span::ms(2000);

impl Balancer {
    pub fn move_report_mut(&mut self, id: MoveId) -> &mut MoveProgress {
        self.move_reports.entry(id).or_insert_with(|| MoveProgress { id, ..MoveProgress::default() })
    }

    pub fn move_from(&self, runner: &Name, model: &str) -> Option<MovePlan> {
        let s = self.slice.as_ref()?;
        let found =
            s.moves.iter().find(|m| m.phase == Phase::Warm && m.from == *runner && m.model.0 == model);
        found.cloned()
    }

    fn active_on_source(&self, m: &MovePlan) -> u64 {
        self.active_requests.get(&(m.from.clone(), m.model.clone())).copied().unwrap_or(0)
    }

    pub fn fill_report(&mut self, now: Time, out: &mut RouterReport) {
        for w in self.queue.iter() {
            for name in [&w.spec.model, &w.spec.adapter] {
                if let Some(rows) = self.demand.get_mut(name.as_str()) {
                    rows.insert(w.spec.id, now);
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
        let live: Vec<MovePlan> = self.slice.as_ref().map_or(vec![], |s| s.moves.clone());
        for m in &live {
            let left = self.active_on_source(m);
            let row = self.move_report_mut(m.id);
            row.left = left;
            out.moves.push(row.clone());
        }
        for (name, h) in &self.health {
            let listed = self.slice.as_ref().and_then(|s| s.runners.iter().find(|r| r.instance == *name));
            if h.is_leaving && listed.is_some_and(|r| !r.leaving) {
                out.leaving.push(name.clone());
            }
        }
    }

    pub fn on_load(&mut self, now: Time, runner: &Name, load: Load) {
        if let Some(h) = self.health.get_mut(runner) {
            h.on_load(now, load);
        }
    }

    /// A runner turned the order away without running it; `gone` if it lacks what was asked for.
    pub fn on_rejected(&mut self, now: Time, runner: &Name, spec: &RequestSpec, gone: bool) {
        if gone {
            self.on_missing_weights(now, runner, spec);
        } else if let Some(h) = self.health.get_mut(runner) {
            h.mark_full(now);
        }
    }

    pub fn on_unreachable(&mut self, now: Time, runner: &Name) {
        if let Some(h) = self.health.get_mut(runner) {
            h.eject_unreachable(now);
        }
    }

    pub fn is_report_stale(&self, now: Time, runner: &Name) -> bool {
        self.health.get(runner).is_none_or(|h| h.fresh_report(now).is_none())
    }

    pub fn has_slot(&self, now: Time, runner: &Name) -> bool {
        let Some(h) = self.health.get(runner) else { return false };
        h.fresh_report(now).is_some_and(|r| h.load(now) < r.slots)
    }
}
