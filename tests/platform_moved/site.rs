//! A router with two services, whose routes change while requests are on their way.
#![allow(dead_code)]

use crate::platform_given::read_document;
use crate::test_router::{LONG, TestRouter, answer, sealed_answer};
use spindledock::constraints::shares::Grant;
use spindledock::fleet::FleetConfig;
use spindledock::fleet::runner::{Runner, RunnerReport};
use spindledock::fleet::slice::{RoutesSlice, Slice, service_slice};
use spindledock::fleet::state::Scope;
use spindledock::kernel::ids::{Name, Version};
use spindledock::kernel::time::{Clock, Span};
use spindledock::protocol::Protocols;
use spindledock::standin::raw::Script;
use std::sync::Arc;

/// The service that requests wait for.
pub const FIRST: &str = "first";
/// The service that routes are moved to.
pub const SECOND: &str = "second";
/// The runner of `FIRST` that turns every request away, and the one that serves them.
pub const FULL_RUNNER: usize = 0;
pub const FREE_RUNNER: usize = 1;

/// A route at `prefix`; `kind` is its `RouteType` with what belongs to it, `target` names its service or services.
pub fn route(prefix: &str, kind: &str, target: &str) -> String {
    format!(
        r#"{{"Name":"r{prefix}","Vhost":"a.example","PathPrefix":"{prefix}","TimeoutMs":8000,"TargetLatencyMs":200,
        "MaxRetries":3,"RouteType":{kind},{target}}}"#
    )
}

/// The target of a route that leads to one service.
pub fn to(service: &str) -> String {
    format!(r#""Backend":"{service}""#)
}

/// A configuration with these routes and services, and what else it holds.
pub fn document(routes: &[String], services: &[&str], more: &str) -> String {
    let services: Vec<String> = services.iter().map(|name| format!(r#"{{"Name":"{name}"}}"#)).collect();
    format!(r#"{{"Revision":1,"RouteMap":[{}],"Backends":[{}]{more}}}"#, routes.join(","), services.join(","))
}

/// The head of request `number`, whose body has this length.
pub fn head(number: usize, length: usize) -> String {
    format!(
        "POST /a/x/{number} HTTP/1.1\r\nhost: a.example\r\nx-request-id: q{number}\r\ncontent-length: {length}\r\n\r\n"
    )
}

/// Runners of which `FULL_RUNNER` turns every request away, unrun, and the others answer.
pub fn full_and_free() -> Script {
    Arc::new(|_, heard| match heard.runner {
        FULL_RUNNER => vec![answer(503, heard.head("x-request-id"), "x-not-executed: 1\r\n", "full")],
        _ => vec![sealed_answer(heard, "whole")],
    })
}

/// The topics of one configuration arrive one by one.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Topic {
    Routes,
    Services,
}

pub struct Site {
    pub router: TestRouter,
    version: Version,
}

impl Site {
    pub async fn start() -> Site {
        let router = TestRouter::start(2, 3, full_and_free()).await;
        Site { router, version: Version(0) }
    }

    /// A router that speaks the product's own protocol with clients and runners.
    pub async fn start_native() -> Site {
        let router = TestRouter::start_speaking(Protocols::default(), 2, 3, full_and_free()).await;
        Site { router, version: Version(0) }
    }

    /// Takes the report of a runner of the service that it holds this model.
    pub fn report_holding(&self, service: &str, number: usize, model: &str) {
        let balancer = self.router.front.table.get(&Name::from(service)).expect("a balancer");
        let instance = Name(format!("i-{number}"));
        let report = RunnerReport {
            instance: instance.clone(),
            holds: vec![Name::from(model)],
            slots: 8,
            ..RunnerReport::default()
        };
        let now = self.router.clock.now();
        let mut balancer = balancer.lock().expect("a balancer");
        balancer.on_report(now, &instance, report);
        balancer.route_waiting(now);
    }

    /// Takes a configuration, its topics in this order. `runners` are the runners of each service that has any.
    pub fn configure(&mut self, text: &str, runners: &[(&str, usize)], order: [Topic; 2]) {
        self.begin_configuration();
        order.iter().for_each(|topic| self.take(text, runners, *topic));
    }

    pub fn begin_configuration(&mut self) {
        self.version = Version(self.version.0 + 1);
    }

    /// Takes one topic of the configuration that has begun.
    pub fn take(&self, text: &str, runners: &[(&str, usize)], topic: Topic) {
        let config = read_document(text).expect("a valid configuration");
        match topic {
            Topic::Services => {
                [FIRST, SECOND].iter().for_each(|name| self.take_service(&config, name, runners))
            }
            Topic::Routes => self.apply(Scope::Routes, Slice::Routes(RoutesSlice::of(&config))),
        }
    }

    fn take_service(&self, config: &FleetConfig, name: &str, runners: &[(&str, usize)]) {
        let scope = Scope::Service(Name::from(name));
        let Some(service) = config.services.iter().find(|service| service.name.0 == name) else {
            return self.apply(scope, Slice::Gone);
        };
        let mut slice = service_slice(config, service);
        slice.config_version = self.version;
        let own = runners.iter().filter(|(service, _)| *service == name);
        slice.runners = own.map(|(service, number)| self.runner(service, *number)).collect();
        self.apply(scope, Slice::Service(Box::new(slice)));
    }

    fn runner(&self, service: &str, number: usize) -> Runner {
        Runner {
            instance: Name(format!("i-{number}")),
            service: Name::from(service),
            domain: Name::from("hall-a"),
            addr: self.router.runners.addrs[number],
            leaving: false,
        }
    }

    fn apply(&self, scope: Scope, slice: Slice) {
        let now = self.router.clock.now();
        self.router.front.table.apply_slice(now, &scope, self.version, Some(slice), now);
    }

    /// Returns once this many requests wait for a runner of the service.
    pub async fn until_waiting(&self, service: &str, count: usize) {
        let balancer = self.router.front.table.get(&Name::from(service)).expect("a balancer");
        let wait = async {
            while balancer.lock().expect("a balancer").queue.len() != count {
                tokio::task::yield_now().await;
            }
        };
        tokio::time::timeout(LONG, wait).await.expect("requests that wait");
    }

    /// The counter of this name at the balancer of a service.
    pub fn count(&self, service: &str, counter: &str) -> u64 {
        let balancer = self.router.front.table.get(&Name::from(service)).expect("a balancer");
        let balancer = balancer.lock().expect("a balancer");
        balancer.counters.get(counter).copied().unwrap_or(0)
    }

    /// Grants tokens of a tenant's quota to the router.
    pub fn grant(&self, tenant: &str, tokens: u32) {
        let now = self.router.clock.now();
        let valid_until = now + Span::ms(60_000);
        let grant = Grant { tenant: Name::from(tenant), tokens, valid_until, blocked_until: None };
        self.router.front.table.quota.lock().expect("the shares").on_granted(now, &[grant]);
    }

    /// The tokens that the router has left.
    pub fn tokens_left(&self) -> u64 {
        let now = self.router.clock.now();
        self.router.front.table.quota.lock().expect("the shares").outstanding(now)
    }

    /// Lets the services save credit for further attempts.
    pub fn save_retries(&self, count: u64) {
        for balancer in self.router.front.table.balancers() {
            let mut balancer = balancer.lock().expect("a balancer");
            (0..count * 5).for_each(|_| balancer.retry_budget.record_first_send());
        }
    }
}
