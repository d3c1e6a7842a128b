//! Rendezvous hashing: which nodes watch a node, and which router is responsible for a topic (its home).
#![deny(missing_docs)]

use crate::kernel::ids::NodeId;
use crate::kernel::rand::{hash, mix};
use std::collections::{BTreeMap, BTreeSet};

/// How many nodes watch each node.
pub const WATCHERS: usize = 3;

fn weight(of: NodeId, by: NodeId) -> u64 {
    mix(of.0 ^ mix(by.0))
}

/// All nodes in the order in which they are candidates for the home of a topic, best first.
pub fn homes(scope: &str, all: &[NodeId]) -> Vec<NodeId> {
    let mut rows: Vec<(u64, NodeId)> = all.iter().map(|n| (hash(scope, n.0), *n)).collect();
    rows.sort();
    rows.into_iter().map(|r| r.1).collect()
}

/// The home of a topic among `all`; none if that is empty.
pub fn home(scope: &str, all: &[NodeId]) -> Option<NodeId> {
    all.iter().copied().min_by_key(|n| (hash(scope, n.0), *n))
}

/// The watchers of each known node, updated as nodes come and go.
#[derive(Default)]
pub struct WatchAssignments {
    /// The live nodes, which may watch others.
    live: BTreeSet<NodeId>,
    /// The chosen watchers of each known node, with their weights.
    watchers_of: BTreeMap<NodeId, Vec<(u64, NodeId)>>,
    /// Raised by each change of the assignments.
    pub generation: u64,
}

impl WatchAssignments {
    fn best(&self, of: NodeId) -> Vec<(u64, NodeId)> {
        let mut best = Vec::with_capacity(WATCHERS + 1);
        for by in &self.live {
            place(&mut best, of, *by);
        }
        best
    }

    /// Adds a node that became known; it is watched from now on.
    pub fn add_watched(&mut self, of: NodeId) {
        if !self.watchers_of.contains_key(&of) {
            self.generation += 1;
            self.watchers_of.insert(of, self.best(of));
        }
    }

    /// Removes a node that is forgotten.
    pub fn remove_watched(&mut self, of: NodeId) {
        self.remove_watcher(of);
        if self.watchers_of.remove(&of).is_some() {
            self.generation += 1;
        }
    }

    /// Adds a live node, which may watch others.
    pub fn add_watcher(&mut self, by: NodeId) {
        if self.live.insert(by) {
            self.generation += 1;
            for (of, best) in &mut self.watchers_of {
                place(best, *of, by);
            }
        }
    }

    /// Removes a silent node as a watcher; others take over what it watched.
    pub fn remove_watcher(&mut self, by: NodeId) {
        if !self.live.remove(&by) {
            return;
        }
        self.generation += 1;
        let hit = |best: &Vec<(u64, NodeId)>| best.iter().any(|r| r.1 == by);
        let lost: Vec<NodeId> = self.watchers_of.iter().filter(|r| hit(r.1)).map(|r| *r.0).collect();
        for of in lost {
            self.watchers_of.insert(of, self.best(of));
        }
    }

    /// The watchers of a node.
    pub fn watchers(&self, of: NodeId) -> impl Iterator<Item = NodeId> {
        self.watchers_of.get(&of).into_iter().flatten().map(|r| r.1)
    }

    /// The nodes that a node watches.
    pub fn watched(&self, by: NodeId) -> Vec<NodeId> {
        self.watchers_of.iter().filter(|r| r.1.iter().any(|w| w.1 == by)).map(|r| *r.0).collect()
    }
}

fn place(best: &mut Vec<(u64, NodeId)>, of: NodeId, by: NodeId) {
    let new = (weight(of, by), by);
    if of == by || best.len() == WATCHERS && best.last().is_some_and(|w| *w < new) {
        return;
    }
    let at = best.partition_point(|w| *w < new);
    best.insert(at, new);
    best.truncate(WATCHERS);
}
