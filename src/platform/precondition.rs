//! What `If-Match` says of the revision that a change builds on.

use crate::json::tree::EXACT_INTEGERS;
use std::fmt;

/// The condition under which an operator wants a change taken.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Precondition {
    /// Absent, or `*`: whatever is in force.
    Any,
    /// `5` or `"5"`: that revision, and no other.
    Revision(u64),
    /// Anything else: it names no revision that could ever be in force.
    Never(Unmatchable, String),
}

/// Why a condition can never be met. It is so at each node and for good, so the refusal is final.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Unmatchable {
    Weak,
    List,
    TooLarge,
    NotANumber,
}

impl Precondition {
    /// Reads the header's value.
    pub fn read(value: Option<&str>) -> Precondition {
        let Some(value) = value else { return Precondition::Any };
        let value = value.trim();
        if value == "*" {
            return Precondition::Any;
        }
        let never = |why| Precondition::Never(why, value.to_string());
        if value.contains(',') {
            return never(Unmatchable::List);
        }
        if value.starts_with("W/") {
            return never(Unmatchable::Weak);
        }
        let quoted = value.strip_prefix('"').and_then(|rest| rest.strip_suffix('"'));
        let digits = quoted.unwrap_or(value);
        if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_digit()) {
            return never(Unmatchable::NotANumber);
        }
        match digits.parse::<u64>() {
            Ok(revision) if revision <= EXACT_INTEGERS => Precondition::Revision(revision),
            _ => never(Unmatchable::TooLarge),
        }
    }

    /// The revision that must be in force, `None` for any.
    pub fn revision(&self) -> Result<Option<u64>, Unmatchable> {
        match self {
            Precondition::Any => Ok(None),
            Precondition::Revision(revision) => Ok(Some(*revision)),
            Precondition::Never(why, _) => Err(*why),
        }
    }

    /// One text for each condition, however it was written.
    pub fn key(&self) -> String {
        match self {
            Precondition::Any => "any".into(),
            Precondition::Revision(revision) => format!("revision {revision}"),
            Precondition::Never(_, value) => format!("never {value}"),
        }
    }
}

impl fmt::Display for Unmatchable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let why = match self {
            Unmatchable::Weak => "is a weak tag, which matches no revision",
            Unmatchable::List => "is a list",
            Unmatchable::TooLarge => "is larger than any revision can be",
            Unmatchable::NotANumber => "is no revision",
        };
        write!(f, "If-Match {why}; give the number of the one revision that it builds on")
    }
}
