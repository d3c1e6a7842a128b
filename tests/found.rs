//! Founding a fleet, once and only once, and finding the other controllers through the seeds.

mod common;

use common::*;
use spindledock::kernel::ids::*;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::{Deployment, quebec, vanua};
use spindledock::msg::Role;
use spindledock::sim::World;
use spindledock::sim::nodes::SimNode;
use std::net::SocketAddr;

const LONG_LIMIT: Span = Span::ms(15_000);

fn with_core(core: usize) -> Deployment {
    Deployment { core, routers: 2, ..vanua() }
}

fn one_fleet(w: &World) {
    let core = w.controllers();
    let first = fleet(w, core[0]);
    assert!(first != FleetId(0) && core.iter().all(|n| fleet(w, *n) == first));
}

#[test]
fn given_shared_seeds_own_among_them_when_started_apart_then_one_fleet_is_founded_in_time() {
    seeded(1..9, |seed| {
        for (core, tolerated, voters) in [(1, 0, 1), (3, 1, 3), (4, 1, 3), (5, 1, 3), (5, 2, 5), (6, 2, 5)] {
            let mut w = bearing(with_core(core), seed, 3.min(core), tolerated);
            settle(&mut w);
            println!("{core} tolerating {tolerated}: {}", w.now.0 / 1000);
            assert!(w.now.0 < 10_000_000, "{core}: {}", w.now.0);
            one_fleet(&w);
            let v = view(&w, 0).expect("a view");
            assert_eq!((v.chain.len(), v.voters.len()), (core, voters), "{v}");
            sound(&w);
        }
    });
}

#[test]
fn given_one_seed_or_two_when_started_then_the_rest_is_found_through_it() {
    seeded(1..7, |seed| {
        for seeds in [1, 2] {
            let mut w = bearing(quebec(), seed, seeds, 1);
            settle(&mut w);
            one_fleet(&w);
        }
    });
}

#[test]
fn given_fewer_controllers_than_the_losses_want_when_no_more_are_heard_of_then_they_found_late() {
    seeded(1..5, |seed| {
        let mut w = bearing(with_core(2), seed, 2, 1);
        let core = w.controllers();
        start_apart(&mut w, &core);
        w.run_for(Span::ms(2300));
        assert!(core.iter().all(|n| fleet(&w, *n) == FleetId(0)), "too early to go without the third");
        assert!(w.until(Span::ms(4000), |w| core.iter().all(|n| w.nodes[*n].ready)).is_some());
        one_fleet(&w);
    });
}

#[test]
fn given_a_fleet_started_before_when_its_machines_come_empty_then_none_founds() {
    seeded(1..4, |seed| {
        let mut w = bearing(vanua(), seed, 3, 1);
        for n in &mut w.nodes {
            n.place.may_found = false;
        }
        w.start_all();
        w.run_for(Span::ms(20_000));
        assert!(w.controllers().iter().all(|n| fleet(&w, *n) == FleetId(0)));
    });
}

#[test]
fn given_a_founder_killed_at_any_moment_when_it_is_back_then_there_is_one_fleet() {
    seeded(1..13, |seed| {
        for lost in 0..4 {
            let mut w = bearing(quebec(), seed, 3, 1);
            w.start_all();
            w.run_for(Span::ms(280 + 17 * seed));
            w.kill_node(lost);
            w.nodes[lost].place.may_found = false;
            w.run_for(Span::ms(60 * seed));
            w.start_node(lost);
            let core = w.controllers();
            let up =
                w.until(Span::ms(30_000), |w| core.iter().all(|n| w.nodes[*n].alive && w.nodes[*n].ready));
            assert!(up.is_some(), "core {lost}: {:?}", core.iter().map(|n| w.parts(*n)).collect::<Vec<_>>());
            one_fleet(&w);
        }
    });
}

#[test]
fn given_four_controllers_when_any_is_lost_and_then_another_then_changes_go_on() {
    seeded(1..4, |seed| {
        for lost in 0..4 {
            let mut w = bearing(quebec(), seed, 3, 1);
            settle(&mut w);
            w.kill_node(lost);
            let span = taken(&mut w, (lost + 1) % 4, "one", Span::ms(4000));
            println!("first loss {span}");
            w.run_for(Span::ms(5000));
            w.kill_node((lost + 2) % 4);
            let span = taken(&mut w, (lost + 1) % 4, "two", Span::ms(4000));
            println!("second loss {span}");
            sound(&w);
        }
    });
}

#[test]
fn given_a_voter_gone_when_an_empty_machine_comes_with_other_seeds_then_it_takes_the_seat() {
    seeded(1..7, |seed| {
        for plan in [vanua(), quebec()] {
            let mut w = bearing(plan, seed, 3, 1);
            settle(&mut w);
            let core = w.controllers();
            let lost = core[(seed % core.len() as u64) as usize];
            taken(&mut w, core[0], "old", LONG_LIMIT);
            w.kill_node(lost);
            w.nodes[lost].retired = true;
            w.run_for(Span::ms(2000));
            let mut place = w.nodes[lost].place.clone();
            place.addr = SocketAddr::from(([10, 0, 0, 9], 1500));
            place.may_found = false;
            place.seeds.retain(|a| *a != w.nodes[lost].place.addr);
            place.seeds.push(place.addr);
            let node = SimNode::new(place, Role::Controller, &mut w.rand);
            w.nodes.push(node);
            let new = w.nodes.len() - 1;
            w.start_node(new);
            let back = w.until(LONG_LIMIT, |w| w.nodes[new].ready);
            println!("joined after {back:?}");
            assert!(back.is_some_and(|s| s < Span::ms(4000)), "{:?}", w.parts(new));
            let gone = ident(&w, lost);
            let v = view(&w, new).expect("a view");
            assert!(gone.is_none_or(|g| !v.voters.contains(&g)), "{v}");
            w.run_for(Span::ms(1000));
            let second = core.iter().copied().find(|n| *n != lost).expect("another");
            w.kill_node(second);
            taken(&mut w, new, "new", Span::ms(4000));
            assert!(knows(&w, new, "old"));
            sound(&w);
        }
    });
}

#[test]
fn given_all_killed_at_once_when_back_within_a_second_or_after_a_power_loss_then_service_is_back_soon() {
    seeded(1..7, |seed| {
        for off in [300, 900, 4000] {
            let mut w = bearing(quebec(), seed, 3, 1);
            settle(&mut w);
            taken(&mut w, 0, "kept", LONG_LIMIT);
            let all: Vec<usize> = (0..w.nodes.len()).collect();
            for n in &all {
                w.kill_node(*n);
                w.nodes[*n].place.may_found = false;
            }
            w.run_for(Span::ms(off));
            start_apart(&mut w, &all);
            let core = w.controllers();
            let up = w.until(LONG_LIMIT, |w| core.iter().all(|n| w.nodes[*n].alive && w.nodes[*n].ready));
            assert!(up.is_some_and(|s| s < Span::ms(2500)), "{up:?}");
            let routers = w.routers();
            let fresh = w.until(LONG_LIMIT, |w| {
                routers.iter().all(|r| w.nodes[*r].table.fresh_routes(w.local(*r)).is_some())
            });
            println!("core {up:?} routers {fresh:?}");
            assert!(fresh.is_some_and(|s| s < Span::ms(3000)), "{fresh:?}");
            taken(&mut w, 0, "after", Span::ms(4000));
            assert!(knows(&w, 0, "kept"));
            sound(&w);
        }
    });
}
