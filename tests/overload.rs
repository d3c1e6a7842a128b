//! Core machines that have more to do than their processors can.

mod common;

use common::*;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::{Deployment, quebec};
use spindledock::msg::Event;
use spindledock::sim::World;
use spindledock::sim::processor::Charges;
use std::collections::BTreeMap;

/// The most that the chain lets a member be silent is 600 ms; half of it is to spare.
const CHAIN_WAIT_LIMIT: Span = Span::ms(300);

fn fleet_of(routers: usize) -> Deployment {
    Deployment { zones: 5, core: 5, routers, ..quebec() }
}

/// Reports of 90 routers, four a second, take more time than there is; the rest is cheap.
fn dear_reports() -> Charges {
    let kinds = [("tell", Span(4_000)), ("work", Span::ms(30)), ("tick", Span(1_500))];
    Charges { kinds: BTreeMap::from(kinds), other: Span(300) }
}

fn longest_chain_wait(w: &World) -> Span {
    let waits = w.controllers().into_iter().filter_map(|n| w.nodes[n].processor.as_ref());
    waits.map(|p| p.longest_chain_wait).max().unwrap_or_default()
}

/// What all routers together may send to one controller of a kind that is only repeated, a second.
const REPEATED_PER_SECOND: u64 = 200;

#[test]
fn given_a_core_that_lost_its_majority_when_many_routers_ask_then_no_controller_gets_more_with_their_number()
{
    let mut w = World::build(fleet_of(120), 1);
    w.start_all();
    w.run_for(Span::ms(8_000));
    (0..3).for_each(|n| w.kill_node(n));
    w.run_for(Span::ms(3_000));
    w.cost = Some(Box::default());
    w.run_for(Span::ms(5_000));
    let cost = w.cost.take().expect("it was counted");
    let controllers = w.controllers().len() as u64;
    let to_head = 120 * 4;
    for (kind, to_one) in [("holdings request", 0), ("tell", to_head), ("update request", to_head)] {
        let sent = cost.kinds.get(kind).map_or(0, |row| row.letters) / 5;
        let most = REPEATED_PER_SECOND * controllers + to_one;
        println!("{kind}: {sent} a second, at most {most}");
        assert!(sent <= most, "{kind}: {sent} a second to {controllers} controllers");
    }
}

#[test]
fn given_more_reports_than_a_core_machine_can_take_when_it_runs_then_its_heartbeats_are_not_late() {
    let mut w = World::boot(fleet_of(90), 1);
    w.run_for(Span::ms(3000));
    let before = view(&w, 0).expect("a view");
    w.controllers().into_iter().for_each(|n| w.charge(n, dear_reports()));
    w.run_for(Span::ms(20_000));
    let wait = longest_chain_wait(&w);
    assert!(wait <= CHAIN_WAIT_LIMIT, "a message of the chain waited for {wait}");
    for n in w.controllers() {
        assert_eq!(view(&w, n).as_ref(), Some(&before), "nobody is left out of the view");
    }
    let id = w.fresh_id();
    w.operate(0, Event::ReadCall { id, path: "config".into() });
    assert_eq!(w.answer(id, Span::ms(1000)), Some(200), "the configuration comes back");
    sound(&w);
}

/// What an input costs a core machine of 0.13 processor cores, by the large laboratory's figures.
fn small_core_machine() -> Charges {
    let kinds = [("tick", Span(1_500)), ("work", Span(2_300))];
    Charges { kinds: BTreeMap::from(kinds), other: Span(370) }
}

#[test]
fn given_three_hundred_nodes_when_all_start_at_once_then_the_first_configuration_is_acknowledged_in_time() {
    for seed in 1..3 {
        let mut w = World::build(fleet_of(295), seed);
        w.controllers().into_iter().for_each(|n| w.charge(n, small_core_machine()));
        w.start_all();
        let core = w.controllers();
        let ready = w.until(Span::ms(7_000), |w| core.iter().all(|n| w.nodes[*n].ready));
        println!("seed {seed}: the core is ready after {ready:?}");
        assert!(ready.is_some(), "seed {seed}: the core is not ready");
        let text = w.plan.config();
        let id = w.config_op(core[0], text);
        let left = Span(7_000_000 - w.now.0.min(7_000_000));
        let answer = w.answer(id, left);
        println!("seed {seed}: {answer:?} at {}", w.now.0);
        assert_eq!(answer, Some(200), "seed {seed}: {:?}", w.answers.get(&id));
    }
}
