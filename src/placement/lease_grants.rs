//! What a deputy has granted to the holder of the placement duty.
#![deny(missing_docs)]

use super::lease_messages::{OrderLeaseGrant, OrderLeaseRequest};
use super::takeover::{QUIET, Takeover};
use crate::fleet::duty::Deputy;
use crate::kernel::ids::{Name, Version};
use crate::kernel::time::Time;
use std::collections::BTreeMap;

/// The grants of this node under one appointment.
#[derive(Default)]
pub struct LeaseGrants {
    deputy: Option<Deputy>,
    /// When the first request came; what the holder may have ordered before is not known.
    first: Time,
    /// When the newest request for a runner came.
    last: BTreeMap<Name, Time>,
    /// Appointments up to this one are over.
    closed: Version,
}

impl LeaseGrants {
    /// Notes the runners of a request and grants it, unless its appointment is over.
    pub fn grant(&mut self, request: &OrderLeaseRequest, clock: Time) -> Option<OrderLeaseGrant> {
        let asked = request.deputy;
        let known = self.deputy.map_or(self.closed, |deputy| deputy.appointed);
        if asked.appointed <= self.closed || asked.appointed < known {
            return None;
        }
        if self.deputy != Some(asked) {
            let closed = self.closed;
            *self = LeaseGrants { deputy: Some(asked), first: clock, last: BTreeMap::new(), closed };
        }
        self.last.retain(|_, came| clock < *came + QUIET);
        self.last.extend(request.runners.iter().map(|runner| (runner.clone(), clock)));
        Some(OrderLeaseGrant { deputy: asked, request: request.request })
    }

    /// Ends the appointment: nothing more is granted under it. What the node that follows the holder has to wait for,
    /// if this was the holder's last deputy.
    pub fn take_over(&mut self, predecessor: Option<Deputy>) -> Option<Takeover> {
        let deputy = self.deputy.take();
        let ended = deputy.into_iter().chain(predecessor).map(|deputy| deputy.appointed);
        self.closed = ended.fold(self.closed, Version::max);
        let deputy = deputy?;
        let last = std::mem::take(&mut self.last);
        (predecessor == Some(deputy)).then(|| Takeover::as_deputy(self.first, last))
    }
}
