//! A view change after the loss of one of four controllers, also when another view change was half done at that
//! moment.

mod common;

use common::{seeded, sound};
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::quebec;
use spindledock::sim::World;
use spindledock::sim::record::Fact;

fn logged_events(w: &World) -> String {
    let rows = w
        .record
        .rows
        .iter()
        .rev()
        .filter(|r| matches!(&r.1, Fact::Told { what, .. } if *what != "distribution"));
    rows.take(40).map(|(t, f)| format!("{} {f:?}\n", t.0 / 1000)).collect()
}

#[test]
fn given_four_core_machines_when_one_is_lost_for_good_then_the_three_left_agree_within_three_seconds() {
    seeded(1..7, |seed| {
        for lost in 0..4 {
            let mut w = World::boot(quebec(), seed);
            w.run_for(Span::ms(3000 + 37 * seed));
            let gone = w.nodes[lost].node.as_ref().map(|n| n.me.node);
            w.kill_node(lost);
            let other = (lost + 1) % 4;
            let mended = w.until(Span::ms(3000), |w| {
                let node = w.nodes[other].node.as_ref();
                let view = node.and_then(|n| n.views.view.as_ref());
                view.is_some_and(|v| gone.is_some_and(|g| !v.has(g)))
            });
            assert!(mended.is_some(), "core {lost}: {:?}", w.parts(other));
        }
    });
}

#[test]
fn given_a_half_agreed_view_when_another_machine_is_lost_then_the_three_left_agree_all_the_same() {
    seeded(1..25, |seed| {
        let mut w = World::boot(quebec(), seed);
        w.run_for(Span::ms(3000));
        w.freeze((seed % 4) as usize, Span::ms(1300 + 20 * seed));
        w.run_for(Span::ms(1200 + 25 * seed));
        let lost = ((seed + 1) % 4) as usize;
        let gone = w.nodes[lost].node.as_ref().map(|n| n.me.node);
        w.kill_node(lost);
        let other = ((seed + 2) % 4) as usize;
        let mended = w.until(Span::ms(8000), |w| {
            let node = w.nodes[other].node.as_ref();
            let view = node.and_then(|n| n.views.view.as_ref());
            view.is_some_and(|v| gone.is_some_and(|g| !v.has(g)) && v.chain.len() == 3)
        });
        assert!(mended.is_some(), "{}", logged_events(&w));
        sound(&w);
    });
}
