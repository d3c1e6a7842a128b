//! The configurations in the operator's own format that wait at the head, and the one submitted to the chain.

use crate::fleet::FleetConfig;
use crate::fleet::routes::RouteTable;
use crate::fleet::slice::route_rows;
use crate::fleet::state::StageFigure;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use crate::protocol::OperatorProtocol;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::OnceLock;

/// How long a router's report of its route traffic is used.
const LIVE_ROUTES_TTL: Span = Span::ms(6000);

/// A configuration that is not decided yet.
#[derive(Clone)]
pub(super) struct WaitingAdoption {
    pub id: ChangeId,
    pub base: Option<u64>,
    pub part: bool,
    pub text: String,
    /// The revision that its document names, if any; read when it is first needed.
    pub revision: OnceLock<Option<u64>>,
    pub since: Time,
    /// When its refusal was submitted to the chain.
    pub refusal_submitted_at: Option<Time>,
}

impl WaitingAdoption {
    pub fn revision(&self, protocol: Option<&dyn OperatorProtocol>) -> Option<u64> {
        *self.revision.get_or_init(|| protocol?.revision(&self.text))
    }

    fn yields_revision(&self, revision: u64, protocol: Option<&dyn OperatorProtocol>) -> bool {
        self.base.is_none_or(|base| base < revision) && self.revision(protocol) == Some(revision)
    }
}

/// The configuration whose adoption was submitted to the chain.
#[derive(Clone)]
pub(super) struct SubmittedAdoption {
    pub id: ChangeId,
    pub since: Time,
    pub revision: u64,
}

/// The configurations that wait at the head, and the one submitted to the chain.
#[derive(Clone, Default)]
pub struct AdoptionQueue {
    pub(super) protocol: Option<Arc<dyn OperatorProtocol>>,
    pub(super) waiting: Vec<WaitingAdoption>,
    pub(super) submitted: Option<SubmittedAdoption>,
    live_routes: BTreeMap<NodeId, (Time, Vec<RouteTraffic>)>,
}

impl AdoptionQueue {
    /// A queue that reads documents in the format of `protocol`.
    pub fn new(protocol: Option<Arc<dyn OperatorProtocol>>) -> AdoptionQueue {
        AdoptionQueue { protocol, ..AdoptionQueue::default() }
    }

    /// Whether the configuration waits here or is submitted.
    pub fn contains(&self, id: ChangeId) -> bool {
        self.waiting.iter().any(|adoption| adoption.id == id)
            || self.submitted.as_ref().is_some_and(|adoption| adoption.id == id)
    }

    /// Records that the adoption or refusal was committed.
    pub fn on_committed(&mut self, id: ChangeId) {
        if self.submitted.as_ref().is_some_and(|adoption| adoption.id == id) {
            self.submitted = None;
        }
        for adoption in self.waiting.iter_mut().filter(|adoption| adoption.id == id) {
            adoption.refusal_submitted_at = None;
        }
    }

    /// Keeps a router's report of its recent traffic by route.
    pub fn note_live_routes(&mut self, from: NodeId, now: Time, report: &RouterReport) {
        if self.protocol.is_some() && !report.live.is_empty() {
            self.live_routes.insert(from, (now, report.live.clone()));
        }
    }

    /// Forgets all that waits.
    pub fn clear(&mut self) {
        self.waiting.clear();
        self.submitted = None;
    }

    /// Whether a configuration that waits or is submitted would lead to `revision`.
    pub(super) fn will_reach_revision(&self, revision: u64) -> bool {
        self.submitted.as_ref().is_some_and(|adoption| adoption.revision == revision)
            || self
                .waiting
                .iter()
                .any(|adoption| adoption.yields_revision(revision, self.protocol.as_deref()))
    }

    /// What the new configuration would do to the recent requests of the routers. It is only reported, and refuses
    /// nothing.
    pub(super) fn rehearse(&mut self, config: &FleetConfig, current: &FleetConfig, now: Time) -> StageFigure {
        self.live_routes.retain(|_, account| now.since(account.0) < LIVE_ROUTES_TTL);
        if config.services == current.services {
            return rehearsed("the routes are unchanged".into());
        }
        let table = RouteTable::from(route_rows(config));
        let (mut planned, mut refused, mut moved, mut why) = (0, 0, 0, String::new());
        for live in self.live_routes.values().flat_map(|account| &account.1) {
            planned += live.orders;
            match table.find(&live.host, &live.prefix) {
                None => {
                    refused += live.orders;
                    why = format!(" no route is left for {}{}", live.host, live.prefix);
                }
                Some(route) if !route.leads_to(&live.service) => moved += live.orders,
                Some(_) => {}
            }
        }
        rehearsed(format!("planned={planned} refused={refused} moved={moved}{why}"))
    }
}

fn rehearsed(note: String) -> StageFigure {
    StageFigure { name: "rehearse".into(), ms: 0, ms_allowed: 0, tries: 1, tries_allowed: 1, note }
}
