//! The queue of waiting requests, ordered by urgency and arrival.

use super::order::{RequestSpec, RoutingDecision, Urgency};
use crate::kernel::ids::{Name, Version};
use crate::kernel::time::Time;
use std::collections::BTreeMap;

/// Hands a decision to the waiting request; returns it if that request is over. It runs under the lock of the balancer, on
/// any thread, so it must neither block nor need a runtime.
pub type WakeFn = Box<dyn FnOnce(RoutingDecision) -> Result<(), RoutingDecision> + Send>;

/// A request in the queue.
pub struct WaitingRequest {
    /// The request.
    pub spec: RequestSpec,
    /// Runners not to use.
    pub avoid: Vec<Name>,
    /// Receives the decision.
    pub wake: WakeFn,
    /// When it was queued.
    pub queued_at: Time,
}

/// The place of a request in the queue: its urgency, when it began to wait, and a number that grows with each entry.
pub type QueueKey = (Urgency, Time, u64);

/// Waiting requests by urgency, then by how long they have waited.
#[derive(Default)]
pub struct WaitQueue {
    rows: BTreeMap<QueueKey, WaitingRequest>,
    last_number: u64,
}

impl WaitQueue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Queues a request behind those of the same urgency that have waited longer.
    pub fn add(&mut self, waiter: WaitingRequest) {
        self.last_number += 1;
        let since = waiter.spec.waiting_since.unwrap_or(waiter.queued_at);
        self.rows.insert((waiter.spec.urgency(), since, self.last_number), waiter);
    }

    /// Keys in the order of service.
    pub fn keys(&self) -> Vec<QueueKey> {
        self.rows.keys().copied().collect()
    }

    /// The request with this key.
    pub fn get(&self, key: &QueueKey) -> Option<&WaitingRequest> {
        self.rows.get(key)
    }

    /// Records that the routes of version `at` allow the request with this key as it is.
    pub fn confirm(&mut self, key: &QueueKey, at: Version) {
        if let Some(waiter) = self.rows.get_mut(key) {
            waiter.spec.routes_version = waiter.spec.routes_version.max(at);
        }
    }

    /// Removes the request with this key.
    pub fn take(&mut self, key: &QueueKey) -> Option<WaitingRequest> {
        self.rows.remove(key)
    }

    /// Waiting requests for the same model and adapter that are served before this one.
    pub fn count_ahead(&self, spec: &RequestSpec) -> u64 {
        let alike =
            |waiter: &&WaitingRequest| waiter.spec.model == spec.model && waiter.spec.adapter == spec.adapter;
        let before =
            |waiter: &&WaitingRequest| waiter.spec.urgency() <= spec.urgency() && waiter.spec.id != spec.id;
        self.rows.values().filter(alike).filter(before).count() as u64
    }

    /// The waiting requests in the order of service.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.rows.values()
    }

    /// Removes a request by its id.
    pub fn remove_request(&mut self, id: u64) {
        self.rows.retain(|_, waiter| waiter.spec.id != id);
    }

    /// Key of the last request, if it is less urgent than `than`.
    pub fn last_less_urgent(&self, than: Urgency) -> Option<QueueKey> {
        let key = self.rows.keys().next_back().copied()?;
        (key.0 > than).then_some(key)
    }
}
