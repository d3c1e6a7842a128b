//! The holder of the placement duty in a fleet of the grown laboratory's size, by counts of its work.

use spindledock::hollow::{Hollow, Size, run};
use spindledock::kernel::ids::Name;
use spindledock::kernel::time::Span;
use spindledock::msg::Role;

const ROUTERS: usize = 89;
const RUNNERS: usize = 65;
/// Three times what ten seconds took when this was written.
const MOST_WEIGHED: u64 = 60_000;

fn grown() -> Hollow {
    let size = Size {
        core: 5,
        zones: 5,
        runners: RUNNERS,
        models: 191,
        adapters: 291,
        rest_s: 1,
        changes: 0,
        losses: 0,
        replaced: 0,
        zone_s: 0,
        cut_s: 0,
        wall_s: 500,
        ..Size::of(ROUTERS + 5)
    };
    run(size, &mut |_| ())
}

/// All routers want most models and some adapters, each from another place in the list.
fn crowd(w: &mut Hollow) {
    let until = w.now + Span::ms(60_000);
    for place in w.live(Role::Router) {
        let names = (0..80).map(|n| w.size.held((place * 7 + n * 3) as u64));
        let names: Vec<(Name, _)> = names.map(|name| (name, until)).collect();
        w.nodes[place].demand.extend(names);
    }
}

fn loaded(w: &Hollow) -> usize {
    w.runners.iter().map(|r| r.holds.len() + r.loading.len()).sum()
}

/// A figure of the placement part of the holder.
fn figure(w: &Hollow, key: &str) -> u64 {
    let holder = w.up().find(|(k, _)| w.role(*k).contains(&"holder")).map(|(_, n)| n);
    let status = holder.and_then(|n| n.find("placement")).map(|p| p.status(w.now)).unwrap_or_default();
    let row = status.iter().find(|row| row.0 == key);
    row.and_then(|row| row.1.parse().ok()).expect("the holder tells of its work")
}

#[test]
fn given_a_grown_fleet_when_a_crowd_wants_most_names_then_the_holder_orders_soon_and_its_work_is_bounded() {
    let mut w = grown();
    assert!(w.over.is_none() && w.may_order());
    crowd(&mut w);
    let (before, rounds, weighed) = (loaded(&w), figure(&w, "rounds"), figure(&w, "weighed"));
    w.run_for(Span::ms(2000));
    let soon = loaded(&w) - before;
    assert!(soon >= 6, "{soon} loads were ordered within 2 s");
    w.run_for(Span::ms(8000));
    let (rounds, weighed) = (figure(&w, "rounds") - rounds, figure(&w, "weighed") - weighed);
    println!("loads {soon} then {}, rounds {rounds}, weighed {weighed}", loaded(&w) - before);
    assert!(loaded(&w) - before >= 25, "{} loads were ordered within 10 s", loaded(&w) - before);
    let most_rounds = 10_000 / RUNNERS as u64 + 10;
    assert!((1..=most_rounds).contains(&rounds), "{rounds} rounds of decisions within 10 s");
    assert!(weighed <= MOST_WEIGHED, "{weighed} runners were weighed within 10 s");
    assert!(w.up().all(|(_, n)| n.views.view.as_ref().is_some_and(|v| v.chain.len() == 5)));
}

#[test]
fn given_a_grown_fleet_at_rest_when_routers_tell_of_themselves_then_the_holder_alone_hears_all_and_not_often()
{
    let mut w = grown();
    w.run_for(Span::ms(3000));
    let got: Vec<u64> = w.nodes.iter().map(|n| n.spent.got).collect();
    w.run_for(Span::ms(5000));
    for place in w.live(Role::Controller) {
        let (per_s, role) = ((w.nodes[place].spent.got - got[place]) / 5, w.role(place));
        println!("{role:?} got {per_s} a second");
        assert!(per_s < 4 * ROUTERS as u64, "{role:?} got {per_s} a second");
        assert_eq!(routers_heard(&w, place) == ROUTERS as u64, role.contains(&"holder"), "{role:?}");
    }
}

fn routers_heard(w: &Hollow, place: usize) -> u64 {
    let placement = w.nodes[place].node.as_ref().and_then(|node| node.find("placement"));
    let status = placement.map(|part| part.status(w.now)).unwrap_or_default();
    let row = status.iter().find(|row| row.0 == "routers_heard");
    row.and_then(|row| row.1.parse().ok()).expect("placement tells how many routers it has heard")
}
