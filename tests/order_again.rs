//! A change that is sent again is acknowledged for as long as it is remembered, and is never refused after it
//! was taken.

#[path = "common/adopt.rs"]
mod adopt;
mod common;

use adopt::{NO_BASE, OperatorClient};
use common::seeded;
use spindledock::fleet::ledger::TAKEN_CAPACITY;
use spindledock::kernel::ids::*;
use spindledock::kernel::rand::Rand;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::vanua;
use spindledock::msg::{Event, OperatorCall};

fn ledger_len(client: &OperatorClient, place: usize) -> usize {
    client.world.nodes[place].node.as_ref().map_or(0, |n| n.views.state.ledger.taken_len())
}

/// Repeats the call at one node until the answer is final.
fn final_answer(client: &mut OperatorClient, place: usize, base: u64, text: &str) -> u16 {
    let ends = (0..10).filter_map(|_| client.send_and_wait(place, base, text));
    ends.into_iter().find(|status| *status < 500).expect("a final answer")
}

/// A whole configuration that builds on revision `base`.
fn whole(base: u64) -> String {
    format!("{} r{base}", base + 1)
}

/// Sends changes that the fleet makes itself, from all nodes to the head.
fn send_internal_changes(client: &mut OperatorClient, count: u64) {
    for n in 0..count {
        let id = ChangeId::random(&mut client.world.rand);
        let place = n as usize % client.world.nodes.len();
        client.world.operate(place, Event::OperatorCall { id, op: OperatorCall::SetRunners(vec![]) });
        client.world.run_for(Span::ms(12));
    }
    client.world.run_for(Span::ms(1000));
}

#[test]
fn given_hundreds_of_changes_and_a_storm_of_internal_ones_when_any_is_sent_again_then_it_is_acknowledged() {
    let mut client = OperatorClient::start(vanua(), 3);
    assert_eq!(client.send_and_wait(0, 0, "1 a"), Some(200));
    for n in 1..300 {
        assert_eq!(client.send_and_wait(n as usize % 9, n, &whole(n)), Some(200));
    }
    send_internal_changes(&mut client, 1200);
    for (n, place) in [(1, 4), (2, 0), (57, 7), (150, 1), (299, 8)] {
        assert_eq!(client.send_and_wait(place, n, &whole(n)), Some(200), "{n} at {place}");
    }
    assert_eq!(client.send_and_wait(5, 0, "1 a"), Some(200));
    client.check_history();
}

#[test]
fn given_an_order_older_than_the_memory_when_sent_again_then_no_answer_refuses_it() {
    let mut client = OperatorClient::start(vanua(), 8);
    let most = TAKEN_CAPACITY as u64 + 20;
    for n in 0..most {
        assert_eq!(final_answer(&mut client, n as usize % 9, n, &whole(n)), 200, "{n}");
    }
    for (n, want) in [(0, 503), (3, 503), (19, 503), (20, 200), (most / 2, 200)] {
        assert_eq!(client.send_and_wait(4, n, &whole(n)), Some(want), "{n}");
    }
    assert_eq!(
        final_answer(&mut client, 5, 7, &format!("{} r", most + 5)),
        409,
        "its revision was never forgotten"
    );
}

#[test]
fn given_a_ledger_when_members_are_wiped_and_all_lose_power_then_each_copy_has_it_again() {
    seeded(1..3, |seed| {
        let mut client = OperatorClient::start(vanua(), seed);
        assert_eq!(client.send_and_wait(0, 0, "1 a"), Some(200));
        for n in 1..40 {
            assert_eq!(client.send_and_wait(3, n, &whole(n)), Some(200));
        }
        send_internal_changes(&mut client, 700);
        for lost in 0..3 {
            client.world.kill_node(lost);
            client.world.nodes[lost].disk.wipe();
            client.world.run_for(Span::ms(3000));
            client.world.start_node(lost);
            assert!(client.world.until(Span::ms(20_000), |w| w.nodes[lost].ready).is_some());
        }
        let all: Vec<usize> = (0..client.world.nodes.len()).collect();
        all.iter().for_each(|n| client.world.kill_node(*n));
        all.iter().for_each(|n| client.world.start_node(*n));
        assert!(client.world.until(Span::ms(20_000), |w| (0..3).all(|n| w.nodes[n].ready)).is_some());
        assert_eq!(client.send_until_answered(0, "1 a"), 200);
        assert_eq!(client.send_until_answered(20, &whole(20)), 200);
        client.world.run_for(Span::ms(2000));
        assert_eq!((0..3).map(|n| ledger_len(&client, n)).collect::<Vec<_>>(), [40, 40, 40]);
    });
}

