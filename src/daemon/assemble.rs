//! Assembles the components of a node by its role. The process, the simulator and the tests build their nodes here.

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

/// The settings of one node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Where other nodes reach this one.
    pub addr: SocketAddr,
    /// Where operators reach it.
    pub admin: SocketAddr,
    /// Its failure domain (zone).
    pub domain: Name,
    /// Addresses of nodes that are contacted first; its own may be among them.
    pub seeds: Vec<SocketAddr>,
    /// How many controllers found the fleet; 0 means 2 x `tolerated_failures` + 1.
    pub core_size: usize,
    /// How many lost controllers the fleet tolerates.
    pub tolerated_failures: usize,
    /// Whether this node may take part in founding a fleet; false once the fleet has been started before.
    pub may_found: bool,
    /// How long a router may serve after its last proof that its configuration is current.
    pub freshness_limit: Span,
    /// How long a router may continue while it reaches no controller.
    pub serving_lease: Span,
    /// How room for a wanted model is made.
    pub policy: Policy,
    /// Set if there is a list of runners to be read.
    pub list: Option<ListTiming>,
    /// The protocols of clients, runners and operators.
    pub protocols: Protocols,
    /// How exactly quotas are kept.
    pub quota: QuotaSettings,
}

/// How the placement makes room on full runners for a model that requests want.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Policy {
    /// Moves models and their requests to other runners.
    Move,
    /// Makes no room: requests wait.
    Queue,
    /// Unloads models even if requests are running on them.
    Preempt,
}

fn local_node(settings: &NodeSettings, node: NodeId, role: Role, now: Time) -> LocalNode {
    LocalNode {
        node,
        role,
        domain: settings.domain.clone(),
        addr: settings.addr,
        admin: settings.admin,
        seeds: settings.seeds.iter().copied().filter(|s| *s != settings.addr).collect(),
        is_seed: settings.seeds.contains(&settings.addr),
        core_size: settings.core_size,
        tolerated_failures: settings.tolerated_failures,
        may_found: settings.may_found,
        freshness_limit: settings.freshness_limit,
        serving_lease: settings.serving_lease,
        started: now,
    }
}

/// A router's node.
pub fn router(settings: &NodeSettings, now: Time, mut rand: Box<dyn Rand>) -> Node {
    let mut node = Node::new(local_node(settings, NodeId(rand.next() | 1), Role::Router, now), rand);
    node.add(Box::new(Membership::default()));
    node.add(Box::new(Relay::default()));
    node.add(Box::new(Distribution::new(now)));
    node.add(Box::<crate::rollout::router_reports::RouterReporter>::default());
    node.add(Box::new(crate::placement::placement_client::PlacementClient::default()));
    node.add(Box::new(QuotaClient::new(settings.quota)));
    node
}

/// A controller's node as recovered from `records`, and the records that have to be written first: a new controller's
/// identity.
pub fn controller(
    settings: &NodeSettings,
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
    let mut node = Node::new(local_node(settings, ident, Role::Controller, now), rand);
    let chain = Chain::new(ident, records, now);
    node.add(Box::new(Membership::default()));
    node.add(Box::new(chain));
    node.add(Box::new(ChangeQueue::new(settings.protocols.operator.clone())));
    node.add(Box::new(ServingLeases::default()));
    node.add(Box::new(QuotaOwner::new(settings.quota)));
    node.add(Box::new(Relay::default()));
    node.add(Box::new(Rollout::default()));
    let bare_plain = !settings.protocols.runner.plain_services_report();
    let mut duty = Placement::new(now, settings.policy);
    duty.has_unpolled_plain_runners = bare_plain;
    node.add(Box::new(duty));
    if let Some(timing) = settings.list {
        node.add(Box::new(ListReader::new(now, timing)));
    }
    (node, first)
}
