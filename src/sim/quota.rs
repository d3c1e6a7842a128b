//! Tenants in simulated runs: who sends a request, and how it waits for a token of its quota.
#![deny(missing_docs)]

use super::front::SimRequest;
use super::record::Fact;
use super::world::World;
use crate::constraints::shares::{QuotaDecision, QuotaDemand};
use crate::forwarding::FlowEvent;
use crate::http::quota::admission_result;
use crate::kernel::ids::Name;
use crate::kernel::rand::mix;
use crate::msg;
use crate::standin::tally::End;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};

/// A tenant that sends its part of the requests, under the key that [`key_of`] names.
#[derive(Clone, Debug)]
pub struct SimTenant {
    /// Its name.
    pub name: Name,
    /// Its part, among those of all others.
    pub weight: u64,
}

/// The key of a tenant in simulated runs.
pub fn key_of(tenant: &Name) -> String {
    format!("key-{tenant}")
}

/// What was decided for a request that waits for a token.
struct Decided {
    request: u64,
    decision: QuotaDecision,
}

/// A router's word that tokens are wanted.
struct Demanded {
    place: usize,
    life: u64,
    demand: QuotaDemand,
}

/// Tenants, and requests on their way to and from the shares of routers.
#[derive(Default)]
pub struct SimQuota {
    /// Who sends requests; without any, requests carry no key.
    pub tenants: Vec<SimTenant>,
    demanded: Arc<Mutex<VecDeque<Demanded>>>,
    decided: Arc<Mutex<VecDeque<Decided>>>,
    waiting: BTreeMap<u64, SimRequest>,
}

impl SimQuota {
    /// The tenant that sends a call.
    pub fn sender(&self, call: u64) -> Option<Name> {
        let all: u64 = self.tenants.iter().map(|tenant| tenant.weight).sum();
        let mut left = mix(call).checked_rem(all)?;
        let chosen = self.tenants.iter().find(|tenant| {
            let hit = left < tenant.weight;
            left = left.saturating_sub(tenant.weight);
            hit
        });
        chosen.map(|tenant| tenant.name.clone())
    }
}

impl World {
    /// Connects the shares of a router that starts with its node.
    pub fn connect_shares(&mut self, place: usize, life: u64) {
        let demanded = self.quota.demanded.clone();
        let asker = move |demand| demanded.lock().unwrap().push_back(Demanded { place, life, demand });
        self.nodes[place].table.quota.lock().unwrap().set_demand_handler(Arc::new(asker));
    }

    /// A request goes on to its gate once it has a token, if its tenant has a quota.
    pub fn take_token(&mut self, id: u64, mut request: SimRequest) {
        let order = &request.request.spec;
        let tenant = order.credential.as_ref().map(|credential| credential.tenant.clone());
        let Some(tenant) = tenant.filter(|_| request.counted.add(order)) else {
            return self.enter_gate(id, request);
        };
        let (now, due) = (self.local(request.place), order.start_deadline);
        let decided = self.quota.decided.clone();
        let wake = Box::new(move |decision| {
            decided.lock().unwrap().push_back(Decided { request: id, decision });
            true
        });
        let table = self.nodes[request.place].table.clone();
        let at_once = table.quota.lock().unwrap().request(now, &tenant.name, due, wake);
        match at_once {
            Some(decision) => self.decided(id, request, decision),
            None => drop(self.quota.waiting.insert(id, request)),
        }
    }

    /// Carries what routers want to their nodes, and what was decided to the requests that wait.
    pub fn pass_quota_words(&mut self) {
        loop {
            let Some(word) = self.quota.demanded.lock().unwrap().pop_front() else { break };
            if self.fits(word.place, word.life) {
                self.feed(word.place, msg::Event::QuotaWanted(word.demand));
            }
        }
        loop {
            let Some(word) = self.quota.decided.lock().unwrap().pop_front() else { return };
            if let Some(request) = self.quota.waiting.remove(&word.request) {
                self.decided(word.request, request, word.decision);
            }
        }
    }

    /// The requests that waited at a router that is gone.
    pub fn drop_waiting_for_quota(&mut self, place: usize) {
        let gone = self.quota.waiting.extract_if(.., |_, request| request.place == place);
        let calls: Vec<u64> = gone.map(|(_, request)| request.call).collect();
        for call in calls {
            let code = "router-lost".to_string();
            self.note(Fact::Ended { call, end: End::Broken, text: Some(String::new()), after: 0, code });
        }
    }

    fn decided(&mut self, id: u64, request: SimRequest, decision: QuotaDecision) {
        match admission_result(decision) {
            Ok(()) => self.enter_gate(id, request),
            Err(refusal) => {
                let (call, code) = (request.call, refusal.code().to_string());
                self.note(Fact::Ended { call, end: End::Refused, text: None, after: 0, code });
            }
        }
    }

    fn enter_gate(&mut self, id: u64, request: SimRequest) {
        let (place, life) = (request.place, request.life);
        self.requests.rows.insert(id, request);
        self.request(place, life, id, FlowEvent::Start);
    }
}
