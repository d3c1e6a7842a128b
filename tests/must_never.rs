mod common;

use common::{seeded, sound};
use spindledock::kernel::ids::*;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::{quebec, vanua};
use spindledock::msg::OperatorCall;
use spindledock::sim::World;
use spindledock::sim::hurts::drop_only;
use spindledock::sim::record::Fact;
use spindledock::sim::report::Report;
use spindledock::standin::tally::End;

#[test]
fn given_runs_that_cannot_be_resumed_when_runners_crash_then_none_runs_twice() {
    seeded(1..5, |seed| {
        let mut w = World::loaded_boot(quebec(), seed, 10);
        w.runners.iter_mut().for_each(|r| r.plain = Span::ms(300));
        w.traffic(10, 3.0, Span::ms(12_000));
        for k in [0, 12, 3, 13, 5, 14] {
            w.run_for(Span::ms(1500));
            w.kill_runner(k);
            w.at(w.now + Span::ms(1000), move |w| w.start_runner(k));
        }
        w.run_for(Span::ms(60_000));
        sound(&w);
        let r = Report::of(&w);
        assert!(r.get(End::Unknown) > 0 && r.get(End::Broken) > 0, "nothing was lost: {r}");
    });
}

#[test]
fn given_a_frozen_router_when_a_runner_leaves_then_no_order_reaches_it_after_the_thaw() {
    seeded(1..7, |seed| {
        let mut w = World::loaded_boot(vanua(), seed, 10);
        w.slow_open = 400_000;
        w.traffic(10, 4.0, Span::ms(15_000));
        w.run_for(Span::ms(2000));
        let routers = w.routers();
        for r in &routers[1..] {
            w.freeze(*r, Span::ms(6000));
        }
        w.run_for(Span::ms(100));
        for name in ["p1", "p2", "a1", "a2"] {
            let name = Name::from(name);
            w.ask(routers[0], OperatorCall::MarkLeaving(name));
        }
        w.run_for(Span::ms(40_000));
        sound(&w);
        assert!(Report::of(&w).changes[&200] >= 4);
    });
}

#[test]
fn given_a_frozen_router_when_a_model_is_dropped_then_no_order_runs_by_the_old_configuration() {
    seeded(1..7, |seed| {
        let mut w = World::loaded_boot(vanua(), seed, 10);
        let id =
            w.config_op(0, w.plan.config().replace("\"rollout\":{", "\"rollout\":{\"refused_percent\":100,"));
        assert_eq!(w.answer(id, Span::ms(10_000)), Some(200));
        w.slow_open = 400_000;
        w.traffic(10, 4.0, Span::ms(20_000));
        w.run_for(Span::ms(2000));
        let routers = w.routers();
        drop_only(&mut w);
        let wait = 300 + 70 * seed;
        w.run_for(Span::ms(wait));
        for r in &routers[1..4] {
            w.freeze(*r, Span::ms(5000));
        }
        w.run_for(Span::ms(60_000));
        sound(&w);
        let dropped =
            w.record.rows.iter().any(|r| matches!(&r.1, Fact::Ended { code, .. } if code == "unknown-model"));
        assert!(dropped, "the drop must have been in force");
    });
}

#[test]
fn given_a_tail_cut_off_with_a_router_when_the_rest_moves_on_then_that_router_refuses() {
    seeded(1..6, |seed| {
        let mut w = World::loaded_boot(vanua(), seed, 10);
        let id =
            w.config_op(0, w.plan.config().replace("\"rollout\":{", "\"rollout\":{\"refused_percent\":100,"));
        assert_eq!(w.answer(id, Span::ms(10_000)), Some(200));
        w.traffic(10, 4.0, Span::ms(25_000));
        w.run_for(Span::ms(2000));
        let view = w.nodes[0].node.as_ref().and_then(|n| n.views.view.clone()).expect("a view");
        let tail =
            w.nodes.iter().position(|n| n.node.as_ref().map(|x| x.me.node) == view.tail()).expect("a tail");
        let alone = w.routers()[5];
        let inside = [tail, alone];
        for a in 0..w.nodes.len() {
            for b in 0..w.nodes.len() {
                if inside.contains(&a) != inside.contains(&b) {
                    w.cuts.insert((a, b));
                }
            }
        }
        w.run_for(Span::ms(4000));
        drop_only(&mut w);
        w.run_for(Span::ms(6000));
        w.cuts.clear();
        w.run_for(Span::ms(60_000));
        sound(&w);
        let r = Report::of(&w);
        assert!(r.codes.contains_key("not-fresh"), "{r}");
        assert!(r.codes.contains_key("unknown-model"), "{r}");
    });
}

#[test]
fn given_acknowledged_changes_when_all_power_fails_and_one_disk_is_wiped_then_they_are_kept() {
    seeded(1..9, |seed| {
        let mut w = World::boot(if seed % 2 == 0 { vanua() } else { quebec() }, seed);
        let core = w.controllers();
        for k in 0..3u64 {
            let text = format!("{{\"models\":[{{\"name\":\"extra{k}\",\"weight_mb\":9}}]}}");
            let id = w.ask(core[0], OperatorCall::PatchConfig { base: None, text });
            assert_eq!(w.answer(id, Span::ms(20_000)), Some(200), "{:?}", w.answers.get(&id));
            for n in &core {
                w.kill_node(*n);
            }
            let lost = core[((seed + k) % core.len() as u64) as usize];
            w.nodes[lost].disk.wipe();
            w.run_for(Span::ms(300));
            for n in &core {
                w.start_node(*n);
            }
            let all = core.clone();
            let back = w.until(Span::ms(20_000), move |w| all.iter().all(|n| w.nodes[*n].ready));
            assert!(back.is_some(), "the core must be whole again: {:?}", w.parts(core[0]));
        }
        let node = w.nodes[core[0]].node.as_ref().expect("alive");
        for k in 0..3 {
            assert!(node.views.state.config.model(&Name(format!("extra{k}"))).is_some());
        }
        sound(&w);
    });
}

#[test]
fn given_three_racing_changes_on_one_base_when_sent_to_different_nodes_then_one_wins() {
    seeded(1..9, |seed| {
        let mut w = World::boot(vanua(), seed);
        for _ in 0..4 {
            let base = w.nodes[0].node.as_ref().map(|n| n.views.state.config_version);
            let mut ids = Vec::new();
            for place in [0, 4, 8] {
                let mark = format!("race{place}");
                let text =
                    format!("{{\"models\":[{{\"name\":\"{mark}\",\"weight_mb\":{}}}]}}", w.now.0 % 1000 + 1);
                ids.push(w.ask(place, OperatorCall::PatchConfig { base, text }));
            }
            let got: Vec<Option<u16>> = ids.iter().map(|id| w.answer(*id, Span::ms(25_000))).collect();
            assert_eq!(got.iter().filter(|g| **g == Some(200)).count(), 1, "{got:?}");
            assert_eq!(got.iter().filter(|g| **g == Some(409)).count(), 2, "{got:?}");
        }
        sound(&w);
    });
}
