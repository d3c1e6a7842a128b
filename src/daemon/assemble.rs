use crate::chain::Chain;
use crate::chain::change_queue::ChangeQueue;
use crate::chain::serving_leases::ServingLeases;
use crate::constraints::QuotaSettings;
use crate::constraints::client::QuotaClient;
use crate::constraints::owner::QuotaOwner;
use crate::distribution::Distribution;
use crate::kernel::component::LocalNode;
use crate::kernel::ids::*;
use crate::kernel::node::Node;
use crate::kernel::rand::Rand;
use crate::kernel::time::{Span, Time};
use crate::membership::Membership;
use crate::msg::{Record, Role};
use crate::placement::Placement;
use crate::protocol::Protocols;
use crate::relay::Relay;
use crate::rollout::Rollout;
use crate::runner_list::reader::ListReader;
use crate::runner_list::timing::ListTiming;
use std::net::SocketAddr;

#[derive(Clone, Debug)]
pub struct Place {
    pub addr: SocketAddr,
    pub admin: SocketAddr,
    pub domain: Name,
    pub seeds: Vec<SocketAddr>,
    pub core: usize,
    pub bear: usize,
    pub first: bool,
    pub proof: Span,
    pub lease: Span,
    pub policy: Policy,
    /// Set where there is a list of runners to be read.
    pub list: Option<ListTiming>,
    pub protocols: Protocols,
    pub quota: QuotaSettings,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Policy {
    Move,
    Queue,
    Preempt,
}

fn me(place: &Place, node: NodeId, role: Role, now: Time) -> LocalNode {
    LocalNode {
        node,
        role,
        domain: place.domain.clone(),
        addr: place.addr,
        admin: place.admin,
        seeds: place.seeds.iter().copied().filter(|s| *s != place.addr).collect(),
        is_seed: place.seeds.contains(&place.addr),
        core_size: place.core,
        tolerated_failures: place.bear,
        may_found: place.first,
        freshness_limit: place.proof,
        serving_lease: place.lease,
        started: now,
    }
}

pub fn router(place: &Place, now: Time, mut rand: Box<dyn Rand>) -> Node {
    let mut node = Node::new(me(place, NodeId(rand.next() | 1), Role::Router, now), rand);
    node.add(Box::new(Membership::default()));
    node.add(Box::new(Relay::default()));
    node.add(Box::new(Distribution::new(now)));
    node.add(Box::<crate::rollout::router_reports::RouterReporter>::default());
    node.add(Box::new(crate::placement::placement_client::PlacementClient::default()));
    node.add(Box::new(QuotaClient::new(place.quota)));
    node
}

pub fn controller(
    place: &Place,
    now: Time,
    mut rand: Box<dyn Rand>,
    records: Vec<Record>,
) -> (Node, Vec<Record>) {
    let known = records.iter().find_map(|r| match r {
        Record::Ident { node } => Some(*node),
        _ => None,
    });
    let ident = known.unwrap_or_else(|| NodeId(rand.next() | 1));
    let first = if known.is_none() { vec![Record::Ident { node: ident }] } else { vec![] };
    let mut node = Node::new(me(place, ident, Role::Controller, now), rand);
    let chain = Chain::new(ident, records, now);
    node.add(Box::new(Membership::default()));
    node.add(Box::new(chain));
    node.add(Box::new(ChangeQueue::new(place.protocols.operator.clone())));
    node.add(Box::new(ServingLeases::default()));
    node.add(Box::new(QuotaOwner::new(place.quota)));
    node.add(Box::new(Relay::default()));
    node.add(Box::new(Rollout::default()));
    let bare_plain = !place.protocols.runner.plain_services_report();
    let mut duty = Placement::new(now, place.policy);
    duty.has_unpolled_plain_runners = bare_plain;
    node.add(Box::new(duty));
    if let Some(timing) = place.list {
        node.add(Box::new(ListReader::new(now, timing)));
    }
    (node, first)
}
