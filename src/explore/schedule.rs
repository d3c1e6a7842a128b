//! Which steps a scope allows in a state.

use super::cluster::Cluster;
use super::replica::{Replica, Unsynced};
use super::scope::{Grain, Scope};
use super::step::{Disturbance, Group, Step};
use crate::kernel::time::Span;

const EITHER: [Unsynced; 2] = [Unsynced::Lost, Unsynced::Kept];
const LEAST_GROUP: u32 = 2;

/// The steps of the scheduler in `state`, without the disturbed variants of exchanges.
pub fn enabled(state: &Cluster, scope: &Scope) -> Vec<Step> {
    let mut steps = match scope.grain {
        Grain::Message => message_steps(state, scope),
        Grain::Exchange => exchange_steps(state, scope),
        Grain::Mixed => [message_steps(state, scope), exchange_steps(state, scope)].concat(),
    };
    steps.extend(machine_steps(state, scope));
    steps
}

/// The variants of an exchange in which one message or save goes wrong, numbered by its undisturbed run.
pub fn disturbed(state: &Cluster, scope: &Scope, step: Step, undisturbed: &Cluster) -> Vec<Step> {
    let Step::Exchange { group, span, disturbance: None } = step else { return vec![] };
    if state.spent.disturbances >= scope.most.disturbances {
        return vec![];
    }
    let counts = &undisturbed.counts;
    let mut all: Vec<Disturbance> =
        (0..counts.messages).map(|message| Disturbance::Delay { message }).collect();
    if state.spent.crashes < scope.most.crashes {
        for (place, saves) in counts.saves.iter().enumerate() {
            for save in 0..*saves {
                all.extend(EITHER.map(|unsynced| Disturbance::Crash { place, save, unsynced }));
            }
        }
    }
    all.into_iter().map(|d| Step::Exchange { group, span, disturbance: Some(d) }).collect()
}

fn message_steps(state: &Cluster, scope: &Scope) -> Vec<Step> {
    let mut steps = Vec::new();
    for flight in &state.flights {
        let flight = flight.number;
        steps.push(Step::Deliver { flight });
        if state.spent.duplicates < scope.most.duplicates {
            steps.push(Step::Duplicate { flight });
        }
        if state.spent.crashes < scope.most.crashes {
            steps.extend(EITHER.map(|unsynced| Step::DeliverAndCrash { flight, unsynced }));
        }
    }
    steps.extend(up(state).map(|r| Step::Tick { place: r.place }));
    steps.extend(scope.pauses.iter().map(|span| Step::Advance { span: *span }));
    steps
}

fn exchange_steps(state: &Cluster, scope: &Scope) -> Vec<Step> {
    let live: u32 = up(state).map(|r| 1 << r.place).sum();
    let mut steps = Vec::new();
    for span in &scope.spans {
        steps.extend(groups(live).map(|group| exchange(group, *span)));
    }
    steps.extend(scope.pauses.iter().map(|span| Step::Advance { span: *span }));
    steps.extend(state.flights.iter().map(|f| Step::Deliver { flight: f.number }));
    steps
}

fn exchange(group: Group, span: Span) -> Step {
    Step::Exchange { group, span, disturbance: None }
}

fn groups(live: u32) -> impl Iterator<Item = Group> {
    (1..=live).filter(move |g| g & !live == 0 && g.count_ones() >= LEAST_GROUP).map(Group)
}

fn machine_steps(state: &Cluster, scope: &Scope) -> Vec<Step> {
    let mut steps = Vec::new();
    for replica in &state.replicas {
        let place = replica.place;
        if !replica.is_up() {
            steps.push(Step::Restart { place });
        } else {
            steps.extend(running_steps(state, scope, replica));
        }
        let touched = replica.starts > 0 && !replica.disk.records.is_empty();
        let may_lose = replica.damaged || state.damaged() < state.bear;
        if touched && may_lose && state.spent.wipes < scope.most.wipes {
            steps.push(Step::Wipe { place });
        }
    }
    steps
}

fn running_steps(state: &Cluster, scope: &Scope, replica: &Replica) -> Vec<Step> {
    let (place, spent, most) = (replica.place, &state.spent, &scope.most);
    let mut steps = Vec::new();
    if spent.crashes < most.crashes {
        steps.push(Step::Crash { place, unsynced: Unsynced::Lost });
        if replica.has_unsynced() {
            steps.push(Step::Crash { place, unsynced: Unsynced::Kept });
        }
    }
    if replica.stalled {
        steps.push(Step::Sync { place });
    } else if spent.stalls < most.stalls {
        steps.push(Step::Stall { place });
    }
    let leaving = replica.chain().is_some_and(|c| c.departure.is_some());
    if spent.warnings < most.warnings && !leaving {
        steps.push(Step::Warn { place });
    }
    if spent.submits < most.submits && replica.chain().is_some_and(|c| c.is_head() && c.is_ready) {
        steps.push(Step::Submit { place });
    }
    let mine = replica.process.as_ref().and_then(|p| p.views.view.as_ref().map(|v| v.no));
    for other in up(state).filter(|r| r.place != place) {
        let theirs = other.process.as_ref().and_then(|p| p.views.view.as_ref().map(|v| v.no));
        if theirs > mine {
            steps.push(Step::Gossip { from: other.place, to: place });
        }
    }
    steps
}

fn up(state: &Cluster) -> impl Iterator<Item = &Replica> {
    state.replicas.iter().map(|r| &**r).filter(|r| r.is_up())
}
