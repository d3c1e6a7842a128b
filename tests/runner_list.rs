//! Requests to a runner stop in time once the list of runners shows it as leaving, whichever controller fails, is
//! cut off or is slow; and the list is read no more often than needed.

mod common;

use common::{seeded, sound};
use spindledock::kernel::ids::*;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::{Deployment, vanua};
use spindledock::sim::World;
use spindledock::sim::record::Fact;
use spindledock::sim::whatif::place_of;

/// A fleet whose controllers read a list of runners, under traffic for 30 s.
fn listed_fleet(core: usize, seed: u64) -> World {
    let mut w = World::build(Deployment { core, ..vanua() }, seed);
    w.offer_list();
    w.found_fleet();
    w.load_models(10);
    w.traffic(10, 4.0, Span::ms(30_000));
    w.run_for(Span::ms(2000));
    w
}

fn holder(w: &World) -> usize {
    place_of(w, "holder").expect("a holder of the placement duty")
}

/// After `wait` the list shows two runners as leaving; traffic goes on past the time by which it must stop.
fn drain_and_judge(mut w: World, wait: Span) {
    w.run_for(wait);
    for name in ["p1", "a1"] {
        w.drain_runner(&Name::from(name));
    }
    w.run_for(Span::ms(9000));
    assert!(runs_after_drain(&w) > 0, "the runners were in use when they began to leave");
    sound(&w);
}

fn runs_after_drain(w: &World) -> usize {
    let shown = w.record.rows.iter().position(|row| matches!(row.1, Fact::ListShowsLeaving { .. }));
    let began = |row: &&(_, Fact)| matches!(row.1, Fact::RunBegan { .. });
    w.record.rows.iter().skip(shown.unwrap_or(usize::MAX)).filter(began).count()
}

fn cut_off(w: &mut World, place: usize) {
    for other in w.controllers().into_iter().filter(|c| *c != place) {
        w.cuts.insert((place, other));
        w.cuts.insert((other, place));
    }
}

#[test]
fn given_all_is_well_when_a_runner_is_listed_as_leaving_then_requests_stop_in_time() {
    seeded(1..4, |seed| drain_and_judge(listed_fleet(3, seed), Span::ms(300)));
}

#[test]
fn given_the_reader_of_the_list_frozen_when_a_runner_is_listed_as_leaving_then_requests_stop_in_time() {
    seeded(1..6, |seed| {
        let mut w = listed_fleet(3, seed);
        let reader = holder(&w);
        w.freeze(reader, Span::ms(8000));
        drain_and_judge(w, Span::ms(100 * seed));
    });
}

#[test]
fn given_the_reader_of_the_list_killed_when_a_runner_is_listed_as_leaving_then_requests_stop_in_time() {
    seeded(1..6, |seed| {
        let mut w = listed_fleet(3, seed);
        let reader = holder(&w);
        w.kill_node(reader);
        drain_and_judge(w, Span::ms(100 * seed));
    });
}

#[test]
fn given_the_reader_cut_off_from_the_core_when_a_runner_is_listed_as_leaving_then_requests_stop_in_time() {
    seeded(1..6, |seed| {
        let mut w = listed_fleet(3, seed);
        let reader = holder(&w);
        cut_off(&mut w, reader);
        drain_and_judge(w, Span::ms(100 * seed));
    });
}

#[test]
fn given_the_reader_heard_by_none_of_the_core_when_a_runner_is_listed_as_leaving_then_requests_stop_in_time()
{
    seeded(1..6, |seed| {
        let mut w = listed_fleet(3, seed);
        let reader = holder(&w);
        for other in w.controllers().into_iter().filter(|c| *c != reader) {
            w.cuts.insert((reader, other));
        }
        drain_and_judge(w, Span::ms(100 * seed));
    });
}

#[test]
fn given_the_reader_cut_off_from_the_list_when_a_runner_is_listed_as_leaving_then_requests_stop_in_time() {
    seeded(1..6, |seed| {
        let mut w = listed_fleet(3, seed);
        let reader = holder(&w);
        w.list.as_mut().expect("a list").cut.insert(reader);
        drain_and_judge(w, Span::ms(100 * seed));
    });
}

#[test]
fn given_the_reader_cut_off_from_all_routers_when_a_runner_is_listed_as_leaving_then_requests_stop_in_time() {
    seeded(1..6, |seed| {
        let mut w = listed_fleet(3, seed);
        let reader = holder(&w);
        for router in w.routers() {
            w.cuts.insert((reader, router));
            w.cuts.insert((router, reader));
        }
        drain_and_judge(w, Span::ms(100 * seed));
    });
}

#[test]
fn given_most_of_the_core_frozen_when_a_runner_is_listed_as_leaving_then_requests_stop_in_time() {
    seeded(1..6, |seed| {
        let mut w = listed_fleet(3, seed);
        let last = (holder(&w) + 1 + seed as usize % 2) % 3;
        for controller in w.controllers().into_iter().filter(|c| *c != last) {
            w.freeze(controller, Span::ms(8000));
        }
        drain_and_judge(w, Span::ms(100 * seed));
    });
}

#[test]
fn given_every_commit_held_up_by_slow_disks_when_a_runner_is_listed_as_leaving_then_requests_stop_in_time() {
    seeded(1..6, |seed| {
        let mut w = listed_fleet(3, seed);
        for controller in w.controllers() {
            w.nodes[controller].sync = Span::ms(6000);
        }
        drain_and_judge(w, Span::ms(100 * seed));
    });
}

fn calls_at_rest(core: usize) -> usize {
    let mut w = listed_fleet(core, 7);
    let before = w.list.as_ref().expect("a list").calls.len();
    w.run_for(Span::ms(20_000));
    w.list.as_ref().expect("a list").calls.len() - before
}

#[test]
fn given_a_calm_fleet_when_there_are_more_controllers_then_the_list_is_read_no_more_often() {
    let few = calls_at_rest(3);
    let many = calls_at_rest(7);
    assert!(few <= 25 && many <= few + 1, "{few} reads by 3 controllers, {many} by 7, in 20 s");
}

#[test]
fn given_a_list_that_turns_all_calls_away_when_it_answers_again_then_calls_stayed_few_and_requests_stop() {
    seeded(1..4, |seed| {
        let mut w = listed_fleet(3, seed);
        w.list.as_mut().expect("a list").refuses = true;
        let before = w.list.as_ref().expect("a list").calls.len();
        w.run_for(Span::ms(8000));
        let list = w.list.as_mut().expect("a list");
        list.refuses = false;
        assert!(list.calls.len() - before <= 3 * 10, "{} calls of 3 controllers", list.calls.len() - before);
        drain_and_judge(w, Span::ms(100 * seed));
    });
}

#[test]
fn given_a_list_that_answers_late_when_a_runner_is_listed_as_leaving_then_requests_stop_in_time() {
    seeded(1..4, |seed| {
        let mut w = listed_fleet(3, seed);
        w.list.as_mut().expect("a list").slow = Span::ms(900);
        drain_and_judge(w, Span::ms(100 * seed));
    });
}
