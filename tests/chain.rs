//! The chain as a whole: losses, splits, replaced machines and restores, each followed by a change that must
//! succeed.

mod common;

use common::{seeded, sound};
use spindledock::chain::recovery::restore_as_only;
use spindledock::kernel::disk::Disk;
use spindledock::kernel::ids::*;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::{quebec, vanua};
use spindledock::msg::{OperatorCall, Role};
use spindledock::sim::World;
use spindledock::sim::nodes::SimNode;
use std::net::SocketAddr;

fn patch(w: &mut World, place: usize, name: &str) -> ChangeId {
    let text = format!("{{\"models\":[{{\"name\":\"{name}\",\"weight_mb\":9}}]}}");
    w.ask(place, OperatorCall::PatchConfig { base: None, text })
}

/// Sends a change and expects it to be accepted.
fn taken(w: &mut World, place: usize, name: &str) {
    let id = patch(w, place, name);
    assert_eq!(w.answer(id, Span::ms(20_000)), Some(200), "{name}: {:?}", w.answers.get(&id));
}

fn knows(w: &World, place: usize, name: &str) -> bool {
    let node = w.nodes[place].node.as_ref();
    node.is_some_and(|n| n.views.state.config.model(&Name::from(name)).is_some())
}

/// Cuts all links between the nodes in `some` and the others.
fn split(w: &mut World, some: &[usize]) {
    for a in 0..w.nodes.len() {
        for b in 0..w.nodes.len() {
            if some.contains(&a) != some.contains(&b) {
                w.cuts.insert((a, b));
            }
        }
    }
}

#[test]
fn given_either_deployment_when_any_one_core_machine_is_lost_then_changes_go_on_and_are_kept() {
    for plan in [vanua(), quebec()] {
        seeded(1..3, |seed| {
            for lost in 0..plan.core {
                let mut w = World::boot(plan.clone(), seed);
                taken(&mut w, 0, "before");
                w.kill_node(lost);
                let other = (lost + 1) % plan.core;
                taken(&mut w, other, "after");
                w.start_node(lost);
                let back = w.until(Span::ms(15_000), |w| w.nodes[lost].ready);
                assert!(back.is_some(), "core {lost} joins again");
                w.run_for(Span::ms(500));
                assert!(knows(&w, lost, "before") && knows(&w, lost, "after"));
                sound(&w);
            }
        });
    }
}

#[test]
fn given_four_core_machines_when_split_evenly_then_neither_half_takes_a_change() {
    seeded(1..4, |seed| {
        let mut w = World::boot(quebec(), seed);
        let half: Vec<usize> = [0, 1].into_iter().chain(w.routers().into_iter().take(4)).collect();
        split(&mut w, &half);
        w.run_for(Span::ms(3000));
        let ids = [patch(&mut w, 0, "left"), patch(&mut w, 2, "right")];
        for id in ids {
            let got = w.answer(id, Span::ms(25_000));
            assert!(matches!(got, Some(503 | 504)), "{got:?}");
        }
        w.cuts.clear();
        w.run_for(Span::ms(5000));
        taken(&mut w, 0, "whole");
        sound(&w);
    });
}

#[test]
fn given_a_core_machine_lost_for_good_when_an_empty_one_comes_at_another_address_then_it_takes_the_seat() {
    seeded(1..5, |seed| {
        let mut w = World::boot(vanua(), seed);
        taken(&mut w, 0, "old");
        let lost = (seed % 3) as usize;
        w.kill_node(lost);
        w.run_for(Span::ms(2000));
        let mut place = w.nodes[lost].place.clone();
        place.addr = SocketAddr::from(([10, 0, 0, 9], 1500));
        let node = SimNode::new(place, Role::Controller, &mut w.rand);
        w.nodes.push(node);
        let new = w.nodes.len() - 1;
        w.start_node(new);
        assert!(w.until(Span::ms(15_000), |w| w.nodes[new].ready).is_some(), "{:?}", w.parts(new));
        w.run_for(Span::ms(500));
        assert!(knows(&w, new, "old"));
        let second = (lost + 1) % 3;
        w.kill_node(second);
        taken(&mut w, new, "new");
        sound(&w);
    });
}

#[test]
fn given_seed_machines_exchanged_one_by_one_when_all_are_new_then_it_is_the_same_fleet() {
    seeded(1..4, |seed| {
        let mut w = World::boot(vanua(), seed);
        taken(&mut w, 0, "old");
        let fleet = w.nodes[0].node.as_ref().expect("alive").views.fleet;
        for n in 0..3 {
            w.kill_node(n);
            w.nodes[n].disk.wipe();
            w.run_for(Span::ms(1500));
            w.start_node(n);
            assert!(w.until(Span::ms(15_000), |w| w.nodes[n].ready).is_some(), "{:?}", w.parts(n));
        }
        for n in 0..3 {
            assert_eq!(w.nodes[n].node.as_ref().expect("alive").views.fleet, fleet);
            assert!(knows(&w, n, "old"));
        }
        taken(&mut w, 1, "new");
        sound(&w);
    });
}

