//! Simulated requests that newer routes move before they have run.
#![deny(missing_docs)]

use super::front::spec_of;
use super::record::Fact;
use super::world::World;
use crate::forwarding::RequestFlow;
use crate::forwarding::readmit::CarriedOver;
use crate::gate::order::RefusalReason;
use crate::gate::{Refusal, RequestSpec};
use crate::standin::tally::End;

impl World {
    /// Admits a request anew by the newest routes of its router, as a router does.
    pub fn readmit(&mut self, id: u64, carried: CarriedOver) {
        let Some(mut request) = self.requests.rows.remove(&id) else { return };
        self.requests.ended_at.push((request.place, request.balancer.clone()));
        let now = self.local(request.place);
        let table = self.nodes[request.place].table.clone();
        let readmitted = table.readmit(now, &carried.spec).and_then(|admitted| {
            let spec = spec_of(id, request.arrived_at, request.script.as_ref(), &admitted);
            let balancer = table.get(&spec.service).ok_or(RefusalReason::StaleConfiguration)?;
            let (path, key) = (carried.spec.path.clone(), carried.spec.key);
            Ok((RequestSpec { path, key, ..spec }.after(&carried.spec), balancer))
        });
        match readmitted {
            Ok((spec, balancer)) => {
                (request.request, request.balancer) = (RequestFlow::readmitted(spec, carried), balancer);
                self.take_token(id, request);
            }
            Err(why) => {
                let (call, code) = (request.call, Refusal::new(why, 0).code().to_string());
                self.note(Fact::Ended { call, end: End::Refused, text: None, after: 0, code });
            }
        }
    }
}
