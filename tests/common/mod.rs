#![allow(dead_code)]

pub mod maps;

use spindledock::chain::view::View;
use spindledock::kernel::ids::*;
use spindledock::kernel::rand::Rand;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::Deployment;
use spindledock::msg::Op;
use spindledock::sim::{World, check};
use std::ops::Range;

pub fn patch(w: &mut World, place: usize, name: &str) -> ChangeId {
    let text = format!("{{\"models\":[{{\"name\":\"{name}\",\"weight_mb\":9}}]}}");
    w.ask(place, Op::Part { base: None, text })
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
        n.place.core = 0;
        n.place.bear = bear;
        n.place.seeds = all.iter().copied().take(seeds).collect();
    }
    w
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
