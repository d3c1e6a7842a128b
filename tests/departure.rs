//! A controller that is told to stop leaves the chain only once the others hold what it holds.

mod common;

use common::*;
use spindledock::kernel::time::Span;
use spindledock::sim::World;
use spindledock::sim::steps::GRACE;

const SIZES: [(usize, usize); 4] = [(3, 1), (4, 1), (5, 2), (6, 2)];
const CHANGED: Span = Span::ms(4000);
/// A new tail acknowledges only after the serving leases that the old one may have granted have expired.
const NEW_TAIL: Span = Span::ms(3500);

/// Stops `place` and returns how long the process took to exit.
fn stop(w: &mut World, place: usize) -> Span {
    w.stop_node(place, GRACE);
    let ended = w.until(GRACE + Span::ms(1000), |w| !w.nodes[place].alive);
    ended.expect("a stopped process ends within its grace")
}

#[test]
fn given_a_whole_core_when_any_member_is_stopped_then_it_leaves_in_order_and_soon() {
    seeded(1..4, |seed| {
        for (core, tolerated) in SIZES {
            for spot in 0..core {
                let mut w = settled_core(core, tolerated, seed);
                taken(&mut w, 0, "kept", CHANGED);
                let gone = member_at(&w, spot);
                let (id, rest) = (ident(&w, gone).expect("alive"), (gone + 1) % core);
                let span = stop(&mut w, gone);
                println!("{core}/{spot}: ended after {span}");
                assert!(span < Span::ms(2000), "{core}/{spot}: {span}");
                w.run_for(Span::ms(100));
                let v = view(&w, rest).expect("a view");
                assert!(!v.has(id), "{core}/{spot}: it ended as a member of {v}");
                let votes = v.voters.iter().filter(|n| v.has(**n)).count();
                assert!(votes >= v.majority(), "{core}/{spot}: {v}");
                let passed = core > v.voters.len();
                assert!(!passed || !v.voters.contains(&id), "{core}/{spot}: a vote could be passed on, {v}");
                let due = if spot + 1 == core { NEW_TAIL } else { Span::ms(2000) };
                let span = taken(&mut w, rest, "after", due);
                println!("then a change {span}");
                w.start_node(gone);
                assert!(w.until(Span::ms(5000), |w| w.nodes[gone].ready).is_some(), "{:?}", w.parts(gone));
                sound(&w);
            }
        }
    });
}

#[test]
fn given_a_member_with_the_only_current_copy_when_it_is_stopped_for_good_then_it_waits_for_the_others() {
    seeded(1..9, |seed| {
        let mut w = settled_core(3, 1, seed);
        let spots: Vec<usize> = (0..3).map(|k| member_at(&w, (k + seed as usize) % 3)).collect();
        let [only, wiped, slow] = spots[..] else { panic!("three members") };
        w.nodes[slow].sync = Span::ms(60_000);
        taken(&mut w, only, "kept", CHANGED);
        taken(&mut w, only, "kept-too", CHANGED);
        wipe(&mut w, wiped, Span::ms(300));
        w.run_for(Span::ms(500));
        w.kill_node(slow);
        w.nodes[slow].sync = Span::ms(2);
        w.run_for(Span::ms(300));
        w.start_node(slow);
        w.run_for(Span::ms(40 * seed));
        let span = stop(&mut w, only);
        w.nodes[only].retired = true;
        println!("it stayed {span}");
        assert!(span > Span::ms(500) && span < GRACE, "{span}");
        let span = taken(&mut w, wiped, "after", CHANGED);
        println!("then a change {span}");
        for n in [wiped, slow] {
            assert!(knows(&w, n, "kept") && knows(&w, n, "kept-too"), "{n}: {:?}", w.parts(n));
        }
        sound(&w);
    });
}

