//! The entries that a member of the chain holds, bounded in rows and in bytes.
#![deny(missing_docs)]

use crate::kernel::ids::*;
use crate::msg::Entry;
use std::collections::VecDeque;

/// The rows after which committed entries give way to a snapshot.
pub const MAX_ROWS: usize = 512;
/// The bytes after which committed entries give way to a snapshot. The largest entry that was measured (1,500
/// routes) takes 0.49 MB in memory and 0.32 MB on the disk, and a snapshot as much.
pub const MAX_BYTES: usize = 8 << 20;
/// The bytes of entries in one message: a link of 10 Mbit/s carries them in a fifth of a second, well within the
/// time after which a silent peer counts as lost.
pub const MAX_MESSAGE_BYTES: usize = 256 << 10;

const MAX_MESSAGE_ROWS: usize = 64;

/// The entries from the one after `base`. All before it are in the snapshot at `base`.
#[derive(Clone, Default)]
pub struct ReplicationLog {
    /// The number of the last entry that the snapshot covers.
    pub base: Version,
    /// The view in which that entry was placed.
    pub base_view: ViewNo,
    entries: VecDeque<Entry>,
    bytes: usize,
}

/// How an entry that was received fits to those that are held.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EntryFit {
    /// It is the next one.
    Next,
    /// It is held already.
    AlreadyHeld,
    /// Entries before it are missing.
    Gap,
    /// Another entry is held under its number.
    Conflict,
}

impl ReplicationLog {
    /// A log that begins behind a snapshot.
    pub fn after_snapshot(base: Version, base_view: ViewNo) -> ReplicationLog {
        ReplicationLog { base, base_view, ..ReplicationLog::default() }
    }

    /// The number of the last entry.
    pub fn last(&self) -> Version {
        self.entries.back().map_or(self.base, |e| e.at)
    }

    /// The entries in their order.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

    /// How many entries there are.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// The bytes that the entries take, as [`crate::fleet::state::Change::size_estimate`] counts.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The entry of a number.
    pub fn get(&self, at: Version) -> Option<&Entry> {
        let n = at.0.checked_sub(self.base.0 + 1)?;
        self.entries.get(n as usize)
    }

    /// Adds an entry at the end.
    pub fn push(&mut self, entry: Entry) {
        self.bytes += entry.change.size_estimate();
        self.entries.push_back(entry);
    }

    /// How an entry fits.
    pub fn classify(&self, entry: &Entry) -> EntryFit {
        if entry.at == self.last().next() {
            return EntryFit::Next;
        }
        if entry.at > self.last() {
            return EntryFit::Gap;
        }
        match self.get(entry.at) {
            Some(old) if old.view != entry.view => EntryFit::Conflict,
            _ => EntryFit::AlreadyHeld,
        }
    }

    /// The entries behind a number, as many as one message takes and at least one; nothing if the log begins later.
    pub fn entries_after(&self, at: Version) -> Option<Vec<Entry>> {
        let skip = at.0.checked_sub(self.base.0)? as usize;
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            let first = bytes == 0;
            bytes += entry.change.size_estimate();
            first || bytes <= MAX_MESSAGE_BYTES
        };
        Some(self.entries.iter().skip(skip).take(MAX_MESSAGE_ROWS).take_while(fits).cloned().collect())
    }

    /// The bytes of all entries behind a number.
    pub fn bytes_after(&self, at: Version) -> usize {
        let skip = at.0.saturating_sub(self.base.0) as usize;
        self.entries.iter().skip(skip).map(|entry| entry.change.size_estimate()).sum()
    }

    /// Whether entries up to this number should give way to a snapshot: there are too many of them or too large
    /// ones, and at least half goes.
    pub fn is_trim_due(&self, committed: Version) -> bool {
        let going = committed.0.saturating_sub(self.base.0) as usize;
        let too_many = self.entry_count() >= MAX_ROWS && going >= MAX_ROWS / 2;
        let too_large = self.bytes >= MAX_BYTES && 2 * going >= self.entry_count();
        too_many || too_large
    }

    /// Whether the log is so full of entries that are not committed that no more may be placed.
    pub fn is_full(&self) -> bool {
        self.bytes >= 2 * MAX_BYTES
    }

    /// Drops the entries up to a number, which a snapshot now covers.
    pub fn trim(&mut self, at: Version) {
        while self.entries.front().is_some_and(|e| e.at <= at) {
            if let Some(entry) = self.entries.pop_front() {
                self.bytes -= entry.change.size_estimate();
                self.base = entry.at;
                self.base_view = entry.view;
            }
        }
    }
}
