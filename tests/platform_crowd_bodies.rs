//! Crowds of clients whose bodies fill a router, on real processes within the memory of their machines.

mod platform_crowd;

use platform_crowd::clients::{Body, Crowd, Request};
use platform_crowd::fleet::CrowdFleet;
use platform_crowd::{MAX_BODY_BYTES, alone};

/// How many clients send large bodies at once: two and a half times what the machine's memory holds.
const CLIENTS: usize = 80;
/// How many clients send bodies of `MEDIUM_BODY_BYTES`.
const MEDIUM_CLIENTS: usize = 300;
const MEDIUM_BODY_BYTES: usize = 1 << 20;
const POST: &str = "POST /once/x";
/// The runner keeps these requests waiting.
const POST_HELD: &str = "POST /once/held";

async fn expect_unharmed_by(name: &str, clients: usize, request: Request) {
    let mut fleet = CrowdFleet::start(name).await;
    let stops_short = request.line == POST;
    let crowd = Crowd::send(fleet.front(), clients, request).await;
    fleet.until_consumed().await;
    if stops_short {
        fleet.expect_large_request_served().await;
    }
    fleet.expect_unharmed().await;
    drop(crowd);
}

#[tokio::test]
async fn given_large_bodies_that_stop_one_byte_short_then_the_router_stays_within_its_memory() {
    let _alone = alone().await;
    let body = Body::Length { announced: MAX_BODY_BYTES as u64, sent: MAX_BODY_BYTES - 1 };
    expect_unharmed_by("short", CLIENTS, Request { line: POST, body }).await;
}

#[tokio::test]
async fn given_many_medium_bodies_that_stop_one_byte_short_then_the_router_stays_within_its_memory() {
    let _alone = alone().await;
    let body = Body::Length { announced: MEDIUM_BODY_BYTES as u64, sent: MEDIUM_BODY_BYTES - 1 };
    expect_unharmed_by("medium", MEDIUM_CLIENTS, Request { line: POST, body }).await;
}

#[tokio::test]
async fn given_large_chunks_that_stop_short_then_the_router_stays_within_its_memory() {
    let _alone = alone().await;
    let body = Body::Chunks { size: 64 << 10, count: (MAX_BODY_BYTES >> 16) - 1, whole: false };
    expect_unharmed_by("chunks", CLIENTS, Request { line: POST, body }).await;
}

#[tokio::test]
async fn given_chunks_of_one_byte_that_stop_short_then_the_router_stays_within_its_memory() {
    let _alone = alone().await;
    let body = Body::Chunks { size: 1, count: 400_000, whole: false };
    expect_unharmed_by("bytes", CLIENTS, Request { line: POST, body }).await;
}

#[tokio::test]
async fn given_bodies_far_over_the_limit_that_are_announced_then_the_router_stays_within_its_memory() {
    let _alone = alone().await;
    let body = Body::Length { announced: 8 << 30, sent: 32 << 20 };
    expect_unharmed_by("announced", CLIENTS, Request { line: POST, body }).await;
}

#[tokio::test]
async fn given_chunked_bodies_without_end_then_the_router_stays_within_its_memory() {
    let _alone = alone().await;
    let body = Body::Chunks { size: 64 << 10, count: 512, whole: false };
    expect_unharmed_by("endless", CLIENTS, Request { line: POST, body }).await;
}

#[tokio::test]
async fn given_whole_bodies_that_wait_for_their_answers_then_the_router_stays_within_its_memory() {
    let _alone = alone().await;
    let body = Body::Length { announced: MAX_BODY_BYTES as u64, sent: MAX_BODY_BYTES };
    expect_unharmed_by("whole", CLIENTS, Request { line: POST_HELD, body }).await;
}

#[tokio::test]
async fn given_whole_chunked_bodies_that_wait_for_their_answers_then_the_router_stays_within_its_memory() {
    let _alone = alone().await;
    let body = Body::Chunks { size: 1 << 10, count: (MAX_BODY_BYTES >> 10) - 1, whole: true };
    expect_unharmed_by("whole-chunks", CLIENTS, Request { line: POST_HELD, body }).await;
}
