//! One round of small decisions, made from one snapshot.
//!
//! Two needs compete for the loads that the store allows: models with too few replicas, where one load serves
//! many requests, and names that no runner holds, where a load may serve a single one. While both exist they
//! alternate, and each gets half of what a round may decide and load before the other takes what is left.

use super::Placement;
use super::decision_state::DecisionState;
use super::pending_orders::RunnerState;
use super::runner_choice::Choice;
use crate::fleet::slice::DutySlice;
use crate::kernel::component::Context;
use crate::kernel::ids::Name;
use crate::kernel::time::Span;

/// A round makes up to this many decisions, or
const DECISIONS_PER_ROUND: usize = 8;
/// one for so many runners, whichever is more, so that it ends soon.
const RUNNERS_PER_DECISION: usize = 8;
/// How often models with too few replicas are searched for.
const REPLICA_SEARCH_INTERVAL: Span = Span::ms(100);
/// What the unloads for a replica may lose, in ms of waiting, for each missing replica of its model: the more
/// are missing, the more requests wait for each.
const REPLICA_MAX_LOSS_MS: u64 = 1700;
/// The most missing replicas that raise this limit.
const MAX_MISSING_COUNTED: u64 = 4;
/// While models lack replicas, one of so many loads from the store is for a name that no runner holds.
const STORE_TURNS: u64 = 2;

/// What a load is for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Purpose {
    /// A name that requests wait for.
    Wanted,
    /// One more replica of a model that has too few.
    Replica,
}

/// Which purpose may take the next load that the store allows.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StoreTurn {
    /// Wanted names and replicas in turn.
    Alternating,
    /// Either of them.
    Any,
}

/// What a step of a round leaves to later steps.
#[derive(Clone, Copy, Default)]
struct Reserve {
    decisions: usize,
    store_loads: u64,
}

/// A decision of this round.
struct Decision {
    name: Name,
    choice: Choice,
    purpose: Purpose,
}

/// A model with too few replicas.
struct Shortage {
    missing: u64,
    name: Name,
    service: Name,
}

/// A round under way.
struct Round<'a> {
    state: DecisionState<'a>,
    /// How many decisions it may still make.
    decisions_left: usize,
    /// Loads that the store allows now, less those that jobs have yet to order.
    store_loads_left: u64,
    /// How many loads from the store were decided on so far, this round's included.
    store_loads_decided: u64,
    decided: Vec<Decision>,
    /// The value of the counter of evaluated runners at which the round ends.
    evaluation_limit: u64,
}

impl Placement {
    /// Decides on loads for wanted names and for models with too few replicas. Routers are told of the
    /// unloads once, before the first order is sent.
    pub(super) fn run_round(&mut self, slice: &DutySlice, ctx: &mut Context) {
        let searches_replicas = ctx.now.since(self.search.last_replica_search) >= REPLICA_SEARCH_INTERVAL;
        if self.wanted_names.is_empty() && !searches_replicas {
            return;
        }
        self.search.rounds += 1;
        let runners = self.runner_states(ctx.now);
        let store_left = self.store_loads_left(slice);
        let mut round = Round {
            state: self.decision_state(slice, &runners, ctx.now),
            decisions_left: DECISIONS_PER_ROUND.max(runners.len() / RUNNERS_PER_DECISION),
            evaluation_limit: self.search.evaluated.get() + self.evaluation_limit(&runners),
            store_loads_left: store_left,
            store_loads_decided: self.search.store_loads_decided,
            decided: vec![],
        };
        let short = if searches_replicas { self.shortages(&round.state, slice) } else { vec![] };
        let found = if searches_replicas { short.len() } else { self.search.missing_models };
        let wanted = self.wanted_by_pressure(ctx.now);
        if found > 0 && !self.wanted_names.is_empty() {
            round.add_replicas(&short, StoreTurn::Alternating, Reserve::default());
            self.decide_wanted(&wanted, &mut round, StoreTurn::Alternating, slice);
        }
        if searches_replicas || found == 0 {
            let half = if wanted.is_empty() { Reserve::default() } else { round.half_reserve() };
            round.add_replicas(&short, StoreTurn::Any, half);
            self.decide_wanted(&wanted, &mut round, StoreTurn::Any, slice);
            round.add_replicas(&short, StoreTurn::Any, Reserve::default());
        }
        let (decided, store_loads) = (round.decided, round.store_loads_decided);
        (self.search.missing_models, self.search.store_loads_decided) = (found, store_loads);
        if searches_replicas {
            self.search.last_replica_search = ctx.now;
        }
        self.start_jobs(decided, ctx);
        self.run_jobs(slice, ctx);
    }

