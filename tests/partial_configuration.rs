//! What a router does with requests while it knows the routes and a service of different configurations.

use spindledock::fleet::FleetConfig;
use spindledock::fleet::read::read_text;
use spindledock::fleet::slice::{RoutesSlice, Slice, service_slice};
use spindledock::fleet::state::Scope;
use spindledock::gate::order::{RefusalReason, RequestSpec, RoutingDecision};
use spindledock::gate::{Balancer, BalancerTable};
use spindledock::kernel::ids::{Name, Version};
use spindledock::kernel::time::{Span, Time};
use std::sync::{Arc, Mutex};

const NOW: Time = Time(100_000_000);
const FRESH: Span = Span::ms(2000);
/// The longest that a request may wait for the rest of a configuration.
const MOST_WAIT: Span = Span::ms(1500);

/// A service with these models and a route at `/` if it has one.
fn service(name: &str, models: &[&str], has_route: bool) -> String {
    let models: Vec<String> = models.iter().map(|model| format!("\"{model}\"")).collect();
    let routes = if has_route { r#"{"prefix":"/","due_ms":9000}"# } else { "" };
    format!(r#"{{"name":"{name}","sort":"assistant","models":[{}],"routes":[{routes}]}}"#, models.join(","))
}

fn config(services: &[String]) -> FleetConfig {
    let text = format!(
        r#"{{"models":[{{"name":"m1","weight_mb":1}},{{"name":"m2","weight_mb":1}}],"services":[{}]}}"#,
        services.join(",")
    );
    read_text(&text).expect("a valid configuration")
}

struct Router(BalancerTable);

impl Router {
    fn new() -> Router {
        Router(BalancerTable::new(Name::from("z"), FRESH))
    }

    fn learn_routes(&self, version: u64, config: &FleetConfig) {
        let slice = Slice::Routes(RoutesSlice::of(config));
        self.0.apply_slice(NOW, &Scope::Routes, Version(version), Some(slice), NOW);
    }

    /// Learns the service `s` as it is at `version`, under the configuration that came into force at `config_version`.
    fn learn_service(&self, version: u64, config_version: u64, config: &FleetConfig) {
        let found = config.service(&Name::from("s"));
        let slice = found.map_or(Slice::Gone, |service| {
            let mut slice = service_slice(config, service);
            slice.config_version = Version(config_version);
            Slice::Service(Box::new(slice))
        });
        self.0.apply_slice(NOW, &Scope::Service(Name::from("s")), Version(version), Some(slice), NOW);
    }

    fn balancer(&self) -> Arc<Mutex<Balancer>> {
        self.0.get(&Name::from("s")).expect("a balancer")
    }

    /// What is decided on a request for `model` that the routes of this version have admitted.
    fn decide(&self, model: &str, admitted_by: u64) -> RoutingDecision {
        self.balancer().lock().expect("a balancer").choose_runner(NOW, &request(model, admitted_by), &[])
    }
}

fn request(model: &str, admitted_by: u64) -> RequestSpec {
    RequestSpec {
        id: 1,
        service: Name::from("s"),
        model: model.into(),
        path: "/x".into(),
        routes_version: Version(admitted_by),
        start_deadline: NOW + Span::ms(9000),
        answer_deadline: NOW + Span::ms(9000),
        ..RequestSpec::default()
    }
}

fn is_wait(decision: &RoutingDecision) -> bool {
    matches!(decision, RoutingDecision::Wait(_))
}

fn refusal(decision: &RoutingDecision) -> Option<RefusalReason> {
    match decision {
        RoutingDecision::Refuse(refusal) => Some(refusal.reason),
        _ => None,
    }
}

// Guards against DENIED: a model that came with newer routes got 404 from a balancer that was not told of it yet.
#[test]
fn given_newer_routes_than_the_service_when_its_new_model_is_asked_for_then_the_request_waits() {
    let router = Router::new();
    let (old, new) = (config(&[service("s", &["m1"], true)]), config(&[service("s", &["m1", "m2"], true)]));
    router.learn_routes(1, &old);
    router.learn_service(1, 1, &old);
    router.learn_routes(2, &new);
    assert!(is_wait(&router.decide("m2", 2)), "{:?}", router.decide("m2", 2));
    router.learn_service(2, 2, &new);
    assert!(is_wait(&router.decide("m2", 2)), "no runner yet: {:?}", router.decide("m2", 2));
}

// Guards against DENIED: a model that moved to another service together with its route got 404 until the routes came.
#[test]
fn given_a_service_that_has_lost_a_model_when_the_routes_that_move_with_it_are_due_then_requests_wait_for_them()
 {
    let router = Router::new();
    let old = config(&[service("s", &["m1", "m2"], true), service("t", &["m1"], false)]);
    let new = config(&[service("s", &["m1"], false), service("t", &["m2"], true)]);
    router.learn_routes(1, &old);
    router.learn_service(1, 1, &old);
    router.learn_service(2, 2, &new);
    assert!(is_wait(&router.decide("m2", 1)), "{:?}", router.decide("m2", 1));
    router.learn_routes(2, &new);
    assert!(matches!(router.decide("m2", 1), RoutingDecision::Readmit), "{:?}", router.decide("m2", 1));
}

// Guards against DENIED: a service that was withdrawn and has returned got 404 until its topic came.
#[test]
fn given_a_service_that_returns_when_its_routes_come_first_then_requests_wait_for_it() {
    let router = Router::new();
    let (with, without) = (config(&[service("s", &["m1"], true)]), config(&[service("t", &["m1"], true)]));
    router.learn_routes(1, &with);
    router.learn_service(1, 1, &with);
    router.learn_service(2, 2, &without);
    assert!(is_wait(&router.decide("m1", 1)), "withdrawn before its routes: {:?}", router.decide("m1", 1));
    router.learn_routes(2, &without);
    assert!(matches!(router.decide("m1", 1), RoutingDecision::Readmit), "{:?}", router.decide("m1", 1));
    router.learn_routes(3, &with);
    assert!(is_wait(&router.decide("m1", 3)), "returned: {:?}", router.decide("m1", 3));
    router.learn_service(3, 3, &with);
    assert!(is_wait(&router.decide("m1", 3)), "no runner yet: {:?}", router.decide("m1", 3));
}

#[test]
fn given_one_configuration_when_a_model_is_in_none_of_its_lists_then_the_refusal_comes_at_once_and_is_final()
{
    let router = Router::new();
    let only = config(&[service("s", &["m1"], true)]);
    router.learn_routes(1, &only);
    router.learn_service(1, 1, &only);
    assert_eq!(refusal(&router.decide("m2", 1)), Some(RefusalReason::UnknownModel));
    router.learn_service(5, 1, &only);
    assert_eq!(
        refusal(&router.decide("m2", 1)),
        Some(RefusalReason::UnknownModel),
        "after a list of runners"
    );
}

#[test]
fn given_the_rest_of_a_configuration_that_does_not_come_when_a_request_waits_for_it_then_it_may_be_repeated()
{
    let router = Router::new();
    let (old, new) = (config(&[service("s", &["m1"], true)]), config(&[service("s", &["m1", "m2"], true)]));
    router.learn_routes(1, &old);
    router.learn_service(1, 1, &old);
    router.learn_routes(2, &new);
    let balancer = router.balancer();
    let mut balancer = balancer.lock().expect("a balancer");
    let told: Arc<Mutex<Vec<RoutingDecision>>> = Arc::default();
    let hear = told.clone();
    let wake = Box::new(move |decision| {
        hear.lock().expect("a list").push(decision);
        Ok(())
    });
    balancer.wait(NOW, request("m2", 2), Vec::new(), wake);
    balancer.route_waiting(NOW + MOST_WAIT);
    assert!(told.lock().expect("a list").is_empty());
    balancer.route_waiting(NOW + MOST_WAIT + Span::ms(1));
    let told = told.lock().expect("a list");
    assert_eq!(told.iter().map(refusal).collect::<Vec<_>>(), [Some(RefusalReason::StaleConfiguration)]);
}
