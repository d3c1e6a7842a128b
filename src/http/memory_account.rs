//! The memory that the bodies of all clients of a process may take together.
//!
//! Bytes are charged as they arrive; what is only announced takes no memory. When there is no room, the body that has
//! made no progress for longest gives way, so that a client that sends at an ordinary pace is served while a crowd holds
//! still.

use super::memory_ledger::{Charge, HolderId, MemoryLedger};
use crate::kernel::time::{Clock, Span};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;

/// How long a body may wait for room.
const MAX_ROOM_WAIT: Span = Span::ms(2000);
/// How often a body that waits for room looks for one that has stalled meanwhile.
const RECHECK_PERIOD: Duration = Duration::from_millis(100);

/// The account of a process.
pub struct MemoryAccount {
    clock: Arc<dyn Clock>,
    ledger: Mutex<MemoryLedger>,
    evictions: Mutex<BTreeMap<HolderId, Arc<Notify>>>,
    released: Notify,
}

/// There is no room, or the body had to give way.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct NoRoom;

impl MemoryAccount {
    /// An account of `capacity` bytes.
    pub fn new(clock: Arc<dyn Clock>, capacity: usize) -> Arc<MemoryAccount> {
        let ledger = Mutex::new(MemoryLedger::new(capacity));
        Arc::new(MemoryAccount { clock, ledger, evictions: Mutex::default(), released: Notify::new() })
    }

    /// A reservation without bytes.
    pub fn open(self: &Arc<MemoryAccount>) -> Reservation {
        let id = self.ledger.lock().unwrap().open(self.clock.now());
        let evicted = Arc::new(Notify::new());
        self.evictions.lock().unwrap().insert(id, evicted.clone());
        Reservation { account: self.clone(), id, evicted }
    }

    fn evict(&self, id: HolderId) {
        if let Some(evicted) = self.evictions.lock().unwrap().get(&id) {
            evicted.notify_one();
        }
    }
}

/// The bytes charged for one body; dropping it releases them.
pub struct Reservation {
    account: Arc<MemoryAccount>,
    id: HolderId,
    evicted: Arc<Notify>,
}

impl Reservation {
    /// Charges `total` bytes in all, waiting for room if needed.
    pub async fn charge(&self, total: usize) -> Result<(), NoRoom> {
        let began = self.account.clock.now();
        loop {
            let released = self.account.released.notified();
            let now = self.account.clock.now();
            let charge = self.account.ledger.lock().unwrap().charge(now, self.id, total);
            match charge {
                Charge::Granted => return Ok(()),
                Charge::Evicted => return Err(NoRoom),
                Charge::Wait { evicted: Some(id) } => self.account.evict(id),
                Charge::Wait { evicted: None } => {}
            }
            if now.since(began) >= MAX_ROOM_WAIT {
                return Err(NoRoom);
            }
            tokio::select! {
                _ = released => {}
                _ = tokio::time::sleep(RECHECK_PERIOD) => {}
                _ = self.evicted.notified() => return Err(NoRoom),
            }
        }
    }

    /// Charges `total` bytes in all if there is room now; returns whether there is.
    pub fn charge_now(&self, total: usize) -> bool {
        self.account.ledger.lock().unwrap().charge_now(self.id, total)
    }

    /// Records that `bytes` of the body have arrived.
    pub fn progress(&self, bytes: usize) {
        self.account.ledger.lock().unwrap().progress(self.account.clock.now(), self.id, bytes);
    }

    /// Records that the body is whole and is kept until the reservation is dropped.
    pub fn complete(&self) -> Result<(), NoRoom> {
        match self.account.ledger.lock().unwrap().complete(self.id) {
            true => Ok(()),
            false => Err(NoRoom),
        }
    }

    /// Ties the reservation to the bytes that it was made for: it is released with the last copy of them.
    pub fn hold(self, bytes: Vec<u8>) -> Bytes {
        Bytes::from_owner(ReservedBytes { bytes, _reservation: self })
    }

    /// Returns once the body has to give way.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

/// Bytes and the memory reserved for them.
struct ReservedBytes {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.account.evictions.lock().unwrap().remove(&self.id);
        self.account.ledger.lock().unwrap().close(self.id);
        self.account.released.notify_waiters();
    }
}
