//! A configuration change that would refuse running requests is refused in its rehearsal.

mod common;

use common::{seeded, sound};
use spindledock::kernel::ids::*;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::{quebec, vanua};
use spindledock::msg::OperatorCall;
use spindledock::sim::World;
use spindledock::sim::report::Report;
use spindledock::standin::tally::End;

fn refused(w: &mut World, text: &str, word: &str) {
    let id = w.ask(5, OperatorCall::PatchConfig { base: None, text: text.into() });
    assert_eq!(w.answer(id, Span::ms(12_000)), Some(422), "{text}: {:?}", w.answers.get(&id));
    let body = &w.answers[&id].body;
    assert!(body.contains(word) && body.contains("rollout.refused_percent"), "{text}: {body}");
}

#[test]
fn given_live_orders_when_a_change_would_refuse_them_by_route_body_inbox_or_due_then_it_is_refused() {
    seeded(1..3, |seed| {
        let mut w = World::loaded_boot(vanua(), seed, 10);
        w.traffic(10, 1.0, Span::ms(40_000));
        w.run_for(Span::ms(6000));
        refused(
            &mut w,
            r#"{"services":[{"name":"assistant","routes":[{"prefix":"/chat","drop":true}]}]}"#,
            "no route is left",
        );
        refused(
            &mut w,
            r#"{"services":[{"name":"tiles","routes":[{"prefix":"/tiles","drop":true}]},
                {"name":"assistant","routes":[{"prefix":"/tiles"}]}]}"#,
            "instead of tiles",
        );
        let id = w.ask(
            3,
            OperatorCall::PatchConfig { base: None, text: r#"{"moving":{"warm":{"tries":2}}}"#.into() },
        );
        assert_eq!(w.answer(id, Span::ms(5000)), Some(400), "a stage that cannot carry one stream");
        let fine = r#"{"services":[{"name":"assistant","inbox":200}]}"#;
        let id = w.ask(3, OperatorCall::PatchConfig { base: None, text: fine.into() });
        assert_eq!(w.answer(id, Span::ms(12_000)), Some(200), "{:?}", w.answers.get(&id));
        w.run_for(Span::ms(60_000));
        sound(&w);
        let r = Report::of(&w);
        assert_eq!(r.get(End::Whole), r.calls, "no live order was touched: {r}");
    });
}

#[test]
fn given_a_crowd_in_the_inbox_when_a_change_makes_it_smaller_or_the_slots_fewer_then_it_is_refused() {
    let mut w = World::loaded_boot(quebec(), 4, 10);
    w.traffic(10, 6.0, Span::ms(25_000));
    w.run_for(Span::ms(12_000));
    assert!(w.nodes.iter().any(|n| {
        n.table.get(&Name::from("assistant")).is_some_and(|g| g.lock().unwrap().queue.len() > 2)
    }));
    refused(&mut w, r#"{"services":[{"name":"assistant","inbox":1}]}"#, "the inbox would take 1");
    w.run_for(Span::ms(80_000));
    sound(&w);
}
