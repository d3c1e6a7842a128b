//! Configurations in the operator's own format while members are killed, cut off, wiped or lose power: a call that
//! was sent again has one outcome, and an acknowledged one is never lost.

#[path = "common/adopt.rs"]
mod adopt;
mod common;

use adopt::OperatorClient;
use common::seeded;
use spindledock::fleet::state::Change;
use spindledock::kernel::ids::ChangeId;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::vanua;
use spindledock::msg::Record;
use std::cell::Cell;

/// Whether the log of `place` holds the change, synced or not.
fn logged(client: &OperatorClient, place: usize, id: ChangeId) -> bool {
    client.world.nodes[place].disk.records().iter().any(|r| match r {
        Record::Entry { entry } => matches!(&*entry.change, Change::Adopt { id: own, .. } if *own == id),
        _ => false,
    })
}

/// Sends a change and runs the world for `after`. Returns whether its head had logged it by then without an answer.
fn sent(client: &mut OperatorClient, place: usize, base: u64, text: &str, after: Span) -> bool {
    client.world.run_for(Span::ms(2000));
    let head = client.head();
    let id = client.send(place, base, text);
    client.world.run_for(after);
    logged(client, head, id) && !client.world.answers.contains_key(&id)
}

#[test]
fn given_a_head_killed_between_taking_and_answering_when_sent_again_then_the_end_is_one_and_true() {
    let between = Cell::new(0);
    seeded(1..31, |seed| {
        let mut client = OperatorClient::start(vanua(), seed);
        assert_eq!(client.send_and_wait(0, 0, "1 a"), Some(200));
        let place = client.world.routers()[0];
        let head = client.head();
        let at = Span(seed * 300);
        between.set(between.get() + u32::from(sent(&mut client, place, 1, "2 +b", at)));
        client.world.kill_node(head);
        if seed % 3 == 0 {
            client.world.nodes[head].disk.wipe();
        }
        assert_eq!(client.send_until_answered(1, "2 +b"), 200, "an order that was taken is never refused");
        client.world.start_node(head);
        assert!(client.world.until(Span::ms(20_000), |w| w.nodes[head].ready).is_some());
        assert_eq!(client.send_until_answered(2, "3 +c"), 200);
        client.assert_all_have("3 a b c");
    });
    assert!(between.get() > 3, "the head was hit between taking and answering {} times", between.get());
}

#[test]
fn given_a_head_cut_off_between_taking_and_answering_when_it_returns_then_nothing_slides_back() {
    let between = Cell::new(0);
    seeded(1..21, |seed| {
        let mut client = OperatorClient::start(vanua(), seed);
        assert_eq!(client.send_and_wait(0, 0, "1 a"), Some(200));
        let place = client.world.routers()[1];
        let head = client.head();
        let at = Span(seed * 400);
        between.set(between.get() + u32::from(sent(&mut client, place, 1, "2 +b", at)));
        for n in (0..client.world.nodes.len()).filter(|n| *n != head) {
            client.world.cuts.insert((n, head));
            client.world.cuts.insert((head, n));
        }
        let at_head = client.send(head, 1, "4 +lonely");
        client.world.run_for(Span::ms(3000));
        assert_ne!(
            client.wait_for_answer(at_head, Span::ms(100)),
            Some(200),
            "a head cut off acknowledges nothing"
        );
        let mut status = 0;
        for n in (0..client.world.nodes.len()).filter(|n| *n != head).cycle().take(30) {
            let id = client.send(n, 1, "2 +b");
            status = client.wait_for_answer(id, Span::ms(1500)).unwrap_or(0);
            if status == 200 {
                break;
            }
        }
        assert_eq!(status, 200);
        client.world.cuts.clear();
        assert!(client.world.until(Span::ms(20_000), |w| w.nodes[head].ready).is_some());
        assert_eq!(client.send_until_answered(2, "5 +c"), 200);
        client.assert_all_have("5 a b c");
    });
    assert!(between.get() > 3, "the head was cut between taking and answering {} times", between.get());
}

#[test]
fn given_an_acknowledged_change_when_any_one_member_is_lost_at_once_then_it_is_kept() {
    seeded(1..4, |seed| {
        for lost in 0..3 {
            let mut client = OperatorClient::start(vanua(), seed);
            assert_eq!(client.send_and_wait(0, 0, "1 a"), Some(200));
            assert_eq!(client.send_and_wait(3 + lost, 1, "2 +b"), Some(200));
            client.world.kill_node(lost);
            client.world.nodes[lost].disk.wipe();
            assert_eq!(client.send_until_answered(1, "2 +b"), 200);
            assert_eq!(client.send_until_answered(2, "3 +c"), 200);
            client.world.start_node(lost);
            assert!(client.world.until(Span::ms(20_000), |w| w.nodes[lost].ready).is_some());
            let next = (lost + 1) % 3;
            client.world.kill_node(next);
            assert_eq!(
                client.send_until_answered(2, "3 +c"),
                200,
                "the one that came back empty carries it on"
            );
            client.world.start_node(next);
            client.assert_all_have("3 a b c");
        }
    });
}

#[test]
fn given_an_acknowledged_change_when_every_node_loses_power_at_once_then_it_is_in_force_again() {
    seeded(1..6, |seed| {
        let mut client = OperatorClient::start(vanua(), seed);
        assert_eq!(client.send_and_wait(0, 0, "1 a"), Some(200));
        assert_eq!(client.send_and_wait(5, 1, "2 +b"), Some(200));
        let all: Vec<usize> = (0..client.world.nodes.len()).collect();
        all.iter().for_each(|n| client.world.kill_node(*n));
        all.iter().for_each(|n| client.world.start_node(*n));
        assert!(client.world.until(Span::ms(20_000), |w| (0..3).all(|n| w.nodes[n].ready)).is_some());
        assert_eq!(client.send_until_answered(1, "2 +b"), 200);
        client.assert_all_have("2 a b");
    });
}
