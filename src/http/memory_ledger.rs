//! The bookkeeping of a [`MemoryAccount`](super::memory_account::MemoryAccount): who holds how many bytes, and whose
//! unfinished body gives way when there is no room.

use crate::kernel::time::{Span, Time};
use std::collections::BTreeMap;

/// A body that gained too little for this long may be evicted when there is no room.
const STALL_TIME: Span = Span::ms(500);
/// How many bytes count as progress; a client that sends fewer within `STALL_TIME` is stalled.
const PROGRESS_BYTES: usize = 16 << 10;
/// Bodies up to this size may use the reserved part of the account too.
const SMALL_BYTES: usize = 64 << 10;
/// The part of the account that is reserved for small bodies: one in this many bytes.
const SMALL_SHARE: usize = 8;

/// Identifies a holder; later ones have greater numbers.
pub type HolderId = u64;

/// The result of asking for more bytes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Charge {
    /// The bytes are charged.
    Granted,
    /// There is no room yet; it may come about. If a holder is named, it was evicted to make room.
    Wait {
        /// The holder that has to release its bytes.
        evicted: Option<HolderId>,
    },
    /// The holder itself was evicted.
    Evicted,
}

struct Holder {
    bytes: usize,
    /// Its body is incomplete, so that it may be evicted.
    is_receiving: bool,
    /// It waits for room.
    is_blocked: bool,
    is_evicted: bool,
    progressed_at: Time,
    bytes_since_progress: usize,
}

impl Holder {
    fn is_evictable(&self) -> bool {
        self.is_receiving && !self.is_evicted && self.bytes > 0
    }

    fn is_stalled(&self, now: Time) -> bool {
        !self.is_blocked && now.since(self.progressed_at) >= STALL_TIME
    }
}

/// The holders of an account and their bytes.
pub struct MemoryLedger {
    capacity: usize,
    used: usize,
    /// How many of the used bytes belong to evicted holders.
    evicted: usize,
    /// Before this time no holder can have become a victim, so that the holders need not be searched.
    next_search: Time,
    next_id: HolderId,
    holders: BTreeMap<HolderId, Holder>,
}

impl MemoryLedger {
    /// An empty ledger for `capacity` bytes.
    pub fn new(capacity: usize) -> MemoryLedger {
        let (next_search, holders) = (Time::default(), BTreeMap::new());
        MemoryLedger { capacity, used: 0, evicted: 0, next_search, next_id: 1, holders }
    }

    /// How many bytes are charged.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Adds a holder without bytes.
    pub fn open(&mut self, now: Time) -> HolderId {
        let id = self.next_id;
        self.next_id += 1;
        let holder = Holder {
            bytes: 0,
            is_receiving: true,
            is_blocked: false,
            is_evicted: false,
            progressed_at: now,
            bytes_since_progress: 0,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Charges a holder so that it has `total` bytes. A holder always gets them if no other one has any.
    pub fn charge(&mut self, now: Time, id: HolderId, total: usize) -> Charge {
        let capacity = match total <= SMALL_BYTES {
            true => self.capacity,
            false => self.capacity - self.capacity / SMALL_SHARE,
        };
        let Some(holder) = self.holders.get_mut(&id) else { return Charge::Evicted };
        if holder.is_evicted {
            return Charge::Evicted;
        }
        let others = self.used - holder.bytes;
        if others == 0 || others + total <= capacity {
            self.used = others + total;
            holder.bytes = total;
            if std::mem::take(&mut holder.is_blocked) {
                holder.progressed_at = now;
            }
            return Charge::Granted;
        }
        holder.is_blocked = true;
        let is_room_coming = self.evicted >= others + total - capacity;
        if is_room_coming || now < self.next_search {
            return Charge::Wait { evicted: None };
        }
        let Some(victim) = self.victim(now) else {
            self.next_search = self.next_stall(now);
            return Charge::Wait { evicted: None };
        };
        if let Some(holder) = self.holders.get_mut(&victim) {
            holder.is_evicted = true;
            self.evicted += holder.bytes;
        }
        if victim == id { Charge::Evicted } else { Charge::Wait { evicted: Some(victim) } }
    }

    /// Charges a holder so that it has `total` bytes if there is room now; returns whether there is.
    pub fn charge_now(&mut self, id: HolderId, total: usize) -> bool {
        let Some(holder) = self.holders.get_mut(&id) else { return false };
        let others = self.used - holder.bytes;
        let has_room = others + total <= self.capacity;
        if has_room {
            self.used = others + total;
            holder.bytes = total;
        }
        has_room
    }

    /// When the next body may have stalled, at most `STALL_TIME` from now.
    fn next_stall(&self, now: Time) -> Time {
        let receiving = self.holders.values().filter(|holder| holder.is_evictable() && !holder.is_blocked);
        let next = receiving.map(|holder| holder.progressed_at + STALL_TIME).min();
        next.unwrap_or(now + STALL_TIME).min(now + STALL_TIME)
    }

    /// Whose body gives way: the one that has been stalled for longest; if all unfinished bodies wait for room, so that
    /// none can end, the newest of them.
    fn victim(&self, now: Time) -> Option<HolderId> {
        let evictable = || self.holders.iter().filter(|(_, holder)| holder.is_evictable());
        let stalled = evictable().filter(|(_, holder)| holder.is_stalled(now));
        if let Some((id, _)) = stalled.min_by_key(|(_, holder)| holder.progressed_at) {
            return Some(*id);
        }
        let are_all_blocked = evictable().all(|(_, holder)| holder.is_blocked);
        are_all_blocked.then(|| evictable().next_back().map(|(id, _)| *id)).flatten()
    }

    /// Records that `bytes` of a holder's body have arrived.
    pub fn progress(&mut self, now: Time, id: HolderId, bytes: usize) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        holder.bytes_since_progress += bytes;
        if holder.bytes_since_progress >= PROGRESS_BYTES {
            holder.bytes_since_progress = 0;
            holder.progressed_at = now;
        }
    }

    /// Records that a holder's body is whole: it is not evicted any more. False if it was evicted before.
    pub fn complete(&mut self, id: HolderId) -> bool {
        let Some(holder) = self.holders.get_mut(&id) else { return false };
        holder.is_receiving = false;
        !holder.is_evicted
    }

    /// Removes a holder and its bytes.
    pub fn close(&mut self, id: HolderId) {
        let Some(holder) = self.holders.remove(&id) else { return };
        self.used -= holder.bytes;
        if holder.is_evicted {
            self.evicted -= holder.bytes;
        }
    }
}
