//! Random walks over the same scheduler and checks, for what lies deeper than a search by levels gets.

use super::cluster::Cluster;
use super::replica::{Replica, Unsynced};
use super::schedule::enabled;
use super::scope::{Grain, Scope, Spent};
use super::search::Counterexample;
use super::step::{Disturbance, Step};
use crate::kernel::rand::{Rand, SeededRandom};
use std::sync::Arc;

/// Messages under way beyond which the oldest is lost.
const MOST_FLIGHTS: usize = 24;
/// One in so many steps of a kind is taken, where a kind would otherwise fill the walk.
const DISTURBED_IN: u64 = 3;
const MOST_MESSAGES: u64 = 40;
const MOST_SAVES: u64 = 5;
const MACHINE_IN: u64 = 6;
/// A machine that is down comes back rather than that another one goes.
const RESTART_IN: u64 = 2;
const SUBMIT_IN: u64 = 8;
/// A walk is long, so that troubles may come more often along it than along a trace of a search.
const MOST_TROUBLES: usize = 12;

/// What a number of walks saw.
#[derive(Clone, Debug, Default)]
pub struct Walks {
    pub walks: u64,
    pub steps: usize,
    /// Views decided and changes acknowledged in all walks together.
    pub views: usize,
    pub acknowledged: usize,
    pub counterexample: Option<Counterexample>,
}

/// Walks from `first` seed on, `walks` of them, each at most `length` steps long.
pub fn walk_many(scope: &Scope, first: u64, walks: u64, length: usize) -> Walks {
    let scope = &Scope { grain: Grain::Mixed, most: Spent::all(MOST_TROUBLES), ..scope.clone() };
    let root = scope.root_state();
    let mut sum = Walks::default();
    for seed in first..first + walks {
        let (trace, state) = walk(scope, &root, seed, length);
        sum.walks += 1;
        sum.steps += trace.len();
        sum.views += state.history.decided.len();
        sum.acknowledged += state.history.acknowledged.len();
        if let Some(violation) = state.violation.clone() {
            let trace = shortened(&root, trace);
            sum.counterexample = Some(Counterexample { violation, trace });
            break;
        }
    }
    sum
}

fn walk(scope: &Scope, root: &Cluster, seed: u64, length: usize) -> (Vec<Step>, Cluster) {
    let mut random = SeededRandom(seed);
    let mut state = root.clone();
    let mut trace = Vec::new();
    while trace.len() < length && state.violation.is_none() {
        let Some(step) = choose(&state, scope, &mut random) else { break };
        state = state.after(step);
        trace.push(step);
    }
    (trace, state)
}

fn choose(state: &Cluster, scope: &Scope, random: &mut SeededRandom) -> Option<Step> {
    if state.flights.len() > MOST_FLIGHTS {
        return state.flights.first().map(|f| Step::Drop { flight: f.number });
    }
    let down: Vec<usize> = state.replicas.iter().filter(|r| !r.is_up()).map(|r| r.place).collect();
    if !down.is_empty() && random.below(RESTART_IN) == 0 {
        return Some(Step::Restart { place: down[random.below(down.len() as u64) as usize] });
    }
    if random.below(SUBMIT_IN) == 0
        && let Some(head) = ready_head(state)
    {
        return Some(Step::Submit { place: head });
    }
    let (machine, work): (Vec<Step>, Vec<Step>) =
        enabled(state, scope).into_iter().partition(is_machine_step);
    let steps = if random.below(MACHINE_IN) == 0 && !machine.is_empty() { machine } else { work };
    if steps.is_empty() {
        return None;
    }
    let step = steps[random.below(steps.len() as u64) as usize];
    Some(perhaps_disturbed(state, scope, step, random))
}

fn ready_head(state: &Cluster) -> Option<usize> {
    let is_ready_head = |r: &&Arc<Replica>| r.chain().is_some_and(|c| c.is_head() && c.is_ready);
    state.replicas.iter().find(is_ready_head).map(|r| r.place)
}

fn is_machine_step(step: &Step) -> bool {
    matches!(
        step,
        Step::Crash { .. }
            | Step::Restart { .. }
            | Step::Wipe { .. }
            | Step::Stall { .. }
            | Step::Sync { .. }
            | Step::Submit { .. }
            | Step::Warn { .. }
    )
}

fn perhaps_disturbed(state: &Cluster, scope: &Scope, step: Step, random: &mut SeededRandom) -> Step {
    let Step::Exchange { group, span, .. } = step else { return step };
    if state.spent.disturbances >= scope.most.disturbances || random.below(DISTURBED_IN) != 0 {
        return step;
    }
    let message = random.below(MOST_MESSAGES) as usize;
    let disturbance = match random.below(3) {
        0 => Disturbance::Delay { message },
        1 => Disturbance::Duplicate { message },
        _ if state.spent.crashes < scope.most.crashes => {
            let places: Vec<usize> = group.places().collect();
            let place = places[random.below(places.len() as u64) as usize];
            let save = random.below(MOST_SAVES) as usize;
            let unsynced = if random.below(2) == 0 { Unsynced::Lost } else { Unsynced::Kept };
            Disturbance::Crash { place, save, unsynced }
        }
        _ => Disturbance::Delay { message },
    };
    Step::Exchange { group, span, disturbance: Some(disturbance) }
}

/// Leaves out steps, one at a time, as long as the rest still breaks an invariant.
fn shortened(root: &Cluster, mut trace: Vec<Step>) -> Vec<Step> {
    let mut at = trace.len();
    while at > 0 {
        at -= 1;
        let mut shorter = trace.clone();
        shorter.remove(at);
        if let Some(length) = broken_after(root, &shorter) {
            shorter.truncate(length);
            at = at.min(shorter.len());
            trace = shorter;
        }
    }
    trace
}

fn broken_after(root: &Cluster, trace: &[Step]) -> Option<usize> {
    let mut state = root.clone();
    for (number, step) in trace.iter().enumerate() {
        state = state.after(*step);
        if state.violation.is_some() {
            return Some(number + 1);
        }
    }
    None
}
