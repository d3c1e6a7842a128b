//! The operator and the platform's list: changes one after the other, each sent until its answer is clear.

use super::config_change::{self as document, ChangeRecord, Outcome};
use super::step::ConfigChange;
use crate::cli::run::{Ask, Sent, ask};
use crate::http::pool::Pool;
use crate::json::Tree;
use crate::kernel::ids::Name;
use crate::kernel::time::{BootClock, Clock, Time};
use crate::launch::deployment::Deployment;
use crate::sim::record::Fact;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// How long one call may take before another node is asked.
const CALL_TIMEOUT: Duration = Duration::from_secs(6);
/// The pause after a call without a clear answer.
const CALL_PAUSE: Duration = Duration::from_millis(250);
/// How long a change is sent again.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);

/// A job for the operator.
pub enum Job {
    /// A change of the configuration.
    Change(ConfigChange),
    /// The list of runners, as a document.
    Runners(String),
    /// The mark of a runner.
    Leaving(String),
}

/// What the operator wrote down.
#[derive(Default)]
pub struct Journal {
    /// The changes, in the order they were sent.
    pub changes: Vec<ChangeRecord>,
    /// What is judged beside them.
    pub facts: Vec<(Time, Fact)>,
    /// The models that are offered, as far as the answers tell.
    pub offered: Vec<String>,
}

/// Sends changes to the fleet.
pub struct Operator {
    plan: Deployment,
    pool: Pool,
    nodes: Vec<SocketAddr>,
    next_node: usize,
    next_id: u64,
    journal: Arc<Mutex<Journal>>,
}

/// Whether an answer is final.
fn outcome_of(sent: &Sent) -> Outcome {
    let code = Tree::parse(&sent.body).ok().and_then(|tree| tree.text("code").map(|code| code.to_string()));
    match sent.status {
        200 => Outcome::Acknowledged,
        400..=499 => Outcome::Refused(code.unwrap_or_default()),
        _ => Outcome::Unknown,
    }
}

impl Operator {
    /// An operator who asks these nodes in turn.
    pub fn new(plan: Deployment, nodes: Vec<SocketAddr>, journal: Arc<Mutex<Journal>>) -> Operator {
        Operator { plan, pool: Pool::default(), nodes, next_node: 0, next_id: 0, journal }
    }

    /// Carries out jobs until there are no more.
    pub async fn work(mut self, mut jobs: mpsc::UnboundedReceiver<Job>) {
        while let Some(job) = jobs.recv().await {
            match job {
                Job::Change(change) => self.change(&change).await,
                Job::Runners(list) => drop(self.until_clear("PUT", "/v1/runners", &list, None).await),
                Job::Leaving(runner) => self.mark(&runner).await,
            }
        }
    }

    async fn mark(&mut self, runner: &str) {
        let path = format!("/v1/runners/{runner}/leaving");
        if self.until_clear("POST", &path, "", None).await == Outcome::Acknowledged {
            let learnt = Fact::LeavingLearnt { runner: Name(runner.to_string()), place: None };
            self.journal.lock().unwrap().facts.push((BootClock.now(), learnt));
        }
    }

    async fn change(&mut self, change: &ConfigChange) {
        match change {
            ConfigChange::Race(n) => return self.race(*n).await,
            ConfigChange::Swap { withdrawn, offered } => self.swap(change, withdrawn, offered).await,
            ConfigChange::AddRoute(n) => {
                let patch = document::route_patch(&self.plan, &document::prefix(*n), true);
                self.patch(change, &patch).await;
            }
            ConfigChange::DropRoute(n) => {
                let patch = document::route_patch(&self.plan, &document::prefix(*n), false);
                self.patch(change, &patch).await;
            }
            ConfigChange::Invalid(n) => {
                let patch = document::invalid_patch(&self.plan, *n);
                self.patch(change, &patch).await;
            }
        }
    }

