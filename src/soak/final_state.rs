//! What a fleet must show once nothing happens to it any more: every process serves, nothing of an ended request is
//! left, and the configuration is what was acknowledged.

use super::checks::{Finding, Rule};
use super::config_change::{ChangeRecord, routes_at_end};
use crate::cli::run::Ask;
use crate::json::Tree;
use crate::launch::trial::Trial;
use crate::standin::caller::{Call, assistant, call, tile};
use crate::standin::tally::End;
use std::time::{Duration, Instant};

/// How long after the last trouble a process may take until it serves.
const RECOVERY: Duration = Duration::from_secs(12);
/// The pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(200);
/// How long one answer may take.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// The figures of a router that are zero when no request is under way.
const AT_REST: [&str; 4] = ["open_orders", "inbox", "active", "reserved_tries"];

/// Looks at every node of the fleet.
pub async fn look(trial: &Trial, changes: &[ChangeRecord]) -> Vec<Finding> {
    let mut findings = Vec::new();
    let routers = trial.fleet.routers();
    for node in trial.fleet.controllers().iter().chain(&routers) {
        if !comes_true(async || is_ready(trial, node).await).await {
            findings.push(Finding::new(Rule::Gone, format!("{node} runs and is not ready")));
        }
        findings.extend(configuration(trial, node, changes).await);
    }
    for router in &routers {
        findings.extend(serves(trial, router).await);
    }
    for router in &routers {
        if let Some(left) = left_behind(trial, router).await {
            findings
                .push(Finding::new(Rule::Leak, format!("{router} keeps {left} of requests that are over")));
        }
    }
    findings
}

async fn comes_true(test: impl AsyncFn() -> bool) -> bool {
    let began = Instant::now();
    while began.elapsed() < RECOVERY {
        if test().await {
            return true;
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    false
}

async fn is_ready(trial: &Trial, node: &str) -> bool {
    trial.ask(node, &Ask::get("/ready")).await.is_ok_and(|sent| sent.status == 200)
}

/// A router must serve a plain request and a stream.
async fn serves(trial: &Trial, router: &str) -> Vec<Finding> {
    let plain = tile(trial.fleet.plan.plain_service, 1);
    let stream = assistant("/chat/final", &trial.fleet.plan.model(0), 5, 1);
    let mut findings = Vec::new();
    for (what, request) in [("a plain request", plain), ("a stream", stream)] {
        if !comes_true(async || is_served(trial, router, &request).await).await {
            findings.push(Finding::new(Rule::Gone, format!("{router} does not serve {what}")));
        }
    }
    findings
}

async fn is_served(trial: &Trial, router: &str, request: &Call) -> bool {
    let work = call(&trial.pool, trial.fleet.http(router), request);
    tokio::time::timeout(ANSWER_TIMEOUT, work).await.is_ok_and(|tally| tally.get(End::Whole) == 1)
}

/// What a router still counts of requests that are over, after the time it has to forget them.
async fn left_behind(trial: &Trial, router: &str) -> Option<String> {
    let mut left = None;
    for _ in 0..10 {
        let sent = trial.ask(router, &Ask::get("/metrics")).await.ok()?;
        left = not_at_rest(&sent.body);
        left.as_ref()?;
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    left
}

fn not_at_rest(metrics: &str) -> Option<String> {
    let is_kept = |line: &&str| {
        let Some((name, value)) = line.rsplit_once(' ') else { return false };
        let name = name.split('{').next().unwrap_or(name);
        let name = name.trim_start_matches("spindledock_");
        AT_REST.contains(&name) && value.parse::<f64>().is_ok_and(|value| value != 0.0)
    };
    metrics.lines().find(is_kept).map(|line| line.to_string())
}

/// The configuration that a node shows must have what was acknowledged, and nothing that was refused.
async fn configuration(trial: &Trial, node: &str, changes: &[ChangeRecord]) -> Vec<Finding> {
    let Some(shown) = shown_routes(trial, node).await else {
        return vec![Finding::new(Rule::Config, format!("{node} does not give the configuration"))];
    };
    let mut findings = Vec::new();
    for (prefix, expected) in routes_at_end(changes) {
        let is_there = shown.contains(&prefix);
        match expected {
            Some(true) if !is_there => {
                findings.push(Finding::new(Rule::Config, format!("{node} lacks the acknowledged {prefix}")));
            }
            Some(false) if is_there => {
                let text = format!("{node} has {prefix}, which was refused or dropped");
                findings.push(Finding::new(Rule::Config, text));
            }
            _ => {}
        }
    }
    findings
}

async fn shown_routes(trial: &Trial, node: &str) -> Option<Vec<String>> {
    let began = Instant::now();
    while began.elapsed() < RECOVERY {
        if let Some(tree) = trial.tree(node, "/v1/config").await {
            return tree.get("configuration").map(routes_of);
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    None
}

fn routes_of(configuration: &Tree) -> Vec<String> {
    let services = configuration.list("services").iter();
    let routes = services.flat_map(|service| service.list("routes"));
    routes.filter_map(|route| route.text("prefix")).map(|prefix| prefix.to_string()).collect()
}
