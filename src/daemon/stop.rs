//! Orderly shutdown: what a process still does after SIGTERM, within its grace period.
#![deny(missing_docs)]

use super::input::NodeHandle;
use crate::chain::leaving::Departure;
use crate::gate::BalancerTable;
use crate::http::request_service::RequestService;
use crate::kernel::time::{Clock, Span, Time};
use crate::msg::{Event, Role};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long requests that were accepted just before the stop have to be counted as open.
const LATE_REQUESTS_WAIT: Duration = Duration::from_millis(400);
/// How often it is checked whether all work has ended.
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// A shutdown: its time limits, and the parts of the process that take part in it.
pub struct Shutdown {
    /// The role of the process; a controller leaves the chain before it ends.
    pub role: Role,
    /// The time limit for open streams and a controller's departure together, from SIGTERM on.
    pub drain: Span,
    /// How long a router continues to accept requests while clients find another router.
    pub lame: Duration,
    /// The service that answers clients.
    pub front: Arc<RequestService>,
    /// The balancers in which requests wait.
    pub table: Arc<BalancerTable>,
    /// The clock of the limits.
    pub clock: Arc<dyn Clock>,
    /// The node of this process.
    pub node: NodeHandle,
    /// The progress of a controller's departure from the chain.
    pub departure: Arc<Mutex<Departure>>,
}

impl Shutdown {
    /// Runs the shutdown; returns when the process may end.
    pub async fn run(&self) {
        log::info!(event = "warned", drain_ms = self.drain.as_ms(); "");
        self.front.is_leaving.store(true, Ordering::SeqCst);
        self.front.clients.stop();
        self.node.send(Event::StopAnnounced);
        let deadline = self.clock.now() + self.drain;
        tokio::time::sleep(self.lame).await;
        self.front.is_stopping.store(true, Ordering::SeqCst);
        self.table.stop(self.clock.now());
        tokio::time::sleep(LATE_REQUESTS_WAIT).await;
        while self.has_open_work() && self.clock.now() < deadline {
            tokio::time::sleep(POLL_PERIOD).await;
        }
        if self.role == Role::Controller {
            self.wait_until_left(deadline).await;
        }
        let (left, undelivered) =
            (self.front.open_requests.load(Ordering::SeqCst), self.front.clients.count_serving());
        log::info!(event = "stopped", broken_streams = left, undelivered_answers = undelivered; "");
    }

    /// Whether a request is open or a client has not acknowledged all of its answer.
    fn has_open_work(&self) -> bool {
        self.front.open_requests.load(Ordering::SeqCst) > 0 || self.front.clients.count_serving() > 0
    }

    /// Waits until this controller has left the chain, at most until `deadline`, and logs what other nodes hold.
    async fn wait_until_left(&self, deadline: Time) {
        let state = || *self.departure.lock().unwrap();
        while !state().is_done && self.clock.now() < deadline {
            tokio::time::sleep(POLL_PERIOD).await;
        }
        let now = state();
        if now.is_done {
            return log::info!(event = "left-the-chain", state = now.to_string(); "");
        }
        let remedy = "bring this machine back with its disk, or add another and wait until it is ready";
        log::warn!(event = "left-too-early", state = now.to_string(), remedy = remedy; "");
    }
}
