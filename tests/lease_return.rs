//! The tail returns its lease before it expires: a voter then stops waiting for that lease, but for no later one,
//! and the tail ignores grants of the returned lease that arrive late.

use spindledock::chain::core::Chain;
use spindledock::chain::lease::LEASE_HOLD;
use spindledock::chain::view::View;
use spindledock::kernel::component::LocalNode;
use spindledock::kernel::ids::*;
use spindledock::kernel::node::Node;
use spindledock::kernel::rand::SeededRandom;
use spindledock::kernel::time::{Span, Time};
use spindledock::msg::*;

const HEAD: NodeId = NodeId(1);
const MIDDLE: NodeId = NodeId(2);
const TAIL: NodeId = NodeId(3);
const FLEET: FleetId = FleetId(7);
const NOW: Time = Time(50_000_000);
const BALLOT: Ballot = Ballot { round: 1, node: HEAD };

fn first_view() -> View {
    View { no: ViewNo(1), chain: vec![HEAD, MIDDLE, TAIL], voters: vec![HEAD, MIDDLE, TAIL] }
}

/// The view without the tail.
fn next_view() -> View {
    View { no: ViewNo(2), chain: vec![HEAD, MIDDLE], ..first_view() }
}

/// A ready member that has run for a while.
fn member(node: NodeId) -> Node {
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
    let records = vec![
        Record::Ident { node },
        Record::Fleet { fleet: FLEET },
        Record::View { view: first_view() },
        Record::Ready { view: ViewNo(1) },
    ];
    let mut member = Node::new(me, Box::new(SeededRandom(node.0)));
    member.add(Box::new(Chain::new(node, records, Time(1))));
    member.feed(Time(1), Event::Start);
    member
}

fn deliver(member: &mut Node, now: Time, from: NodeId, msg: ChainMsg) -> Vec<Effect> {
    member.feed(now, Event::Message { from, fleet: FLEET, msg: Msg::Chain(msg) })
}

fn grants(effects: &[Effect]) -> bool {
    sends(effects, |msg| matches!(msg, ChainMsg::LeaseGrant { .. }))
}

fn accepts(effects: &[Effect]) -> bool {
    sends(effects, |msg| matches!(msg, ChainMsg::Accepted { .. }))
}

fn sends(effects: &[Effect], wanted: impl Fn(&ChainMsg) -> bool) -> bool {
    effects.iter().any(|e| matches!(e, Effect::Send { msg: Msg::Chain(msg), .. } if wanted(msg)))
}

fn request(sent: Time) -> ChainMsg {
    ChainMsg::LeaseRequest { view: ViewNo(1), sent }
}

fn returned(sent: Time) -> ChainMsg {
    ChainMsg::LeaseReturned { view: ViewNo(1), sent }
}

fn accept() -> ChainMsg {
    ChainMsg::Accept { ballot: BALLOT, view: next_view() }
}

/// A voter that granted the lease requested at `sent`, and has deferred the view without the tail.
fn waiting_voter(sent: Time) -> Node {
    let mut voter = member(MIDDLE);
    assert!(grants(&deliver(&mut voter, NOW, TAIL, request(sent))));
    assert!(!accepts(&deliver(&mut voter, NOW, HEAD, accept())), "the lease may still be in use");
    voter
}

#[test]
fn given_a_view_that_waits_for_a_lease_when_the_lease_is_returned_then_the_view_is_accepted_at_once() {
    let mut voter = waiting_voter(Time(500));
    assert!(accepts(&deliver(&mut voter, NOW + Span::ms(1), TAIL, returned(Time(500)))));
}

#[test]
fn given_a_view_that_waits_for_a_lease_when_an_older_lease_is_returned_late_then_the_newer_one_is_waited_for()
{
    let mut voter = waiting_voter(Time(700));
    assert!(!accepts(&deliver(&mut voter, NOW + Span::ms(1), TAIL, returned(Time(500)))));
    assert!(
        !accepts(&deliver(&mut voter, NOW + Span::ms(2), HEAD, returned(Time(700)))),
        "it is not the head's"
    );
    let still = NOW + Span(LEASE_HOLD.0 - 1);
    assert!(!accepts(&voter.feed(still, Event::Tick)));
    assert!(accepts(&voter.feed(NOW + LEASE_HOLD, Event::Tick)));
}

/// A tail with a lease, and when it requested it.
fn leased_tail() -> (Node, Time) {
    let mut tail = member(TAIL);
    for voter in [HEAD, MIDDLE] {
        let beat =
            ChainMsg::Heartbeat { view: ViewNo(1), has_room: true, is_impaired: false, is_leaving: false };
        deliver(&mut tail, NOW, voter, beat);
    }
    tail.feed(NOW, Event::Tick);
    assert_eq!(tail.views.role.lease_until, Time(0));
    grant(&mut tail, NOW);
    assert!(tail.views.role.lease_until > NOW);
    (tail, NOW)
}

fn grant(tail: &mut Node, sent: Time) {
    for voter in [HEAD, MIDDLE] {
        deliver(tail, NOW + Span::ms(5), voter, ChainMsg::LeaseGrant { view: ViewNo(1), sent });
    }
}

fn prepare() -> ChainMsg {
    ChainMsg::Prepare { view_no: ViewNo(2), ballot: BALLOT, lost_member: Some(TAIL), silence: Span::ms(700) }
}

#[test]
fn given_a_tail_without_room_when_it_is_to_be_left_out_then_it_returns_its_lease_and_uses_no_late_grant() {
    let (mut tail, asked) = leased_tail();
    tail.free_disk_bytes = 0;
    let effects = deliver(&mut tail, NOW + Span::ms(10), HEAD, prepare());
    assert!(sends(&effects, |msg| *msg == returned(asked)), "{effects:?}");
    assert_eq!(tail.views.role.lease_until, Time(0));
    grant(&mut tail, asked);
    assert_eq!(
        tail.views.role.lease_until,
        Time(0),
        "a grant that comes late is of a lease already returned"
    );
}

#[test]
fn given_a_tail_that_can_write_when_another_would_leave_it_out_then_it_keeps_its_lease() {
    let (mut tail, _) = leased_tail();
    let effects = deliver(&mut tail, NOW + Span::ms(10), HEAD, prepare());
    assert!(!sends(&effects, |msg| matches!(msg, ChainMsg::LeaseReturned { .. })));
    assert!(tail.views.role.lease_until > NOW);
}
