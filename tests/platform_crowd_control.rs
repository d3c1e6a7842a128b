//! Crowds at the doors of operators and runners, on real processes within the memory of their machines.

mod platform_crowd;

use platform_crowd::alone;
use platform_crowd::clients::{Body, Crowd, Request};
use platform_crowd::fleet::CrowdFleet;

/// How many callers send large calls at once.
const CALLERS: usize = 40;
const CALL_BYTES: usize = 7 << 20;
const PUT: &str = "PUT /spindledock/config";

async fn expect_unharmed_by(name: &str, request: Request) {
    let mut fleet = CrowdFleet::start(name).await;
    let at_controller = Crowd::send(fleet.control(0), CALLERS, request.clone()).await;
    let at_router = Crowd::send(fleet.readiness(), CALLERS, request).await;
    fleet.until_consumed().await;
    fleet.expect_unharmed().await;
    drop((at_controller, at_router));
}

#[tokio::test]
async fn given_large_calls_that_stop_one_byte_short_then_nodes_stay_within_their_memory() {
    let _alone = alone().await;
    let body = Body::Length { announced: CALL_BYTES as u64, sent: CALL_BYTES - 1 };
    expect_unharmed_by("calls-short", Request { line: PUT, body }).await;
}

#[tokio::test]
async fn given_calls_in_chunks_of_16_bytes_that_stop_short_then_nodes_stay_within_their_memory() {
    let _alone = alone().await;
    let body = Body::Chunks { size: 16, count: 100_000, whole: false };
    expect_unharmed_by("calls-chunks", Request { line: PUT, body }).await;
}

#[tokio::test]
async fn given_large_calls_that_are_whole_then_nodes_stay_within_their_memory() {
    let _alone = alone().await;
    let body = Body::Length { announced: CALL_BYTES as u64, sent: CALL_BYTES };
    expect_unharmed_by("calls-whole", Request { line: PUT, body }).await;
}

#[tokio::test]
async fn given_calls_far_over_the_limit_then_nodes_stay_within_their_memory() {
    let _alone = alone().await;
    let body = Body::Length { announced: 8 << 30, sent: 32 << 20 };
    expect_unharmed_by("calls-announced", Request { line: PUT, body }).await;
}

#[tokio::test]
async fn given_large_calls_of_very_many_values_then_nodes_stay_within_their_memory() {
    let _alone = alone().await;
    let body = Body::List { item: "1", bytes: CALL_BYTES };
    expect_unharmed_by("calls-numbers", Request { line: PUT, body }).await;
}

#[tokio::test]
async fn given_large_calls_of_very_many_objects_then_nodes_stay_within_their_memory() {
    let _alone = alone().await;
    let body = Body::List { item: r#"{"":1}"#, bytes: CALL_BYTES };
    expect_unharmed_by("calls-objects", Request { line: PUT, body }).await;
}
