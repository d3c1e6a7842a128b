//! How often routers send to controllers, by the size of the fleet.

#[path = "common/adopt.rs"]
mod adopt;
#[path = "common/duty.rs"]
mod duty;

use adopt::OperatorClient;
use duty::*;
use spindledock::fleet::config::Class;
use spindledock::fleet::holdings::{HoldingsUpdate, UnmetDemand};
use spindledock::kernel::ids::*;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::vanua;
use spindledock::msg::*;
use spindledock::placement::placement_client::PlacementClient;
use spindledock::rollout::router_reports::RouterReporter;
use std::collections::BTreeMap;
use std::sync::Arc;

const LARGE: u64 = 293;
const SMALL: u64 = 32;
const HEAD: NodeId = NodeId(1);
const STATE_EACH: Span = Span::ms(250);

fn beat(term: u64) -> Msg {
    Msg::Holdings(Arc::new(HoldingsUpdate {
        holder: HOLDER,
        term: Term(term),
        seq: 1,
        whole: false,
        relay: false,
        rows: vec![],
    }))
}

fn state() -> RouterReport {
    RouterReport { routes_version: Version(5), ..RouterReport::default() }
}

/// The reports that a router sends in ten seconds, by receiver.
fn reports(n: u64, routers: u64, holder: bool, state: &RouterReport) -> Vec<(u64, NodeId)> {
    let mut bench = Bench::new(RouterReporter::default(), router(n), Role::Router, routers);
    let mut all = vec![];
    for step in 0..40 {
        bench.now = BEGIN + Span(STATE_EACH.0 * step + 1);
        if holder {
            bench.mail(HOLDER, beat(1));
        }
        let out = bench.feed(Event::RouterState(Arc::new(state.clone())));
        all.extend(sent(&out).map(|(to, _)| (step, to)));
    }
    all
}

#[test]
fn given_32_routers_when_they_tell_of_themselves_then_each_controller_hears_each_four_times_a_second() {
    for holder in [true, false] {
        let all = reports(3, SMALL, holder, &state());
        for node in 1..=CONTROLLERS {
            assert_eq!(all.iter().filter(|row| row.1 == NodeId(node)).count(), 40);
        }
    }
}

#[test]
fn given_293_routers_when_nothing_changes_then_the_holder_hears_each_once_a_second_and_the_others_nothing() {
    let mut in_step: BTreeMap<u64, u64> = BTreeMap::new();
    for n in 0..LARGE {
        let all = reports(n, LARGE, true, &state());
        let to_holder = all.iter().filter(|row| row.1 == HOLDER).count();
        assert!((9..=11).contains(&to_holder), "{to_holder} reports in ten seconds");
        assert!(all.iter().filter(|row| row.1 != HOLDER).all(|row| *row == (0, HEAD)), "{all:?}");
        for (step, _) in all.iter().filter(|row| row.0 > 4) {
            *in_step.entry(*step).or_default() += 1;
        }
    }
    let most = in_step.values().max().copied().unwrap_or(0);
    assert!(
        most <= LARGE / 4 + 40,
        "{most} of {LARGE} routers told of themselves in the same quarter second"
    );
}

#[test]
fn given_293_routers_when_no_holder_is_known_then_no_controller_is_told_in_its_place() {
    let all = reports(9, LARGE, false, &state());
    assert_eq!(all, [(0, HEAD)], "the head alone, of the routes");
}

#[test]
fn given_293_routers_when_a_runner_is_leaving_or_a_change_is_tried_then_the_head_hears_of_it_at_once() {
    let leaving = RouterReport { leaving: vec![Name::from("r7")], ..state() };
    let tried =
        RouterReport { candidate_seen: ChangeId::of_document(DocumentDigest::of(&[b"a"])), ..state() };
    for state in [leaving, tried] {
        let all = reports(9, LARGE, true, &state);
        assert_eq!(all.iter().filter(|row| row.1 == HEAD).count(), 40);
    }
}

#[test]
fn given_293_routers_when_no_holder_is_known_then_wants_wait_and_one_controller_a_second_is_asked() {
    let mut bench = Bench::new(PlacementClient::default(), router(1), Role::Router, LARGE);
    let mut asked = 0;
    let want = UnmetDemand { service: Name::from("s"), name: Name::from("m1"), class: Class::Chat, count: 1 };
    for step in 0..60 {
        bench.now = BEGIN + Span(Span::ms(50).0 * (step + 1));
        let mut out = bench.feed(Event::NameWanted(want.clone()));
        out.extend(bench.feed(Event::Tick));
        assert!(
            !sent(&out).any(|(_, msg)| matches!(msg, Msg::UnmetDemand(_))),
            "no holder is there to be told"
        );
        asked += sent(&out).filter(|(_, msg)| matches!(msg, Msg::HoldingsRequest)).count();
    }
    assert!((1..=4).contains(&asked), "{asked} questions in three seconds");
    let out = bench.mail(HOLDER, beat(1));
    let told: Vec<NodeId> =
        sent(&out).filter(|row| matches!(row.1, Msg::UnmetDemand(_))).map(|row| row.0).collect();
    assert_eq!(told, [HOLDER], "it is told as soon as it makes itself known");
}

#[test]
fn given_a_router_that_passes_holdings_on_when_told_then_the_others_of_its_zone_hear_them_once() {
    let mut bench = Bench::new(PlacementClient::default(), router(1), Role::Router, LARGE);
    let tell =
        HoldingsUpdate { holder: HOLDER, term: Term(1), seq: 1, whole: true, relay: true, rows: vec![] };
    let out = bench.mail(HOLDER, Msg::Holdings(Arc::new(tell)));
    let passed: BTreeMap<NodeId, bool> = held(&out).map(|(to, tell)| (to, tell.relay)).collect();
    let mates: Vec<NodeId> = (0..LARGE).map(router).filter(|to| zone(to.0) == zone(router(1).0)).collect();
    assert_eq!(held(&out).count(), mates.len() - 1);
    assert!(mates.iter().filter(|mate| **mate != router(1)).all(|mate| passed.get(mate) == Some(&false)));
    let again = bench.mail(HOLDER, beat(1));
    assert_eq!(held(&again).count(), 0, "what was passed on is not passed on again");
}

#[test]
fn given_a_change_that_leaves_the_routes_when_it_is_taken_in_then_live_requests_are_not_rehearsed() {
    let mut client = OperatorClient::start(vanua(), 3);
    assert_eq!(client.send_and_wait(0, 0, "3 a b"), Some(200));
    assert_eq!(client.send_and_wait(0, 3, "4 a b"), Some(200));
    let head = client.head();
    let node = client.world.nodes[head].node.as_ref().expect("the head is up");
    let stages = node.views.state.outcomes.iter().flat_map(|outcome| &outcome.stages);
    let notes: Vec<&str> =
        stages.filter(|stage| stage.name == "rehearse").map(|stage| stage.note.as_str()).collect();
    assert!(notes[0].contains("planned="), "{notes:?}");
    assert!(notes[1].contains("unchanged"), "{notes:?}");
}
