//! How long nobody orders while names wait, after the placement duty's holder is lost.

mod common;

use common::maps::{MODELS, calls, maps, open_with};
use common::{seeded, sound};
use spindledock::kernel::rand::mix;
use spindledock::kernel::time::{Span, Time};
use spindledock::msg::Event;
use spindledock::sim::World;
use spindledock::sim::record::Fact;
use spindledock::sim::whatif::place_of;

/// The longest time from a successor's naming until it orders.
const GAP_MOST: Span = Span::ms(1000);

fn rare(n: u64) -> (String, Option<String>) {
    (format!("m{:02}", 2 + mix(n + 1) % (MODELS - 2)), None)
}

/// A fleet with more models than places, all wanted by turns, whose holder orders all the time. The store allows as
/// many loads as the large laboratory's.
fn busy(seed: u64) -> World {
    let mut plan = maps(0);
    let text = plan.text.take().expect("a configuration");
    let rate = "\"loads_per_minute\":216,\"burst\":4,\"window_ms\":5000,\"most\":22,\"at_once\":6";
    let wide = "\"loads_per_minute\":4500,\"burst\":40,\"window_ms\":5000,\"most\":415,\"at_once\":0";
    assert!(text.contains(rate));
    plan.text = Some(text.replace(rate, wide));
    let mut w = open_with(plan, seed);
    calls(&mut w, "/rare", 10, 6, Span::ms(30_000), rare);
    w.run_for(Span::ms(9000));
    w
}

/// When a successor was first named after `from`.
fn named(w: &World, from: Time) -> Option<Time> {
    let is_naming = |fact: &Fact| matches!(fact, Fact::Told { what, .. } if what.starts_with("duty-"));
    w.record.rows.iter().find(|row| row.0 >= from && is_naming(&row.1)).map(|row| row.0)
}

/// The term of the newest order before `at`, and when the first one of a later term came.
fn next_term(w: &World, at: Time) -> Option<(u64, Time)> {
    let orders = w.record.rows.iter().filter_map(|(t, fact)| match fact {
        Fact::Ordered { term, .. } => Some((*t, *term)),
        _ => None,
    });
    let orders: Vec<(Time, u64)> = orders.collect();
    let old = orders.iter().rev().find(|row| row.0 <= at)?.1;
    orders.iter().find(|row| row.1 > old).map(|row| (row.1, row.0))
}

fn orders_soon_after(lose: impl Fn(&mut World, usize)) {
    seeded(1..6, |seed| {
        let mut w = busy(seed);
        let holder = place_of(&w, "holder").expect("a holder");
        let lost = w.now;
        lose(&mut w, holder);
        w.run_for(Span::ms(15_000));
        sound(&w);
        let named = named(&w, lost).expect("a successor is named");
        let (term, first) = next_term(&w, lost).expect("the successor orders");
        println!("named after {}, under {term} from {} on", named.since(lost), first.since(lost));
        assert!(first.since(named) <= GAP_MOST, "named at {named:?}, first order at {first:?}");
    });
}

#[test]
fn given_a_holder_that_is_killed_when_its_deputy_follows_then_orders_go_out_within_a_second() {
    orders_soon_after(|w, holder| w.kill_node(holder));
}

#[test]
fn given_a_holder_that_freezes_when_its_deputy_follows_then_orders_go_out_within_a_second() {
    orders_soon_after(|w, holder| w.freeze(holder, Span::ms(6000)));
}

#[test]
fn given_a_holder_that_is_warned_when_its_deputy_follows_then_orders_go_out_within_a_second() {
    orders_soon_after(|w, holder| {
        w.operate(holder, Event::Warned);
        w.run_for(Span::ms(2000));
        w.kill_node(holder);
    });
}
