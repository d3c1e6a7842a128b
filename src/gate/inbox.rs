use super::order::{Order, Plan, Urgency};
use std::collections::BTreeMap;

/// Hands a plan to the request that waits; gives it back if that request is over. It runs under the gate's lock, on
/// any thread, so it must neither block nor need a runtime.
pub type Wake = Box<dyn FnOnce(Plan) -> Result<(), Plan> + Send>;

pub struct Waiter {
    pub order: Order,
    pub avoid: Vec<crate::kernel::ids::Name>,
    pub wake: Wake,
    pub since: crate::kernel::time::Time,
}

#[derive(Default)]
pub struct Inbox {
    rows: BTreeMap<(Urgency, u64), Waiter>,
    next: u64,
}

impl Inbox {
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    pub fn add(&mut self, waiter: Waiter) {
        self.next += 1;
        self.rows.insert((waiter.order.urgency(), self.next), waiter);
    }

    pub fn keys(&self) -> Vec<(Urgency, u64)> {
        self.rows.keys().copied().collect()
    }

    pub fn get(&self, key: &(Urgency, u64)) -> Option<&Waiter> {
        self.rows.get(key)
    }

    pub fn take(&mut self, key: &(Urgency, u64)) -> Option<Waiter> {
        self.rows.remove(key)
    }

    pub fn ahead(&self, order: &Order) -> u64 {
        let alike = |w: &&Waiter| w.order.model == order.model && w.order.adapter == order.adapter;
        let before = |w: &&Waiter| w.order.urgency() <= order.urgency() && w.order.id != order.id;
        self.rows.values().filter(alike).filter(before).count() as u64
    }

    pub fn rows(&self) -> impl Iterator<Item = &Waiter> {
        self.rows.values()
    }

    pub fn drop_id(&mut self, id: u64) {
        self.rows.retain(|_, w| w.order.id != id);
    }

    pub fn last_lower(&self, than: Urgency) -> Option<(Urgency, u64)> {
        let key = self.rows.keys().next_back().copied()?;
        (key.0 > than).then_some(key)
    }
}
