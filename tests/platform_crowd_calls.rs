//! Calls of legal size at the control address that cost much more than their bytes, on real processes. Each may be
//! carried out or refused.

mod platform_crowd;

use platform_crowd::alone;
use platform_crowd::fleet::CrowdFleet;

/// How many terms a condition has.
const TERMS: usize = 200_000;
/// How deep parentheses are nested.
const DEPTH: usize = 1_000_000;

async fn expect_unharmed_by(name: &str, line: &str, text: &str) {
    let mut fleet = CrowdFleet::start(name).await;
    for n in 0..3 {
        fleet.call(fleet.control(n), line, text).await;
    }
    fleet.call(fleet.readiness(), line, text).await;
    fleet.expect_unharmed().await;
}

#[tokio::test]
async fn given_a_query_of_very_many_terms_then_nodes_live() {
    let _alone = alone().await;
    let text = format!("SELECT * FROM nodes WHERE {}", vec!["1=2"; TERMS].join(" OR "));
    expect_unharmed_by("calls-terms", "POST /v1/query", &text).await;
}

#[tokio::test]
async fn given_a_query_of_deep_parentheses_then_nodes_live() {
    let _alone = alone().await;
    let text = format!("SELECT * FROM nodes WHERE {}1=2{}", "(".repeat(DEPTH), ")".repeat(DEPTH));
    expect_unharmed_by("calls-depth", "POST /v1/query", &text).await;
}

#[tokio::test]
async fn given_a_query_of_very_many_signs_then_nodes_live() {
    let _alone = alone().await;
    let text = format!("SELECT * FROM nodes WHERE 1 = {}1", "- ".repeat(DEPTH));
    expect_unharmed_by("calls-signs", "POST /v1/query", &text).await;
}
