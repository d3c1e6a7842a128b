//! The outcomes of changes, as the replicated state keeps them.

use super::ledger::LedgerEntry;
use super::state::StageFigure;
use crate::kernel::ids::{ChangeId, Version};
use bitcode::{Decode, Encode};
use std::fmt;
use std::str::FromStr;

/// How a change ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Encode, Decode)]
pub enum OutcomeCode {
    /// It was made.
    Ok,
    /// It builds on a configuration that is not the current one.
    StaleBase,
    /// Its revision is not above the current one.
    OldRevision,
    /// Applied to the current configuration it gives an invalid one.
    BadConfiguration,
    /// Another candidate is under rehearsal.
    ChangePending,
    /// The rehearsal refused it.
    RehearsalFailed,
    /// It names a runner that is not listed.
    UnknownRunner,
    /// It asks for a move that is not possible.
    BadMove,
    /// A move that conflicts with it is under way.
    MovePending,
    /// It accepts a plan that is not the proposed one.
    StalePlan,
    /// A later change replaced it.
    Superseded,
}

/// The codes as operators see them.
const CODES: [(OutcomeCode, &str); 11] = [
    (OutcomeCode::Ok, "ok"),
    (OutcomeCode::StaleBase, "stale-base"),
    (OutcomeCode::OldRevision, "old-revision"),
    (OutcomeCode::BadConfiguration, "bad-configuration"),
    (OutcomeCode::ChangePending, "change-pending"),
    (OutcomeCode::RehearsalFailed, "rehearsal-failed"),
    (OutcomeCode::UnknownRunner, "unknown-runner"),
    (OutcomeCode::BadMove, "bad-move"),
    (OutcomeCode::MovePending, "move-pending"),
    (OutcomeCode::StalePlan, "stale-plan"),
    (OutcomeCode::Superseded, "superseded"),
];

impl fmt::Display for OutcomeCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = CODES.iter().find(|row| row.0 == *self).map_or("unknown", |row| row.1);
        f.write_str(text)
    }
}

impl FromStr for OutcomeCode {
    type Err = String;

    fn from_str(text: &str) -> Result<OutcomeCode, String> {
        let row = CODES.iter().find(|row| row.1 == text);
        row.map(|row| row.0).ok_or_else(|| format!("\"{text}\" is no end of a change; see docs/interface.md"))
    }
}

/// The outcome of one change.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Outcome {
    /// The change.
    pub id: ChangeId,
    /// The version at which it ended.
    pub at: Version,
    /// How it ended.
    pub code: OutcomeCode,
    /// An explanation for operators.
    pub text: String,
    /// What its stages took.
    pub stages: Vec<StageFigure>,
}

/// What is final about a change.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Decision<'a> {
    /// Its outcome.
    Outcome(&'a Outcome),
    /// What the ledger remembers of it.
    Ledger(LedgerEntry),
}

impl Decision<'_> {
    /// The version that the change made, if it was taken.
    pub fn taken_at(&self) -> Option<Version> {
        match self {
            Decision::Outcome(outcome) => (outcome.code == OutcomeCode::Ok).then_some(outcome.at),
            Decision::Ledger(LedgerEntry::Taken(order)) => Some(order.at),
            Decision::Ledger(_) => None,
        }
    }
}