#[test]
fn given_a_vote_passed_on_by_one_that_left_when_another_is_lost_at_once_then_changes_go_on() {
    seeded(1..4, |seed| {
        for (core, tolerated, more) in [(4, 1, 1), (6, 2, 2)] {
            for spot in 0..core {
                let mut w = settled_core(core, tolerated, seed);
                taken(&mut w, 0, "kept", CHANGED);
                let spots: Vec<usize> = (0..core).map(|k| member_at(&w, (k + spot) % core)).collect();
                stop(&mut w, spots[0]);
                w.nodes[spots[0]].retired = true;
                for n in &spots[1..1 + more] {
                    lose(&mut w, *n);
                }
                let span = taken(&mut w, spots[core - 1], "after", CHANGED);
                println!("{core}/{spot}: a change {span}");
                sound(&w);
            }
        }
    });
}

#[test]
fn given_a_successor_started_first_when_the_old_one_is_stopped_then_its_vote_and_place_are_taken() {
    seeded(1..7, |seed| {
        for (core, tolerated) in SIZES {
            let mut w = settled_core(core, tolerated, seed);
            taken(&mut w, 0, "kept", CHANGED);
            let old = member_at(&w, seed as usize % core);
            let new = add_controller(&mut w, old);
            w.run_for(Span::ms(300 * seed));
            stop(&mut w, old);
            let gone = ident(&w, old);
            w.nodes[old].retired = true;
            let joined = w.until(CHANGED, |w| w.nodes[new].ready);
            assert!(joined.is_some(), "{core}: {:?}", w.parts(new));
            let v = view(&w, new).expect("a view");
            assert!(v.voters.iter().all(|n| v.has(*n)), "{core}: {gone:?} has kept its vote in {v}");
            let next = w.controllers().into_iter().find(|n| *n != new).expect("another");
            lose(&mut w, next);
            let span = taken(&mut w, new, "after", CHANGED);
            println!("{core}: joined {joined:?}, a change {span}");
            assert!(knows(&w, new, "kept"));
            sound(&w);
        }
    });
}

#[test]
fn given_all_members_stopped_at_once_when_started_again_then_nothing_is_lost() {
    seeded(1..4, |seed| {
        for (core, tolerated) in SIZES {
            let mut w = settled_core(core, tolerated, seed);
            taken(&mut w, 0, "kept", CHANGED);
            let all = w.controllers();
            for n in &all {
                w.stop_node(*n, GRACE);
            }
            let ended = w.until(GRACE, |w| all.iter().all(|n| !w.nodes[*n].alive));
            println!("{core}: all ended after {ended:?}");
            assert!(ended.is_some(), "none waits for the others' return when all were told to stop");
            start_apart(&mut w, &all);
            let back =
                w.until(Span::ms(8000), |w| all.iter().all(|n| w.nodes[*n].alive && w.nodes[*n].ready));
            assert!(back.is_some(), "{core}: {:?}", w.parts(0));
            taken(&mut w, 0, "after", CHANGED);
            assert!(all.iter().all(|n| knows(&w, *n, "kept")));
            sound(&w);
        }
    });
}

#[test]
fn given_members_stopped_and_started_in_turn_when_all_were_then_no_change_was_refused_or_lost() {
    seeded(1..4, |seed| {
        for (core, tolerated) in SIZES {
            let mut w = settled_core(core, tolerated, seed);
            for n in w.controllers() {
                let name = format!("during-{n}");
                w.stop_node(n, GRACE);
                w.run_for(Span::ms(20 * seed));
                let span = taken(&mut w, (n + 1) % core, &name, CHANGED);
                println!("{core}: a change {span}");
                w.until(GRACE, |w| !w.nodes[n].alive).expect("ended");
                w.run_for(Span::ms(500));
                w.start_node(n);
                w.run_for(Span::ms(1000));
            }
            w.run_for(Span::ms(5000));
            let all = w.controllers();
            assert!(all.iter().all(|n| w.nodes[*n].ready && knows(&w, *n, "during-0")));
            sound(&w);
        }
    });
}
