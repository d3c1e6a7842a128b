//! Nothing of a request stays in its router once it is over: no waiter, no slot, no share of the budget.
#![deny(missing_docs)]

use super::front::SimRequest;
use super::world::World;
use crate::gate::Balancer;
use std::sync::{Arc, Mutex};

/// What the requests under way at a gate account for.
#[derive(Default, PartialEq, Eq, Debug)]
struct Share {
    waiters: u64,
    slots: u64,
    credit: u64,
}

impl Share {
    fn of_gate(balancer: &Balancer) -> Share {
        Share {
            waiters: balancer.queue.len() as u64,
            slots: balancer.health.values().map(|h| h.own_requests).sum(),
            credit: balancer.retry_budget.reserved(),
        }
    }

    fn of_requests<'a>(requests: impl Iterator<Item = &'a SimRequest>) -> Share {
        let mut share = Share::default();
        for request in requests.map(|r| &r.request) {
            share.waiters += u64::from(request.is_waiting());
            share.slots += request.attempts.len() as u64;
            share.credit += request.reserved_attempts;
        }
        share
    }

    fn exceeds(&self, other: &Share) -> bool {
        self.waiters > other.waiters || self.slots > other.slots || self.credit > other.credit
    }
}

impl World {
    /// Looks at each gate at which a request has just ended: it may count no more than the requests under way have.
    pub fn check_leaks(&mut self) {
        for (place, balancer) in std::mem::take(&mut self.requests.ended_at) {
            let node = &self.nodes[place];
            let here = |r: &&SimRequest| {
                r.place == place && r.life == node.life && Arc::ptr_eq(&r.balancer, &balancer)
            };
            let known = Share::of_requests(self.requests.rows.values().filter(here));
            if node.alive {
                self.requests.leaks.extend(leak_at(place, &balancer, &known));
            }
        }
    }
}

fn leak_at(place: usize, balancer: &Mutex<Balancer>, known: &Share) -> Option<String> {
    let balancer = balancer.lock().unwrap();
    let counted = Share::of_gate(&balancer);
    let leak =
        || format!("2 node {place} keeps {counted:?} at {}, requests have {known:?}", balancer.service);
    counted.exceeds(known).then(leak)
}
