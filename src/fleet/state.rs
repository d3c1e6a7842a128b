use super::config::FleetConfig;
pub use super::duty::Duty;
use super::ledger::{LedgerEntry, OrderLedger};
pub use super::outcome::{Decision, Outcome, OutcomeCode};
use super::plan::{PlacementPlan, PlanState};
use super::runner::Runner;
use crate::kernel::ids::*;
use bitcode::{Decode, Encode};
use std::collections::BTreeMap;

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum Change {
    Propose {
        id: ChangeId,
        base: Version,
        config: Box<FleetConfig>,
    },
    Adopt {
        id: ChangeId,
        base: u64,
        config: Box<FleetConfig>,
        stages: Vec<StageFigure>,
    },
    /// An operator's order that must not be taken any more, unless it was taken or its base came before this.
    Refuse {
        id: ChangeId,
        base: Option<u64>,
        last_revision: u64,
        code: OutcomeCode,
        text: String,
    },
    Settle {
        id: ChangeId,
        verdict: Verdict,
        stages: Vec<StageFigure>,
    },
    Runners {
        id: ChangeId,
        list: Vec<Runner>,
    },
    Leaving {
        id: ChangeId,
        instance: Name,
    },
    Duty {
        holder: NodeId,
    },
    /// The holder of this term has waited out its predecessor and orders from now on.
    DutyBegun {
        term: Term,
    },
    Move {
        id: ChangeId,
        plan: MovePlan,
    },
    Plan {
        term: Term,
        plan: PlacementPlan,
        asked: Option<ChangeId>,
    },
    PlanAsk {
        id: ChangeId,
    },
    Accept {
        id: ChangeId,
        at: Version,
    },
    PlanStage {
        id: PlanId,
        term: Term,
        state: PlanState,
        figure: StageFigure,
    },
    Step {
        id: MoveId,
        term: Term,
        phase: Phase,
        why: String,
        stage: Option<StageFigure>,
    },
}

/// What a route takes in memory and on the disk besides its share of the document, as measured.
const ROUTE_BYTES: usize = 160;
/// What any change takes.
const CHANGE_BYTES: usize = 1024;

impl Change {
    /// About the bytes that this change takes in memory; on the disk and on the wire it takes less.
    pub fn size_estimate(&self) -> usize {
        match self {
            Change::Propose { config, .. } | Change::Adopt { config, .. } => {
                CHANGE_BYTES + config.size_estimate()
            }
            Change::Runners { list, .. } => CHANGE_BYTES + list.len() * ROUTE_BYTES,
            _ => CHANGE_BYTES,
        }
    }
}

impl FleetConfig {
    /// About the bytes that this configuration takes in memory.
    pub fn size_estimate(&self) -> usize {
        let routes: usize = self.services.iter().map(|s| s.routes.len()).sum();
        self.source.len() + (routes + self.models.len() + self.adapters.len()) * ROUTE_BYTES
    }
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum Verdict {
    Commit,
    Refuse(String),
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct StageFigure {
    pub name: String,
    pub ms: u64,
    pub ms_allowed: u64,
    pub tries: u64,
    pub tries_allowed: u64,
    pub note: String,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Encode, Decode)]
pub enum Phase {
    Load,
    Warm,
    Unload,
    Want,
    Done,
    Stopped,
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct MovePlan {
    pub id: MoveId,
    pub service: Name,
    pub model: Name,
    pub from: Name,
    pub to: Name,
    pub want: Name,
    pub phase: Phase,
    pub why: String,
    pub stages: Vec<StageFigure>,
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Candidate {
    pub id: ChangeId,
    pub at: Version,
    pub config: Box<FleetConfig>,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug, Encode, Decode)]
pub enum Scope {
    Routes,
    Candidate,
    Duty,
    Service(Name),
}

#[derive(Clone, PartialEq, Debug, Default, Encode, Decode)]
pub struct FleetState {
    pub at: Version,
    pub config: FleetConfig,
    pub config_version: Version,
    pub candidate: Option<Candidate>,
    pub runners: Vec<Runner>,
    pub duty: Option<Duty>,
    pub moves: Vec<MovePlan>,
    pub plans: Vec<PlacementPlan>,
    pub plan_ask: Option<ChangeId>,
    /// The ends of operators' changes, oldest first.
    pub outcomes: Vec<Outcome>,
    /// The ends of the fleet's own changes, oldest first.
    pub internal_outcomes: Vec<Outcome>,
    pub ledger: OrderLedger,
    pub touched: BTreeMap<Scope, Version>,
}

pub const OUTCOMES: usize = 512;
pub const INTERNAL_OUTCOMES: usize = 256;
pub const MOVES: usize = 64;

impl FleetState {
    pub fn outcome(&self, id: ChangeId) -> Option<&Outcome> {
        let rows = if id.is_operators() { &self.outcomes } else { &self.internal_outcomes };
        rows.iter().rev().find(|o| o.id == id)
    }

    /// The end of the operator's change of that name.
    pub fn outcome_named(&self, name: u128) -> Option<&Outcome> {
        self.outcomes.iter().chain(&self.internal_outcomes).rev().find(|o| o.id.name == name)
    }

    /// What is known for good of a change: its end, or what the ledger remembers of it.
    pub fn decision(&self, id: ChangeId) -> Option<Decision<'_>> {
        if let Some(outcome) = self.outcome(id) {
            return Some(Decision::Outcome(outcome));
        }
        if id.is_operators() && self.outcomes.iter().any(|o| o.id.name == id.name) {
            return Some(Decision::Ledger(LedgerEntry::NameInUse));
        }
        self.ledger.find(id).map(Decision::Ledger)
    }

    pub fn runner(&self, name: &Name) -> Option<&Runner> {
        self.runners.iter().find(|r| r.instance == *name)
    }

    pub fn active_moves(&self) -> impl Iterator<Item = &MovePlan> {
        self.moves.iter().filter(|m| m.is_active())
    }

    pub fn scope_at(&self, scope: &Scope) -> Version {
        self.touched.get(scope).copied().unwrap_or_default()
    }
}

impl MovePlan {
    pub fn conflicts_with(&self, other: &MovePlan) -> bool {
        let shared = [&self.from, &self.to].into_iter().any(|r| *r == other.from || *r == other.to);
        let both_leave = self.want.0.is_empty() && other.want.0.is_empty() && self.model != other.model;
        shared && !both_leave
    }

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
