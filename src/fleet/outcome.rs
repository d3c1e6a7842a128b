//! How a change ended, as the replicated state keeps it.

use super::ledger::LedgerEntry;
use super::state::StageFigure;
use crate::kernel::ids::{ChangeId, Version};
use bitcode::{Decode, Encode};
use std::fmt;
use std::str::FromStr;

/// The end of a change.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Encode, Decode)]
pub enum OutcomeCode {
    Ok,
    /// It was made on top of a configuration that is not the current one.
    StaleBase,
    /// Its revision is not above the current one.
    OldRevision,
    /// It makes no valid configuration of the current one.
    BadConfiguration,
    /// Another candidate is under rehearsal.
    ChangePending,
    RehearsalFailed,
    UnknownRunner,
    BadMove,
    MovePending,
    StalePlan,
    Superseded,
}

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

/// The end of one change, with what its stages took.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Outcome {
    pub id: ChangeId,
    pub at: Version,
    pub code: OutcomeCode,
    pub text: String,
    pub stages: Vec<StageFigure>,
}

/// What is known for good of a change.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Decision<'a> {
    Outcome(&'a Outcome),
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