    async fn swap(&mut self, change: &ConfigChange, withdrawn: &str, new: &str) {
        let mut offered = self.journal.lock().unwrap().offered.clone();
        offered.retain(|name| name != withdrawn && name != new);
        offered.push(new.to_string());
        let patch = document::swap_patch(&self.plan, withdrawn, new, &offered);
        let outcome = self.patch(change, &patch).await;
        if !matches!(outcome, Outcome::Refused(_)) {
            self.journal.lock().unwrap().offered = offered;
        }
    }

    async fn patch(&mut self, change: &ConfigChange, patch: &Tree) -> Outcome {
        let sent = BootClock.now();
        let outcome = self.until_clear("PATCH", "/v1/config", &patch.to_string(), None).await;
        self.record(change, change.routes(), sent, outcome.clone());
        outcome
    }

    fn record(&self, change: &ConfigChange, routes: Vec<(String, bool)>, sent: Time, outcome: Outcome) {
        let row = ChangeRecord {
            what: change.to_string(),
            routes,
            invalid: matches!(change, ConfigChange::Invalid(_)),
            sent,
            ended: BootClock.now(),
            outcome,
        };
        self.journal.lock().unwrap().changes.push(row);
    }

    /// Sends two changes on top of the same version at once, to two nodes.
    async fn race(&mut self, n: u64) {
        let Some(base) = self.version().await else { return };
        let change = ConfigChange::Race(n);
        let sent = BootClock.now();
        let routes = [document::prefix(n), document::rival(n)];
        let asks = routes.clone().map(|route| {
            let text = document::route_patch(&self.plan, &route, true).to_string();
            self.next_id += 1;
            self.ask("PATCH", "/v1/config", &text, Some(&base), self.next_id)
        });
        let (one, two) = (self.node(), self.node());
        let [first, second] = asks;
        let (first, second) = tokio::join!(self.send(one, &first), self.send(two, &second));
        for (route, outcome) in routes.into_iter().zip([first, second]) {
            self.record(&change, vec![(route, true)], sent, outcome);
        }
    }

    /// The version of the configuration in force.
    async fn version(&mut self) -> Option<String> {
        let node = self.node();
        let (nodes, call) = ([node], Ask::get("/v1/config"));
        let work = ask(&self.pool, &nodes, &call);
        let sent = tokio::time::timeout(CALL_TIMEOUT, work).await.ok()?.ok()?;
        let tree = Tree::parse(&sent.body).ok()?;
        tree.text("version").map(|version| version.to_string())
    }

    fn node(&mut self) -> SocketAddr {
        self.next_node += 1;
        self.nodes[self.next_node % self.nodes.len()]
    }

    fn ask(&self, method: &'static str, path: &str, text: &str, base: Option<&str>, id: u64) -> Ask {
        let mut call = Ask::send(method, path, text.to_string());
        call.heads.push(("x-change-id", format!("{id:032x}")));
        if let Some(base) = base {
            call.heads.push(("if-match", base.to_string()));
        }
        call
    }

    async fn send(&self, node: SocketAddr, call: &Ask) -> Outcome {
        match tokio::time::timeout(CALL_TIMEOUT, ask(&self.pool, &[node], call)).await {
            Ok(Ok(sent)) => outcome_of(&sent),
            _ => Outcome::Unknown,
        }
    }

    /// Sends a call as it was, node after node, until its answer is clear.
    async fn until_clear(
        &mut self,
        method: &'static str,
        path: &str,
        text: &str,
        base: Option<&str>,
    ) -> Outcome {
        self.next_id += 1;
        let mut call = self.ask(method, path, text, base, self.next_id);
        let began = Instant::now();
        while began.elapsed() < CHANGE_TIMEOUT {
            let node = self.node();
            match self.send(node, &call).await {
                // Another change is under way: this one is over, and asked for anew under another id.
                Outcome::Refused(code) if code == "change-pending" => {
                    self.next_id += 1;
                    call = self.ask(method, path, text, base, self.next_id);
                }
                Outcome::Unknown => {}
                clear => return clear,
            }
            tokio::time::sleep(CALL_PAUSE).await;
        }
        Outcome::Unknown
    }
}
