#![allow(dead_code)]

pub mod maps;

use spindledock::chain::view::View;
use spindledock::kernel::ids::*;
use spindledock::kernel::rand::Rand;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::{Deployment, vanua};
use spindledock::msg::{OperatorCall, Role};
use spindledock::sim::nodes::SimNode;
use spindledock::sim::{World, check};
use std::net::SocketAddr;
use std::ops::Range;

pub fn patch(w: &mut World, place: usize, name: &str) -> ChangeId {
    let text = format!("{{\"models\":[{{\"name\":\"{name}\",\"weight_mb\":9}}]}}");
    w.ask(place, OperatorCall::PatchConfig { base: None, text })
}

pub fn taken(w: &mut World, place: usize, name: &str, due: Span) -> Span {
    let (id, since) = (patch(w, place, name), w.now);
    assert_eq!(w.answer(id, due), Some(200), "{name}: {:?}", w.answers.get(&id));
    w.now.since(since)
}

pub fn knows(w: &World, place: usize, name: &str) -> bool {
    let node = w.nodes[place].node.as_ref();
    node.is_some_and(|n| n.views.state.config.model(&Name::from(name)).is_some())
}

pub fn view(w: &World, place: usize) -> Option<View> {
    w.nodes[place].node.as_ref()?.views.view.clone()
}

pub fn ident(w: &World, place: usize) -> Option<NodeId> {
    w.nodes[place].node.as_ref().map(|n| n.me.node)
}

pub fn fleet(w: &World, place: usize) -> FleetId {
    w.nodes[place].node.as_ref().map_or(FleetId(0), |n| n.views.fleet)
}

pub fn bearing(plan: Deployment, seed: u64, seeds: usize, bear: usize) -> World {
    let mut w = World::build(plan, seed);
    let all: Vec<_> = w.controllers().into_iter().rev().map(|n| w.nodes[n].place.addr).collect();
    for n in &mut w.nodes {
        n.place.core_size = 0;
        n.place.tolerated_failures = bear;
        n.place.seeds = all.iter().copied().take(seeds).collect();
    }
    w
}

/// A fleet with `core` controllers that bears `bear` losses, and three routers, all settled.
pub fn settled_core(core: usize, bear: usize, seed: u64) -> World {
    let mut w = bearing(Deployment { core, routers: 3, ..vanua() }, seed, 3, bear);
    settle(&mut w);
    for n in &mut w.nodes {
        n.place.may_found = false;
    }
    w.run_for(Span::ms(1000 + 70 * seed));
    w
}

/// The controller at `spot` in the chain.
pub fn member_at(w: &World, spot: usize) -> usize {
    let v = view(w, 0).expect("a view");
    let node = v.chain.get(spot).copied();
    w.controllers().into_iter().find(|n| ident(w, *n) == node).expect("a member")
}

/// Kills `place`, empties its disk and starts it again `later`.
pub fn wipe(w: &mut World, place: usize, later: Span) {
    w.kill_node(place);
    w.nodes[place].disk.wipe();
    w.nodes[place].place.may_found = false;
    w.at(w.now + later, move |w| w.start_node(place));
}

/// Takes `place` away for good.
pub fn lose(w: &mut World, place: usize) {
    w.kill_node(place);
    w.nodes[place].retired = true;
}

/// Starts an empty controller at an address of its own, with the same seeds as `like`.
pub fn add_controller(w: &mut World, like: usize) -> usize {
    let mut place = w.nodes[like].place.clone();
    place.addr = SocketAddr::from(([10, 0, 0, 9], 1500 + w.nodes.len() as u16));
    place.may_found = false;
    let node = SimNode::new(place, Role::Controller, &mut w.rand);
    w.nodes.push(node);
    let new = w.nodes.len() - 1;
    w.start_node(new);
    new
}

pub fn start_apart(w: &mut World, places: &[usize]) {
    for n in places.iter().copied() {
        let wait = Span::ms(w.rand.below(300));
        w.at(w.now + wait, move |w| w.start_node(n));
    }
}

pub fn settle(w: &mut World) {
    let all: Vec<usize> = (0..w.nodes.len()).collect();
    start_apart(w, &all);
    w.run_for(Span::ms(300));
    let core = w.controllers();
    let up = w.until(Span::ms(8000), |w| core.iter().all(|n| w.nodes[*n].ready));
    assert!(up.is_some(), "{:?}", core.iter().map(|n| w.parts(*n)).collect::<Vec<_>>());
    let (text, last) = (w.plan.config(), w.nodes.len() - 1);
    let id = w.config_op(last, text);
    assert_eq!(w.answer(id, Span::ms(20_000)), Some(200), "{:?}", w.answers.get(&id));
    let id = w.list_op(0);
    assert_eq!(w.answer(id, Span::ms(5000)), Some(200));
}

pub fn seeded(dflt: Range<u64>, story: impl Fn(u64)) {
    let more: u64 = std::env::var("SPINDLEDOCK_MORE").ok().and_then(|t| t.parse().ok()).unwrap_or(1);
    let span = (dflt.end - dflt.start) * more;
    for seed in dflt.start..dflt.start + span {
        println!("seed {seed}");
        story(seed);
    }
}

pub fn sound(w: &World) {
    let bad = check::all(w);
    assert!(bad.is_empty(), "{}", bad.join("\n"));
}
