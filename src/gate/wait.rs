//! Estimates of how long a request would wait, and refusal of those that would miss their deadline.

use super::core::Balancer;
use super::order::{Refusal, RefusalReason, RequestSpec, RoutingDecision};
use crate::fleet::config::ServiceKind;
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};

/// Longest delay suggested to a client, in seconds.
const RETRY_AFTER_MAX_S: u64 = 600;
pub use crate::placement::component::TAKEOVER_WAIT;

/// Seconds to suggest to a client for a wait.
pub fn retry_s(wait: Span) -> u64 {
    wait.0.div_ceil(1_000_000).clamp(1, RETRY_AFTER_MAX_S)
}

impl Balancer {
    /// Estimated wait for a request that waits for reason `why` behind `ahead` others; unknown for other reasons.
    pub fn expected_wait(&self, now: Time, spec: &RequestSpec, why: &str, ahead: u64) -> Option<Span> {
        match why {
            "busy" | "behind-others" => self.expected_slot_wait(now, spec, ahead),
            "no-holder" => Some(self.expected_load_wait(now, spec)),
            _ => None,
        }
    }

    /// Estimated wait for a free slot; nothing if one is free or the model has not been measured.
    /// From the rate at which requests of this class are sent, else from slot count, mean occupancy and the share of this router.
    pub fn expected_slot_wait(&self, now: Time, spec: &RequestSpec, ahead: u64) -> Option<Span> {
        let slice = self.slice.as_ref()?;
        let held = self.throughput.occupancy_us(&spec.model)?;
        let (mut slots, mut mine, mut all, mut free) = (0, 0, 0, 0);
        for r in slice.runners.iter().filter(|r| !r.leaving) {
            let Some(health) =
                self.health.get(&r.instance).filter(|health| !health.is_leaving && !health.is_ejected(now))
            else {
                continue;
            };
            let Some(report) = health.fresh_report(now) else { continue };
            let fit = |n: &str| n.is_empty() || report.holds.iter().any(|x| x.0 == n);
            if slice.service.sort == ServiceKind::Assistant && !(fit(&spec.model) && fit(&spec.adapter)) {
                continue;
            }
            let most = report.slots.min(slice.service.slots).max(1);
            slots += most;
            free += most.saturating_sub(health.load(now));
            mine += health.own_requests;
            all += health.own_requests + health.other_requests;
        }
        if slots == 0 || free > 0 {
            return None;
        }
        if let Some(rate) = self.throughput.send_rate_for(now, &spec.model, spec.class) {
            return Some(Span(((ahead + 1) as f64 / rate * 1e6) as u64));
        }
        let even = 1.0 / self.router_count.max(1) as f64;
        let share = if all > 0 { (mine as f64 / all as f64).max(even) } else { even };
        Some(Span((held * (ahead + 1) as f64 / (slots as f64 * share)) as u64))
    }

    /// Estimated wait until the weights are loaded: the quiet time of a new duty holder, then the load itself or the queue of
    /// loads before it at the store.
    fn expected_load_wait(&self, now: Time, spec: &RequestSpec) -> Span {
        let quiet = self.throughput.quiet_until.since(now);
        let Some(slice) = &self.slice else { return quiet };
        let held = |n: &str| {
            self.health.values().any(|health| health.fresh_report(now).is_some_and(|r| r.has(&Name::from(n))))
        };
        let loading = |n: &str| {
            self.health
                .values()
                .any(|health| health.fresh_report(now).is_some_and(|r| r.loading.iter().any(|x| x.0 == n)))
        };
        let load = |n: &str| {
            if n.is_empty() || held(n) {
                return Span(0);
            }
            Span::ms(slice.load_ms(&Name::from(n)))
        };
        let own = load(&spec.model) + load(&spec.adapter);
        if loading(&spec.model) || loading(&spec.adapter) {
            return Span(0);
        }
        let mut before = 0u64;
        for (name, rows) in &self.demand {
            let first = rows.keys().next().copied().unwrap_or(u64::MAX);
            if first < spec.id && *name != spec.model.as_str() && !held(name) && !loading(name) {
                before += 1;
            }
        }
        let line = before.saturating_sub(slice.store.burst) * 60_000 / slice.store.loads_per_minute.max(1);
        quiet + (own + Span::ms(line)).max(self.throughput.remaining_load_time(now, &spec.model))
    }

    /// A refusal if the estimated wait exceeds the start deadline. Requests that were begun are never refused early.
    pub fn refuse_hopeless_wait(
        &mut self,
        now: Time,
        spec: &RequestSpec,
        why: &str,
        ahead: u64,
    ) -> Option<Refusal> {
        if spec.is_resumed {
            return None;
        }
        let wait = self.expected_wait(now, spec, why, ahead)?;
        self.last_expected_wait = wait;
        if now + wait < spec.start_deadline {
            return None;
        }
        self.count("refused_wait_too_long");
        Some(Refusal::new(RefusalReason::WaitTooLong, retry_s(wait)))
    }

    /// Turns a decision to wait into a refusal where the wait is hopeless.
    pub fn refuse_if_hopeless(
        &mut self,
        now: Time,
        spec: &RequestSpec,
        decision: RoutingDecision,
        ahead: u64,
    ) -> RoutingDecision {
        let RoutingDecision::Wait(why) = decision else { return decision };
        match self.refuse_hopeless_wait(now, spec, why, ahead) {
            Some(r) => RoutingDecision::Refuse(r),
            None => RoutingDecision::Wait(why),
        }
    }

    /// Records that a request wants its model and adapter.
    pub fn record_demand(&mut self, now: Time, spec: &RequestSpec) {
        for name in [&spec.model, &spec.adapter] {
            if !name.is_empty() {
                self.demand.entry(name.to_string()).or_default().insert(spec.id, now);
                let held = self.health.values().any(|health| {
                    health.fresh_report(now).is_some_and(|r| r.has(&Name::from(name.as_str())))
                });
                if !held {
                    self.throughput.record_missing(now, name);
                }
            }
        }
    }
}
