//! Slow, stalled and full disks of controllers: changes are acknowledged in time as long as enough members
//! can write, and a member returns once its disk works again.

mod common;

use common::*;
use spindledock::kernel::ids::*;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::{Deployment, quebec, vanua};
use spindledock::msg::OperatorCall;
use spindledock::sim::World;

const CHANGE_LIMIT: Span = Span::ms(3000);
const RECOVERY_LIMIT: Span = Span::ms(15_000);

fn member_at(w: &World, position: usize) -> usize {
    let v = view(w, 0).expect("a view");
    let node = v.chain.get(position).copied();
    w.controllers().into_iter().find(|n| ident(w, *n) == node).expect("a member")
}

fn rejoins(w: &mut World, victim: usize, name: &str) {
    let gone = ident(w, victim).expect("alive");
    let back = w.until(RECOVERY_LIMIT, |w| {
        let other = w.controllers().into_iter().find(|n| *n != victim).unwrap_or(0);
        w.nodes[victim].ready && view(w, other).is_some_and(|v| v.has(gone))
    });
    assert!(back.is_some(), "{:?}", w.parts(victim));
    w.run_for(Span::ms(1500));
    assert!(w.controllers().into_iter().all(|n| knows(w, n, name)), "{name} is everywhere");
}

fn at_each_position(story: impl Fn(&mut World, usize, u64)) {
    seeded(1..5, |seed| {
        for plan in [vanua(), quebec()] {
            for position in 0..plan.core {
                let mut w = bearing(plan.clone(), seed, 3, 1);
                settle(&mut w);
                w.run_for(Span::ms(1000 + 130 * seed));
                let victim = member_at(&w, position);
                story(&mut w, victim, seed);
                sound(&w);
            }
        }
    });
}

#[test]
fn given_a_disk_that_stalls_when_a_change_comes_then_it_is_taken_without_it_and_it_joins_again() {
    at_each_position(|w, victim, seed| {
        w.nodes[victim].sync = Span::ms(6000);
        w.run_for(Span::ms(10 * seed));
        let span = taken(w, 5, "stalled", CHANGE_LIMIT);
        println!("acknowledged {span}");
        w.run_for(Span::ms(300));
        let span = taken(w, 5, "second", CHANGE_LIMIT);
        println!("acknowledged second {span}");
        let span = taken(w, victim, "third", CHANGE_LIMIT);
        println!("acknowledged through it {span}");
        w.nodes[victim].sync = Span::ms(2);
        w.run_for(Span::ms(6000));
        rejoins(w, victim, "third");
    });
}

#[test]
fn given_a_full_disk_when_a_change_comes_then_another_takes_its_place_until_there_is_room() {
    at_each_position(|w, victim, _| {
        let (lives, gone) = (w.nodes[victim].life, ident(w, victim).expect("alive"));
        w.nodes[victim].disk.set_full(true);
        let span = taken(w, 5, "full", CHANGE_LIMIT);
        println!("acknowledged {span}");
        let other = w.controllers().into_iter().find(|n| *n != victim).expect("another");
        assert!(view(w, other).is_some_and(|v| !v.has(gone)), "it steps out");
        w.run_for(Span::ms(5000));
        assert_eq!(w.nodes[victim].life, lives, "it waits for room and does not start over and over");
        w.nodes[victim].disk.set_full(false);
        rejoins(w, victim, "full");
    });
}

#[test]
fn given_all_disks_full_when_a_change_comes_then_it_is_refused_and_nothing_is_half_done() {
    seeded(1..4, |seed| {
        let mut w = bearing(vanua(), seed, 3, 1);
        settle(&mut w);
        for n in w.controllers() {
            w.nodes[n].disk.set_full(true);
        }
        w.run_for(Span::ms(400));
        let id = patch(&mut w, 4, "full");
        assert_eq!(w.answer(id, Span::ms(5000)), Some(507), "{:?}", w.answers.get(&id));
        for n in w.controllers() {
            w.nodes[n].disk.set_full(false);
        }
        w.run_for(Span::ms(400));
        taken(&mut w, 4, "room", CHANGE_LIMIT);
        assert!((0..3).all(|n| !knows(&w, n, "full")));
        sound(&w);
    });
}

