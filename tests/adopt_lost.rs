#[path = "common/adopt.rs"]
mod adopt;
mod common;

use adopt::Office;
use common::seeded;
use spindledock::fleet::state::Change;
use spindledock::kernel::ids::ChangeId;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::vanua;
use spindledock::msg::Record;
use std::cell::Cell;

/// Whether the log of `place` holds the change, synced or not.
fn logged(o: &Office, place: usize, id: ChangeId) -> bool {
    o.w.nodes[place].disk.records().iter().any(|r| match r {
        Record::Entry { entry } => matches!(&*entry.change, Change::Adopt { id: own, .. } if *own == id),
        _ => false,
    })
}

/// Sends a change and lets the world go on for `after`; whether its head had taken it in and not answered.
fn sent(o: &mut Office, place: usize, base: u64, text: &str, after: Span) -> bool {
    o.w.run_for(Span::ms(2000));
    let head = o.head();
    let id = o.send(place, base, text);
    o.w.run_for(after);
    logged(o, head, id) && !o.w.answers.contains_key(&id)
}

#[test]
fn given_a_head_killed_between_taking_and_answering_when_sent_again_then_the_end_is_one_and_true() {
    let between = Cell::new(0);
    seeded(1..31, |seed| {
        let mut o = Office::open(vanua(), seed);
        assert_eq!(o.done(0, 0, "1 a"), Some(200));
        let place = o.w.routers()[0];
        let head = o.head();
        let at = Span(seed * 300);
        between.set(between.get() + u32::from(sent(&mut o, place, 1, "2 +b", at)));
        o.w.kill_node(head);
        if seed % 3 == 0 {
            o.w.nodes[head].disk.wipe();
        }
        assert_eq!(o.insist(1, "2 +b"), 200, "an order that was taken is never refused");
        o.w.start_node(head);
        assert!(o.w.until(Span::ms(20_000), |w| w.nodes[head].ready).is_some());
        assert_eq!(o.insist(2, "3 +c"), 200);
        o.all_have("3 a b c");
    });
    assert!(between.get() > 3, "the head was hit between taking and answering {} times", between.get());
}

#[test]
fn given_a_head_cut_off_between_taking_and_answering_when_it_returns_then_nothing_slides_back() {
    let between = Cell::new(0);
    seeded(1..21, |seed| {
        let mut o = Office::open(vanua(), seed);
        assert_eq!(o.done(0, 0, "1 a"), Some(200));
        let place = o.w.routers()[1];
        let head = o.head();
        let at = Span(seed * 400);
        between.set(between.get() + u32::from(sent(&mut o, place, 1, "2 +b", at)));
        for n in (0..o.w.nodes.len()).filter(|n| *n != head) {
            o.w.cuts.insert((n, head));
            o.w.cuts.insert((head, n));
        }
        let at_head = o.send(head, 1, "4 +lonely");
        o.w.run_for(Span::ms(3000));
        assert_ne!(o.end(at_head, Span::ms(100)), Some(200), "a head cut off acknowledges nothing");
        let mut status = 0;
        for n in (0..o.w.nodes.len()).filter(|n| *n != head).cycle().take(30) {
            let id = o.send(n, 1, "2 +b");
            status = o.end(id, Span::ms(1500)).unwrap_or(0);
            if status == 200 {
                break;
            }
        }
        assert_eq!(status, 200);
        o.w.cuts.clear();
        assert!(o.w.until(Span::ms(20_000), |w| w.nodes[head].ready).is_some());
        assert_eq!(o.insist(2, "5 +c"), 200);
        o.all_have("5 a b c");
    });
    assert!(between.get() > 3, "the head was cut between taking and answering {} times", between.get());
}

#[test]
fn given_an_acknowledged_change_when_any_one_member_is_lost_at_once_then_it_is_kept() {
    seeded(1..4, |seed| {
        for lost in 0..3 {
            let mut o = Office::open(vanua(), seed);
            assert_eq!(o.done(0, 0, "1 a"), Some(200));
            assert_eq!(o.done(3 + lost, 1, "2 +b"), Some(200));
            o.w.kill_node(lost);
            o.w.nodes[lost].disk.wipe();
            assert_eq!(o.insist(1, "2 +b"), 200);
            assert_eq!(o.insist(2, "3 +c"), 200);
            o.w.start_node(lost);
            assert!(o.w.until(Span::ms(20_000), |w| w.nodes[lost].ready).is_some());
            let next = (lost + 1) % 3;
            o.w.kill_node(next);
            assert_eq!(o.insist(2, "3 +c"), 200, "the one that came back empty carries it on");
            o.w.start_node(next);
            o.all_have("3 a b c");
        }
    });
}

#[test]
fn given_an_acknowledged_change_when_every_node_loses_power_at_once_then_it_is_in_force_again() {
    seeded(1..6, |seed| {
        let mut o = Office::open(vanua(), seed);
        assert_eq!(o.done(0, 0, "1 a"), Some(200));
        assert_eq!(o.done(5, 1, "2 +b"), Some(200));
        let all: Vec<usize> = (0..o.w.nodes.len()).collect();
        all.iter().for_each(|n| o.w.kill_node(*n));
        all.iter().for_each(|n| o.w.start_node(*n));
        assert!(o.w.until(Span::ms(20_000), |w| (0..3).all(|n| w.nodes[n].ready)).is_some());
        assert_eq!(o.insist(1, "2 +b"), 200);
        o.all_have("2 a b");
    });
}
