//! Requests that wait for a runner: taking them in, planning for them again, and handing the plans over.

use super::core::{Balancer, NO_RUNNER_WAIT, STALE_CONFIG_WAIT};
use super::inbox::{WaitingRequest, WakeFn};
use super::order::{Refusal, RefusalReason, RequestSpec, RoutingDecision};
use super::wait::retry_s;
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};
use std::collections::BTreeMap;

impl Balancer {
    /// Takes back the slot that [`Gate::take`] counted, without a word on how the runner did.
    pub(super) fn return_slot(&mut self, runner: &Name, model: &str) {
        let key = (runner.clone(), Name(model.to_string()));
        if let Some(n) = self.active_requests.get_mut(&key) {
            *n = n.saturating_sub(1);
            if *n == 0 {
                self.active_requests.remove(&key);
            }
        }
        let h = self.health.entry(runner.clone()).or_default();
        h.own_requests = h.own_requests.saturating_sub(1);
    }

    /// Hands a plan to a waiter that was taken out; the slot of a plan that nobody takes is free again.
    fn deliver(&mut self, waiter: WaitingRequest, plan: RoutingDecision) {
        if let Err(RoutingDecision::Send(runner)) = (waiter.wake)(plan) {
            self.count("plan_untaken");
            self.return_slot(&runner.instance, &waiter.spec.model);
        }
    }

    /// Lets a request wait for a runner; `wake` is told the plan once there is one.
    pub fn wait(&mut self, now: Time, spec: RequestSpec, avoid: Vec<Name>, wake: WakeFn) {
        let waiter = WaitingRequest { spec, avoid, wake, queued_at: now };
        let most = self.slice.as_ref().map_or(256, |s| s.service.inbox) as usize;
        if self.queue.len() >= most {
            let ahead = self.queue.count_ahead(&waiter.spec);
            let wait = self.expected_slot_wait(now, &waiter.spec, ahead).unwrap_or(Span::ms(2000));
            let Some(key) = self.queue.last_less_urgent(waiter.spec.urgency()) else {
                self.count("refused_inbox_full");
                return self.deliver(
                    waiter,
                    RoutingDecision::Refuse(Refusal::new(RefusalReason::QueueFull, retry_s(wait))),
                );
            };
            if let Some(w) = self.queue.take(&key) {
                self.count("refused_crowded");
                self.deliver(
                    w,
                    RoutingDecision::Refuse(Refusal::new(
                        RefusalReason::DisplacedByHigherClass,
                        retry_s(wait),
                    )),
                );
            }
        }
        self.queue.add(waiter);
    }

    /// Plans again for all that wait, the most urgent first.
    pub fn route_waiting(&mut self, now: Time) {
        let mut busy: BTreeMap<(String, String), (u64, &'static str)> = BTreeMap::new();
        for key in self.queue.keys() {
            let Some(w) = self.queue.get(&key) else { continue };
            let (spec, avoid, since) = (w.spec.clone(), w.avoid.clone(), w.queued_at);
            let kind = (spec.model.to_string(), spec.adapter.to_string());
            let plan = match busy.get_mut(&kind) {
                Some((ahead, why)) if now < spec.start_deadline => {
                    *ahead += 1;
                    let (ahead, why) = (*ahead - 1, *why);
                    self.refuse_if_hopeless(now, &spec, RoutingDecision::Wait(why), ahead)
                }
                _ => {
                    let plan = self.route(now, &spec, &avoid);
                    if let RoutingDecision::Wait(why @ ("busy" | "no-holder" | "behind-others")) = plan {
                        busy.insert(kind, (1, why));
                    }
                    self.refuse_if_hopeless(now, &spec, plan, 0)
                }
            };
            let plan = match plan {
                RoutingDecision::Wait("not-fresh") if now.since(since) > STALE_CONFIG_WAIT => {
                    RoutingDecision::Refuse(Refusal::new(RefusalReason::StaleConfiguration, 1))
                }
                RoutingDecision::Wait("no-runner") if now.since(since) > NO_RUNNER_WAIT => {
                    RoutingDecision::Refuse(Refusal::new(RefusalReason::NoRunner, 2))
                }
                RoutingDecision::Wait(_) if self.is_stopping => {
                    RoutingDecision::Refuse(Refusal::new(RefusalReason::Stopping, 1))
                }
                RoutingDecision::Wait(_) => continue,
                plan => plan,
            };
            if let Some(w) = self.queue.take(&key) {
                self.deliver(w, plan);
            }
        }
    }
}
