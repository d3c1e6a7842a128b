//! Configurations in the operator's own format: repeated, concurrent, out of order and invalid ones.

#[path = "common/adopt.rs"]
mod adopt;
mod common;

use adopt::OperatorClient;
use common::seeded;
use spindledock::kernel::rand::Rand;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::{quebec, vanua};

#[test]
fn given_a_taken_change_when_sent_again_at_any_node_then_it_is_acknowledged_again_and_changes_nothing() {
    seeded(1..4, |seed| {
        let mut client = OperatorClient::start(vanua(), seed);
        assert_eq!(client.send_and_wait(0, 0, "3 a b"), Some(200));
        assert_eq!(client.send_and_wait(5, 3, "4 +c -a"), Some(200));
        for place in 0..client.world.nodes.len() {
            assert_eq!(client.send_and_wait(place, 0, "3 a b"), Some(200), "at {place}");
            assert_eq!(client.send_and_wait(place, 3, "4 +c -a"), Some(200), "at {place}");
        }
        let head = client.head();
        client.world.kill_node(head);
        assert_eq!(client.send_until_answered(0, "3 a b"), 200);
        client.world.start_node(head);
        client.assert_all_have("4 b c");
    });
}

#[test]
fn given_two_changes_on_one_base_when_sent_at_once_then_exactly_one_wins() {
    seeded(1..9, |seed| {
        let mut client = OperatorClient::start(if seed % 2 == 0 { quebec() } else { vanua() }, seed);
        client.world.slow_net = seed * 4000;
        assert_eq!(client.send_and_wait(1, 0, "5 first"), Some(200));
        let n = client.world.nodes.len() as u64;
        let (a, b) = (client.world.rand.below(n) as usize, client.world.rand.below(n) as usize);
        let one = client.send(a, 5, "8 +one");
        let two = client.send(b, 5, if seed % 3 == 0 { "7 whole" } else { "9 +two" });
        let (one, two) =
            (client.wait_for_answer(one, Span::ms(25_000)), client.wait_for_answer(two, Span::ms(25_000)));
        let won = if one == Some(200) {
            "8 first one"
        } else {
            ["7 whole", "9 first two"][usize::from(seed % 3 != 0)]
        };
        assert!(matches!((one, two), (Some(200), Some(409)) | (Some(409), Some(200))), "{one:?} {two:?}");
        client.assert_all_have(won);
    });
}

#[test]
fn given_eight_changes_on_each_others_revisions_when_sent_at_once_in_any_order_then_all_are_taken() {
    seeded(1..7, |seed| {
        let mut client = OperatorClient::start(vanua(), seed);
        assert_eq!(client.send_and_wait(0, 0, "2 z"), Some(200));
        for id in client.send_shuffled(8) {
            assert_eq!(client.wait_for_answer(id, Span::ms(5000)), Some(200), "{}", client.sent[&id].text);
        }
        client.assert_all_have("18 z n1 n2 n3 n4 n5 n6 n7 n8");
    });
}

#[test]
fn given_a_change_whose_base_is_yet_to_come_when_it_comes_in_time_then_it_is_taken_else_refused_soon() {
    seeded(1..4, |seed| {
        let mut client = OperatorClient::start(vanua(), seed);
        let early = client.send(4, 2, "3 +b");
        client.world.run_for(Span::ms(300));
        assert!(!client.world.answers.contains_key(&early), "it waits for its base");
        assert_eq!(client.send_and_wait(0, 0, "2 a"), Some(200));
        assert_eq!(client.wait_for_answer(early, Span::ms(3000)), Some(200));
        let never = client.send(4, 7, "9 +c");
        assert_eq!(client.wait_for_answer(never, Span::ms(3000)), Some(409), "its base never came");
        assert_eq!(client.send_and_wait(1, 3, "7 +d"), Some(200));
        client.assert_all_have("7 a b d");
    });
}

#[test]
fn given_changes_that_are_refused_when_others_go_on_then_the_refused_are_never_in_force() {
    seeded(1..4, |seed| {
        let mut client = OperatorClient::start(vanua(), seed);
        assert_eq!(client.send_and_wait(0, 0, "5 a"), Some(200));
        for (place, base, text, want) in [
            (3, 5, "no-revision x", 400),
            (1, 5, "5 same", 400),
            (6, 5, "4 older", 400),
            (2, 0, "9 stale", 409),
            (2, 4, "9 +stale", 409),
        ] {
            assert_eq!(client.send_and_wait(place, base, text), Some(want), "{text}");
        }
        assert_eq!(client.send_and_wait(7, 5, "6 +b"), Some(200));
        client.assert_all_have("6 a b");
    });
}

#[test]
fn given_changes_on_no_stated_base_when_sent_one_after_the_other_then_each_builds_on_what_is_in_force() {
    let mut client = OperatorClient::start(vanua(), 2);
    assert_eq!(client.send_and_wait(0, u64::MAX, "1 a"), Some(200));
    assert_eq!(client.send_and_wait(4, u64::MAX, "2 +b"), Some(200));
    assert_eq!(client.send_and_wait(4, u64::MAX, "2 +c"), Some(400));
    assert_eq!(client.source(0), "2 a b");
}