#[test]
fn given_changes_on_each_others_revisions_when_slow_disks_make_them_wait_long_then_all_are_taken() {
    seeded(1..7, |seed| {
        let mut client = OperatorClient::start(vanua(), seed);
        assert_eq!(client.send_and_wait(0, 0, "2 z"), Some(200));
        for n in client.world.controllers() {
            client.world.nodes[n].sync = Span::ms(90);
        }
        for id in client.send_shuffled(8) {
            assert!(
                matches!(client.wait_for_answer(id, Span::ms(12_000)), Some(200 | 504)),
                "{}",
                client.sent[&id].text
            );
        }
        for n in 1..9 {
            assert_eq!(client.send_until_answered(2 * n, &format!("{} +n{n}", 2 * n + 2)), 200);
        }
        client.assert_all_have("18 z n1 n2 n3 n4 n5 n6 n7 n8");
    });
}

#[test]
fn given_an_order_refused_for_a_base_to_come_when_an_earlier_copy_comes_after_the_base_then_it_stays_refused()
{
    seeded(1..5, |seed| {
        let mut client = OperatorClient::start(vanua(), seed);
        assert_eq!(client.send_and_wait(0, 0, "2 a"), Some(200));
        let entry = client.world.routers()[0];
        for n in client.world.controllers() {
            client.world.cuts.insert((entry, n));
        }
        client.send(entry, 7, "9 +early");
        client.world.run_for(Span::ms(200 * seed));
        assert_eq!(final_answer(&mut client, 4, 7, "9 +early"), 409, "its base never came");
        assert_eq!(final_answer(&mut client, 5, 2, "7 +b"), 200);
        client.world.cuts.clear();
        client.world.run_for(Span::ms(1000));
        assert_eq!(final_answer(&mut client, 0, 7, "9 +early"), 409, "a refusal is final");
        assert_eq!(client.send_and_wait(1, 7, "9 +other"), Some(200));
        client.assert_all_have("9 a b other");
    });
}

#[test]
fn given_a_change_on_no_base_that_was_refused_when_it_would_be_good_later_then_it_stays_refused() {
    let mut client = OperatorClient::start(vanua(), 6);
    assert_eq!(client.send_and_wait(0, 0, "2 a"), Some(200));
    assert_eq!(client.send_and_wait(4, NO_BASE, "bad +x"), Some(400));
    assert_eq!(client.send_and_wait(5, NO_BASE, "bad +x"), Some(400));
    assert_eq!(
        client.send_and_wait(4, NO_BASE, "2 +x"),
        Some(400),
        "its revision is not above the current one"
    );
    assert_eq!(client.send_and_wait(4, NO_BASE, "3 +x"), Some(200));
    assert_eq!(client.send_and_wait(2, NO_BASE, "3 +x"), Some(200), "sent again");
    assert_eq!(client.send_and_wait(2, 2, "3 +x"), Some(409), "another order: it states a base");
    assert_eq!(client.source(0), "3 a x");
}

#[test]
fn given_two_orders_of_the_same_number_and_base_when_sent_at_once_and_again_then_one_is_confirmed() {
    seeded(1..13, |seed| {
        let mut client = OperatorClient::start(vanua(), seed);
        assert_eq!(client.send_and_wait(0, 0, "1 a"), Some(200));
        client.world.slow_net = seed * 3000;
        let places: Vec<usize> = (0..4).map(|_| client.world.rand.below(9) as usize).collect();
        let one = client.send(places[0], 1, "2 +one");
        let two = client.send(places[1], 1, "2 +two");
        let ends =
            [client.wait_for_answer(one, Span::ms(25_000)), client.wait_for_answer(two, Span::ms(25_000))];
        assert!(matches!(ends, [Some(200), Some(409)] | [Some(409), Some(200)]), "{ends:?}");
        let won = if ends[0] == Some(200) { "one" } else { "two" };
        assert_eq!(client.send_and_wait(places[2], 2, "3 +later"), Some(200));
        assert_eq!(client.send_and_wait(places[3], 1, "2 +one"), ends[0], "the same end again");
        assert_eq!(client.send_and_wait(places[2], 1, "2 +two"), ends[1], "the same end again");
        client.assert_all_have(&format!("3 a {won} later"));
    });
}
