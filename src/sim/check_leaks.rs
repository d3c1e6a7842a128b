//! Nothing of a request stays in its router once it is over: no waiter, no slot, no share of the budget.
#![deny(missing_docs)]

use super::front::SimRequest;
use super::world::World;
use crate::gate::Gate;
use std::sync::{Arc, Mutex};

/// What the requests under way at a gate account for.
#[derive(Default, PartialEq, Eq, Debug)]
struct Share {
    waiters: u64,
    slots: u64,
    credit: u64,
}

impl Share {
    fn of_gate(gate: &Gate) -> Share {
        Share {
            waiters: gate.inbox.len() as u64,
            slots: gate.health.values().map(|h| h.mine).sum(),
            credit: gate.tries.reserved(),
        }
    }

    fn of_requests<'a>(requests: impl Iterator<Item = &'a SimRequest>) -> Share {
        let mut share = Share::default();
        for request in requests.map(|r| &r.request) {
            share.waiters += u64::from(request.is_waiting());
            share.slots += request.attempts.len() as u64;
            share.credit += request.reserved;
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
        for (place, gate) in std::mem::take(&mut self.requests.ended_at) {
            let node = &self.nodes[place];
            let here =
                |r: &&SimRequest| r.place == place && r.life == node.life && Arc::ptr_eq(&r.gate, &gate);
            let known = Share::of_requests(self.requests.rows.values().filter(here));
            if node.alive {
                self.requests.leaks.extend(leak_at(place, &gate, &known));
            }
        }
    }
}

fn leak_at(place: usize, gate: &Mutex<Gate>, known: &Share) -> Option<String> {
    let gate = gate.lock().unwrap();
    let counted = Share::of_gate(&gate);
    let leak = || format!("2 node {place} keeps {counted:?} at {}, requests have {known:?}", gate.name);
    counted.exceeds(known).then(leak)
}
