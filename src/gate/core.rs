use super::budget::RetryBudget;
use super::health::RunnerHealth;
use super::held::{LoadRequester, UseStats};
use super::inbox::WaitQueue;
use super::kept::PromptCaches;
use super::order::{Refusal, RefusalReason, RequestSpec, RoutingDecision};
use super::pace::Throughput;
use crate::distribution::reader::FRESHNESS_LIMIT;
use crate::fleet::routes::RouteTable;
use crate::fleet::runner::Runner;
use crate::fleet::slice::ServiceSlice;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::MoveProgress;
use std::collections::BTreeMap;
use std::sync::Arc;

pub const STALE_CONFIG_WAIT: Span = Span::ms(1500);
pub const NO_RUNNER_WAIT: Span = Span::ms(3000);

pub struct Balancer {
    pub service: Name,
    pub domain: Name,
    pub slice_version: Version,
    pub slice: Option<Arc<ServiceSlice>>,
    pub freshness_limit: Span,
    pub proven_at: Time,
    pub routes_proven_at: Time,
    pub leased_until: Time,
    pub routes_leased_until: Time,
    pub routes: (Version, Arc<RouteTable>),
    pub is_withdrawn: bool,
    pub is_stopping: bool,
    pub health: BTreeMap<Name, RunnerHealth>,
    pub queue: WaitQueue,
    pub retry_budget: RetryBudget,
    pub router_count: u64,
    pub active_requests: BTreeMap<(Name, Name), u64>,
    pub move_reports: BTreeMap<MoveId, MoveProgress>,
    pub demand: BTreeMap<String, BTreeMap<u64, Time>>,
    pub uses: BTreeMap<String, UseStats>,
    pub load_requester: Option<LoadRequester>,
    pub throughput: Throughput,
    pub last_expected_wait: Span,
    pub counters: BTreeMap<&'static str, u64>,
    pub prompt_caches: PromptCaches,
    pub has_unpolled_plain_runners: bool,
}

impl Balancer {
    pub fn new(name: Name, domain: Name) -> Balancer {
        Balancer {
            service: name,
            domain,
            slice_version: Version(0),
            slice: None,
            freshness_limit: FRESHNESS_LIMIT,
            proven_at: Time(0),
            routes_proven_at: Time(0),
            leased_until: Time(0),
            routes_leased_until: Time(0),
            routes: Default::default(),
            is_withdrawn: false,
            is_stopping: false,
            health: BTreeMap::new(),
            queue: WaitQueue::default(),
            retry_budget: RetryBudget::default(),
            router_count: 1,
            active_requests: BTreeMap::new(),
            move_reports: BTreeMap::new(),
            demand: BTreeMap::new(),
            uses: BTreeMap::new(),
            load_requester: None,
            throughput: Throughput::default(),
            last_expected_wait: Span(0),
            counters: BTreeMap::new(),
            prompt_caches: PromptCaches::default(),
            has_unpolled_plain_runners: false,
        }
    }

    /// Whether the service and the routes may be served by: both by a proof, or by a serving lease.
    pub fn is_fresh(&self, now: Time) -> bool {
        let service = now.since(self.proven_at) < self.freshness_limit || now < self.leased_until;
        let routes =
            now.since(self.routes_proven_at) < self.freshness_limit || now < self.routes_leased_until;
        self.slice.is_some() && service && routes
    }

    pub fn count(&mut self, what: &'static str) {
        *self.counters.entry(what).or_default() += 1;
    }

    pub fn check_before_send(
        &self,
        now: Time,
        spec: &RequestSpec,
        runner: &Name,
    ) -> Result<(), RefusalReason> {
        if now >= spec.start_deadline {
            return Err(RefusalReason::DeadlinePassed);
        }
        if !self.is_fresh(now) {
            return Err(RefusalReason::StaleConfiguration);
        }
        self.admits(spec)?;
        let listed = self.slice.as_ref().and_then(|s| s.runners.iter().find(|r| r.instance == *runner));
        let h = self.health.get(runner);
        if listed.is_none_or(|r| r.leaving) || h.is_some_and(|h| h.is_leaving) {
            return Err(RefusalReason::NoRunner);
        }
        Ok(())
    }

    pub fn route(&mut self, now: Time, spec: &RequestSpec, avoid: &[Name]) -> RoutingDecision {
        if now >= spec.start_deadline {
            return RoutingDecision::Refuse(Refusal::new(RefusalReason::DeadlinePassed, 1));
        }
        let plan = self.choose_runner(now, spec, avoid);
        if let RoutingDecision::Send(r) = &plan {
            self.claim_slot(now, r, spec);
        }
        if let RoutingDecision::Wait("no-holder") = plan {
            self.request_missing_loads(now, spec);
        }
        if let RoutingDecision::Wait("no-holder" | "busy") = plan {
            self.record_demand(now, spec);
        }
        plan
    }

    pub fn route_new(&mut self, now: Time, spec: &RequestSpec) -> RoutingDecision {
        if self.is_stopping {
            return RoutingDecision::Refuse(Refusal::new(RefusalReason::Stopping, 1));
        }
        self.throughput.record_arrival(now, &spec.model, spec.class);
        self.record_use(now, spec);
        let first = self.queue.keys().first().is_some_and(|k| k.0 <= spec.urgency());
        let plan = if first && self.queue.len() > 32 {
            match self.choose_runner(now, spec, &[]) {
                RoutingDecision::Send(_) => RoutingDecision::Wait("behind-others"),
                plan => {
                    if let RoutingDecision::Wait("no-holder") = plan {
                        self.request_missing_loads(now, spec);
                        self.record_demand(now, spec);
                    }
                    plan
                }
            }
        } else {
            self.route(now, spec, &[])
        };
        let ahead = self.queue.count_ahead(spec);
        self.refuse_if_hopeless(now, spec, plan, ahead)
    }

    pub fn claim_slot(&mut self, now: Time, r: &Runner, spec: &RequestSpec) {
        let h = self.health.entry(r.instance.clone()).or_default();
        h.own_requests += 1;
        self.throughput.record_send(now, &spec.model);
        self.prompt_caches.record_sent(&r.instance, spec);
        *self.active_requests.entry((r.instance.clone(), Name(spec.model.to_string()))).or_default() += 1;
    }

    pub fn record_occupancy(&mut self, model: &str, held: Span) {
        self.throughput.record_occupancy(model, held);
    }

    pub fn release_slot(&mut self, now: Time, runner: &Name, model: &str, good: Option<bool>) {
        self.return_slot(runner, model);
        let h = self.health.entry(runner.clone()).or_default();
        match good {
            Some(true) => h.record_success(),
            Some(false) => h.record_failure(now),
            None => {}
        }
        self.route_waiting(now);
    }
}
