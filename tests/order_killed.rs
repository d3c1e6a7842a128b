//! The head fails at each moment between the arrival of a change and its answer, and answers are lost. Each change
//! must end up with one outcome that never changes.

#[path = "common/adopt.rs"]
mod adopt;
mod common;

use adopt::OperatorClient;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::{quebec, vanua};
use std::collections::BTreeSet;

/// The step between the moments of failure, from the sending of a change to well after its answer.
const MOMENT_STEP: Span = Span(250);
const MOMENTS: u64 = 120;
/// How long a head is cut off, suspended or down.
const FAILURE_TIME: Span = Span::ms(2500);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    Kill,
    KillAndWipe,
    Cut,
    CutOneWay,
    Freeze,
    KillAll,
}

const FAILURES: [Failure; 6] = [
    Failure::Kill,
    Failure::KillAndWipe,
    Failure::Cut,
    Failure::CutOneWay,
    Failure::Freeze,
    Failure::KillAll,
];

fn inject(client: &mut OperatorClient, head: usize, failure: Failure) {
    let all: Vec<usize> = (0..client.world.nodes.len()).collect();
    match failure {
        Failure::Kill | Failure::KillAndWipe => {
            client.world.kill_node(head);
            if failure == Failure::KillAndWipe {
                client.world.nodes[head].disk.wipe();
            }
            client.world.at(client.world.now + FAILURE_TIME, move |w| w.start_node(head));
        }
        Failure::Cut | Failure::CutOneWay => {
            for n in all.into_iter().filter(|n| *n != head) {
                client.world.cuts.insert((head, n));
                if failure == Failure::Cut {
                    client.world.cuts.insert((n, head));
                }
            }
            client.world.at(client.world.now + FAILURE_TIME, |w| w.cuts.clear());
        }
        Failure::Freeze => client.world.freeze(head, FAILURE_TIME),
        Failure::KillAll => {
            all.iter().for_each(|n| client.world.kill_node(*n));
            client
                .world
                .at(client.world.now + Span::ms(300), move |w| all.iter().for_each(|n| w.start_node(*n)));
        }
    }
}

/// Sends two changes with one revision on one base, lets the head fail at `moment`, and resends both until each has
/// a definite answer.
fn run_case(failure: Failure, moment: u64) -> (u16, u16) {
    let plan = if moment.is_multiple_of(2) { vanua() } else { quebec() };
    let mut client = OperatorClient::start(plan, moment + 1);
    assert_eq!(client.send_and_wait(0, 0, "1 a"), Some(200));
    let (head, routers) = (client.head(), client.world.routers());
    client.send(routers[0], 1, "2 +one");
    client.send(routers[1], 1, "2 +two");
    client.world.run_for(Span(MOMENT_STEP.0 * moment));
    inject(&mut client, head, failure);
    client.world.run_for(Span::ms(1000));
    let one = client.send_until_answered(1, "2 +one");
    let two = client.send_until_answered(1, "2 +two");
    assert!(matches!((one, two), (200, 409) | (409, 200)), "{failure:?} at {moment}: {one} {two}");
    client.world.run_for(FAILURE_TIME);
    assert_eq!(client.send_until_answered(2, "3 +later"), 200);
    assert_eq!(
        (client.send_until_answered(1, "2 +one"), client.send_until_answered(1, "2 +two")),
        (one, two),
        "{failure:?} at {moment}: again"
    );
    client.assert_all_have(if one == 200 { "3 a one later" } else { "3 a two later" });
    (one, two)
}

#[test]
fn given_two_orders_of_one_number_when_the_head_fails_at_any_moment_then_one_is_confirmed_and_stays_so() {
    let stride = if std::env::var("SPINDLEDOCK_MORE").is_ok() { 1 } else { 8 };
    for (n, failure) in FAILURES.into_iter().enumerate() {
        let mut ends = BTreeSet::new();
        for moment in (n as u64..MOMENTS).step_by(stride) {
            ends.insert(run_case(failure, moment));
        }
        println!("{failure:?}: {ends:?}");
    }
}

#[test]
fn given_eight_orders_under_way_when_the_head_fails_and_acks_are_lost_then_each_has_one_end() {
    for (n, failure) in FAILURES.into_iter().enumerate() {
        for moment in [3, 17, 40, 77] {
            let mut client = OperatorClient::start(vanua(), moment + n as u64);
            assert_eq!(client.send_and_wait(0, 0, "2 z"), Some(200));
            let head = client.head();
            for k in [5, 1, 8, 3, 2, 7, 4, 6] {
                client.send((k as usize + n) % 9, 2 * k, &format!("{} +n{k}", 2 * k + 2));
            }
            client.world.run_for(Span(MOMENT_STEP.0 * moment));
            inject(&mut client, head, failure);
            client.world.run_for(Span::ms(500));
            let ends: Vec<u16> =
                (1..9).map(|k| client.send_until_answered(2 * k, &format!("{} +n{k}", 2 * k + 2))).collect();
            let taken = ends.iter().take_while(|end| **end == 200).count();
            assert!(ends[taken..].iter().all(|end| *end == 409), "{failure:?} at {moment}: {ends:?}");
            let again: Vec<u16> =
                (1..9).map(|k| client.send_until_answered(2 * k, &format!("{} +n{k}", 2 * k + 2))).collect();
            assert_eq!(ends, again, "{failure:?} at {moment}");
            client.check_history();
        }
    }
}
