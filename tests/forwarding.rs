#[path = "common/forwarding.rs"]
mod given;

use bytes::Bytes;
use given::{NOW, balancer, begin_move, event, moving, report, request, streaming, text};
use spindledock::forwarding::{AnswerEnd, FlowAction, FlowEvent, RequestFlow};
use spindledock::kernel::time::Span;

#[test]
fn given_a_lost_attempt_when_events_of_the_closed_attempt_come_then_they_are_not_passed() {
    let mut g = balancer(&["a1", "a2"]);
    let mut r = request(true);
    streaming(&mut r, &mut g, 3);
    let outs = r.step(NOW, FlowEvent::Lost { attempt: 1 }, &mut g);
    assert!(
        outs.iter()
            .any(|o| matches!(o, FlowAction::Open { attempt: 2, last_event_id: Some(l), .. } if l == "2")),
        "{outs:?}"
    );
    assert_eq!(text(&r.step(NOW, FlowEvent::Chunk { attempt: 1, raw: event(4) }, &mut g)), "");
    let mut full = balancer(&["a1"]);
    let mut r = request(true);
    streaming(&mut r, &mut full, 3);
    let outs = r.step(NOW, FlowEvent::Lost { attempt: 1 }, &mut full);
    assert!(outs.iter().any(|o| matches!(o, FlowAction::Wait { .. })), "{outs:?}");
    let outs = r.step(NOW, FlowEvent::End { attempt: 1, end: AnswerEnd::Framed }, &mut full);
    assert!(outs.is_empty(), "{outs:?}");
}

#[test]
fn given_bytes_sent_when_the_runner_is_lost_then_the_answer_says_unknown_and_not_refused() {
    let mut g = balancer(&["a1", "a2"]);
    let mut r = request(false);
    r.step(NOW, FlowEvent::Start, &mut g);
    let outs = r.step(NOW, FlowEvent::Lost { attempt: 1 }, &mut g);
    assert!(outs.iter().any(|o| matches!(o, FlowAction::OutcomeUnknown(502, _))), "{outs:?}");
    assert!(!outs.iter().any(|o| matches!(o, FlowAction::Refuse(_) | FlowAction::Open { .. })), "{outs:?}");
}

#[test]
fn given_a_runner_not_reached_when_credit_is_left_then_another_is_tried_else_it_is_refused_at_once() {
    let mut g = balancer(&["a1", "a2"]);
    let mut r = request(false);
    r.step(NOW, FlowEvent::Start, &mut g);
    let outs = r.step(NOW, FlowEvent::OpenFailed { attempt: 1, reason: None }, &mut g);
    assert!(outs.iter().any(|o| matches!(o, FlowAction::Open { attempt: 2, .. })), "{outs:?}");
    while g.retry_budget.try_spend() {}
    let outs = r.step(NOW, FlowEvent::OpenFailed { attempt: 2, reason: None }, &mut g);
    assert!(outs.iter().any(|o| matches!(o, FlowAction::Refuse(_))), "{outs:?}");
}

#[test]
fn given_a_resumed_run_when_it_repeats_the_last_event_otherwise_then_it_is_left_and_nothing_is_mixed() {
    let mut g = balancer(&["a1", "a2", "a3"]);
    let mut r = request(true);
    let mut passed = streaming(&mut r, &mut g, 3);
    r.step(NOW, FlowEvent::Lost { attempt: 1 }, &mut g);
    r.step(NOW, FlowEvent::Head { attempt: 2, status: 200, is_stream: true }, &mut g);
    let other = Bytes::from("id: 3\ndata: x3\n\nid: 4\ndata: x4\n\n");
    let outs = r.step(NOW, FlowEvent::Chunk { attempt: 2, raw: other }, &mut g);
    passed += &text(&outs);
    assert!(outs.iter().any(|o| matches!(o, FlowAction::Close { attempt: 2 })), "{outs:?}");
    assert!(
        outs.iter()
            .any(|o| matches!(o, FlowAction::Open { attempt: 3, last_event_id: Some(l), .. } if l == "2")),
        "{outs:?}"
    );
    r.step(NOW, FlowEvent::Head { attempt: 3, status: 200, is_stream: true }, &mut g);
    for n in 3..=5 {
        passed += &text(&r.step(NOW, FlowEvent::Chunk { attempt: 3, raw: event(n) }, &mut g));
    }
    let want: String = (1..=5).map(|n| String::from_utf8_lossy(&event(n)).into_owned()).collect();
    assert_eq!(passed, want);
}

#[test]
fn given_a_route_with_its_most_runners_when_a_move_is_planned_then_the_stream_stays() {
    for (tries, moves) in [(1, false), (2, true)] {
        let mut g = balancer(&["a1", "a2"]);
        let mut r = request(true);
        r.spec.max_attempts = tries;
        streaming(&mut r, &mut g, 3);
        let from = r.runner_of(1).expect("a attempt").0;
        moving(&mut g, &from, if from == "a1" { "a2" } else { "a1" });
        let outs = r.step(NOW, FlowEvent::Tick, &mut g);
        assert_eq!(outs.iter().any(|o| matches!(o, FlowAction::Open { .. })), moves, "{tries}: {outs:?}");
    }
}

