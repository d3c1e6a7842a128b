//! Requests that wait for a runner: queueing them, routing them again, and handing over the decisions.

use super::core::{Balancer, NO_RUNNER_WAIT, STALE_CONFIG_WAIT};
use super::inbox::{QueueKey, WaitingRequest, WakeFn};
use super::nominate::PARTLY_KNOWN;
use super::order::{Refusal, RefusalReason, RequestSpec, RoutingDecision};
use super::wait::retry_s;
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};
use std::collections::BTreeMap;

impl Balancer {
    /// Frees a slot that [`Balancer::claim_slot`] counted, with no effect on the health of the runner.
    pub(super) fn return_slot(&mut self, runner: &Name, model: &str) {
        let key = (runner.clone(), Name(model.to_string()));
        if let Some(n) = self.active_requests.get_mut(&key) {
            *n = n.saturating_sub(1);
            if *n == 0 {
                self.active_requests.remove(&key);
            }
        }
        let health = self.health.entry(runner.clone()).or_default();
        health.own_requests = health.own_requests.saturating_sub(1);
    }

    /// Hands a decision to a request taken from the queue; frees the slot if the request is already over.
    fn deliver(&mut self, waiter: WaitingRequest, decision: RoutingDecision) {
        if let Err(RoutingDecision::Send(runner)) = (waiter.wake)(decision) {
            self.count("plan_untaken");
            self.return_slot(&runner.instance, &waiter.spec.model);
        }
    }

    /// Queues a request; `wake` receives the decision. A full queue displaces its least urgent request, or refuses this one.
    pub fn wait(&mut self, now: Time, spec: RequestSpec, avoid: Vec<Name>, wake: WakeFn) {
        let waiter = WaitingRequest { spec, avoid, wake, queued_at: now };
        let most = self.slice.as_ref().map_or(256, |slice| slice.service.inbox) as usize;
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
            if let Some(waiter) = self.queue.take(&key) {
                self.count("refused_crowded");
                self.deliver(
                    waiter,
                    RoutingDecision::Refuse(Refusal::new(
                        RefusalReason::DisplacedByHigherClass,
                        retry_s(wait),
                    )),
                );
            }
        }
        self.queue.add(waiter);
    }

    /// Whether the newest routes allow the waiting request with this key as it was admitted. Each version is asked once.
    fn confirm_admission(&mut self, key: &QueueKey) -> bool {
        let Some(waiter) = self.queue.get(key) else { return false };
        if self.admits(&waiter.spec).is_err() {
            return false;
        }
        let newest = self.routes.0;
        self.queue.confirm(key, newest);
        true
    }

    /// Decides again on all waiting requests, the most urgent first.
    pub fn route_waiting(&mut self, now: Time) {
        let mut busy: BTreeMap<(String, String), (u64, &'static str)> = BTreeMap::new();
        for key in self.queue.keys() {
            let is_allowed = self.confirm_admission(&key);
            let Some(waiter) = self.queue.get(&key) else { continue };
            let (spec, avoid, since) = (waiter.spec.clone(), waiter.avoid.clone(), waiter.queued_at);
            let kind = (spec.model.to_string(), spec.adapter.to_string());
            let decision = match busy.get_mut(&kind) {
                Some((ahead, why)) if is_allowed && now < spec.start_deadline => {
                    *ahead += 1;
                    let (ahead, why) = (*ahead - 1, *why);
                    self.refuse_if_hopeless(now, &spec, RoutingDecision::Wait(why), ahead)
                }
                _ => {
                    let decision = self.route(now, &spec, &avoid);
                    if let RoutingDecision::Wait(why @ ("busy" | "no-holder" | "behind-others")) = decision {
                        busy.insert(kind, (1, why));
                    }
                    self.refuse_if_hopeless(now, &spec, decision, 0)
                }
            };
            let decision = match decision {
                RoutingDecision::Wait("not-fresh" | PARTLY_KNOWN) if now.since(since) > STALE_CONFIG_WAIT => {
                    RoutingDecision::Refuse(Refusal::new(RefusalReason::StaleConfiguration, 1))
                }
                RoutingDecision::Wait("no-runner") if now.since(since) > NO_RUNNER_WAIT => {
                    RoutingDecision::Refuse(Refusal::new(RefusalReason::NoRunner, 2))
                }
                RoutingDecision::Wait(_) if self.is_stopping => {
                    RoutingDecision::Refuse(Refusal::new(RefusalReason::Stopping, 1))
                }
                RoutingDecision::Wait(_) => continue,
                decision => decision,
            };
            if let Some(waiter) = self.queue.take(&key) {
                self.deliver(waiter, decision);
            }
        }
    }
}
