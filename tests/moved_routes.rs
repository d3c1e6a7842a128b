//! Requests that wait while changes of several kinds move their routes, in simulated fleets.

mod common;

use common::{seeded, sound};
use spindledock::kernel::ids::Name;
use spindledock::kernel::rand::Rand;
use spindledock::kernel::time::{Span, Time};
use spindledock::launch::deployment::vanua;
use spindledock::msg::OperatorCall;
use spindledock::sim::World;
use spindledock::sim::callers::SimFlow;
use spindledock::sim::report::Report;

/// The service that some routes are moved to and from.
const OTHER: &str = "other";
/// The runners of `OTHER`, among those of the assistant.
const OTHER_RUNNERS: std::ops::Range<usize> = 5..9;
/// The routes that the operator changes.
const ROUTES: u64 = 4;
/// Models that both services offer.
const MODELS: usize = 6;

fn patch(w: &mut World, services: &str) {
    let text = format!("{{\"rollout\":{{\"refused_percent\":100}},\"services\":[{services}]}}");
    let router = w.routers()[0];
    let id = w.ask(router, OperatorCall::PatchConfig { base: None, text });
    assert_eq!(w.answer(id, Span::ms(20_000)), Some(200), "{:?}", w.answers.get(&id));
}

fn models() -> String {
    let names: Vec<String> = (0..MODELS).map(|n| format!("\"m{n:02}\"")).collect();
    names.join(",")
}

fn service(name: &str, routes: &[String]) -> String {
    format!("{{\"name\":\"{name}\",\"routes\":[{}]}}", routes.join(","))
}

/// A fleet with a second service of models.
fn two_services(seed: u64) -> World {
    let mut w = World::boot(vanua(), seed);
    for k in OTHER_RUNNERS {
        w.runners[k].card.service = Name::from(OTHER);
    }
    let other = format!(
        "{{\"name\":\"{OTHER}\",\"sort\":\"assistant\",\"inbox\":256,\"slots\":8,\"models\":[{}]}}",
        models()
    );
    patch(&mut w, &other);
    let core = w.controllers()[0];
    let id = w.list_op(core);
    assert_eq!(w.answer(id, Span::ms(5000)), Some(200));
    w
}

/// A route with terms drawn from the seed; half of the time its requests are split between the services.
fn draw_route(w: &mut World, prefix: &str) -> String {
    let kind = ["once", "stream", "idempotent"][w.rand.below(3) as usize];
    let (resumable, due_ms) = (w.rand.below(2) == 0, 8000 + w.rand.below(12) * 1000);
    let split = match w.rand.below(3) {
        0 => format!(
            ",\"split\":[{{\"service\":\"assistant\",\"weight\":{}}},{{\"service\":\"{OTHER}\",\"weight\":{}}}]",
            w.rand.below(3),
            1 + w.rand.below(3)
        ),
        _ => ",\"split\":[]".to_string(),
    };
    format!(
        "{{\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"resumable\":{resumable},\"due_ms\":{due_ms}{split}}}"
    )
}

fn dropped(prefix: &str) -> String {
    format!("{{\"prefix\":\"{prefix}\",\"drop\":true}}")
}

/// One change of several kinds: each route may move, split, change its terms, or have a longer prefix come or go.
fn change(w: &mut World) {
    let (mut here, mut there) = (Vec::new(), Vec::new());
    for n in 0..ROUTES {
        for prefix in [format!("/w{n}"), format!("/w{n}/1")] {
            let is_longer = prefix.ends_with("/1");
            if w.rand.below(3) == 0 {
                continue;
            }
            let route = draw_route(w, &prefix);
            let (mine, others) =
                if w.rand.below(2) == 0 { (&mut here, &mut there) } else { (&mut there, &mut here) };
            let gone = is_longer && w.rand.below(2) == 0;
            mine.push(if gone { dropped(&prefix) } else { route });
            others.push(dropped(&prefix));
        }
    }
    let text = [service("assistant", &here), service(OTHER, &there)].join(",");
    patch(w, &text);
}

/// Lets between `least_ms` and `least_ms + spread_ms` pass.
fn pause(w: &mut World, least_ms: u64, spread_ms: u64) {
    let wait = Span::ms(least_ms + w.rand.below(spread_ms));
    w.run_for(wait);
}

fn flow(w: &World, n: u64, until: Time) -> SimFlow {
    SimFlow {
        prefix: format!("/w{n}"),
        service: Name::from("assistant"),
        resumable: true,
        per_s: 10.0,
        tokens: 5,
        hot: MODELS as u64,
        adapted: false,
        until: until.max(w.now),
    }
}

// Guards against DENIED: whoever waited while its route moved, split or changed its terms got 404 (`sim/check_denied.rs`
// judges every refusal).
#[test]
fn given_requests_that_wait_when_changes_move_their_routes_then_none_is_refused_that_each_configuration_allows()
 {
    seeded(1..9, |seed| {
        let mut w = two_services(seed);
        let routes: Vec<String> = (0..ROUTES).map(|n| format!("{{\"prefix\":\"/w{n}\"}}")).collect();
        patch(&mut w, &service("assistant", &routes));
        w.run_for(Span::ms(3000));
        let until = w.now + Span::ms(20_000);
        for n in 0..ROUTES {
            let flow = flow(&w, n, until);
            w.start_flow(flow);
        }
        for _ in 0..5 {
            let lame: Vec<usize> = (0..w.plan.assistants).filter(|_| w.rand.below(2) == 0).collect();
            for k in lame {
                w.kill_runner(k);
                let back = w.now + Span::ms(1500 + w.rand.below(2500));
                w.at(back, move |w| w.start_runner(k));
            }
            pause(&mut w, 300, 1500);
            change(&mut w);
            pause(&mut w, 0, 1500);
        }
        w.run_for(Span::ms(60_000));
        sound(&w);
        let report = Report::of(&w);
        assert!(!report.codes.contains_key("route-changed"), "{report}");
    });
}

// Guards against DENIED: routers answered 404 to clients that came before the first configuration.
#[test]
fn given_clients_that_come_before_the_first_configuration_when_it_is_taken_then_none_was_refused_for_good() {
    seeded(1..4, |seed| {
        let mut w = World::build(vanua(), seed);
        w.start_all();
        let core = w.controllers();
        let up = w.until(Span::ms(20_000), |w| core.iter().all(|n| w.nodes[*n].ready));
        assert!(up.is_some(), "the core forms");
        let chat = SimFlow { prefix: "/chat".into(), ..flow(&w, 0, w.now + Span::ms(12_000)) };
        w.start_flow(chat);
        w.run_for(Span::ms(3000));
        let router = w.routers()[0];
        let id = w.config_op(router, w.plan.config());
        assert_eq!(w.answer(id, Span::ms(20_000)), Some(200));
        let id = w.list_op(core[0]);
        assert_eq!(w.answer(id, Span::ms(5000)), Some(200));
        w.run_for(Span::ms(30_000));
        sound(&w);
        let report = Report::of(&w);
        assert!(report.codes.contains_key("not-fresh"), "{report}");
        assert!(!report.codes.contains_key("unknown-route"), "{report}");
    });
}