#[test]
fn given_a_small_gap_when_the_warm_run_catches_up_then_the_cut_opens_at_the_last_passed_event() {
    let (mut g, mut r, mut passed) = begin_move(3);
    passed += &text(&r.step(NOW, FlowEvent::Chunk { attempt: 1, raw: event(4) }, &mut g));
    let outs = r.step(NOW, FlowEvent::Chunk { attempt: 2, raw: event(4) }, &mut g);
    assert!(
        outs.iter()
            .any(|o| matches!(o, FlowAction::Open { attempt: 3, last_event_id: Some(l), .. } if l == "4")),
        "{outs:?}"
    );
    assert_eq!(text(&r.step(NOW, FlowEvent::Chunk { attempt: 1, raw: event(5) }, &mut g)), "", "held back");
    r.step(NOW, FlowEvent::Head { attempt: 3, status: 200, is_stream: true }, &mut g);
    let outs = r.step(NOW, FlowEvent::Chunk { attempt: 3, raw: event(5) }, &mut g);
    passed += &text(&outs);
    assert!(outs.iter().any(|o| matches!(o, FlowAction::Close { attempt: 1 })), "{outs:?}");
    passed += &text(&r.step(NOW, FlowEvent::Chunk { attempt: 3, raw: event(6) }, &mut g));
    let outs = r.step(NOW, FlowEvent::End { attempt: 3, end: AnswerEnd::Framed }, &mut g);
    assert!(outs.iter().any(|o| matches!(o, FlowAction::Finish)), "{outs:?}");
    let want: String = (1..=6).map(|n| String::from_utf8_lossy(&event(n)).into_owned()).collect();
    assert_eq!(passed, want);
}

#[test]
fn given_a_cut_when_the_destination_fails_or_differs_or_the_source_ends_then_the_source_keeps_it() {
    for case in 0..4 {
        let (mut g, mut r, mut passed) = begin_move(3);
        passed += &text(&r.step(NOW, FlowEvent::Chunk { attempt: 1, raw: event(4) }, &mut g));
        r.step(NOW, FlowEvent::Chunk { attempt: 2, raw: event(4) }, &mut g);
        passed += &text(&r.step(NOW, FlowEvent::Chunk { attempt: 1, raw: event(5) }, &mut g));
        r.step(NOW, FlowEvent::Head { attempt: 3, status: 200, is_stream: true }, &mut g);
        let outs = match case {
            0 => r.step(NOW, FlowEvent::Lost { attempt: 3 }, &mut g),
            1 => r.step(NOW, FlowEvent::Chunk { attempt: 3, raw: event(9) }, &mut g),
            2 => {
                let late = NOW + Span::ms(400);
                r.step(late, FlowEvent::Tick, &mut g);
                report(&mut g, NOW + Span::ms(5400), "a1", 0);
                report(&mut g, NOW + Span::ms(5400), "a2", 0);
                r.step(NOW + Span::ms(5400), FlowEvent::Tick, &mut g)
            }
            _ => vec![],
        };
        passed += &text(&outs);
        let outs = r.step(NOW, FlowEvent::End { attempt: 1, end: AnswerEnd::Framed }, &mut g);
        passed += &text(&outs);
        let want: String = (1..=5).map(|n| String::from_utf8_lossy(&event(n)).into_owned()).collect();
        assert_eq!(passed, want, "case {case}");
        assert!(outs.iter().any(|o| matches!(o, FlowAction::Finish)), "case {case} {outs:?}");
    }
}

#[test]
fn given_a_runner_we_filled_when_one_of_ours_ends_then_its_slot_is_free_before_the_next_report() {
    let mut g = balancer(&["a1"]);
    let mut rows: Vec<RequestFlow> = (0..8).map(|_| request(true)).collect();
    for r in &mut rows {
        assert!(matches!(r.step(NOW, FlowEvent::Start, &mut g)[..], [FlowAction::Open { .. }]));
    }
    report(&mut g, NOW, "a1", 8);
    assert!(matches!(request(true).step(NOW, FlowEvent::Start, &mut g)[..], [FlowAction::Wait { .. }]));
    rows[0].step(NOW, FlowEvent::Head { attempt: 1, status: 200, is_stream: true }, &mut g);
    rows[0].step(NOW, FlowEvent::End { attempt: 1, end: AnswerEnd::Framed }, &mut g);
    assert!(matches!(request(true).step(NOW, FlowEvent::Start, &mut g)[..], [FlowAction::Open { .. }]));
}

#[test]
fn given_a_runner_that_is_dark_when_its_request_may_not_run_again_then_it_is_waited_for_to_its_end() {
    for (resumable, moves) in [(false, false), (true, true)] {
        let mut g = balancer(&["a1", "a2"]);
        let mut r = request(resumable);
        streaming(&mut r, &mut g, 3);
        let other = if r.runner_of(1).is_some_and(|n| n.0 == "a1") { "a2" } else { "a1" };
        let (mut asked, mut ended) = (false, false);
        for ms in (0..4000).step_by(50) {
            let now = NOW + Span::ms(ms);
            report(&mut g, now, other, 0);
            let outs = r.step(now, FlowEvent::Tick, &mut g);
            asked |= outs.iter().any(|o| matches!(o, FlowAction::Open { attempt: 2, .. }));
            ended |= outs.iter().any(|o| matches!(o, FlowAction::Close { attempt: 1 }));
        }
        assert_eq!(
            (asked, ended),
            (moves, false),
            "resumable {resumable}: none is left before another goes on"
        );
        if moves {
            let now = NOW + Span::ms(4000);
            r.step(now, FlowEvent::Head { attempt: 2, status: 200, is_stream: true }, &mut g);
            let raw = Bytes::from([event(3), event(4)].concat());
            let outs = r.step(now, FlowEvent::Chunk { attempt: 2, raw }, &mut g);
            assert!(outs.iter().any(|o| matches!(o, FlowAction::Close { attempt: 1 })), "{outs:?}");
            assert_eq!(text(&outs), text(&[FlowAction::Forward(event(4))]));
        }
    }
}
