//! The log of entries that a member of the chain holds, bounded in entries and in bytes.
#![deny(missing_docs)]

use crate::kernel::ids::*;
use crate::msg::Entry;
use std::collections::VecDeque;

/// From this many entries on, committed entries are replaced by a snapshot.
pub const MAX_ROWS: usize = 512;
/// From this many bytes on, committed entries are replaced by a snapshot. The largest entry measured (1,500 routes)
/// takes 0.49 MB in memory and 0.32 MB on disk, and a snapshot takes as much.
pub const MAX_BYTES: usize = 8 << 20;
/// The most bytes of entries in one message: a 10 Mbit/s link carries them in 0.2 s, well within the time after
/// which a silent peer counts as lost.
pub const MAX_MESSAGE_BYTES: usize = 256 << 10;

/// The most entries in one message.
const MAX_MESSAGE_ROWS: usize = 64;

/// The entries after version `base`. The snapshot at `base` covers all before.
#[derive(Clone, Default)]
pub struct ReplicationLog {
    /// The version of the snapshot: the last entry that it covers.
    pub base: Version,
    /// The view in which that entry was appended.
    pub base_view: ViewNo,
    entries: VecDeque<Entry>,
    bytes: usize,
}

/// How a received entry relates to the log.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EntryFit {
    /// It is the next one.
    Next,
    /// It is held already.
    AlreadyHeld,
    /// Entries before it are missing.
    Gap,
    /// Another entry is held under its version.
    Conflict,
}

impl ReplicationLog {
    /// An empty log after a snapshot.
    pub fn after_snapshot(base: Version, base_view: ViewNo) -> ReplicationLog {
        ReplicationLog { base, base_view, ..ReplicationLog::default() }
    }

    /// The version of the last entry, or of the snapshot if there is none.
    pub fn last(&self) -> Version {
        self.entries.back().map_or(self.base, |e| e.at)
    }

    /// The entries in order.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

    /// The number of entries.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// The size of all entries in bytes, by [`crate::fleet::state::Change::size_estimate`].
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The entry of a version, if it is held.
    pub fn get(&self, at: Version) -> Option<&Entry> {
        let n = at.0.checked_sub(self.base.0 + 1)?;
        self.entries.get(n as usize)
    }

    /// Adds an entry at the end.
    pub fn push(&mut self, entry: Entry) {
        self.bytes += entry.change.size_estimate();
        self.entries.push_back(entry);
    }

    /// How an entry relates to the log.
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

    /// The entries after a version, as many as fit into one message but at least one. `None` if the log begins
    /// later.
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

    /// The size in bytes of all entries after a version.
    pub fn bytes_after(&self, at: Version) -> usize {
        let skip = at.0.saturating_sub(self.base.0) as usize;
        self.entries.iter().skip(skip).map(|entry| entry.change.size_estimate()).sum()
    }

    /// Whether the entries up to `committed` should be replaced by a snapshot: the log is too long or too large,
    /// and at least half of it would go.
    pub fn is_trim_due(&self, committed: Version) -> bool {
        let going = committed.0.saturating_sub(self.base.0) as usize;
        let too_many = self.entry_count() >= MAX_ROWS && going >= MAX_ROWS / 2;
        let too_large = self.bytes >= MAX_BYTES && 2 * going >= self.entry_count();
        too_many || too_large
    }

    /// Whether the log holds so many uncommitted bytes that no more entries may be appended.
    pub fn is_full(&self) -> bool {
        self.bytes >= 2 * MAX_BYTES
    }

    /// Drops the entries up to a version, which a snapshot now covers.
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
