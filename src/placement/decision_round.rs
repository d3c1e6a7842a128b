//! One round of decisions: what is loaded where, all from one picture.
//!
//! Two things compete for the loads that the store of weights allows: models short of runners, of which one copy serves
//! many requests, and names that nobody holds, of which a load serves one. While both are there they take turns, and
//! each gets half of what a round may decide and load before the other takes what is left.

use super::decision_state::DecisionState;
use super::runner_choice::Choice;
use super::component::Placement;
use super::pending_orders::RunnerState;
use crate::fleet::slice::DutySlice;
use crate::kernel::component::Context;
use crate::kernel::ids::Name;
use crate::kernel::time::Span;

/// A round takes up to this many decisions, or
const DECISIONS: usize = 8;
/// one for so many runners, so that it ends soon.
const RUNNERS_PER_DECISION: usize = 8;
/// How often models are looked for that are short of runners.
const SPREAD_EACH: Span = Span::ms(100);
/// What may be lost for a copy of a model that is short of one runner, in ms of waiting; the more it is short of, the
/// more requests wait for each copy.
const SPREAD_LOSS: u64 = 1700;
/// A model that is short of more runners than this may cost no more than one that is short of so many.
const SHORT_COUNTED: u64 = 4;
/// Of so many loads from the store one is for what nobody holds, while models are short of runners.
const TURNS: u64 = 2;

/// For what a load is meant.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Purpose {
    /// A name that requests wait for.
    Wanted,
    /// One more copy of a model that is short of runners.
    Copy,
}

/// Who may take the next load that the store allows.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Turn {
    /// Wanted names and copies, each as often as it should.
    InTurn,
    /// Whoever asks.
    Anyone,
}

/// What a round keeps for others.
#[derive(Clone, Copy, Default)]
struct Reserve {
    decisions: usize,
    store_loads: u64,
}

/// What a round has decided.
struct Decision {
    want: Name,
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
    board: DecisionState<'a>,
    /// How many decisions it may still take.
    left: usize,
    /// Loads that the store allows at this moment, less those that decisions under way have yet to order.
    store_left: u64,
    /// Loads from the store that were decided, in this round and before.
    store_loads: u64,
    decided: Vec<Decision>,
    /// How many runners had been weighed, ever, when the round has weighed as many as it may.
    weighed_most: u64,
}

impl Placement {
    /// Decides what is loaded for the names that are wanted and for models short of runners. What gives way is told to
    /// the routers once, before the first order goes out.
    pub(super) fn round(&mut self, s: &DutySlice, ctx: &mut Context) {
        let spreads = ctx.now.since(self.work.last_spread) >= SPREAD_EACH;
        if self.wants.is_empty() && !spreads {
            return;
        }
        self.work.rounds += 1;
        let offers = self.offers(ctx.now);
        let store_left = self.store_loads_left(s);
        let mut round = Round {
            board: self.board(s, &offers, ctx.now),
            left: DECISIONS.max(offers.len() / RUNNERS_PER_DECISION),
            weighed_most: self.work.weighed.get() + self.most_weighed(&offers),
            store_left,
            store_loads: self.work.store_loads,
            decided: vec![],
        };
        let short = if spreads { self.short(&round.board, s) } else { vec![] };
        let found = if spreads { short.len() } else { self.work.short };
        let wanted = self.most_pressing(ctx.now);
        if found > 0 && !self.wants.is_empty() {
            round.spread(&short, Turn::InTurn, Reserve::default());
            self.meet_wants(&wanted, &mut round, Turn::InTurn, s);
        }
        if spreads || found == 0 {
            let half = if wanted.is_empty() { Reserve::default() } else { round.half() };
            round.spread(&short, Turn::Anyone, half);
            self.meet_wants(&wanted, &mut round, Turn::Anyone, s);
            round.spread(&short, Turn::Anyone, Reserve::default());
        }
        let (decided, store_loads) = (round.decided, round.store_loads);
        (self.work.short, self.work.store_loads) = (found, store_loads);
        if spreads {
            self.work.last_spread = ctx.now;
        }
        self.begin_all(decided, ctx);
        self.run_jobs(s, ctx);
    }

