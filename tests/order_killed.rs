//! A head that fails at each moment between taking an order in and answering it, while acks are lost.

#[path = "common/adopt.rs"]
mod adopt;
mod common;

use adopt::Office;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::{quebec, vanua};
use std::collections::BTreeSet;

/// The moments: every quarter of a millisecond from the sending of an order to well after its answer.
const MOMENT: Span = Span(250);
const MOMENTS: u64 = 120;
/// How long a head is cut off or frozen.
const TROUBLE: Span = Span::ms(2500);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    Kill,
    KillAndWipe,
    Cut,
    CutOneWay,
    Freeze,
    KillAll,
}

const TROUBLES: [Trouble; 6] = [
    Trouble::Kill,
    Trouble::KillAndWipe,
    Trouble::Cut,
    Trouble::CutOneWay,
    Trouble::Freeze,
    Trouble::KillAll,
];

fn strike(o: &mut Office, head: usize, trouble: Trouble) {
    let all: Vec<usize> = (0..o.w.nodes.len()).collect();
    match trouble {
        Trouble::Kill | Trouble::KillAndWipe => {
            o.w.kill_node(head);
            if trouble == Trouble::KillAndWipe {
                o.w.nodes[head].disk.wipe();
            }
            o.w.at(o.w.now + TROUBLE, move |w| w.start_node(head));
        }
        Trouble::Cut | Trouble::CutOneWay => {
            for n in all.into_iter().filter(|n| *n != head) {
                o.w.cuts.insert((head, n));
                if trouble == Trouble::Cut {
                    o.w.cuts.insert((n, head));
                }
            }
            o.w.at(o.w.now + TROUBLE, |w| w.cuts.clear());
        }
        Trouble::Freeze => o.w.freeze(head, TROUBLE),
        Trouble::KillAll => {
            all.iter().for_each(|n| o.w.kill_node(*n));
            o.w.at(o.w.now + Span::ms(300), move |w| all.iter().for_each(|n| w.start_node(*n)));
        }
    }
}

/// Two orders under one number on one base; the head is hit at the moment; both are sent again until one has 200.
fn hit(trouble: Trouble, moment: u64) -> (u16, u16) {
    let plan = if moment.is_multiple_of(2) { vanua() } else { quebec() };
    let mut o = Office::open(plan, moment + 1);
    assert_eq!(o.done(0, 0, "1 a"), Some(200));
    let (head, routers) = (o.head(), o.w.routers());
    o.send(routers[0], 1, "2 +one");
    o.send(routers[1], 1, "2 +two");
    o.w.run_for(Span(MOMENT.0 * moment));
    strike(&mut o, head, trouble);
    o.w.run_for(Span::ms(1000));
    let one = o.insist(1, "2 +one");
    let two = o.insist(1, "2 +two");
    assert!(matches!((one, two), (200, 409) | (409, 200)), "{trouble:?} at {moment}: {one} {two}");
    o.w.run_for(TROUBLE);
    assert_eq!(o.insist(2, "3 +later"), 200);
    assert_eq!((o.insist(1, "2 +one"), o.insist(1, "2 +two")), (one, two), "{trouble:?} at {moment}: again");
    o.all_have(if one == 200 { "3 a one later" } else { "3 a two later" });
    (one, two)
}

#[test]
fn given_two_orders_of_one_number_when_the_head_fails_at_any_moment_then_one_is_confirmed_and_stays_so() {
    let stride = if std::env::var("SPINDLEDOCK_MORE").is_ok() { 1 } else { 8 };
    for (n, trouble) in TROUBLES.into_iter().enumerate() {
        let mut ends = BTreeSet::new();
        for moment in (n as u64..MOMENTS).step_by(stride) {
            ends.insert(hit(trouble, moment));
        }
        println!("{trouble:?}: {ends:?}");
    }
}

#[test]
fn given_eight_orders_under_way_when_the_head_fails_and_acks_are_lost_then_each_has_one_end() {
    for (n, trouble) in TROUBLES.into_iter().enumerate() {
        for moment in [3, 17, 40, 77] {
            let mut o = Office::open(vanua(), moment + n as u64);
            assert_eq!(o.done(0, 0, "2 z"), Some(200));
            let head = o.head();
            for k in [5, 1, 8, 3, 2, 7, 4, 6] {
                o.send((k as usize + n) % 9, 2 * k, &format!("{} +n{k}", 2 * k + 2));
            }
            o.w.run_for(Span(MOMENT.0 * moment));
            strike(&mut o, head, trouble);
            o.w.run_for(Span::ms(500));
            let ends: Vec<u16> = (1..9).map(|k| o.insist(2 * k, &format!("{} +n{k}", 2 * k + 2))).collect();
            let taken = ends.iter().take_while(|end| **end == 200).count();
            assert!(ends[taken..].iter().all(|end| *end == 409), "{trouble:?} at {moment}: {ends:?}");
            let again: Vec<u16> = (1..9).map(|k| o.insist(2 * k, &format!("{} +n{k}", 2 * k + 2))).collect();
            assert_eq!(ends, again, "{trouble:?} at {moment}");
            o.judge();
        }
    }
}
