//! Membership in a large fleet: news, losses and returns are known everywhere soon, and neither a stalled
//! node nor bad links make healthy nodes suspect.

mod common;

use common::{seeded, sound};
use spindledock::kernel::ids::*;
use spindledock::kernel::time::{Span, Time};
use spindledock::launch::deployment::Deployment;
use spindledock::membership::rendezvous::WatchAssignments;
use spindledock::membership::service::QUIET_AFTER;
use spindledock::msg::OperatorCall;
use spindledock::sim::World;
use spindledock::sim::cost::fleet_of;
use spindledock::sim::record::Fact;
use std::collections::BTreeMap;

fn large_fleet(nodes: usize) -> Deployment {
    Deployment { assistants: 6, plains: 2, models: 6, adapters: 4, ..fleet_of(nodes) }
}

fn ids(w: &World) -> Vec<NodeId> {
    let mut all: Vec<NodeId> = w.nodes.iter().filter_map(|n| n.node.as_ref()).map(|n| n.me.node).collect();
    all.sort();
    all
}

fn live_members(w: &World, place: usize) -> Vec<NodeId> {
    let Some(node) = &w.nodes[place].node else { return vec![] };
    let rows = node.views.members.iter().filter(|r| r.silence < QUIET_AFTER);
    let mut all: Vec<NodeId> = rows.map(|r| r.who.node).collect();
    all.sort();
    all
}

fn tables_agree(w: &World) -> bool {
    let all = ids(w);
    (0..w.nodes.len()).filter(|n| w.nodes[*n].alive).all(|n| live_members(w, n) == all)
}

fn reported_quiet(w: &World, from: Time) -> Vec<String> {
    let rows = w.record.rows.iter().filter(|r| r.0 >= from);
    let mut all: Vec<String> = rows
        .filter_map(|r| match &r.1 {
            Fact::Told { what: "member-quiet" | "member-missed", text } => Some(text.clone()),
            _ => None,
        })
        .collect();
    all.sort();
    all.dedup();
    all
}

fn learned_within(w: &World, name: &str, from: Time) -> (usize, Span) {
    let mut first: BTreeMap<usize, Time> = BTreeMap::new();
    for (t, f) in w.record.rows.iter().filter(|r| r.0 >= from) {
        if let Fact::Learnt { place, scope, .. } = f
            && scope == name
        {
            first.entry(*place).or_insert(*t);
        }
    }
    let (min, max) = (first.values().min().copied(), first.values().max().copied());
    (first.len(), max.unwrap_or_default().since(min.unwrap_or_default()))
}

#[test]
fn given_a_hundred_nodes_when_a_runner_leaves_then_all_routers_know_within_100_ms_of_the_first() {
    seeded(1..3, |seed| {
        let mut w = World::boot(large_fleet(100), seed);
        w.run_for(Span::ms(5000));
        let (core, routers) = (w.controllers(), w.routers());
        let from = w.now;
        let id = w.ask(core[0], OperatorCall::MarkLeaving(Name::from("p1")));
        assert_eq!(w.answer(id, Span::ms(3000)), Some(200));
        w.run_for(Span::ms(500));
        let name = format!("service:{}", w.plan.plain_service);
        let (heard, took) = learned_within(&w, &name, from);
        assert_eq!(heard, routers.len(), "every router learned it");
        assert!(took <= Span::ms(100), "the last one {took} after the first");
        sound(&w);
    });
}

#[test]
fn given_a_hundred_nodes_when_five_are_lost_and_return_as_new_then_it_is_known_everywhere() {
    seeded(1..3, |seed| {
        let mut w = World::boot(large_fleet(100), seed);
        let up = w.until(Span::ms(5000), |w| tables_agree(w));
        assert!(up.is_some(), "all know all");
        w.run_for(Span::ms(2000));
        let routers = w.routers();
        let lost: Vec<usize> =
            (0..5).map(|n| routers[(seed as usize * 17 + n * 13) % routers.len()]).collect();
        lost.iter().for_each(|n| w.kill_node(*n));
        let known = w.until(Span::ms(4000), |w| tables_agree(w));
        assert!(known.is_some(), "the loss of five is known everywhere");
        lost.iter().for_each(|n| w.start_node(*n));
        let known = w.until(Span::ms(2500), |w| tables_agree(w));
        assert!(known.is_some(), "their return is known everywhere");
        sound(&w);
    });
}

#[test]
fn given_letters_that_get_lost_when_nodes_die_and_return_then_tables_agree_again_soon() {
    seeded(1..5, |seed| {
        let mut w = World::boot(large_fleet(100), seed);
        w.run_for(Span::ms(4000));
        let routers = w.routers();
        w.loss = 300;
        for n in 0..4 {
            w.kill_node(routers[n * 5]);
        }
        w.run_for(Span::ms(2500));
        for n in 0..4 {
            w.start_node(routers[n * 5]);
        }
        w.run_for(Span::ms(1000));
        w.loss = 0;
        let healed = w.until(Span::ms(2500), |w| tables_agree(w));
        let worst: Vec<usize> = (0..w.nodes.len()).map(|n| live_members(&w, n).len()).collect();
        assert!(healed.is_some(), "{} nodes, known {worst:?}", ids(&w).len());
        sound(&w);
    });
}

#[test]
fn given_a_stalled_node_when_it_goes_on_then_it_makes_nobody_suspect_another() {
    seeded(1..5, |seed| {
        let mut w = World::boot(large_fleet(30), seed);
        w.run_for(Span::ms(4000));
        let routers = w.routers();
        let place = routers[(seed * 7) as usize % routers.len()];
        let own = w.nodes[place].node.as_ref().expect("alive").me.node.to_string();
        let from = w.now;
        w.freeze(place, Span::ms(3500));
        w.run_for(Span::ms(6000));
        assert_eq!(reported_quiet(&w, from), vec![own], "only the stalled one was ever suspected");
        assert!(tables_agree(&w));
        sound(&w);
    });
}

#[test]
fn given_bad_links_from_two_of_three_watchers_when_they_last_then_nobody_suspects() {
    seeded(1..5, |seed| {
        let mut w = World::boot(large_fleet(30), seed);
        w.run_for(Span::ms(4000));
        let routers = w.routers();
        let place = routers[(seed * 5) as usize % routers.len()];
        let of = w.nodes[place].node.as_ref().expect("alive").me.node;
        let mut watch = WatchAssignments::default();
        ids(&w).into_iter().for_each(|n| watch.add_watcher(n));
        watch.add_watched(of);
        let from = w.now;
        for by in watch.watchers(of).take(2) {
            let there = w.nodes.iter().position(|n| n.node.as_ref().is_some_and(|x| x.me.node == by));
            let there = there.expect("a watcher");
            w.cuts.insert((place, there));
            w.cuts.insert((there, place));
        }
        w.run_for(Span::ms(6000));
        assert_eq!(reported_quiet(&w, from), Vec::<String>::new());
        w.kill_node(place);
        assert!(w.until(Span::ms(3000), |w| tables_agree(w)).is_some(), "its loss is seen all the same");
    });
}
