//! A node fails at a step of a scenario: at messages, disk writes and effects of the undisturbed run it is
//! killed or frozen, and the checks of the simulator must hold.
//!
//! `SPINDLEDOCK_STRIDE` selects the runs: every n-th of all steps and nodes is made, 41 by default.

mod common;

use spindledock::kernel::ids::*;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::{quebec, vanua};
use spindledock::msg::OperatorCall;
use spindledock::sim::World;
use spindledock::sim::callers::SimFlow;
use spindledock::sim::steps::{Act, Build, sweep};
use spindledock::sim::whatif::place_of;

fn step_stride() -> usize {
    std::env::var("SPINDLEDOCK_STRIDE").ok().and_then(|t| t.parse().ok()).unwrap_or(41)
}

fn check_each_step(
    name: &str,
    build_world: &Build,
    scenario: &Act,
    span: Span,
    victims: &[usize],
    required_kinds: &[&str],
) {
    let s = sweep(build_world, scenario, span, step_stride(), victims);
    println!("{name}: {} steps of kinds {:?}, {} runs, {} objections", s.steps, s.kinds, s.runs, s.bad.len());
    for k in required_kinds {
        assert!(s.kinds.contains(k), "{name}: the trace shows no {k} among {:?}", s.kinds);
    }
    assert!(s.runs > 5 && s.bad.is_empty(), "{name}: {}", s.bad.join("\n"));
}

fn patch(w: &mut World) {
    let text = "{\"models\":[{\"name\":\"extra\",\"weight_mb\":9}]}".to_string();
    w.ask(4, OperatorCall::PatchConfig { base: None, text });
}

#[test]
fn given_a_commit_when_any_node_is_killed_or_frozen_at_any_step_then_it_holds() {
    for plan in [vanua(), quebec()] {
        let p = plan.clone();
        let build_world = move || World::boot(p.clone(), 11);
        let victims: Vec<usize> = (0..plan.core + 2).collect();
        check_each_step(
            plan.name,
            &build_world,
            &patch,
            Span::ms(1500),
            &victims,
            &["op", "append", "save", "op-end", "learn"],
        );
    }
}

#[test]
fn given_a_view_change_and_a_join_when_any_node_is_killed_or_frozen_at_any_step_then_it_holds() {
    let build_world = || World::boot(quebec(), 12);
    let scenario = |w: &mut World| {
        w.kill_node(1);
        w.nodes[1].disk.wipe();
        w.at(w.now + Span::ms(1500), |w| w.start_node(1));
    };
    check_each_step(
        "view",
        &build_world,
        &scenario,
        Span::ms(4000),
        &[0, 2, 3, 1],
        &["prepare", "promise", "accept", "view-decided", "join", "snapshot"],
    );
}

#[test]
fn given_a_holder_lost_when_any_node_is_killed_or_frozen_at_any_step_then_orders_stay_apart() {
    let build_world = || {
        let mut w = World::loaded_boot(vanua(), 13, 10);
        w.traffic(40, 0.5, Span::ms(25_000));
        w.run_for(Span::ms(2000));
        w
    };
    let scenario = |w: &mut World| {
        let h = place_of(w, "holder").expect("a holder");
        w.kill_node(h);
        w.at(w.now + Span::ms(1000), move |w| w.start_node(h));
    };
    check_each_step(
        "holder",
        &build_world,
        &scenario,
        Span::ms(9000),
        &[0, 1, 2],
        &["duty-named", "drive", "runner-order"],
    );
}

#[test]
fn given_a_stream_that_moves_when_its_router_a_runner_or_the_core_fails_at_any_step_then_it_has_no_seam() {
    let build_world = || {
        let mut w = World::loaded_boot(vanua(), 14, 10);
        let mut flow = SimFlow {
            prefix: "/chat".into(),
            service: Name::from("assistant"),
            resumable: true,
            per_s: 30.0,
            tokens: 2,
            hot: 4,
            adapted: false,
            until: w.now + Span::ms(6000),
        };
        w.start_flow(flow.clone());
        w.run_for(Span::ms(6000));
        flow.until = w.now + Span::ms(3000);
        (flow.tokens, flow.per_s) = (300, 3.0);
        w.start_flow(flow);
        w.run_for(Span::ms(4000));
        w
    };
    let scenario = |w: &mut World| {
        let from = w.runners.iter().position(|r| r.stock.running() > 0).expect("a busy runner");
        let model = w.runners[from].stock.runs.iter().max_by_key(|r| r.1).expect("runs").0.clone();
        let to = w.runners.iter().position(|r| r.stock.running() == 0 && r.card.service.0 == "assistant");
        let to = to.expect("an idle runner");
        w.runners[to].stock.holds.clear();
        let (from, to) = (w.runners[from].card.instance.clone(), w.runners[to].card.instance.clone());
        w.ask(
            0,
            OperatorCall::MoveModel {
                service: Name::from("assistant"),
                model,
                from,
                to,
                want: Name::default(),
            },
        );
    };
    let all: Vec<usize> = (0..9).collect();
    check_each_step("move", &build_world, &scenario, Span::ms(7000), &all, &["move-stage", "move-done"]);
}

#[test]
fn given_a_long_log_when_power_or_a_member_fails_at_any_step_of_its_rewriting_then_nothing_is_lost() {
    let build_world = || {
        let mut w = World::boot(vanua(), 15);
        for n in 0..490u64 {
            w.ask(0, OperatorCall::MarkLeaving(Name(format!("a{}", n % 9 + 1))));
            w.run_for(Span::ms(8));
        }
        patch(&mut w);
        w.run_for(Span::ms(2000));
        w
    };
    let scenario = |w: &mut World| {
        for n in 0..30u64 {
            let name = Name(format!("a{}", n % 9 + 1));
            w.at(w.now + Span::ms(8 * n), move |w| {
                w.ask(0, OperatorCall::MarkLeaving(name));
            });
        }
    };
    check_each_step("rewrite", &build_world, &scenario, Span::ms(400), &[0, 1, 2], &["rewrite", "append"]);
}
