//! Crowds that only hold connections open, on real processes within the descriptors of their machines.

mod platform_crowd;

use platform_crowd::clients::{Crowd, Holders};
use platform_crowd::fleet::CrowdFleet;
use platform_crowd::platform::configuration;
use platform_crowd::runner::{LARGE_IDEMPOTENT_PATH, LARGE_PATH};
use platform_crowd::{MAX_DESCRIPTORS, alone};

/// How many connections a crowd opens: more than the machine has descriptors.
const CONNECTIONS: usize = MAX_DESCRIPTORS as usize + 100;
/// How many clients ask for large answers and read none.
const NON_READERS: usize = 60;
/// The size of a large configuration.
const CONFIGURATION_BYTES: usize = 3 << 20;
const SHORT_BODY: &str =
    "POST /once/x HTTP/1.1\r\nhost: a.example\r\nx-request-id: 5\r\ncontent-length: 2000\r\n\r\n";

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a.example\r\nx-request-id: 5\r\nx-deadline-ms: 60000\r\n\r\n")
}

#[tokio::test]
async fn given_idle_connections_at_a_router_then_others_are_served() {
    let _alone = alone().await;
    let mut fleet = CrowdFleet::start("idle").await;
    let crowd = Holders::start(fleet.front(), CONNECTIONS, b"").await;
    fleet.expect_unharmed().await;
    drop(crowd);
}

#[tokio::test]
async fn given_bodies_that_stop_one_byte_short_on_all_connections_of_a_router_then_others_are_served() {
    let _alone = alone().await;
    let mut fleet = CrowdFleet::start("held").await;
    let bytes = format!("{SHORT_BODY}{}", "a".repeat(1999));
    let crowd = Holders::start(fleet.front(), CONNECTIONS, bytes.as_bytes()).await;
    fleet.expect_unharmed().await;
    drop(crowd);
}

#[tokio::test]
async fn given_idle_connections_at_the_control_and_readiness_doors_then_others_are_served() {
    let _alone = alone().await;
    let mut fleet = CrowdFleet::start("idle-control").await;
    let at_controller = Holders::start(fleet.control(0), CONNECTIONS, b"").await;
    let at_router = Holders::start(fleet.readiness(), CONNECTIONS, b"").await;
    fleet.expect_unharmed().await;
    drop((at_controller, at_router));
}

#[tokio::test]
async fn given_calls_that_stop_one_byte_short_on_all_connections_then_others_are_served() {
    let _alone = alone().await;
    let mut fleet = CrowdFleet::start("held-control").await;
    let bytes =
        format!("{}{}", SHORT_BODY.replace("POST /once/x", "PUT /spindledock/config"), "a".repeat(1999));
    let at_controller = Holders::start(fleet.control(0), CONNECTIONS, bytes.as_bytes()).await;
    let at_router = Holders::start(fleet.readiness(), CONNECTIONS, bytes.as_bytes()).await;
    fleet.expect_unharmed().await;
    drop((at_controller, at_router));
}

#[tokio::test]
async fn given_large_answers_that_nobody_reads_then_the_router_stays_within_its_memory() {
    let _alone = alone().await;
    let mut fleet = CrowdFleet::start("unread").await;
    let crowd = Crowd::ask(fleet.front(), NON_READERS, get(LARGE_PATH).as_bytes()).await;
    fleet.expect_unharmed().await;
    drop(crowd);
}

#[tokio::test]
async fn given_large_buffered_answers_that_nobody_reads_then_the_router_stays_within_its_memory() {
    let _alone = alone().await;
    let mut fleet = CrowdFleet::start("unread-buffered").await;
    let crowd = Crowd::ask(fleet.front(), NON_READERS, get(LARGE_IDEMPOTENT_PATH).as_bytes()).await;
    fleet.expect_unharmed().await;
    drop(crowd);
}

#[tokio::test]
async fn given_a_large_configuration_that_callers_ask_for_and_do_not_read_then_nodes_stay_within_their_memory()
 {
    let _alone = alone().await;
    let mut fleet = CrowdFleet::start("unread-control").await;
    let note = format!(r#"{{"Revision":2,"Note":"{}","#, "a".repeat(CONFIGURATION_BYTES));
    fleet.configure(1, &configuration().replacen(r#"{"Revision":1,"#, &note, 1)).await;
    let read = "GET /spindledock/config HTTP/1.1\r\nhost: c\r\n\r\n";
    let at_controller = Crowd::ask(fleet.control(0), NON_READERS, read.as_bytes()).await;
    let at_router = Crowd::ask(fleet.readiness(), NON_READERS, read.as_bytes()).await;
    fleet.expect_unharmed().await;
    drop((at_controller, at_router));
}