    /// How many runners a round may evaluate: enough for all its decisions, and as many without result.
    fn evaluation_limit(&self, runners: &[RunnerState]) -> u64 {
        let decisions = DECISIONS_PER_ROUND.max(runners.len() / RUNNERS_PER_DECISION);
        2 * (decisions * runners.len()) as u64
    }

    /// Starts a job for each decision.
    fn start_jobs(&mut self, decided: Vec<Decision>, ctx: &mut Context) {
        let has_unloads = decided.iter().any(|decision| !decision.choice.unloads.is_empty());
        for decision in decided {
            let why = match decision.purpose {
                Purpose::Wanted => "is wanted and no runner can take it",
                Purpose::Replica => "is hot",
            };
            self.start_job(&decision.name, decision.choice, why, ctx);
        }
        if has_unloads {
            self.push_closing(ctx);
        }
    }

    /// Decides for the wanted names in this order, as far as the store's turn and the round's limits allow.
    fn decide_wanted(&self, wanted: &[&Name], round: &mut Round, turn: StoreTurn, slice: &DutySlice) {
        for name in wanted {
            if round.decisions_left == 0 || round.is_spent() {
                return;
            }
            let from_store = round.may_use_store(Purpose::Wanted, turn);
            if round.decided.iter().any(|d| d.name == **name) {
                continue;
            }
            if let Some(choice) = self.choose_for_wanted(&round.state, name, from_store, slice) {
                round.record(name, choice, Purpose::Wanted);
            }
        }
    }

    /// The models with more requests than their holders can serve well, the one with most missing replicas
    /// first.
    fn shortages(&self, state: &DecisionState, slice: &DutySlice) -> Vec<Shortage> {
        let mut short = vec![];
        let used = self
            .usage
            .by_name
            .iter()
            .filter(|u| u.1.active_requests > 0 && slice.config.model(u.0).is_some());
        for (name, used) in used.filter(|u| state.is_held(u.0)) {
            let Some(service) = state.service_of(name) else { continue };
            let demand = used.active_requests + self.waiting_requests(name);
            let missing = state.missing_replicas(name, demand, self.pending_loads(name), service);
            if missing > 0 {
                short.push(Shortage { missing, name: name.clone(), service: service.name.clone() });
            }
        }
        short.sort_by_key(|row| std::cmp::Reverse(row.missing));
        short
    }
}

impl Round<'_> {
    /// Half of what the round may still decide and load.
    fn half_reserve(&self) -> Reserve {
        Reserve { decisions: self.decisions_left / 2, store_loads: self.store_loads_left / 2 }
    }

    /// Whether the round has evaluated as many runners as it may.
    fn is_spent(&self) -> bool {
        self.state.placement.search.evaluated.get() >= self.evaluation_limit
    }

    /// Whether the store allows a load for this purpose now.
    fn may_use_store(&self, purpose: Purpose, turn: StoreTurn) -> bool {
        let wanted_next = self.store_loads_decided.is_multiple_of(STORE_TURNS);
        self.store_loads_left > 0 && (turn == StoreTurn::Any || wanted_next == (purpose == Purpose::Wanted))
    }

    /// Decides on replicas of the models that lack them, where the loss is small; what is reserved is left to
    /// others.
    fn add_replicas(&mut self, short: &[Shortage], turn: StoreTurn, reserved: Reserve) {
        for Shortage { missing, name, service } in short {
            let decided = self.decided.iter().filter(|d| d.name == *name).count() as u64;
            for had in decided..*missing {
                if self.decisions_left <= reserved.decisions || self.is_spent() {
                    return;
                }
                let allowed = self.store_loads_left > reserved.store_loads;
                let from_store = allowed && self.may_use_store(Purpose::Replica, turn);
                let Some(choice) = self.state.choose(service, name, from_store) else { break };
                if choice.loss_ms > REPLICA_MAX_LOSS_MS * (missing - had).min(MAX_MISSING_COUNTED) {
                    break;
                }
                self.record(name, choice, Purpose::Replica);
            }
        }
    }

    /// Records a decision, so that the next ones take it into account.
    fn record(&mut self, name: &Name, choice: Choice, purpose: Purpose) {
        self.decisions_left -= 1;
        if self.state.uses_store(&choice.runner, name) {
            self.store_loads_left = self.store_loads_left.saturating_sub(1);
            self.store_loads_decided += 1;
        }
        self.state.apply(&choice);
        self.decided.push(Decision { name: name.clone(), choice, purpose });
    }
}
