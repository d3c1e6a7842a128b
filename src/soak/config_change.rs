//! What a soak's changes look like on the wire, and what the fleet must show after them.

use super::deployments;
use super::step::ConfigChange;
use crate::json::Tree;
use crate::json::tree::map;
use crate::kernel::time::Time;
use crate::launch::deployment::Deployment;
use std::collections::BTreeMap;

/// What became of a change.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Outcome {
    /// It is in force, wherever the fleet is in touch, soon after this time.
    Acknowledged,
    /// It never comes into force.
    Refused(String),
    /// No clear answer came.
    Unknown,
}

/// A change as the operator wrote it down.
#[derive(Clone, Debug)]
pub struct ChangeRecord {
    /// What was asked for.
    pub what: String,
    /// The routes that it adds (`true`) or drops.
    pub routes: Vec<(String, bool)>,
    /// Whether it must be refused.
    pub invalid: bool,
    /// When it was sent first.
    pub sent: Time,
    /// When its last answer came.
    pub ended: Time,
    /// What became of it.
    pub outcome: Outcome,
}

/// The path prefix of the n-th route.
pub fn prefix(n: u64) -> String {
    format!("/soak-{n}")
}

/// The other route of a race.
pub fn rival(n: u64) -> String {
    format!("/soak-{n}-rival")
}

fn service(name: &str, rows: &[(&str, Tree)]) -> Tree {
    let mut all = vec![("name", name.into())];
    all.extend(rows.iter().cloned());
    map(&[("services", Tree::List(vec![map(&all)]))])
}

/// The change that adds the route `prefix`, or drops it.
pub fn route_patch(plan: &Deployment, prefix: &str, added: bool) -> Tree {
    let route = match added {
        true => map(&[("prefix", prefix.into()), ("class", "chat".into()), ("due_ms", 5000u64.into())]),
        false => map(&[("prefix", prefix.into()), ("drop", Tree::Bool(true))]),
    };
    service(plan.plain_service, &[("routes", Tree::List(vec![route]))])
}

/// The change that must be refused: an adapter of a model that isn't there, beside a route.
pub fn invalid_patch(plan: &Deployment, n: u64) -> Tree {
    let mut patch = route_patch(plan, &prefix(n), true);
    let adapter = map(&[("name", "stray".into()), ("model", "no-such-model".into())]);
    patch.merge(map(&[("adapters", Tree::List(vec![adapter]))]));
    patch
}

/// The change that withdraws one model and offers another, where `offered` are the names after it.
pub fn swap_patch(plan: &Deployment, withdrawn: &str, new: &str, offered: &[String]) -> Tree {
    let gone = map(&[("name", withdrawn.into()), ("drop", Tree::Bool(true))]);
    let names = Tree::List(offered.iter().map(|name| name.as_str().into()).collect());
    let mut patch = service("assistant", &[("models", names)]);
    patch.merge(map(&[("models", Tree::List(vec![gone, deployments::model_entry(plan, new)]))]));
    patch
}

/// What the routes that changes named must be at the end; none where an answer was not clear.
pub fn routes_at_end(changes: &[ChangeRecord]) -> BTreeMap<String, Option<bool>> {
    let mut routes = BTreeMap::new();
    for change in changes {
        for (prefix, added) in &change.routes {
            match change.outcome {
                Outcome::Acknowledged => drop(routes.insert(prefix.clone(), Some(*added))),
                Outcome::Refused(_) => drop(routes.entry(prefix.clone()).or_insert(Some(false))),
                Outcome::Unknown => drop(routes.insert(prefix.clone(), None)),
            }
        }
    }
    routes
}

impl ConfigChange {
    /// The routes that the change adds (`true`) or drops.
    pub fn routes(&self) -> Vec<(String, bool)> {
        match self {
            ConfigChange::AddRoute(n) | ConfigChange::Invalid(n) => vec![(prefix(*n), true)],
            ConfigChange::DropRoute(n) => vec![(prefix(*n), false)],
            ConfigChange::Swap { .. } => Vec::new(),
            ConfigChange::Race(n) => vec![(prefix(*n), true), (rival(*n), true)],
        }
    }
}
