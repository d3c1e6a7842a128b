//! The balancer of one service: its state, and the entry points for a request.

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

/// How long a request waits for the configuration to be confirmed before it is refused.
pub const STALE_CONFIG_WAIT: Span = Span::ms(1500);
/// How long a request waits while no runner of the service is in use before it is refused.
pub const NO_RUNNER_WAIT: Span = Span::ms(3000);

/// Admission, queue and runner choice for one service on one router.
pub struct Balancer {
    /// The service.
    pub service: Name,
    /// The failure domain (zone) of this router.
    pub domain: Name,
    /// Version of the newest slice applied.
    pub slice_version: Version,
    /// What this router knows of the service; none before the first update.
    pub slice: Option<Arc<ServiceSlice>>,
    /// How long a proof that the configuration is current stays valid.
    pub freshness_limit: Span,
    /// When the service slice was last known to be current.
    pub proven_at: Time,
    /// When the routes were last known to be current.
    pub routes_proven_at: Time,
    /// End of the serving lease for the service slice.
    pub leased_until: Time,
    /// End of the serving lease for the routes.
    pub routes_leased_until: Time,
    /// The newest routes and their version.
    pub routes: (Version, Arc<RouteTable>),
    /// Whether the service was withdrawn.
    pub is_withdrawn: bool,
    /// Whether this router is stopping: waiting requests are refused.
    pub is_stopping: bool,
    /// Health and load of each runner by instance name.
    pub health: BTreeMap<Name, RunnerHealth>,
    /// Requests that wait for a runner.
    pub queue: WaitQueue,
    /// Credit for attempts beyond the first.
    pub retry_budget: RetryBudget,
    /// Number of routers that share the runners and the retry budget, this one included.
    pub router_count: u64,
    /// Requests in progress by runner and model.
    pub active_requests: BTreeMap<(Name, Name), u64>,
    /// Progress of stream moves on this router.
    pub move_reports: BTreeMap<MoveId, MoveProgress>,
    /// Requests that recently wanted a model or adapter, by its name: request id and time.
    pub demand: BTreeMap<String, BTreeMap<u64, Time>>,
    /// Recent use of each model and adapter.
    pub uses: BTreeMap<String, UseStats>,
    /// Reports weights that no runner holds to the placement.
    pub load_requester: Option<LoadRequester>,
    /// Measured rates and durations, for estimates of the wait.
    pub throughput: Throughput,
    /// The newest estimate of the wait.
    pub last_expected_wait: Span,
    /// Event counters by their metric name.
    pub counters: BTreeMap<&'static str, u64>,
    /// Prompt prefixes that runners are likely to have cached.
    pub prompt_caches: PromptCaches,
    /// Whether runners of plain services send no reports; they are then used without one.
    pub has_unpolled_plain_runners: bool,
}

impl Balancer {
    /// A balancer that knows nothing of its service yet.
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

    /// Whether service slice and routes may be served from: each by a recent proof or by a serving lease.
    pub fn is_fresh(&self, now: Time) -> bool {
        let service = now.since(self.proven_at) < self.freshness_limit || now < self.leased_until;
        self.slice.is_some() && service && self.are_routes_fresh(now)
    }

    /// Whether the routes may be served from, by a recent proof or by a serving lease.
    pub fn are_routes_fresh(&self, now: Time) -> bool {
        now.since(self.routes_proven_at) < self.freshness_limit || now < self.routes_leased_until
    }

    /// Increments a counter.
    pub fn count(&mut self, what: &'static str) {
        *self.counters.entry(what).or_default() += 1;
    }

    /// The last check right before bytes go to a runner, as the decision may be outdated by then.
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
        let listed =
            self.slice.as_ref().and_then(|slice| slice.runners.iter().find(|r| r.instance == *runner));
        let health = self.health.get(runner);
        if listed.is_none_or(|r| r.leaving) || health.is_some_and(|health| health.is_leaving) {
            return Err(RefusalReason::NoRunner);
        }
        Ok(())
    }

    /// Decides on a new or retried request and claims a slot if it is sent; `avoid` names runners not to use.
    pub fn route(&mut self, now: Time, spec: &RequestSpec, avoid: &[Name]) -> RoutingDecision {
        if now >= spec.start_deadline {
            return RoutingDecision::Refuse(Refusal::new(RefusalReason::DeadlinePassed, 1));
        }
        let decision = self.choose_runner(now, spec, avoid);
        if let RoutingDecision::Send(r) = &decision {
            self.claim_slot(now, r, spec);
        }
        if let RoutingDecision::Wait("no-holder") = decision {
            self.request_missing_loads(now, spec);
        }
        if let RoutingDecision::Wait("no-holder" | "busy") = decision {
            self.record_demand(now, spec);
        }
        decision
    }

    /// Decides on a request that has just arrived. It does not overtake a long queue of requests at least as urgent.
    pub fn route_new(&mut self, now: Time, spec: &RequestSpec) -> RoutingDecision {
        if self.is_stopping {
            return RoutingDecision::Refuse(Refusal::new(RefusalReason::Stopping, 1));
        }
        self.throughput.record_arrival(now, &spec.model, spec.class);
        self.record_use(now, spec);
        let first = self.queue.keys().first().is_some_and(|k| k.0 <= spec.urgency());
        let decision = if first && self.queue.len() > 32 {
            match self.choose_runner(now, spec, &[]) {
                RoutingDecision::Send(_) => RoutingDecision::Wait("behind-others"),
                decision => {
                    if let RoutingDecision::Wait("no-holder") = decision {
                        self.request_missing_loads(now, spec);
                        self.record_demand(now, spec);
                    }
                    decision
                }
            }
        } else {
            self.route(now, spec, &[])
        };
        let ahead = self.queue.count_ahead(spec);
        self.refuse_if_hopeless(now, spec, decision, ahead)
    }

    /// Counts the request as in progress at the runner.
    pub fn claim_slot(&mut self, now: Time, r: &Runner, spec: &RequestSpec) {
        let health = self.health.entry(r.instance.clone()).or_default();
        health.own_requests += 1;
        self.throughput.record_send(now, &spec.model);
        self.prompt_caches.record_sent(&r.instance, spec);
        *self.active_requests.entry((r.instance.clone(), Name(spec.model.to_string()))).or_default() += 1;
    }

    /// Records how long a finished request occupied a slot.
    pub fn record_occupancy(&mut self, model: &str, held: Span) {
        self.throughput.record_occupancy(model, held);
    }

    /// Frees the slot of a request; `good` is the result for the health of the runner, if it says anything.
    pub fn release_slot(&mut self, now: Time, runner: &Name, model: &str, good: Option<bool>) {
        self.return_slot(runner, model);
        let health = self.health.entry(runner.clone()).or_default();
        match good {
            Some(true) => health.record_success(),
            Some(false) => health.record_failure(now),
            None => {}
        }
        self.route_waiting(now);
    }
}
