//! The ledger of operators' orders: which were taken, and which were refused for good.
//!
//! It is a part of the replicated state, so every member, snapshot and restored copy carries it. The fleet's
//! own changes have no place in it.

use crate::kernel::ids::{ChangeId, Version};
use bitcode::{Decode, Encode};
use std::collections::VecDeque;

/// How many taken orders are remembered: hundreds a day leave more than a week.
pub const TAKEN_CAPACITY: usize = 4096;
/// How many refusals are remembered. An order can come to a head again for as long as its entry node repeats
/// it (20 s); the queue of 64 decides fewer than this many early orders in that time.
pub const REFUSED_CAPACITY: usize = 4096;

/// An order that was taken: the version that it made, and its revision if its format has one.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Encode, Decode)]
pub struct TakenOrder {
    pub id: ChangeId,
    pub at: Version,
    pub revision: u64,
}

/// An order that must not be taken any more. Above `last_revision` no copy of it could be taken anyway.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Encode, Decode)]
pub struct RefusedOrder {
    pub id: ChangeId,
    pub last_revision: u64,
}

/// What the ledger says of an order.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LedgerEntry {
    Taken(TakenOrder),
    Refused,
    /// Another document was sent under this name.
    NameInUse,
}

/// Orders taken and refused, oldest first.
#[derive(Clone, PartialEq, Debug, Default, Encode, Decode)]
pub struct OrderLedger {
    taken: VecDeque<TakenOrder>,
    refused: VecDeque<RefusedOrder>,
    forgotten: Option<TakenOrder>,
}

impl OrderLedger {
    /// What is known of `id`.
    pub fn find(&self, id: ChangeId) -> Option<LedgerEntry> {
        if !id.is_operators() {
            return None;
        }
        if let Some(order) = self.taken.iter().rev().find(|order| order.id.name == id.name) {
            return Some(if order.id == id { LedgerEntry::Taken(*order) } else { LedgerEntry::NameInUse });
        }
        let refused = self.refused.iter().rev().find(|order| order.id.name == id.name)?;
        Some(if refused.id == id { LedgerEntry::Refused } else { LedgerEntry::NameInUse })
    }

    /// The order that was taken under a name.
    pub fn taken_as(&self, name: u128) -> Option<&TakenOrder> {
        self.taken.iter().rev().find(|order| order.id.name == name)
    }

    pub fn record_taken(&mut self, order: TakenOrder) {
        if !order.id.is_operators() {
            return;
        }
        self.taken.push_back(order);
        if self.taken.len() > TAKEN_CAPACITY {
            self.forgotten = self.taken.pop_front();
        }
        self.refused.retain(|refused| refused.last_revision >= order.revision);
    }

    pub fn record_refused(&mut self, order: RefusedOrder) {
        if !order.id.is_operators() {
            return;
        }
        self.refused.push_back(order);
        if self.refused.len() > REFUSED_CAPACITY {
            self.refused.pop_front();
        }
    }

    /// Whether an order on `base` that makes `revision` may be one that was taken and is no longer remembered.
    pub fn may_have_forgotten(&self, base: Option<u64>, revision: Option<u64>) -> bool {
        let Some(newest) = self.forgotten else { return false };
        base.is_none_or(|base| base < newest.revision)
            && revision.is_none_or(|revision| revision <= newest.revision)
    }

    /// Whether an own-format change on version `base` may be one that is no longer remembered.
    pub fn may_have_forgotten_version(&self, base: Version) -> bool {
        self.forgotten.is_some_and(|newest| base < newest.at)
    }

    pub fn taken_len(&self) -> usize {
        self.taken.len()
    }

    pub fn refused_len(&self) -> usize {
        self.refused.len()
    }
}
