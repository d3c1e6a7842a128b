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

/// The longest time from a holder's loss until its successor orders.
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

/// Where the deputy runs.
fn deputy(w: &World) -> Option<usize> {
    let place = place_of(w, "holder")?;
    let duty = w.nodes[place].node.as_ref()?.views.state.duty.clone()?;
    let node = duty.deputy?.node;
    w.nodes.iter().position(|n| n.node.as_ref().is_some_and(|x| x.me.node == node))
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
        assert!(first.since(lost) <= GAP_MOST, "lost at {lost:?}, first order at {first:?}");
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

/// Cuts a node off from the other controllers, both ways; runners and routers still hear it.
fn cut_off(w: &mut World, node: usize) {
    for other in w.controllers().into_iter().filter(|other| *other != node) {
        w.cuts.extend([(node, other), (other, node)]);
    }
}

#[test]
fn given_a_holder_that_is_cut_off_when_its_deputy_follows_then_orders_go_out_within_a_second() {
    orders_soon_after(cut_off);
}

/// The longest time without an order, from `from` on.
fn longest_pause(w: &World, from: Time) -> Span {
    let is_order = |fact: &Fact| matches!(fact, Fact::Ordered { .. });
    let orders = w.record.rows.iter().filter(|row| row.0 >= from && is_order(&row.1)).map(|row| row.0);
    let mut times = vec![from];
    times.extend(orders);
    times.push(w.now);
    let pauses = times.windows(2).map(|pair| pair[1].since(pair[0]));
    pauses.max().unwrap_or(Span(0))
}

#[test]
fn given_a_deputy_that_is_lost_when_another_takes_its_place_then_orders_go_on_within_two_seconds() {
    seeded(1..6, |seed| {
        let mut w = busy(seed);
        let holder = place_of(&w, "holder").expect("a holder");
        let deputy = deputy(&w).expect("a deputy");
        assert_ne!(holder, deputy);
        let lost = w.now;
        w.kill_node(deputy);
        w.run_for(Span::ms(8000));
        sound(&w);
        let pause = longest_pause(&w, lost);
        println!("longest pause {pause}");
        assert!(pause <= Span::ms(2000), "{pause} without an order");
        assert_eq!(next_term(&w, lost), None, "the duty stays where it is");
    });
}

#[test]
fn given_holders_that_are_lost_one_after_the_other_when_they_come_back_then_turns_at_a_runner_stay_apart() {
    seeded(1..9, |seed| {
        let mut w = busy(seed);
        for loss in 0..5u64 {
            let Some(holder) = place_of(&w, "holder") else { continue };
            match (loss + seed) % 3 {
                0 => w.freeze(holder, Span::ms(2000)),
                1 => w.operate(holder, Event::Warned),
                _ => w.kill_node(holder),
            }
            w.run_for(Span::ms(700 + 300 * ((seed + loss) % 5)));
            if !w.nodes[holder].alive {
                w.start_node(holder);
            }
            w.run_for(Span::ms(500));
        }
        w.run_for(Span::ms(12_000));
        sound(&w);
    });
}
