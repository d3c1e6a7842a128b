mod common;

use common::*;
use spindledock::kernel::ids::*;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::{Deployment, vanua};
use spindledock::sim::World;

const LONG: Span = Span::ms(15_000);

fn boot(core: usize, bear: usize, seed: u64) -> World {
    let mut w = bearing(Deployment { core, routers: 3, ..vanua() }, seed, 3, bear);
    settle(&mut w);
    w.run_for(Span::ms(1000 + 70 * seed));
    w
}

fn at(w: &World, spot: usize) -> usize {
    let v = view(w, 0).expect("a view");
    let node = v.chain.get(spot).copied();
    w.controllers().into_iter().find(|n| ident(w, *n) == node).expect("a member")
}

fn cut(w: &mut World, from: &[usize], to: &[usize]) {
    for a in from {
        for b in to.iter().filter(|b| *b != a) {
            w.cuts.insert((*a, *b));
        }
    }
}

fn others(w: &World, one: usize) -> Vec<usize> {
    w.controllers().into_iter().filter(|n| *n != one).collect()
}

fn serves(w: &World, places: &[usize]) -> bool {
    places.iter().any(|n| {
        let node = w.nodes[*n].node.as_ref();
        w.nodes[*n].frozen_until <= w.now && node.is_some_and(|x| x.views.role.lease_until > w.local(*n))
    })
}

fn each_spot(due: Span, hurt: impl Fn(&mut World, usize)) {
    seeded(1..4, |seed| {
        for (core, bear) in [(3, 1), (4, 1), (5, 2), (6, 2)] {
            for spot in 0..core {
                let mut w = boot(core, bear, seed);
                let gone = at(&w, spot);
                let rest = others(&w, gone);
                let lost = ident(&w, gone).expect("alive");
                hurt(&mut w, gone);
                let since = w.now;
                let done = w.until(due, |w| rest.iter().all(|n| view(w, *n).is_some_and(|v| !v.has(lost))));
                assert!(done.is_some(), "{core}/{spot} {:?} {:?}", view(&w, rest[0]), w.parts(rest[0]));
                assert!(w.until(due, |w| serves(w, &rest)).is_some(), "{core}/{spot}: no term");
                println!("{core}/{spot} view and term after {}", w.now.since(since));
                assert!(w.now.since(since) <= due, "{core}/{spot} {}", w.now.since(since));
                let span = taken(&mut w, rest[0], "after", Span::ms(3000));
                println!("then a change {span}");
                w.cuts.clear();
                w.run_for(LONG);
                let bids = views(&w);
                w.run_for(LONG);
                assert_eq!(views(&w), bids, "the view stands still once all is well");
                sound(&w);
            }
        }
    });
}

fn views(w: &World) -> usize {
    w.controllers().into_iter().filter_map(|n| view(w, n)).map(|v| v.no.0 as usize).max().unwrap_or(0)
}

#[test]
fn given_a_member_killed_when_the_rest_goes_on_then_it_has_a_view_and_a_term_in_time() {
    each_spot(Span::ms(1500), |w, gone| w.kill_node(gone));
}

#[test]
fn given_a_member_frozen_when_it_thaws_then_it_serves_nothing_old_and_the_rest_went_on() {
    each_spot(Span::ms(1500), |w, gone| w.freeze(gone, Span::ms(9000)));
}

#[test]
fn given_a_member_cut_from_the_others_when_they_go_on_then_it_acknowledges_nothing() {
    each_spot(Span::ms(1500), |w, gone| {
        let rest = others(w, gone);
        cut(w, &[gone], &rest);
        cut(w, &rest, &[gone]);
    });
}

#[test]
fn given_a_member_that_hears_all_and_is_heard_by_none_when_cut_then_the_rest_goes_on() {
    each_spot(Span::ms(1500), |w, gone| {
        let rest = others(w, gone);
        cut(w, &[gone], &rest);
    });
}

#[test]
fn given_a_member_that_hears_none_and_is_heard_by_all_when_cut_then_the_rest_goes_on() {
    each_spot(Span::ms(2500), |w, gone| {
        let rest = others(w, gone);
        cut(w, &rest, &[gone]);
    });
}

