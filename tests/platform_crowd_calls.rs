//! Calls of legal size at the control address that cost much more than their bytes, on real processes. Each may be
//! carried out or refused.

mod platform_crowd;

use platform_crowd::alone;
use platform_crowd::fleet::CrowdFleet;

/// How many terms a condition has, and how many runners a list.
const TERMS: usize = 200_000;
const RUNNERS: usize = 50_000;
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

#[tokio::test]
async fn given_a_list_of_very_many_runners_then_nodes_stay_within_their_memory() {
    let _alone = alone().await;
    let runner = |n: usize| {
        format!(
            r#"{{"instance":"i{n}","service":"s","address":"127.0.0.1:{}","zone":"hall-a"}}"#,
            n % 60_000 + 1
        )
    };
    let text = format!("[{}]", (0..RUNNERS).map(runner).collect::<Vec<_>>().join(","));
    expect_unharmed_by("calls-runners", "PUT /v1/runners", &text).await;
}