    /// How many runners a round may weigh: enough for all its decisions, and as often in vain.
    fn most_weighed(&self, offers: &[RunnerState]) -> u64 {
        let decisions = DECISIONS.max(offers.len() / RUNNERS_PER_DECISION);
        2 * (decisions * offers.len()) as u64
    }

    fn begin_all(&mut self, decided: Vec<Decision>, ctx: &mut Context) {
        let closes = decided.iter().any(|d| !d.choice.unloads.is_empty());
        for d in decided {
            let why = match d.purpose {
                Purpose::Wanted => "is wanted and no runner can take it",
                Purpose::Copy => "is hot",
            };
            self.begin(&d.want, d.choice, why, ctx);
        }
        if closes {
            self.push_closing(ctx);
        }
    }

    /// Decides for the wanted names in this order, as far as the turn and the round allow.
    fn meet_wants(&self, wanted: &[&Name], round: &mut Round, turn: Turn, s: &DutySlice) {
        for name in wanted {
            if round.left == 0 || round.is_spent() {
                return;
            }
            let from_store = round.may_ask_store(Purpose::Wanted, turn);
            if round.decided.iter().any(|d| d.want == **name) {
                continue;
            }
            if let Some(choice) = self.meet_quick(&round.board, name, from_store, s) {
                round.take(name, choice, Purpose::Wanted);
            }
        }
    }

    /// The models that have more requests than their holders carry with ease, the shortest first.
    fn short(&self, board: &DecisionState, s: &DutySlice) -> Vec<Shortage> {
        let mut short = vec![];
        let used = self.usage.names.iter().filter(|u| u.1.runs > 0 && s.config.model(u.0).is_some());
        for (name, used) in used.filter(|u| board.is_held(u.0)) {
            let Some(service) = board.service_of(name) else { continue };
            let demand = used.runs + self.waits(name);
            let missing = board.short_by(name, demand, self.under_way(name), service);
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
    fn half(&self) -> Reserve {
        Reserve { decisions: self.left / 2, store_loads: self.store_left / 2 }
    }

    /// Whether the round has weighed as many runners as it may.
    fn is_spent(&self) -> bool {
        self.board.placement.work.weighed.get() >= self.weighed_most
    }

    /// Whether the store allows a load for this purpose now.
    fn may_ask_store(&self, purpose: Purpose, turn: Turn) -> bool {
        let wanted_next = self.store_loads.is_multiple_of(TURNS);
        self.store_left > 0 && (turn == Turn::Anyone || wanted_next == (purpose == Purpose::Wanted))
    }

    /// More copies of models that are short of runners, where that costs little; what is reserved is left to others.
    fn spread(&mut self, short: &[Shortage], turn: Turn, reserved: Reserve) {
        for Shortage { missing, name, service } in short {
            let decided = self.decided.iter().filter(|d| d.want == *name).count() as u64;
            for had in decided..*missing {
                if self.left <= reserved.decisions || self.is_spent() {
                    return;
                }
                let allowed = self.store_left > reserved.store_loads;
                let from_store = allowed && self.may_ask_store(Purpose::Copy, turn);
                let Some(choice) = self.board.choose(service, name, from_store) else { break };
                if choice.loss > SPREAD_LOSS * (missing - had).min(SHORT_COUNTED) {
                    break;
                }
                self.take(name, choice, Purpose::Copy);
            }
        }
    }

    /// Notes a decision, so that the next ones count with it.
    fn take(&mut self, name: &Name, choice: Choice, purpose: Purpose) {
        self.left -= 1;
        if self.board.asks_store(&choice.runner, name) {
            self.store_left = self.store_left.saturating_sub(1);
            self.store_loads += 1;
        }
        self.board.take(&choice);
        self.decided.push(Decision { want: name.clone(), choice, purpose });
    }
}
