//! The ledger of operators' changes: which were taken, and which were refused for good.
//!
//! It is part of the replicated state, so every member, snapshot and restored copy has it. Changes that the
//! fleet makes itself are not recorded.

use crate::kernel::ids::{ChangeId, Version};
use bitcode::{Decode, Encode};
use std::collections::VecDeque;

/// How many taken changes are remembered: with hundreds a day, more than a week.
pub const TAKEN_CAPACITY: usize = 4096;
/// How many refusals are remembered. A change can reach a head again for as long as its entry node repeats
/// it (20 s); the queue of 64 decides fewer than this many changes in that time.
pub const REFUSED_CAPACITY: usize = 4096;

/// A change that was taken.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Encode, Decode)]
pub struct TakenChange {
    /// The change.
    pub id: ChangeId,
    /// The version that it made.
    pub at: Version,
    /// The revision that it made, if its format has one.
    pub revision: u64,
}

/// A change that must not be taken any more.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Encode, Decode)]
pub struct RefusedChange {
    /// The change.
    pub id: ChangeId,
    /// Once the revision in force is above this one, no copy of the change could be taken anyway, and the
    /// refusal need not be remembered.
    pub last_revision: u64,
}

/// What the ledger says about a change.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LedgerEntry {
    /// It was taken.
    Taken(TakenChange),
    /// It was refused.
    Refused,
    /// Another document was sent under its name.
    NameInUse,
}

/// Changes taken and refused, oldest first.
#[derive(Clone, PartialEq, Debug, Default, Encode, Decode)]
pub struct ChangeLedger {
    taken: VecDeque<TakenChange>,
    refused: VecDeque<RefusedChange>,
    newest_forgotten: Option<TakenChange>,
}

impl ChangeLedger {
    /// What is known about `id`.
    pub fn find(&self, id: ChangeId) -> Option<LedgerEntry> {
        if !id.is_operators() {
            return None;
        }
        if let Some(change) = self.taken.iter().rev().find(|change| change.id.name == id.name) {
            return Some(if change.id == id { LedgerEntry::Taken(*change) } else { LedgerEntry::NameInUse });
        }
        let refused = self.refused.iter().rev().find(|change| change.id.name == id.name)?;
        Some(if refused.id == id { LedgerEntry::Refused } else { LedgerEntry::NameInUse })
    }

    /// The change that was taken under a name.
    pub fn taken_as(&self, name: u128) -> Option<&TakenChange> {
        self.taken.iter().rev().find(|change| change.id.name == name)
    }

    /// Records a taken change, and forgets the refusals that it makes irrelevant.
    pub fn record_taken(&mut self, change: TakenChange) {
        if !change.id.is_operators() {
            return;
        }
        self.taken.push_back(change);
        if self.taken.len() > TAKEN_CAPACITY {
            self.newest_forgotten = self.taken.pop_front();
        }
        self.refused.retain(|refused| refused.last_revision >= change.revision);
    }

    /// Records a refusal.
    pub fn record_refused(&mut self, change: RefusedChange) {
        if !change.id.is_operators() {
            return;
        }
        self.refused.push_back(change);
        if self.refused.len() > REFUSED_CAPACITY {
            self.refused.pop_front();
        }
    }

    /// Whether a change on `base` that makes `revision` may have been taken and forgotten since.
    pub fn may_have_forgotten(&self, base: Option<u64>, revision: Option<u64>) -> bool {
        let Some(newest) = self.newest_forgotten else { return false };
        base.is_none_or(|base| base < newest.revision)
            && revision.is_none_or(|revision| revision <= newest.revision)
    }

    /// Whether a change on version `base`, in the product's own format, may have been taken and forgotten
    /// since.
    pub fn may_have_forgotten_version(&self, base: Version) -> bool {
        self.newest_forgotten.is_some_and(|newest| base < newest.at)
    }

    /// The number of taken changes that are remembered.
    pub fn taken_len(&self) -> usize {
        self.taken.len()
    }

    /// The number of refusals that are remembered.
    pub fn refused_len(&self) -> usize {
        self.refused.len()
    }
}
