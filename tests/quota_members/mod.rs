#![allow(dead_code)]
//! An owner of quotas as a state machine, and a router that asks it.

use spindledock::chain::messages::ChainRole;
use spindledock::chain::view::View;
use spindledock::constraints::QuotaSettings;
use spindledock::constraints::messages::*;
use spindledock::constraints::owner::QuotaOwner;
use spindledock::constraints::ownership::owner_of;
use spindledock::fleet::read::read_text;
use spindledock::fleet::state::FleetState;
use spindledock::kernel::component::LocalNode;
use spindledock::kernel::ids::*;
use spindledock::kernel::node::Node;
use spindledock::kernel::rand::SeededRandom;
use spindledock::kernel::time::{Span, Time};
use spindledock::msg::*;
use std::sync::Arc;

pub const ROUTER: NodeId = NodeId(50);
pub const START: Time = Time(100_000_000);
pub const NODES: [NodeId; 3] = [NodeId(1), NodeId(2), NodeId(3)];

pub fn tenant() -> Name {
    Name::from("t1")
}

/// A view whose tail is not the owner.
pub fn view(no: u64, chain: &[NodeId]) -> View {
    let mut view = View { no: ViewNo(no), chain: chain.to_vec(), voters: NODES.to_vec() };
    let owner = owner_of(&view, &tenant());
    view.chain.sort_by_key(|node| Some(*node) != owner);
    view
}

pub fn state(rate_milli: u64, burst: u64, at: u64) -> Arc<FleetState> {
    let text = format!(
        "{{\"tenants\":[{{\"name\":\"t1\",\"keys\":[\"k\"],\"rate_milli\":{rate_milli},\"burst\":{burst}}}]}}"
    );
    let config = read_text(&text).expect("a sound configuration");
    Arc::new(FleetState { config, config_version: Version(at), at: Version(at), ..FleetState::default() })
}

/// A member of the chain that knows the view and the configuration.
pub fn member(node: NodeId, view: &View) -> Node {
    let address = "10.0.0.1:1".parse().expect("an address");
    let me = LocalNode {
        node,
        role: Role::Controller,
        domain: Name::from("z1"),
        addr: address,
        admin: address,
        seeds: vec![],
        is_seed: false,
        core_size: 0,
        tolerated_failures: 1,
        may_found: false,
        freshness_limit: Span::ms(2000),
        serving_lease: Span::ms(4500),
        started: Time(1),
    };
    let mut node = Node::new(me, Box::new(SeededRandom(node.0)));
    node.add(Box::new(QuotaOwner::new(QuotaSettings::default())));
    install(&mut node, view);
    node.views.apply(&JournalEvent::StateLoaded(state(10_000, 10, 1)));
    node
}

pub fn install(node: &mut Node, view: &View) {
    node.views.apply(&JournalEvent::ViewInstalled(view.clone()));
    let role = ChainRole { view: view.no, ..ChainRole::default() };
    node.views.apply(&JournalEvent::Role(role));
}

pub fn mail(node: &mut Node, now: Time, from: NodeId, msg: ConstraintMsg) -> Vec<ConstraintMsg> {
    sent(node.feed(now, Event::Message { from, fleet: FleetId(0), msg: Msg::Constraint(msg) }))
}

pub fn sent(effects: Vec<Effect>) -> Vec<ConstraintMsg> {
    let constraint = |effect| match effect {
        Effect::Send { msg: Msg::Constraint(msg), .. } => Some(msg),
        _ => None,
    };
    effects.into_iter().filter_map(constraint).collect()
}

/// The tail answers the owner's request at once.
pub fn authorize(node: &mut Node, now: Time) {
    for msg in sent(node.feed(now, Event::Tick)) {
        if let ConstraintMsg::AuthorityRequest { view, sent, .. } = msg {
            mail(node, now, NodeId(9), ConstraintMsg::AuthorityGrant { view, sent });
        }
    }
}

/// Keeps the owner's authority from one time to another.
pub fn authorize_through(node: &mut Node, from: Time, to: Time) {
    let mut now = from;
    while now <= to {
        authorize(node, now);
        now = now + Span::ms(100);
    }
}

pub fn acquire(node: &mut Node, now: Time, key: u64, needed: u32) -> Vec<ConstraintMsg> {
    let rows = vec![AcquireRow { tenant: tenant(), needed, ahead: 0 }];
    mail(node, now, ROUTER, ConstraintMsg::Acquire(Acquire { key: AcquireKey(key), rows }))
}

pub fn tokens(answers: &[ConstraintMsg]) -> u32 {
    let granted = |msg: &ConstraintMsg| match msg {
        ConstraintMsg::Granted { rows, .. } => rows.iter().map(|row| row.tokens).sum(),
        _ => 0,
    };
    answers.iter().map(granted).sum()
}

/// The node that owns the tenant in the view, with authority since long.
pub fn settled_owner(first: &View) -> (Node, Time) {
    let owner = owner_of(first, &tenant()).expect("an owner");
    let mut node = member(owner, first);
    let settled = START + Span::ms(6000);
    authorize_through(&mut node, START, settled);
    (node, settled)
}
