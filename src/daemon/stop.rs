//! Stopping in order: what a process still does after SIGTERM, within its grace.
#![deny(missing_docs)]

use super::input::Hand;
use crate::chain::leaving::Departure;
use crate::gate::BalancerTable;
use crate::http::serve::Front;
use crate::kernel::time::{Clock, Span, Time};
use crate::msg::{Event, Role};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Orders that were let in just before the stop get this long to show as open.
const LAST_ORDERS: Duration = Duration::from_millis(400);
/// How often it looks whether all has ended.
const LOOK: Duration = Duration::from_millis(50);

/// What stops, and how long it may take.
pub struct Stop {
    /// What the process is; a controller leaves the chain before it ends.
    pub role: Role,
    /// How long open streams and a controller's leaving may take in all.
    pub drain: Span,
    /// How long a router serves on while callers find another.
    pub lame: Duration,
    /// The side that callers see.
    pub front: Arc<Front>,
    /// The gates that requests wait at.
    pub table: Arc<BalancerTable>,
    /// The clock that the limits are told by.
    pub clock: Arc<dyn Clock>,
    /// The way to the node.
    pub hand: Hand,
    /// How far a controller's leaving has got.
    pub departure: Arc<Mutex<Departure>>,
}

impl Stop {
    /// Returns when the process may end.
    pub async fn run(&self) {
        log::info!(event = "warned", drain_ms = self.drain.as_ms(); "");
        self.front.leaving.store(true, Ordering::SeqCst);
        self.front.clients.stop();
        self.hand.feed(Event::StopAnnounced);
        let due = self.clock.now() + self.drain;
        tokio::time::sleep(self.lame).await;
        self.front.stopping.store(true, Ordering::SeqCst);
        self.table.stop(self.clock.now());
        tokio::time::sleep(LAST_ORDERS).await;
        while self.busy() && self.clock.now() < due {
            tokio::time::sleep(LOOK).await;
        }
        if self.role == Role::Controller {
            self.leave(due).await;
        }
        let (left, undelivered) = (self.front.open.load(Ordering::SeqCst), self.front.clients.serving());
        log::info!(event = "stopped", broken_streams = left, undelivered_answers = undelivered; "");
    }

    /// Whether a request is under way, or an answer that its client has not wholly acknowledged.
    fn busy(&self) -> bool {
        self.front.open.load(Ordering::SeqCst) > 0 || self.front.clients.serving() > 0
    }

    /// Waits until this controller has left the chain, at most until `due`, and logs what stands elsewhere.
    async fn leave(&self, due: Time) {
        let state = || *self.departure.lock().unwrap();
        while !state().done && self.clock.now() < due {
            tokio::time::sleep(LOOK).await;
        }
        let now = state();
        if now.done {
            return log::info!(event = "left-the-chain", state = now.to_string(); "");
        }
        let remedy = "bring this machine back with its disk, or add another and wait until it is ready";
        log::warn!(event = "left-too-early", state = now.to_string(), remedy = remedy; "");
    }
}
