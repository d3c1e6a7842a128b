//! Breadth-first search over the states of a scope.

use super::cluster::Cluster;
use super::digest::digest;
use super::invariants::Violation;
use super::schedule::{disturbed, enabled};
use super::scope::Scope;
use super::step::Step;
use std::collections::HashSet;
use std::time::{Duration, Instant};

const MOST_THREADS: usize = 3;
/// States that are expanded between two looks at the bounds.
const BATCH: usize = 64;

/// Where a search stops, unless it finds a violation or runs out of states first.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub states: usize,
    pub depth: usize,
    /// For runs by hand only: what such a run reaches depends on the machine.
    pub time: Option<Duration>,
    pub threads: usize,
}

/// A trace that breaks an invariant: the steps after the root of the scope.
#[derive(Clone, Debug)]
pub struct Counterexample {
    pub violation: Violation,
    pub trace: Vec<Step>,
}

/// What a search saw.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub states: usize,
    pub transitions: usize,
    /// All states that take this many steps were visited.
    pub full_depth: usize,
    pub depth: usize,
    /// States that were reached and not expanded.
    pub frontier: usize,
    pub counterexample: Option<Counterexample>,
}

struct Visit {
    parent: usize,
    step: Step,
    digest: u64,
    state: Cluster,
}

/// All visited states by digest, and how each was first reached.
struct Visited {
    digests: HashSet<u64>,
    ways: Vec<(usize, Step)>,
}

impl Visited {
    fn trace(&self, parent: usize, last: Step) -> Vec<Step> {
        let mut steps = vec![last];
        let mut at = parent;
        while at > 0 {
            let (before, step) = self.ways[at];
            steps.push(step);
            at = before;
        }
        steps.reverse();
        steps
    }
}

/// Searches `scope` level by level; the result doesn't depend on the number of threads.
pub fn search(scope: &Scope, bounds: Bounds) -> Outcome {
    let begun = Instant::now();
    let root = scope.root_state();
    let mut visited = Visited { digests: HashSet::new(), ways: vec![(0, Step::Tick { place: 0 })] };
    visited.digests.insert(digest(&root));
    let mut outcome = Outcome { states: 1, ..Outcome::default() };
    if let Some(violation) = root.violation.clone() {
        outcome.counterexample = Some(Counterexample { violation, trace: vec![] });
        return outcome;
    }
    let mut frontier: Vec<(usize, Cluster)> = vec![(0, root)];
    while !frontier.is_empty() && outcome.full_depth < bounds.depth {
        let mut next = Vec::new();
        for (number, batch) in frontier.chunks(BATCH).enumerate() {
            let late = bounds.time.is_some_and(|t| begun.elapsed() >= t);
            if outcome.states >= bounds.states || late {
                outcome.frontier = next.len() + frontier.len() - number * BATCH;
                return outcome;
            }
            for visit in expand_all(batch, scope, &visited.digests, bounds.threads, &mut outcome) {
                if let Some(violation) = visit.state.violation.clone() {
                    let trace = visited.trace(visit.parent, visit.step);
                    outcome.depth = trace.len();
                    outcome.counterexample = Some(Counterexample { violation, trace });
                    return outcome;
                }
                if visited.digests.insert(visit.digest) {
                    visited.ways.push((visit.parent, visit.step));
                    next.push((visited.ways.len() - 1, visit.state));
                    outcome.states += 1;
                    outcome.depth = outcome.full_depth + 1;
                }
            }
        }
        outcome.full_depth += 1;
        outcome.frontier = next.len();
        frontier = next;
    }
    outcome
}

fn expand_all(
    batch: &[(usize, Cluster)],
    scope: &Scope,
    seen: &HashSet<u64>,
    threads: usize,
    outcome: &mut Outcome,
) -> Vec<Visit> {
    let threads = threads.clamp(1, MOST_THREADS);
    let share = batch.len().div_ceil(threads);
    let parts: Vec<(Vec<Visit>, usize)> = std::thread::scope(|s| {
        let workers: Vec<_> =
            batch.chunks(share).map(|part| s.spawn(move || expand_part(part, scope, seen))).collect();
        workers.into_iter().map(|w| w.join().expect("a worker ends")).collect()
    });
    outcome.transitions += parts.iter().map(|p| p.1).sum::<usize>();
    parts.into_iter().flat_map(|p| p.0).collect()
}

fn expand_part(part: &[(usize, Cluster)], scope: &Scope, seen: &HashSet<u64>) -> (Vec<Visit>, usize) {
    let mut visits = Vec::new();
    let mut transitions = 0;
    for (parent, state) in part {
        let mut add = |step: Step, next: Cluster| {
            transitions += 1;
            let digest = digest(&next);
            if next.violation.is_some() || !seen.contains(&digest) {
                visits.push(Visit { parent: *parent, step, digest, state: next });
            }
        };
        for step in enabled(state, scope) {
            let next = state.after(step);
            for variant in disturbed(state, scope, step, &next) {
                add(variant, state.after(variant));
            }
            add(step, next);
        }
    }
    (visits, transitions)
}