#[test]
fn given_all_core_disks_lost_when_empty_machines_start_then_no_second_fleet_is_founded() {
    seeded(1..4, |seed| {
        let mut w = World::boot(vanua(), seed);
        taken(&mut w, 0, "old");
        let fleet = w.nodes[4].node.as_ref().expect("alive").views.fleet;
        for n in 0..3 {
            w.kill_node(n);
            w.nodes[n].disk.wipe();
        }
        for n in 0..3 {
            w.start_node(n);
        }
        w.run_for(Span::ms(30_000));
        for n in 0..3 {
            let seen = w.nodes[n].node.as_ref().expect("alive").views.fleet;
            assert_eq!(seen, fleet, "it joins the known fleet and waits");
            assert!(!w.nodes[n].ready);
        }
    });
}

#[test]
fn given_one_disk_left_when_it_is_restored_by_the_operators_word_then_the_fleet_goes_on_from_it() {
    seeded(1..4, |seed| {
        let mut w = World::boot(vanua(), seed);
        taken(&mut w, 0, "old");
        let kept = (seed % 3) as usize;
        for n in 0..3 {
            w.kill_node(n);
            if n != kept {
                w.nodes[n].disk.wipe();
            }
        }
        let mut disk = w.nodes[kept].disk.clone();
        let records = disk.load().expect("sound");
        disk.rewrite(&restore_as_only(&records).expect("a view")).expect("written");
        for n in [kept, (kept + 1) % 3, (kept + 2) % 3] {
            w.start_node(n);
            assert!(w.until(Span::ms(15_000), |w| w.nodes[n].ready).is_some(), "{:?}", w.parts(n));
        }
        assert!((0..3).all(|n| knows(&w, n, "old")));
        taken(&mut w, 5, "new");
        w.kill_node(kept);
        taken(&mut w, (kept + 1) % 3, "newer");
    });
}

#[test]
fn given_seeds_out_of_reach_when_machines_start_empty_then_none_founds_until_they_answer() {
    let mut w = World::build(vanua(), 3);
    w.start_node(0);
    w.start_node(1);
    w.run_for(Span::ms(15_000));
    assert!(w.nodes[..2].iter().all(|n| n.node.as_ref().is_some_and(|n| n.views.fleet == FleetId(0))));
    for n in 2..w.nodes.len() {
        w.start_node(n);
    }
    assert!(w.until(Span::ms(15_000), |w| w.nodes[..3].iter().all(|n| n.ready)).is_some());
}

#[test]
fn given_a_long_history_when_a_member_returns_late_then_it_takes_a_snapshot_and_follows() {
    let mut w = World::boot(vanua(), 6);
    w.kill_node(2);
    for n in 0..700u64 {
        let name = Name(format!("a{}", n % 9 + 1));
        w.ask(0, OperatorCall::MarkLeaving(name));
        w.run_for(Span::ms(12));
    }
    taken(&mut w, 0, "late");
    w.start_node(2);
    assert!(w.until(Span::ms(20_000), |w| w.nodes[2].ready).is_some(), "{:?}", w.parts(2));
    w.run_for(Span::ms(500));
    assert!(knows(&w, 2, "late"));
    let rows: u64 = w.parts(0)["chain.log_rows"].parse().expect("a number");
    assert!(rows < 600, "the log is rewritten when long: {rows} rows");
    sound(&w);
}

#[test]
fn given_a_storm_of_changes_when_it_is_over_then_each_has_one_end_and_all_taken_are_in_force() {
    let mut w = World::boot(vanua(), 7);
    let ids: Vec<ChangeId> = (0..40).map(|n| patch(&mut w, n % 9, &format!("storm{n}"))).collect();
    w.run_for(Span::ms(60_000));
    let mut ok = 0;
    for (n, id) in ids.iter().enumerate() {
        let status = w.answers.get(id).map(|a| a.status);
        assert!(matches!(status, Some(200 | 409 | 429 | 504)), "{status:?}");
        if status == Some(200) {
            ok += 1;
            assert!((0..3).all(|k| knows(&w, k, &format!("storm{n}"))), "storm{n}");
        }
    }
    assert!(ok > 5, "{ok}");
    sound(&w);
}
