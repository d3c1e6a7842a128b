use super::core::Gate;
use super::order::{Order, Plan, Refusal, Why};
use crate::fleet::config::ServiceKind;
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};

const RETRY_MOST: u64 = 600;
pub use crate::placement::component::TAKEOVER_WAIT;

pub fn retry_s(wait: Span) -> u64 {
    wait.0.div_ceil(1_000_000).clamp(1, RETRY_MOST)
}

impl Gate {
    pub fn expect(&self, now: Time, order: &Order, why: &str, ahead: u64) -> Option<Span> {
        match why {
            "busy" | "behind-others" => self.expect_slot(now, order, ahead),
            "no-holder" => Some(self.expect_load(now, order)),
            _ => None,
        }
    }

    pub fn expect_slot(&self, now: Time, order: &Order, ahead: u64) -> Option<Span> {
        let s = self.slice.as_ref()?;
        let held = self.pace.held(&order.model)?;
        let (mut slots, mut mine, mut all, mut free) = (0, 0, 0, 0);
        for r in s.runners.iter().filter(|r| !r.leaving) {
            let Some(h) = self.health.get(&r.instance).filter(|h| !h.leaving && !h.out(now)) else {
                continue;
            };
            let Some(report) = h.fresh(now) else { continue };
            let fit = |n: &str| n.is_empty() || report.holds.iter().any(|x| x.0 == n);
            if s.service.sort == ServiceKind::Assistant && !(fit(&order.model) && fit(&order.adapter)) {
                continue;
            }
            let most = report.slots.min(s.service.slots).max(1);
            slots += most;
            free += most.saturating_sub(h.load(now));
            mine += h.mine;
            all += h.mine + h.others;
        }
        if slots == 0 || free > 0 {
            return None;
        }
        if let Some(rate) = self.pace.left_for(now, &order.model, order.class) {
            return Some(Span(((ahead + 1) as f64 / rate * 1e6) as u64));
        }
        let even = 1.0 / self.routers.max(1) as f64;
        let share = if all > 0 { (mine as f64 / all as f64).max(even) } else { even };
        Some(Span((held * (ahead + 1) as f64 / (slots as f64 * share)) as u64))
    }

    fn expect_load(&self, now: Time, order: &Order) -> Span {
        let quiet = self.pace.quiet_until.since(now);
        let Some(s) = &self.slice else { return quiet };
        let held =
            |n: &str| self.health.values().any(|h| h.fresh(now).is_some_and(|r| r.has(&Name::from(n))));
        let loading = |n: &str| {
            self.health.values().any(|h| h.fresh(now).is_some_and(|r| r.loading.iter().any(|x| x.0 == n)))
        };
        let load = |n: &str| {
            if n.is_empty() || held(n) {
                return Span(0);
            }
            Span::ms(s.load_ms(&Name::from(n)))
        };
        let own = load(&order.model) + load(&order.adapter);
        if loading(&order.model) || loading(&order.adapter) {
            return Span(0);
        }
        let mut before = 0u64;
        for (name, rows) in &self.demand {
            let first = rows.keys().next().copied().unwrap_or(u64::MAX);
            if first < order.id && *name != order.model.as_str() && !held(name) && !loading(name) {
                before += 1;
            }
        }
        let line = before.saturating_sub(s.store.burst) * 60_000 / s.store.loads_per_minute.max(1);
        quiet + (own + Span::ms(line)).max(self.pace.load_left(now, &order.model))
    }

    pub fn hopeless(&mut self, now: Time, order: &Order, why: &str, ahead: u64) -> Option<Refusal> {
        if order.resumed {
            return None;
        }
        let wait = self.expect(now, order, why, ahead)?;
        self.waits = wait;
        if now + wait < order.due {
            return None;
        }
        self.count("refused_wait_too_long");
        Some(Refusal::new(Why::TooLong, retry_s(wait)))
    }

    pub fn settle(&mut self, now: Time, order: &Order, plan: Plan, ahead: u64) -> Plan {
        let Plan::Wait(why) = plan else { return plan };
        match self.hopeless(now, order, why, ahead) {
            Some(r) => Plan::Refuse(r),
            None => Plan::Wait(why),
        }
    }

    pub fn want(&mut self, now: Time, order: &Order) {
        for name in [&order.model, &order.adapter] {
            if !name.is_empty() {
                self.demand.entry(name.to_string()).or_default().insert(order.id, now);
                let held = self
                    .health
                    .values()
                    .any(|h| h.fresh(now).is_some_and(|r| r.has(&Name::from(name.as_str()))));
                if !held {
                    self.pace.wanted(now, name);
                }
            }
        }
    }
}
