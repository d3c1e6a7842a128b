//! Two ways to lose entries: a delayed snapshot that is older than the log, and a member restarted from an older
//! copy of its files, which lack entries that it has acknowledged.

mod common;

use common::{bearing, ident, knows, seeded, settle, sound, taken, view};
use spindledock::kernel::ids::*;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::vanua;
use spindledock::msg::{ChainMsg, Event, Msg, OperatorCall};
use spindledock::sim::World;
use spindledock::sim::record::Fact;

const DUE: Span = Span::ms(3000);

fn place(w: &World, spot: usize) -> usize {
    let node = view(w, 0).and_then(|v| v.chain.get(spot).copied());
    w.controllers().into_iter().find(|n| ident(w, *n) == node).expect("a member")
}

fn chain_status(w: &World, place: usize, key: &str) -> String {
    let rows = w.nodes[place].node.as_ref().map(|n| n.status(w.local(place))).unwrap_or_default();
    rows.into_iter().find(|row| row.0 == "chain" && row.1 == key).map(|row| row.2).unwrap_or_default()
}

#[test]
fn given_entries_behind_it_when_a_snapshot_comes_late_then_none_of_them_is_lost() {
    seeded(1..5, |seed| {
        let mut w = bearing(vanua(), seed, 3, 1);
        settle(&mut w);
        w.run_for(Span::ms(700 + 37 * seed));
        let (head, middle, tail) = (place(&w, 0), place(&w, 1), place(&w, 2));
        w.cuts.insert((tail, middle));
        w.ask(head, OperatorCall::MarkLeaving(Name::from("a1")));
        w.run_for(Span::ms(90));
        let state = w.nodes[tail].node.as_ref().expect("alive").views.state.clone();
        w.ask(head, OperatorCall::MarkLeaving(Name::from("a2")));
        w.run_for(Span::ms(90));
        let synced = chain_status(&w, middle, "synced");
        assert_ne!(synced, state.at.to_string(), "it holds more than the snapshot");
        assert_ne!(chain_status(&w, middle, "committed"), synced, "it knows of no commit yet");
        let node = w.nodes[middle].node.as_ref().expect("alive");
        let (from, fleet) = (ident(&w, head).expect("alive"), node.views.fleet);
        let msg = Msg::Chain(ChainMsg::Snapshot { at: state.at, state: Box::new(state) });
        w.feed(middle, Event::Message { from, fleet, msg });
        assert_eq!(chain_status(&w, middle, "synced"), synced, "the entries behind it stay");
        w.cuts.clear();
        w.run_for(DUE);
        sound(&w);
    });
}

#[test]
fn given_a_member_that_lost_what_it_had_acknowledged_when_it_is_back_then_it_resets_and_joins_as_new() {
    seeded(1..5, |seed| {
        for spot in [0, 1] {
            let mut w = bearing(vanua(), seed, 3, 1);
            settle(&mut w);
            w.run_for(Span::ms(1000));
            let hurt = place(&w, spot);
            let (files, before) = (w.nodes[hurt].disk.files(), ident(&w, hurt));
            for name in ["one", "two"] {
                taken(&mut w, 4, name, DUE);
            }
            w.run_for(Span::ms(200));
            w.kill_node(hurt);
            w.nodes[hurt].disk.set_files(files);
            w.run_for(Span::ms(20 * seed));
            w.start_node(hurt);
            w.run_for(Span::ms(8000));
            let reset = w.record.rows.iter().any(|r| matches!(&r.1, Fact::Told { what: "reset", .. }));
            assert!(reset && ident(&w, hurt) != before, "place {spot}");
            assert!(w.controllers().into_iter().all(|n| knows(&w, n, "one") && knows(&w, n, "two")));
            assert!(view(&w, hurt).is_some_and(|v| v.chain.contains(&ident(&w, hurt).unwrap_or(NodeId(0)))));
            sound(&w);
        }
    });
}
