//! The replicated state of a fleet, and lookups in it.

pub use super::change::*;
use super::config::FleetConfig;
pub use super::duty::Duty;
use super::ledger::{ChangeLedger, LedgerEntry};
pub use super::outcome::{Decision, Outcome, OutcomeCode};
use super::plan::PlacementPlan;
use super::runner::Runner;
use crate::kernel::ids::*;
use bitcode::{Decode, Encode};
use std::collections::BTreeMap;

/// The result of a rehearsal.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum Verdict {
    /// The candidate takes effect.
    Commit,
    /// The candidate is refused, for this reason.
    Refuse(String),
}

/// What a stage of a change, plan or move took.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct StageFigure {
    /// The stage.
    pub name: String,
    /// The time it took.
    pub ms: u64,
    /// The time it was allowed.
    pub ms_allowed: u64,
    /// The attempts it took.
    pub tries: u64,
    /// The attempts it was allowed.
    pub tries_allowed: u64,
    /// Remarks for operators.
    pub note: String,
}

/// The phase of a move.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Encode, Decode)]
pub enum Phase {
    /// The destination loads the model.
    Load,
    /// Streams are handed over to the destination.
    Warm,
    /// The source unloads the model.
    Unload,
    /// The source loads what it is to hold instead.
    Want,
    /// The move has ended.
    Done,
    /// The move was given up.
    Stopped,
}

/// A move of a model from one runner to another.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct MovePlan {
    /// Its id.
    pub id: MoveId,
    /// The service of both runners.
    pub service: Name,
    /// The model or adapter that moves.
    pub model: Name,
    /// The source.
    pub from: Name,
    /// The destination.
    pub to: Name,
    /// What the source loads afterwards; empty for nothing.
    pub want: Name,
    /// The current phase.
    pub phase: Phase,
    /// Why it entered this phase.
    pub why: String,
    /// What the phases so far took.
    pub stages: Vec<StageFigure>,
}

/// A configuration under rehearsal.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Candidate {
    /// The change that proposed it.
    pub id: ChangeId,
    /// The version of the last change that was applied.
    pub at: Version,
    /// The configuration.
    pub config: Box<FleetConfig>,
}

/// A part of the state that is distributed by itself, as a topic.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug, Encode, Decode)]
pub enum Scope {
    /// The routes and the tenants.
    Routes,
    /// The configuration under rehearsal.
    Candidate,
    /// What the holder of the placement duty needs.
    Duty,
    /// One service with its runners.
    Service(Name),
}

/// The replicated state.
#[derive(Clone, PartialEq, Debug, Default, Encode, Decode)]
pub struct FleetState {
    /// The version: the number of changes that were applied.
    pub at: Version,
    /// The configuration in force.
    pub config: FleetConfig,
    /// The version at which it came into force.
    pub config_version: Version,
    /// The configuration under rehearsal.
    pub candidate: Option<Candidate>,
    /// The list of runners.
    pub runners: Vec<Runner>,
    /// Who holds the placement duty.
    pub duty: Option<Duty>,
    /// The moves, oldest first, ended ones included.
    pub moves: Vec<MovePlan>,
    /// The placement plans, oldest first, ended ones included.
    pub plans: Vec<PlacementPlan>,
    /// The operator's call that asks for a plan and has none yet.
    pub plan_ask: Option<ChangeId>,
    /// The outcomes of operators' changes, oldest first.
    pub outcomes: Vec<Outcome>,
    /// The outcomes of the fleet's own changes, oldest first.
    pub internal_outcomes: Vec<Outcome>,
    /// Operators' changes that were taken or refused.
    pub ledger: ChangeLedger,
    /// The version at which each scope last changed, services that were withdrawn lately included.
    pub touched: BTreeMap<Scope, Version>,
}

/// How many outcomes of operators' changes are kept.
pub const MAX_OUTCOMES: usize = 512;
/// The longest text of an outcome in bytes. It may quote names that a client sent.
pub const MAX_OUTCOME_TEXT_BYTES: usize = 1024;
/// How many outcomes of the fleet's own changes are kept.
pub const MAX_INTERNAL_OUTCOMES: usize = 256;
/// How many services that are no longer configured are kept in [`FleetState::touched`].
pub const MAX_WITHDRAWN_SERVICES: usize = 1024;
/// How many moves are kept.
pub const MAX_MOVES: usize = 64;

impl FleetState {
    /// The outcome of a change, if it is still kept.
    pub fn outcome(&self, id: ChangeId) -> Option<&Outcome> {
        let rows = if id.is_operators() { &self.outcomes } else { &self.internal_outcomes };
        rows.iter().rev().find(|o| o.id == id)
    }

    /// The outcome of the change of that name, if it is still kept.
    pub fn outcome_named(&self, name: u128) -> Option<&Outcome> {
        self.outcomes.iter().chain(&self.internal_outcomes).rev().find(|o| o.id.name == name)
    }

    /// What is final about a change: its outcome, or what the ledger remembers of it.
    pub fn decision(&self, id: ChangeId) -> Option<Decision<'_>> {
        if let Some(outcome) = self.outcome(id) {
            return Some(Decision::Outcome(outcome));
        }
        if id.is_operators() && self.outcomes.iter().any(|o| o.id.name == id.name) {
            return Some(Decision::Ledger(LedgerEntry::NameInUse));
        }
        self.ledger.find(id).map(Decision::Ledger)
    }

    /// The runner of this name.
    pub fn runner(&self, name: &Name) -> Option<&Runner> {
        self.runners.iter().find(|r| r.instance == *name)
    }

    /// The moves that have not ended.
    pub fn active_moves(&self) -> impl Iterator<Item = &MovePlan> {
        self.moves.iter().filter(|m| m.is_active())
    }

    /// The version at which the scope last changed.
    pub fn scope_at(&self, scope: &Scope) -> Version {
        self.touched.get(scope).copied().unwrap_or_default()
    }
}

impl MovePlan {
    /// Whether the moves can't run at the same time: they share a runner, unless they move different models
    /// and neither source loads anything afterwards.
    pub fn conflicts_with(&self, other: &MovePlan) -> bool {
        let shared = [&self.from, &self.to].into_iter().any(|r| *r == other.from || *r == other.to);
        let both_leave = self.want.0.is_empty() && other.want.0.is_empty() && self.model != other.model;
        shared && !both_leave
    }

    /// Whether it has not ended.
    pub fn is_active(&self) -> bool {
        !matches!(self.phase, Phase::Done | Phase::Stopped)
    }
}

impl std::fmt::Display for Phase {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Phase::Load => "load",
            Phase::Warm => "warm",
            Phase::Unload => "unload",
            Phase::Want => "want",
            Phase::Done => "done",
            Phase::Stopped => "stopped",
        })
    }
}
