use super::order::{RequestSpec, RoutingDecision, Urgency};
use std::collections::BTreeMap;

/// Hands a plan to the request that waits; gives it back if that request is over. It runs under the gate's lock, on
/// any thread, so it must neither block nor need a runtime.
pub type WakeFn = Box<dyn FnOnce(RoutingDecision) -> Result<(), RoutingDecision> + Send>;

pub struct WaitingRequest {
    pub spec: RequestSpec,
    pub avoid: Vec<crate::kernel::ids::Name>,
    pub wake: WakeFn,
    pub queued_at: crate::kernel::time::Time,
}

#[derive(Default)]
pub struct WaitQueue {
    rows: BTreeMap<(Urgency, u64), WaitingRequest>,
    last_number: u64,
}

impl WaitQueue {
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    pub fn add(&mut self, waiter: WaitingRequest) {
        self.last_number += 1;
        self.rows.insert((waiter.spec.urgency(), self.last_number), waiter);
    }

    pub fn keys(&self) -> Vec<(Urgency, u64)> {
        self.rows.keys().copied().collect()
    }

    pub fn get(&self, key: &(Urgency, u64)) -> Option<&WaitingRequest> {
        self.rows.get(key)
    }

    pub fn take(&mut self, key: &(Urgency, u64)) -> Option<WaitingRequest> {
        self.rows.remove(key)
    }

    pub fn count_ahead(&self, spec: &RequestSpec) -> u64 {
        let alike = |w: &&WaitingRequest| w.spec.model == spec.model && w.spec.adapter == spec.adapter;
        let before = |w: &&WaitingRequest| w.spec.urgency() <= spec.urgency() && w.spec.id != spec.id;
        self.rows.values().filter(alike).filter(before).count() as u64
    }

    pub fn iter(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.rows.values()
    }

    pub fn remove_request(&mut self, id: u64) {
        self.rows.retain(|_, w| w.spec.id != id);
    }

    pub fn last_less_urgent(&self, than: Urgency) -> Option<(Urgency, u64)> {
        let key = self.rows.keys().next_back().copied()?;
        (key.0 > than).then_some(key)
    }
}
