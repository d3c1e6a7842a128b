//! A request that waits for a runner: it stops waiting when another run carries it on, and when it is over.

#[path = "common/forwarding.rs"]
mod given;
#[path = "common/silent.rs"]
mod silent;

use bytes::Bytes;
use given::{NOW, balancer, report, request, streaming, text};
use silent::{ALL, SILENCE, Story, second};
use spindledock::forwarding::{AnswerEnd, FlowAction, FlowEvent, RequestFlow};
use spindledock::gate::order::RefusalReason;
use spindledock::gate::{Balancer, RoutingDecision};
use spindledock::kernel::time::Span;
use spindledock::transfer::continuation::RunContract;
use std::sync::{Arc, Mutex};

const CONTRACTS: [RunContract; 2] = [RunContract::SameEvents, RunContract::SameIds];
const RUNNERS: [&str; 3] = ["a1", "a2", "a3"];

/// The requests under way at all runners, as the gate counts them.
fn taken(balancer: &Balancer) -> u64 {
    balancer.health.values().map(|h| h.own_requests).sum()
}

/// A stream lost by its first runner; the second, asked to go on, is silent, and a third run stands by.
fn resumed_and_silent(runs: RunContract, passed: u64) -> Story {
    let mut story = Story::silent(runs, passed, 1);
    story.request.spec.max_attempts = 4;
    story.feed(FlowEvent::Lost { attempt: 1 });
    assert!(story.opened(2).is_some(), "{:?}", story.outs);
    story.wait(SILENCE);
    assert!(story.opened(3).is_some(), "{:?}", story.outs);
    story
}

// Guards against: a request turned away by its silent runner waits for a fourth one while its standby run serves it.
#[test]
fn given_a_standby_run_when_the_silent_runner_gives_up_in_any_way_then_the_standby_carries_the_stream_on() {
    let words = |raw: &'static str| FlowEvent::Chunk { attempt: 2, raw: Bytes::from(raw) };
    let ends: [&dyn Fn() -> FlowEvent; 7] = [
        &|| FlowEvent::Rejected { attempt: 2, lacks_weights: false },
        &|| FlowEvent::Rejected { attempt: 2, lacks_weights: true },
        &|| FlowEvent::OpenFailed { attempt: 2, reason: None },
        &|| FlowEvent::OpenFailed { attempt: 2, reason: Some(RefusalReason::NoRunner) },
        &|| FlowEvent::Head { attempt: 2, status: 500, is_stream: false },
        &|| words("id: 77\ndata: other\n\n"),
        &|| FlowEvent::Lost { attempt: 2 },
    ];
    for end in ends {
        for runs in CONTRACTS {
            for passed in 1..ALL {
                let mut story = resumed_and_silent(runs, passed);
                let what = format!("{:?} {runs:?} {passed}", end());
                let before = story.outs.len();
                story.feed(end());
                let waits = story.outs[before..].iter().any(|o| matches!(o, FlowAction::Wait { .. }));
                assert!(!waits && story.opened(4).is_none(), "{what}: {:?}", &story.outs[before..]);
                story.feed(FlowEvent::Head { attempt: 3, status: 200, is_stream: true });
                let again = u64::from(runs == RunContract::SameIds);
                (passed + again..=ALL)
                    .for_each(|n| story.feed(FlowEvent::Chunk { attempt: 3, raw: second(runs, n) }));
                story.feed(FlowEvent::End { attempt: 3, end: AnswerEnd::Framed });
                assert!(story.finished() && !story.broken(), "{what}: {:?}", story.outs);
                assert_eq!(story.ids(), (1..=ALL).collect::<Vec<_>>(), "{what}");
                assert_eq!(
                    (story.balancer.queue.len(), taken(&story.balancer)),
                    (0, 0),
                    "{what}: something stays"
                );
            }
        }
    }
}

/// A stream of which two events were passed on; its runner is lost and no other has room.
fn lost_and_waiting() -> (Balancer, RequestFlow, Arc<Mutex<Vec<RoutingDecision>>>) {
    let mut g = balancer(&["a1", "a2"]);
    let mut r = request(true);
    streaming(&mut r, &mut g, 2);
    RUNNERS[..2].iter().for_each(|name| report(&mut g, NOW, name, 8));
    let outs = r.step(NOW, FlowEvent::Lost { attempt: 1 }, &mut g);
    let Some(avoid) =
        outs.iter().find_map(|o| if let FlowAction::Wait { avoid } = o { Some(avoid) } else { None })
    else {
        panic!("{outs:?}")
    };
    let plans: Arc<Mutex<Vec<RoutingDecision>>> = Arc::default();
    let woken = plans.clone();
    let wake = Box::new(move |plan| {
        woken.lock().expect("plans").push(plan);
        Ok(())
    });
    g.wait(NOW, r.spec.clone(), avoid.clone(), wake);
    (g, r, plans)
}

// Guards against: a waiter that stays after its request is over takes a slot that nobody gives back.
#[test]
fn given_a_request_that_waits_when_it_is_over_then_neither_a_waiter_nor_a_slot_stays() {
    for late in [false, true] {
        let (mut g, mut r, plans) = lost_and_waiting();
        assert_eq!(g.queue.len(), 1);
        if late {
            RUNNERS[..2].iter().for_each(|name| report(&mut g, NOW, name, 0));
            g.route_waiting(NOW);
        }
        r.step(NOW, FlowEvent::ClientGone, &mut g);
        assert_eq!(g.queue.len(), 0, "the waiter stays");
        for plan in plans.lock().expect("plans").drain(..) {
            assert!(late, "{plan:?}");
            r.step(NOW, FlowEvent::Routed(plan), &mut g);
        }
        assert_eq!(taken(&g), 0, "late {late}: a slot stays");
    }
}

// Guards against: a plan that comes late opens a further run beside the one that carries the stream.
#[test]
fn given_a_plan_for_a_request_that_no_longer_waits_when_it_comes_then_the_slot_goes_back_and_no_run_is_opened()
 {
    let mut story = resumed_and_silent(RunContract::SameIds, 2);
    let before = story.outs.len();
    let busy = taken(&story.balancer);
    let order = story.request.spec.clone();
    let plan = story.balancer.route(story.now, &order, &[]);
    assert!(matches!(plan, RoutingDecision::Send(_)), "{plan:?}");
    story.feed(FlowEvent::Routed(plan));
    assert!(story.opened(4).is_none(), "{:?}", &story.outs[before..]);
    assert_eq!(taken(&story.balancer), busy, "the slot was not given back");
    story.wait(Span::ms(100));
    assert!(text(&story.outs).contains("w2") && !story.broken());
}

// Guards against: a plan for a request whose forwarding has ended needs a runtime to be given back, and takes the
// thread that wakes the waiters down, with the gate locked.
#[test]
fn given_a_waiter_whose_forwarding_has_ended_when_a_thread_without_a_runtime_wakes_it_then_its_slot_is_free()
{
    let mut g = balancer(&["a1"]);
    report(&mut g, NOW, "a1", 8);
    let order = request(true).spec;
    g.wait(NOW, order.clone(), vec![], Box::new(Err));
    g.route_waiting(NOW);
    assert_eq!((g.queue.len(), taken(&g)), (1, 0));
    report(&mut g, NOW, "a1", 0);
    let g = std::thread::spawn(move || {
        g.route_waiting(NOW);
        g
    });
    let mut g = g.join().expect("the thread lives on");
    assert_eq!((g.queue.len(), taken(&g)), (0, 0));
    assert!(
        matches!(g.route(NOW, &order, &[]), RoutingDecision::Send(_)),
        "the slot serves the next request"
    );
}
