//! One round of decisions: what is loaded where, all from one picture.
//!
//! Two things compete for the loads that the store of weights allows: models short of runners, of which one copy serves
//! many requests, and names that nobody holds, of which a load serves one. While both are there they take turns, and
//! each gets half of what a round may decide and load before the other takes what is left.

use super::component::Placement;
use super::decision_state::DecisionState;
use super::pending_orders::RunnerState;
use super::runner_choice::Choice;
use crate::fleet::slice::DutySlice;
use crate::kernel::component::Context;
use crate::kernel::ids::Name;
use crate::kernel::time::Span;

/// A round takes up to this many decisions, or
const DECISIONS_PER_ROUND: usize = 8;
/// one for so many runners, so that it ends soon.
const RUNNERS_PER_DECISION: usize = 8;
/// How often models are looked for that are short of runners.
const REPLICA_SEARCH_INTERVAL: Span = Span::ms(100);
/// What may be lost for a copy of a model that is short of one runner, in ms of waiting; the more it is short of, the
/// more requests wait for each copy.
const REPLICA_MAX_LOSS_MS: u64 = 1700;
/// A model that is short of more runners than this may cost no more than one that is short of so many.
const MAX_MISSING_COUNTED: u64 = 4;
/// Of so many loads from the store one is for what nobody holds, while models are short of runners.
const STORE_TURNS: u64 = 2;

/// For what a load is meant.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Purpose {
    /// A name that requests wait for.
    Wanted,
    /// One more copy of a model that is short of runners.
    Replica,
}

/// Who may take the next load that the store allows.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StoreTurn {
    /// Wanted names and copies, each as often as it should.
    Alternating,
    /// Whoever asks.
    Any,
}

/// What a round keeps for others.
#[derive(Clone, Copy, Default)]
struct Reserve {
    decisions: usize,
    store_loads: u64,
}

/// What a round has decided.
struct Decision {
    name: Name,
    choice: Choice,
    purpose: Purpose,
}

/// A model that is short of runners.
struct Shortage {
    missing: u64,
    name: Name,
    service: Name,
}

/// A round under way.
struct Round<'a> {
    state: DecisionState<'a>,
    /// How many decisions it may still take.
    decisions_left: usize,
    /// Loads that the store allows at this moment, less those that decisions under way have yet to order.
    store_loads_left: u64,
    /// Loads from the store that were decided, in this round and before.
    store_loads_decided: u64,
    decided: Vec<Decision>,
    /// How many runners had been weighed, ever, when the round has weighed as many as it may.
    evaluation_limit: u64,
}

impl Placement {
    /// Decides what is loaded for the names that are wanted and for models short of runners. What gives way is told to
    /// the routers once, before the first order goes out.
    pub(super) fn run_round(&mut self, s: &DutySlice, ctx: &mut Context) {
        let spreads = ctx.now.since(self.search.last_replica_search) >= REPLICA_SEARCH_INTERVAL;
        if self.wanted_names.is_empty() && !spreads {
            return;
        }
        self.search.rounds += 1;
        let runners = self.runner_states(ctx.now);
        let store_left = self.store_loads_left(s);
        let mut round = Round {
            state: self.decision_state(s, &runners, ctx.now),
            decisions_left: DECISIONS_PER_ROUND.max(runners.len() / RUNNERS_PER_DECISION),
            evaluation_limit: self.search.evaluated.get() + self.evaluation_limit(&runners),
            store_loads_left: store_left,
            store_loads_decided: self.search.store_loads_decided,
            decided: vec![],
        };
        let short = if spreads { self.shortages(&round.state, s) } else { vec![] };
        let found = if spreads { short.len() } else { self.search.missing_models };
        let wanted = self.wanted_by_pressure(ctx.now);
        if found > 0 && !self.wanted_names.is_empty() {
            round.add_replicas(&short, StoreTurn::Alternating, Reserve::default());
            self.decide_wanted(&wanted, &mut round, StoreTurn::Alternating, s);
        }
        if spreads || found == 0 {
            let half = if wanted.is_empty() { Reserve::default() } else { round.half_reserve() };
            round.add_replicas(&short, StoreTurn::Any, half);
            self.decide_wanted(&wanted, &mut round, StoreTurn::Any, s);
            round.add_replicas(&short, StoreTurn::Any, Reserve::default());
        }
        let (decided, store_loads) = (round.decided, round.store_loads_decided);
        (self.search.missing_models, self.search.store_loads_decided) = (found, store_loads);
        if spreads {
            self.search.last_replica_search = ctx.now;
        }
        self.start_jobs(decided, ctx);
        self.run_jobs(s, ctx);
    }

    /// How many runners a round may weigh: enough for all its decisions, and as often in vain.
    fn evaluation_limit(&self, runners: &[RunnerState]) -> u64 {
        let decisions = DECISIONS_PER_ROUND.max(runners.len() / RUNNERS_PER_DECISION);
        2 * (decisions * runners.len()) as u64
    }

    fn start_jobs(&mut self, decided: Vec<Decision>, ctx: &mut Context) {
        let closes = decided.iter().any(|d| !d.choice.unloads.is_empty());
        for d in decided {
            let why = match d.purpose {
                Purpose::Wanted => "is wanted and no runner can take it",
                Purpose::Replica => "is hot",
            };
            self.start_job(&d.name, d.choice, why, ctx);
        }
        if closes {
            self.push_closing(ctx);
        }
    }

    /// Decides for the wanted names in this order, as far as the turn and the round allow.
    fn decide_wanted(&self, wanted: &[&Name], round: &mut Round, turn: StoreTurn, s: &DutySlice) {
        for name in wanted {
            if round.decisions_left == 0 || round.is_spent() {
                return;
            }
            let from_store = round.may_use_store(Purpose::Wanted, turn);
            if round.decided.iter().any(|d| d.name == **name) {
                continue;
            }
            if let Some(choice) = self.choose_for_wanted(&round.state, name, from_store, s) {
                round.record(name, choice, Purpose::Wanted);
            }
        }
    }

    /// The models that have more requests than their holders carry with ease, the shortest first.
    fn shortages(&self, state: &DecisionState, s: &DutySlice) -> Vec<Shortage> {
        let mut short = vec![];
        let used =
            self.usage.by_name.iter().filter(|u| u.1.active_requests > 0 && s.config.model(u.0).is_some());
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

    /// Whether the round has weighed as many runners as it may.
    fn is_spent(&self) -> bool {
        self.state.placement.search.evaluated.get() >= self.evaluation_limit
    }

    /// Whether the store allows a load for this purpose now.
    fn may_use_store(&self, purpose: Purpose, turn: StoreTurn) -> bool {
        let wanted_next = self.store_loads_decided.is_multiple_of(STORE_TURNS);
        self.store_loads_left > 0 && (turn == StoreTurn::Any || wanted_next == (purpose == Purpose::Wanted))
    }

    /// More copies of models that are short of runners, where that costs little; what is reserved is left to others.
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

    /// Notes a decision, so that the next ones count with it.
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