#[test]
fn given_one_link_cut_one_way_when_a_change_comes_then_it_is_taken_all_the_same() {
    seeded(1..4, |seed| {
        for (core, bear) in [(3, 1), (4, 1), (5, 2)] {
            for from in 0..core {
                for to in (0..core).filter(|n| *n != from) {
                    let mut w = boot(core, bear, seed);
                    let (a, b) = (at(&w, from), at(&w, to));
                    cut(&mut w, &[a], &[b]);
                    w.run_for(Span::ms(50 * seed));
                    let span = taken(&mut w, 5, "one-way", Span::ms(2500));
                    println!("{core}: {from} to {to} {span}");
                    w.run_for(Span::ms(8000));
                    let span = taken(&mut w, 5, "later", Span::ms(3600));
                    println!("{core}: {from} to {to} later {span}");
                    w.cuts.clear();
                    let all = w.controllers();
                    let back = w.until(LONG, |w| all.iter().all(|n| w.nodes[*n].ready));
                    assert!(back.is_some(), "{core}: {from} to {to}: all join again");
                    sound(&w);
                }
            }
        }
    });
}

#[test]
fn given_one_link_cut_both_ways_when_it_lasts_then_the_view_settles_and_changes_go_on() {
    seeded(1..4, |seed| {
        for (core, bear) in [(3, 1), (4, 1), (5, 2)] {
            for from in 0..core {
                for to in from + 1..core {
                    let mut w = boot(core, bear, seed);
                    let (a, b) = (at(&w, from), at(&w, to));
                    cut(&mut w, &[a], &[b]);
                    cut(&mut w, &[b], &[a]);
                    let span = taken(&mut w, 5, "cut", Span::ms(3600));
                    println!("{core}: {from} and {to} {span}");
                    w.run_for(Span::ms(6000));
                    let before = views(&w);
                    w.run_for(LONG);
                    let more = views(&w) - before;
                    println!("{core}: {from} and {to} views {more}");
                    assert!(more <= core, "the view turns over and over: {more}");
                    taken(&mut w, 5, "later", Span::ms(3600));
                    w.cuts.clear();
                    let all = w.controllers();
                    assert!(w.until(LONG, |w| all.iter().all(|n| w.nodes[*n].ready)).is_some());
                    sound(&w);
                }
            }
        }
    });
}

#[test]
fn given_all_links_of_the_core_cut_when_joined_again_then_all_speak_again() {
    seeded(1..6, |seed| {
        for (core, bear) in [(3, 1), (4, 1), (5, 2), (6, 2)] {
            let mut w = boot(core, bear, seed);
            let all = w.controllers();
            cut(&mut w, &all, &all);
            w.run_for(Span::ms(1000 + 700 * seed));
            assert!(!serves(&w, &all), "nobody serves alone");
            w.cuts.clear();
            let back = w.until(Span::ms(3000), |w| serves(w, &all));
            println!("{core} back {back:?}");
            assert!(back.is_some(), "{:?}", w.parts(0));
            taken(&mut w, 0, "joined", Span::ms(4000));
            sound(&w);
        }
    });
}

#[test]
fn given_a_minority_cut_off_when_both_sides_are_asked_then_only_the_majority_acknowledges() {
    seeded(1..6, |seed| {
        for (core, bear) in [(3, 1), (5, 2), (6, 2)] {
            let mut w = boot(core, bear, seed);
            let few: Vec<usize> =
                (0..bear).map(|k| at(&w, if seed % 2 == 0 { k } else { core - 1 - k })).collect();
            let many: Vec<usize> = w.controllers().into_iter().filter(|n| !few.contains(n)).collect();
            cut(&mut w, &few, &many);
            cut(&mut w, &many, &few);
            let alone = patch(&mut w, few[0], "alone");
            let span = taken(&mut w, many[0], "many", Span::ms(3600));
            println!("{core}: {span}");
            w.run_for(Span::ms(6000));
            assert!(!serves(&w, &few), "the few serve nothing");
            assert!(w.answers.get(&alone).is_none_or(|a| a.status != 200));
            w.cuts.clear();
            let all = w.controllers();
            assert!(w.until(LONG, |w| all.iter().all(|n| w.nodes[*n].ready)).is_some());
            assert_ne!(fleet(&w, few[0]), FleetId(0));
            sound(&w);
        }
    });
}
