//! No runner is ordered to load more than fits in its memory, also if reports leave out as much as those of
//! the platform's runners.

mod common;

use common::maps::{MODELS, calls, open};
use common::{seeded, sound};
use spindledock::kernel::rand::mix;
use spindledock::kernel::time::Span;
use spindledock::sim::World;
use spindledock::sim::record::Fact;

fn rare(n: u64) -> (String, Option<String>) {
    (format!("m{:02}", mix(n + 1) % MODELS), None)
}

/// A filled fleet whose runners report only what they hold; loads take `factor` times as long as configured.
fn filled_world(adapters: u64, seed: u64, factor: u64) -> World {
    let mut w = open(adapters, seed);
    for r in &mut w.runners {
        r.stock.terse = true;
        r.stock.load_factor = factor;
    }
    w
}

fn holder(w: &World) -> Option<usize> {
    w.nodes.iter().position(|n| !n.watch.is_empty() && n.alive)
}

/// Kills the duty holder and restarts it 2 s later.
fn kill_holder(w: &mut World) {
    let Some(place) = holder(w) else { return };
    w.kill_node(place);
    w.at(w.now + Span::ms(2000), move |w| w.start_node(place));
}

fn loads(w: &World) -> usize {
    let taken = |f: &Fact| matches!(f, Fact::Ordered { load: true, status: 200..=299, .. });
    w.record.rows.iter().filter(|r| taken(&r.1)).count()
}

#[test]
fn given_a_load_of_its_predecessor_when_a_new_holder_orders_then_no_runner_is_ordered_over_its_room() {
    seeded(1..13, |seed| {
        let mut w = filled_world(0, seed, 6);
        let before = loads(&w);
        calls(&mut w, "/rare", 8, 4, Span::ms(60_000), rare);
        for round in 0..4 {
            w.run_for(Span::ms(9000 + seed * 170 + round * 310));
            kill_holder(&mut w);
        }
        w.run_for(Span::ms(20_000));
        assert!(loads(&w) - before >= 8, "loads went on: {}", loads(&w) - before);
        sound(&w);
    });
}

#[test]
fn given_orders_that_are_held_up_on_their_way_when_they_arrive_late_then_no_runner_is_ordered_over_its_room()
{
    seeded(1..13, |seed| {
        let mut w = filled_world(24, seed, 1);
        let before = loads(&w);
        w.slow_order = 14_000_000;
        calls(&mut w, "/rare", 6, 3, Span::ms(50_000), rare);
        let tuned = |n: u64| ("m00".to_string(), Some(format!("m00/a{}", mix(n + 5) % 24)));
        calls(&mut w, "/chat", 4, 2, Span::ms(50_000), tuned);
        for _ in 0..3 {
            w.run_for(Span::ms(14_000 + seed * 130));
            kill_holder(&mut w);
        }
        w.run_for(Span::ms(25_000));
        assert!(loads(&w) - before >= 8, "loads went on: {}", loads(&w) - before);
        let over = w.record.rows.iter().filter(|r| matches!(r.1, Fact::Overfull { .. })).count();
        assert_eq!(over, 0, "orders over a runner's room");
    });
}

/// How long a restarted duty holder may take to order again.
const ORDERS_AGAIN: Span = Span::ms(2500);

#[test]
fn given_a_holder_that_restarts_when_it_still_holds_the_duty_then_it_orders_soon_and_room_and_store_hold() {
    seeded(1..13, |seed| {
        let mut w = filled_world(0, seed, 2);
        calls(&mut w, "/rare", 8, 4, Span::ms(60_000), rare);
        w.run_for(Span::ms(9000 + seed * 170));
        for round in 0..4 {
            let place = holder(&w).expect("one holds the duty");
            w.kill_node(place);
            w.run_for(Span::ms(100));
            w.start_node(place);
            let (back, before) = (w.now, loads(&w));
            let again = w.until(Span::ms(9000), |w| loads(w) > before);
            assert!(again.is_some(), "seed {seed}: no load after the holder's return");
            let took = w.now.since(back);
            assert!(
                took <= ORDERS_AGAIN,
                "seed {seed}: the first load came {took} after the holder's return"
            );
            w.run_for(Span::ms(4000 + round * 310));
        }
        sound(&w);
    });
}
