//! Reads `If-Match`: the revision that a change is based on.

use crate::json::tree::EXACT_INTEGERS;
use std::fmt;

/// The condition under which a change is to be accepted.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Precondition {
    /// Absent or `*`: any revision may be in force.
    Any,
    /// `5` or `"5"`: exactly that revision must be in force.
    Revision(u64),
    /// Anything else: a value that no revision can match, and why.
    Never(Unmatchable, String),
}

/// Why a condition can never be met. The reason holds on every node and at any time, so the refusal is final.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Unmatchable {
    /// A weak entity tag.
    Weak,
    /// Several values.
    List,
    /// Larger than any revision can be.
    TooLarge,
    /// Not a decimal number.
    NotANumber,
}

impl Precondition {
    /// Reads the value of the header; `None` if it is absent.
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

    /// The revision that must be in force; `None` for any. Fails if no revision can match.
    pub fn revision(&self) -> Result<Option<u64>, Unmatchable> {
        match self {
            Precondition::Any => Ok(None),
            Precondition::Revision(revision) => Ok(Some(*revision)),
            Precondition::Never(why, _) => Err(*why),
        }
    }

    /// A canonical text of the condition: equal for equal conditions, however they were written.
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
