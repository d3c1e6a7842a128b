mod common;

use common::{seeded, sound};
use spindledock::kernel::ids::*;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::vanua;
use spindledock::msg::OperatorCall;
use spindledock::sim::World;
use spindledock::sim::callers::SimFlow;
use spindledock::sim::report::Report;

fn route(w: &mut World, text: &str) {
    let text = format!(
        "{{\"rollout\":{{\"refused_percent\":100}},\"services\":[{{\"name\":\"assistant\",\"routes\":[{text}]}}]}}"
    );
    let id = w.ask(4, OperatorCall::PatchConfig { base: None, text });
    assert_eq!(w.answer(id, Span::ms(12_000)), Some(200), "{:?}", w.answers.get(&id));
}

#[test]
fn given_orders_that_wait_when_their_route_is_dropped_then_none_begins_after_the_change() {
    seeded(1..4, |seed| {
        let mut w = World::loaded_boot(vanua(), seed, 10);
        route(&mut w, r#"{"prefix":"/old","resumable":true,"due_ms":20000}"#);
        w.traffic(10, 2.0, Span::ms(20_000));
        w.run_for(Span::ms(5000));
        for k in 0..w.plan.assistants {
            w.kill_runner(k);
        }
        w.run_for(Span::ms(2600));
        for k in 0..w.plan.assistants {
            w.at(w.now + Span::ms(3200), move |w| w.start_runner(k));
        }
        w.start_flow(SimFlow {
            prefix: "/old".into(),
            service: Name::from("assistant"),
            resumable: true,
            per_s: 4.0,
            tokens: 5,
            hot: 3,
            adapted: false,
            until: w.now + Span::ms(8000),
        });
        w.run_for(Span::ms(200));
        route(&mut w, r#"{"prefix":"/old","drop":true}"#);
        w.run_for(Span::ms(60_000));
        sound(&w);
        let r = Report::of(&w);
        assert!(r.codes.contains_key("route-changed") && r.codes.contains_key("unknown-route"), "{r}");
    });
}
