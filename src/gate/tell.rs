use super::core::Gate;
use super::order::Order;
use crate::fleet::state::{MovePlan, Phase};
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::{MoveProgress, RouterReport};
use crate::protocol::Load;

const DEMAND: Span = Span::ms(2000);

impl Gate {
    pub fn move_row(&mut self, id: MoveId) -> &mut MoveProgress {
        self.moves.entry(id).or_insert_with(|| MoveProgress { id, ..MoveProgress::default() })
    }

    pub fn move_from(&self, runner: &Name, model: &str) -> Option<MovePlan> {
        let s = self.slice.as_ref()?;
        let found =
            s.moves.iter().find(|m| m.phase == Phase::Warm && m.from == *runner && m.model.0 == model);
        found.cloned()
    }

    fn left(&self, m: &MovePlan) -> u64 {
        self.active.get(&(m.from.clone(), m.model.clone())).copied().unwrap_or(0)
    }

    pub fn tell(&mut self, now: Time, out: &mut RouterReport) {
        for w in self.inbox.rows() {
            for name in [&w.order.model, &w.order.adapter] {
                if let Some(rows) = self.demand.get_mut(name.as_str()) {
                    rows.insert(w.order.id, now);
                }
            }
        }
        for rows in self.demand.values_mut() {
            rows.retain(|_, t| now.since(*t) < DEMAND);
        }
        self.demand.retain(|_, rows| !rows.is_empty());
        let demand = &self.demand;
        self.pace.keep(&|n| demand.contains_key(n));
        for (name, rows) in &self.demand {
            out.demand.push((self.name.clone(), Name(name.clone()), rows.len() as u64));
        }
        self.tell_uses(now, out);
        let credit = self.tries.credit() as u64;
        out.tries.push((self.name.clone(), self.tries.first, self.tries.extra, credit));
        let live: Vec<MovePlan> = self.slice.as_ref().map_or(vec![], |s| s.moves.clone());
        for m in &live {
            let left = self.left(m);
            let row = self.move_row(m.id);
            row.left = left;
            out.moves.push(row.clone());
        }
        for (name, h) in &self.health {
            let listed = self.slice.as_ref().and_then(|s| s.runners.iter().find(|r| r.instance == *name));
            if h.leaving && listed.is_some_and(|r| !r.leaving) {
                out.leaving.push(name.clone());
            }
        }
    }

    pub fn told_load(&mut self, now: Time, runner: &Name, load: Load) {
        if let Some(h) = self.health.get_mut(runner) {
            h.told_load(now, load);
        }
    }

    /// A runner turned the order away without running it; `gone` if it lacks what was asked for.
    pub fn turned_away(&mut self, now: Time, runner: &Name, order: &Order, gone: bool) {
        if gone {
            self.lacks(now, runner, order);
        } else if let Some(h) = self.health.get_mut(runner) {
            h.full(now);
        }
    }

    pub fn unreachable(&mut self, now: Time, runner: &Name) {
        if let Some(h) = self.health.get_mut(runner) {
            h.away(now);
        }
    }

    pub fn dark(&self, now: Time, runner: &Name) -> bool {
        self.health.get(runner).is_none_or(|h| h.fresh(now).is_none())
    }

    pub fn has_slot(&self, now: Time, runner: &Name) -> bool {
        let Some(h) = self.health.get(runner) else { return false };
        h.fresh(now).is_some_and(|r| h.load(now) < r.slots)
    }
}
