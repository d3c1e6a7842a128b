//! The membership component alone, as a state machine: its effects after each message.

use spindledock::kernel::component::LocalNode;
use spindledock::kernel::ids::*;
use spindledock::kernel::node::Node;
use spindledock::kernel::rand::SeededRandom;
use spindledock::kernel::time::{Span, Time};
use spindledock::membership::service::{Membership, PING_INTERVAL, SUSPECT_AFTER};
use spindledock::msg::*;
use std::net::SocketAddr;

const OWN: NodeId = NodeId(11);
const STRANGER: NodeId = NodeId(12);
const KNOWN: NodeId = NodeId(13);
const BEGIN: Time = Time(1_000_000_000);
/// A digest that no table of these tests has.
const OTHER_DIGEST: u64 = 7;

fn addr(node: NodeId) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, node.0 as u8], 7000))
}

fn member(node: NodeId) -> Member {
    let domain = Name::from("zone");
    Member { node, role: Role::Router, domain, addr: addr(node), admin: addr(node) }
}

fn router(now: Time) -> Node {
    let me = LocalNode {
        node: OWN,
        role: Role::Router,
        domain: Name::from("zone"),
        addr: addr(OWN),
        admin: addr(OWN),
        seeds: vec![],
        is_seed: false,
        core_size: 3,
        tolerated_failures: 1,
        may_found: true,
        freshness_limit: Span::ms(1000),
        serving_lease: Span::ms(3000),
        started: now,
    };
    let mut node = Node::new(me, Box::new(SeededRandom(1)));
    node.add(Box::new(Membership::default()));
    node.feed(now, Event::Start);
    node
}

fn deliver(node: &mut Node, now: Time, from: NodeId, msg: Msg) -> Vec<Effect> {
    node.feed(now, Event::Message { from, fleet: FleetId(0), msg })
}

fn ping(who: &[NodeId], digest: u64) -> Msg {
    let claim = |node: &NodeId| Claim { who: member(*node), is_live: true, age: Span(0) };
    Msg::Ping(Box::new(Gossip { digest, rows: who.iter().map(claim).collect(), ..Gossip::default() }))
}

fn full_exchange_requests(effects: &[Effect]) -> Vec<NodeId> {
    let asked = |effect: &Effect| match effect {
        Effect::Send { to, msg: Msg::GossipRequest } => Some(*to),
        _ => None,
    };
    effects.iter().filter_map(asked).collect()
}

fn names_itself(effects: &[Effect], to: NodeId) -> Option<bool> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send { to: whom, msg: Msg::Ping(g) | Msg::Pong(g) } if *whom == to => {
            Some(g.rows.iter().any(|claim| claim.who.node == OWN))
        }
        _ => None,
    })
}

#[test]
fn given_a_partner_without_an_address_when_its_digest_differs_then_one_that_can_be_reached_is_asked() {
    let mut node = router(BEGIN);
    deliver(&mut node, BEGIN, KNOWN, ping(&[KNOWN], OTHER_DIGEST));
    deliver(&mut node, BEGIN, STRANGER, ping(&[], OTHER_DIGEST));
    let mut asked = vec![];
    for round in 1..10 {
        let now = BEGIN + Span(PING_INTERVAL.0 * round);
        asked.extend(full_exchange_requests(&deliver(&mut node, now, STRANGER, ping(&[], OTHER_DIGEST))));
        asked.extend(full_exchange_requests(&deliver(
            &mut node,
            now + Span::ms(1),
            KNOWN,
            ping(&[], OTHER_DIGEST),
        )));
    }
    assert!(!asked.contains(&STRANGER), "a message to a node without an address reaches nobody: {asked:?}");
    assert!(asked.contains(&KNOWN), "the one that can be reached is asked");
}

#[test]
fn given_a_partner_that_does_not_answer_when_it_is_pinged_then_each_message_says_who_sends_it() {
    let mut node = router(BEGIN);
    let first = deliver(&mut node, BEGIN, KNOWN, ping(&[KNOWN], OTHER_DIGEST));
    assert!(names_itself(&first, KNOWN).is_some(), "a ping is answered");
    let mut names_sender = vec![];
    for round in 1..=20 {
        let now = BEGIN + SUSPECT_AFTER + Span(PING_INTERVAL.0 * round);
        names_sender.extend(names_itself(&node.feed(now, Event::Tick), KNOWN));
    }
    assert!(names_sender.len() > 2, "it is pinged on: {names_sender:?}");
    assert!(names_sender.iter().all(|named| *named), "and told each time who pings: {names_sender:?}");
}

#[test]
fn given_a_partner_that_answers_when_nothing_changes_then_messages_stay_short() {
    let mut node = router(BEGIN);
    deliver(&mut node, BEGIN, KNOWN, ping(&[KNOWN], OTHER_DIGEST));
    let mut names_sender = vec![];
    for round in 1..=20 {
        let now = BEGIN + Span(PING_INTERVAL.0 * round);
        let digest = 0;
        names_sender.extend(names_itself(&node.feed(now, Event::Tick), KNOWN));
        deliver(&mut node, now + Span::ms(1), KNOWN, ping(&[], digest));
    }
    assert!(names_sender.len() > 2, "it is pinged on: {names_sender:?}");
    assert!(names_sender[2..].iter().all(|named| !named), "nothing is repeated: {names_sender:?}");
}
