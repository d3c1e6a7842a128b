use super::core::Gate;
use super::order::Order;
use super::pace::Rate;
use crate::fleet::holdings::{NameUsage, RunnerHoldings, UnmetDemand};
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};
use crate::msg::RouterReport;
use std::sync::Arc;

const USED: Span = Span::ms(8000);

pub type Asker = Arc<dyn Fn(UnmetDemand) + Send + Sync>;

#[derive(Default, Debug)]
pub struct Used {
    last: Time,
    rate: Rate,
}

impl Gate {
    /// What the placement holder tells of a runner.
    pub fn held(&mut self, now: Time, row: &RunnerHoldings) -> bool {
        let Some(h) = self.health.get_mut(&row.runner) else { return false };
        let new = h.held(now, row);
        if let (true, Some((_, report))) = (new, &h.report) {
            self.pace.told(now, report);
        }
        true
    }

    /// The runner says that it lacks what the order names.
    pub fn lacks(&mut self, now: Time, runner: &Name, order: &Order) {
        let name = if order.adapter.is_empty() { &order.model } else { &order.adapter };
        if let Some(h) = self.health.get_mut(runner) {
            h.lacks(name);
        }
        self.ask(order, name);
        self.wake(now);
    }

    fn ask(&self, order: &Order, name: &str) {
        let Some(asker) = &self.asker else { return };
        let (service, name) = (self.name.clone(), Name::from(name));
        asker(UnmetDemand { service, name, class: order.class, count: 1 });
    }

    pub fn seek(&self, now: Time, order: &Order) {
        for name in [&order.model, &order.adapter] {
            if name.is_empty() || self.demand.get(name.as_str()).is_some_and(|r| r.contains_key(&order.id)) {
                continue;
            }
            let known = Name::from(name.as_str());
            let fit = |n: &Name| self.health.get(n).is_some_and(|h| h.holds(now, &known));
            let staying = self.slice.iter().flat_map(|s| &s.runners).filter(|r| !r.leaving);
            if !staying.map(|r| &r.instance).any(fit) {
                self.ask(order, name);
            }
        }
    }

    pub fn used(&mut self, now: Time, order: &Order) {
        for name in [&order.model, &order.adapter] {
            if !name.is_empty() {
                let row = self.uses.entry(name.to_string()).or_default();
                row.last = now;
                row.rate.add(now);
            }
        }
    }

    pub fn tell_uses(&mut self, now: Time, out: &mut RouterReport) {
        self.uses.retain(|_, u| now.since(u.last) < USED);
        for (name, u) in &self.uses {
            out.uses.push(NameUsage {
                service: self.name.clone(),
                name: Name::from(name.as_str()),
                idle: now.since(u.last),
                milli_per_s: (u.rate.per_s(now) * 1000.0) as u64,
            });
        }
        let runs = self.active.iter().filter(|r| !r.0.1.0.is_empty());
        out.active.extend(runs.map(|((runner, model), n)| (runner.clone(), model.clone(), *n)));
    }
}
