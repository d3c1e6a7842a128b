//! Changes of the configuration that are legal calls but very large in what they describe, on real processes within the
//! memory of their machines. Each may be taken or refused.

mod platform_crowd;

use platform_crowd::alone;
use platform_crowd::fleet::CrowdFleet;
use platform_crowd::platform::configuration;
use spindledock::fleet::size_limits::MAX_CONFIG_SIZE;

/// How many changes come one after the other where they add up.
const CHANGES: u64 = 24;
/// How many bytes of names one such change adds.
const ADDED_BYTES: usize = 1 << 20;
/// How many bytes of names a change holds that replaces the one before.
const REPLACED_BYTES: usize = 3 << 20;
/// How many models are named where each has as many adapters as one model may have.
const MODELS: usize = 1_000;
const ADAPTERS_OF_ONE_MODEL: usize = 10_000;
/// How many services and routes a call of legal size holds.
const SERVICES: usize = 25_000;

fn named(items: impl Iterator<Item = String>) -> String {
    items.collect::<Vec<_>>().join(",")
}

/// How many services and routes the largest configuration that is taken has.
const MAX_SERVICES: usize = 1_900;
const MAX_ROUTES: usize = 19_000;

/// The document of the tests with further services.
fn with_services(services: &str) -> String {
    configuration()
        .replace(r#""Revision":1"#, r#""Revision":2"#)
        .replace(r#""Backends":["#, &format!(r#""Backends":[{services},"#))
}

/// A service of models that each have as many adapters as one model may have.
fn service_of_models(number: u64, count: usize) -> String {
    let model = |n| {
        format!(
            r#"{{"Name":"m{number}-{n}","WeightsMb":1,"LoadTimeS":1,"Adapters":{ADAPTERS_OF_ONE_MODEL},"AdapterSizeMb":1}}"#
        )
    };
    let models = named((0..count).map(model));
    let engine = format!(
        r#"{{"CapacitySlots":1,"Models":[{models}],"WeightsMb":1,"AdapterCapacity":1,"LoadRateS":1}}"#
    );
    format!(r#"{{"Name":"t","HealthCheck":"/health","MaxConnections":1,"Engine":{engine}}}"#)
}

/// The document of the tests with further routes.
fn with_routes(document: &str, routes: &str) -> String {
    document.replace(r#""RouteMap":["#, &format!(r#""RouteMap":[{routes},"#))
}

/// Brings as many changes, each of which replaces the one before and has a further service of its own.
async fn expect_unharmed_by_replacing(name: &str, changes: u64, service: impl Fn(u64) -> String) {
    let _alone = alone().await;
    let mut fleet = CrowdFleet::start(name).await;
    for n in 0..changes {
        let revision = format!(r#""Revision":{}"#, n + 2);
        let document = with_services(&service(n)).replace(r#""Revision":2"#, &revision);
        fleet.change("PUT", n + 1, &document).await;
    }
    fleet.expect_unharmed().await;
}

#[tokio::test]
async fn given_a_small_change_with_very_many_adapters_then_nodes_stay_within_their_memory() {
    let _alone = alone().await;
    let mut fleet = CrowdFleet::start("changes-adapters").await;
    let service = service_of_models(0, MODELS);
    fleet.change("PUT", 1, &with_services(&service)).await;
    fleet.expect_unharmed().await;
}

#[tokio::test]
async fn given_changes_that_add_up_then_nodes_stay_within_their_memory() {
    let _alone = alone().await;
    let mut fleet = CrowdFleet::start("changes-sum").await;
    for n in 0..CHANGES {
        let revision = n + 2;
        let name = "n".repeat(ADDED_BYTES);
        let service = format!(r#"{{"Name":"{n}{name}","HealthCheck":"/health","MaxConnections":1}}"#);
        let document = format!(r#"{{"Revision":{revision},"Upsert":{{"Backends":[{service}]}}}}"#);
        fleet.change("PATCH", n + 1, &document).await;
    }
    fleet.expect_unharmed().await;
}

#[tokio::test]
async fn given_large_changes_that_replace_one_another_then_nodes_stay_within_their_memory() {
    let note = "n".repeat(REPLACED_BYTES);
    let service = |n| format!(r#"{{"Name":"t{n}","Note":"{note}","MaxConnections":1}}"#);
    expect_unharmed_by_replacing("changes-replace", CHANGES, service).await;
}

#[tokio::test]
async fn given_changes_of_ever_new_long_names_then_nodes_stay_within_their_memory() {
    let name = "n".repeat(REPLACED_BYTES);
    let service = |n| format!(r#"{{"Name":"{n}{name}","HealthCheck":"/health","MaxConnections":1}}"#);
    expect_unharmed_by_replacing("changes-names", CHANGES, service).await;
}

#[tokio::test]
async fn given_a_change_of_very_many_services_and_routes_then_nodes_stay_within_their_memory() {
    let _alone = alone().await;
    let mut fleet = CrowdFleet::start("changes-routes").await;
    let services = named(
        (0..SERVICES).map(|n| format!(r#"{{"Name":"s{n}","HealthCheck":"/health","MaxConnections":1}}"#)),
    );
    let routes = named((0..SERVICES).map(|n| {
        format!(
            r#"{{"Name":"r{n}","Vhost":"b.example","PathPrefix":"/{n}/","TimeoutMs":1000,"Backend":"s{n}"}}"#
        )
    }));
    let document = with_routes(&with_services(&services), &routes);
    fleet.change("PUT", 1, &document).await;
    fleet.expect_unharmed().await;
}

#[tokio::test]
async fn given_as_many_services_and_routes_as_allowed_then_nodes_stay_within_their_memory() {
    let _alone = alone().await;
    let mut fleet = CrowdFleet::start("changes-most-routes").await;
    let services = named(
        (0..MAX_SERVICES).map(|n| format!(r#"{{"Name":"s{n}","HealthCheck":"/health","MaxConnections":1}}"#)),
    );
    let routes = named((0..MAX_ROUTES).map(|n| {
        let service = n % MAX_SERVICES;
        format!(r#"{{"Name":"r{n}","Vhost":"b.example","PathPrefix":"/{n}/","TimeoutMs":1000,"Backend":"s{service}"}}"#)
    }));
    let document = with_routes(&with_services(&services), &routes);
    fleet.change("PUT", 1, &document).await;
    fleet.expect_unharmed().await;
}

#[tokio::test]
async fn given_as_many_adapters_as_allowed_twice_then_nodes_stay_within_their_memory() {
    let service = |n| service_of_models(n, MAX_CONFIG_SIZE.adapters / ADAPTERS_OF_ONE_MODEL);
    expect_unharmed_by_replacing("changes-most-adapters", 2, service).await;
}