#[test]
fn given_a_disk_thirty_times_slower_when_changes_come_then_each_is_taken_in_time() {
    for own in [1, 5] {
        at_each_position(|w, victim, _| {
            for n in w.controllers() {
                w.nodes[n].sync = Span::ms(own);
            }
            w.nodes[victim].sync = Span::ms(30 * own);
            for k in 0..4 {
                let span = taken(w, 5, &format!("slow{k}"), CHANGE_LIMIT);
                println!("{own} ms x 30: {span}");
            }
            let v = view(w, victim).expect("a view");
            assert!(ident(w, victim).is_some_and(|n| v.has(n)), "slow is not lost");
        });
    }
}

#[test]
fn given_every_disk_slow_when_changes_come_then_each_is_taken_in_time() {
    seeded(1..5, |seed| {
        let mut w = bearing(quebec(), seed, 3, 1);
        settle(&mut w);
        for n in w.controllers() {
            w.nodes[n].sync = Span::ms(130);
        }
        for k in 0..4 {
            let span = taken(&mut w, 5, &format!("slow{k}"), Span::ms(4000));
            println!("all slow: {span}");
        }
        sound(&w);
    });
}

#[test]
fn given_one_copy_left_when_a_change_was_under_way_then_it_is_not_acknowledged_before_a_second_is_synced() {
    seeded(1..9, |seed| {
        let mut w = bearing(Deployment { core: 3, ..vanua() }, seed, 3, 1);
        settle(&mut w);
        let (head, last) = (member_at(&w, 0), member_at(&w, 2));
        let middle = member_at(&w, 1);
        w.kill_node(last);
        w.until(CHANGE_LIMIT, |w| view(w, head).is_some_and(|v| v.chain.len() == 2)).expect("mended");
        w.nodes[middle].sync = Span::ms(9000);
        let name = Name::from("a1");
        let id = w.ask(5, OperatorCall::MarkLeaving(name.clone()));
        w.run_for(Span::ms(40 * seed));
        w.start_node(last);
        let told = w.until(Span::ms(5000), |w| w.answers.contains_key(&id));
        assert_eq!(
            w.answers.get(&id).map(|a| a.status),
            Some(200),
            "{told:?} {:?}",
            w.answers.get(&id).map(|a| &a.body)
        );
        let holds = |n: &usize| {
            let node = w.nodes[*n].node.as_ref();
            node.is_some_and(|x| x.views.state.runner(&name).is_some_and(|r| r.leaving))
        };
        let copies = w.controllers().iter().filter(|n| **n != middle && holds(n)).count();
        println!("told after {told:?} with {copies} copies");
        assert!(copies >= 2, "acknowledged with {copies}");
        w.nodes[middle].sync = Span::ms(2);
        w.run_for(RECOVERY_LIMIT);
        sound(&w);
    });
}

#[test]
fn given_a_disk_that_takes_most_of_a_second_when_it_lasts_then_its_node_does_not_come_and_go() {
    seeded(1..4, |seed| {
        let mut w = bearing(vanua(), seed, 3, 1);
        settle(&mut w);
        let victim = member_at(&w, (seed % 3) as usize);
        w.nodes[victim].sync = Span::ms(900);
        let before = highest_view(&w);
        for k in 0..20 {
            let span = taken(&mut w, 5, &format!("slow{k}"), CHANGE_LIMIT);
            println!("nearly a second: {span}");
            w.run_for(Span::ms(1000));
        }
        let more = highest_view(&w) - before;
        println!("views {more}");
        assert!(more <= 6, "{more}");
        w.nodes[victim].sync = Span::ms(2);
        rejoins(&mut w, victim, "slow19");
        sound(&w);
    });
}

fn highest_view(w: &World) -> usize {
    w.controllers().into_iter().filter_map(|n| view(w, n)).map(|v| v.no.0 as usize).max().unwrap_or(0)
}
