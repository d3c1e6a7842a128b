//! Serving leases: how long routers keep serving while no controller answers, and that no request is served by an
//! old configuration for longer than the freshness limit after a newer one was acknowledged.

mod common;

use common::{ident, seeded, sound, view};
use spindledock::distribution::reader::{FRESHNESS_LIMIT, SERVING_LEASE};
use spindledock::kernel::time::{Span, Time};
use spindledock::launch::deployment::vanua;
use spindledock::sim::World;
use spindledock::sim::hurts::drop_only;
use spindledock::sim::record::Fact;
use spindledock::standin::tally::End;

const OUTAGE: Span = Span::ms(5000);

fn loaded(seed: u64, lease: Span) -> World {
    let mut w = World::build(vanua(), seed);
    w.nodes.iter_mut().for_each(|n| n.place.serving_lease = lease);
    w.found_fleet();
    w.load_models(10);
    let id =
        w.config_op(0, w.plan.config().replace("\"rollout\":{", "\"rollout\":{\"refused_percent\":100,"));
    assert_eq!(w.answer(id, Span::ms(10_000)), Some(200));
    w
}

fn member(w: &World, tail: bool) -> usize {
    let v = view(w, 0).expect("a view");
    let node = if tail { v.tail() } else { v.head() };
    w.controllers().into_iter().find(|n| ident(w, *n) == node).expect("alive")
}

fn stale_refusals(w: &World) -> Vec<Time> {
    let stale = |f: &Fact| matches!(f, Fact::Ended { end: End::Refused, code, .. } if code == "not-fresh");
    w.record.rows.iter().filter(|r| stale(&r.1)).map(|r| r.0).collect()
}

/// Kills all controllers for `OUTAGE`. Returns for how long requests were refused, and how many.
fn refused_span(seed: u64, lease: Span) -> (Span, usize) {
    let mut w = loaded(seed, lease);
    w.traffic(10, 4.0, Span::ms(15_000));
    w.run_for(Span::ms(2000));
    for n in w.controllers() {
        w.kill_node(n);
        w.at(w.now + OUTAGE, move |w| w.start_node(n));
    }
    w.run_for(Span::ms(60_000));
    sound(&w);
    let all = stale_refusals(&w);
    let span = all.last().map_or(Span(0), |last| last.since(all[0]));
    (span, all.len())
}

#[test]
fn given_a_core_that_is_dark_for_five_seconds_when_routers_hold_leases_then_they_refuse_for_less() {
    seeded(1..4, |seed| {
        let (before, after) = (refused_span(seed, FRESHNESS_LIMIT), refused_span(seed, SERVING_LEASE));
        println!("dark 5 s: refused for {} ({}), with leases {} ({})", before.0, before.1, after.0, after.1);
        assert!(before.0 > Span::ms(2500), "without leases it is felt: {}", before.0);
        assert!(after.0 + Span::ms(1500) < before.0, "{} and {}", before.0, after.0);
        assert!(after.1 < before.1);
    });
}

/// Cuts one router off from all other nodes while it holds a lease, then applies `damage_core` and drops a route.
fn cut_off_router(seed: u64, damage_core: impl Fn(&mut World)) -> World {
    let mut w = loaded(seed, SERVING_LEASE);
    w.traffic(10, 4.0, Span::ms(25_000));
    w.run_for(Span::ms(2000 + 37 * seed));
    let alone = w.routers()[(seed % 6) as usize];
    let alone = if alone == w.routers()[0] { w.routers()[1] } else { alone };
    for other in (0..w.nodes.len()).filter(|n| *n != alone) {
        w.cuts.insert((alone, other));
        w.cuts.insert((other, alone));
    }
    damage_core(&mut w);
    drop_only(&mut w);
    w.run_for(Span::ms(12_000));
    w.cuts.clear();
    w.run_for(Span::ms(50_000));
    w
}

fn check_dropped_route(w: &World) {
    let dropped =
        w.record.rows.iter().any(|r| matches!(&r.1, Fact::Ended { code, .. } if code == "unknown-model"));
    assert!(dropped, "the drop must have been in force");
    sound(w);
}

#[test]
fn given_a_router_cut_off_with_a_lease_when_a_route_is_dropped_then_the_acknowledgement_waits_for_it() {
    seeded(1..7, |seed| {
        let w = cut_off_router(seed, |_| {});
        check_dropped_route(&w);
        let most = SERVING_LEASE + Span::ms(1000);
        let asked = w.record.rows.iter().rev().find(|r| matches!(r.1, Fact::Asked { .. })).expect("asked");
        let Fact::Asked { id, .. } = asked.1 else { return };
        let end = w
            .record
            .rows
            .iter()
            .find(|r| matches!(r.1, Fact::Answered { id: i, status: 200, .. } if i == id));
        let took = end.expect("it is acknowledged").0.since(asked.0);
        println!("acknowledged after {took}");
        assert!(took + FRESHNESS_LIMIT <= most, "an acknowledgement waits for what a lease may run: {took}");
    });
}

#[test]
fn given_a_router_cut_off_with_a_lease_when_the_tail_is_lost_then_the_new_tail_waits_for_it_too() {
    seeded(1..7, |seed| {
        let w = cut_off_router(seed, |w| {
            let tail = member(w, true);
            w.kill_node(tail);
            w.run_for(Span::ms(1200));
        });
        check_dropped_route(&w);
    });
}

#[test]
fn given_a_router_cut_off_with_a_lease_when_the_core_restarts_then_its_tail_waits_for_it_too() {
    seeded(1..7, |seed| {
        let w = cut_off_router(seed, |w| {
            for n in w.controllers() {
                w.kill_node(n);
                w.start_node(n);
            }
            w.run_for(Span::ms(300));
        });
        check_dropped_route(&w);
    });
}

#[test]
fn given_routers_that_are_all_well_when_a_change_comes_then_it_is_acknowledged_as_fast_as_without_leases() {
    seeded(1..4, |seed| {
        let took = |lease: Span| {
            let mut w = loaded(seed, lease);
            w.run_for(Span::ms(4000));
            let all: Vec<u64> = (0..10)
                .map(|k| {
                    w.run_for(Span::ms(300));
                    common::taken(&mut w, 4, &format!("fast{k}"), Span::ms(3000)).as_ms()
                })
                .collect();
            all.iter().sum::<u64>() / all.len() as u64
        };
        let (without, with) = (took(FRESHNESS_LIMIT), took(SERVING_LEASE));
        println!("a change takes {without} ms without leases, {with} ms with them");
        assert!(with <= without + 100, "{without} {with}");
    });
}

#[test]
fn given_a_router_that_restarts_when_it_holds_a_new_lease_then_its_earlier_life_holds_nothing_up() {
    seeded(1..5, |seed| {
        let mut w = loaded(seed, SERVING_LEASE);
        w.run_for(Span::ms(4000));
        let router = w.routers()[2];
        w.kill_node(router);
        w.run_for(Span::ms(300));
        w.start_node(router);
        w.run_for(Span::ms(900));
        let took = common::taken(&mut w, 4, "soon", Span::ms(3000));
        println!("taken after {took}");
        assert!(took < Span::ms(700), "{took}");
        sound(&w);
    });
}
