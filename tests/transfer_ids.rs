//! Streams moved between runners whose runs have words of their own: ids alone tell the place.

#[path = "common/forwarding.rs"]
mod given;

use bytes::Bytes;
use given::{NOW, balancer, event, moving, request, streaming, text};
use spindledock::forwarding::{AnswerEnd, FlowAction, FlowEvent, RequestFlow};
use spindledock::gate::Balancer;
use spindledock::transfer::continuation::{RunContract, Sequence};

const PASSED: u64 = 3;

/// An event of the destination's run.
fn other(n: u64) -> Bytes {
    Bytes::from(format!("id: {n}\ndata: v{n}\n\n"))
}

fn begin() -> (Balancer, RequestFlow, String) {
    let mut g = balancer(&["a1", "a2"]);
    let mut r = request(true);
    r.spec.run_contract = RunContract::SameIds;
    let passed = streaming(&mut r, &mut g, PASSED);
    let from = r.runner_of(1).expect("an attempt").0;
    moving(&mut g, &from, if from == "a1" { "a2" } else { "a1" });
    let outs = r.step(NOW, FlowEvent::Tick, &mut g);
    assert!(outs.iter().any(|o| matches!(o, FlowAction::Open { attempt: 2, .. })), "{outs:?}");
    r.step(NOW, FlowEvent::Head { attempt: 2, status: 200, is_stream: true }, &mut g);
    (g, r, passed)
}

fn ids(text: &str) -> Vec<u64> {
    text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
}

#[test]
fn given_words_of_its_own_when_a_stream_moves_then_it_is_cut_at_a_passed_event_and_goes_on_behind_it() {
    let (mut g, mut r, mut passed) = begin();
    passed += &text(&r.step(NOW, FlowEvent::Chunk { attempt: 1, raw: event(4) }, &mut g));
    let outs = r.step(NOW, FlowEvent::Chunk { attempt: 2, raw: other(4) }, &mut g);
    passed += &text(&outs);
    assert!(
        outs.iter()
            .any(|o| matches!(o, FlowAction::Open { attempt: 3, last_event_id: Some(l), .. } if l == "4")),
        "{outs:?}"
    );
    r.step(NOW, FlowEvent::Head { attempt: 3, status: 200, is_stream: true }, &mut g);
    assert_eq!(text(&r.step(NOW, FlowEvent::Chunk { attempt: 1, raw: event(5) }, &mut g)), "", "held back");
    let outs = r.step(NOW, FlowEvent::Chunk { attempt: 3, raw: other(5) }, &mut g);
    passed += &text(&outs);
    assert!(outs.iter().any(|o| matches!(o, FlowAction::Close { attempt: 1 })), "{outs:?}");
    passed += &text(&r.step(NOW, FlowEvent::Chunk { attempt: 3, raw: other(6) }, &mut g));
    let outs = r.step(NOW, FlowEvent::End { attempt: 3, end: AnswerEnd::Framed }, &mut g);
    assert!(outs.iter().any(|o| matches!(o, FlowAction::Finish)), "{outs:?}");
    assert_eq!(ids(&passed), (1..=6).collect::<Vec<_>>());
}

#[test]
fn given_a_destination_at_another_place_when_a_stream_moves_then_it_stays_at_its_source() {
    for wrong in [1, 3, 5, 9] {
        let (mut g, mut r, mut passed) = begin();
        passed += &text(&r.step(NOW, FlowEvent::Chunk { attempt: 1, raw: event(4) }, &mut g));
        let outs = r.step(NOW, FlowEvent::Chunk { attempt: 2, raw: other(wrong) }, &mut g);
        assert!(outs.iter().any(|o| matches!(o, FlowAction::Close { attempt: 2 })), "{wrong}: {outs:?}");
        for n in 5..=6 {
            passed += &text(&r.step(NOW, FlowEvent::Chunk { attempt: 1, raw: event(n) }, &mut g));
        }
        let outs = r.step(NOW, FlowEvent::End { attempt: 1, end: AnswerEnd::Framed }, &mut g);
        assert!(outs.iter().any(|o| matches!(o, FlowAction::Finish)), "{outs:?}");
        let want: String = (1..=6).map(|n| String::from_utf8_lossy(&event(n)).into_owned()).collect();
        assert_eq!(passed, want, "{wrong}");
    }
}

#[test]
fn given_events_without_ids_when_a_stream_moves_then_they_are_passed_on_and_compared_with_nothing() {
    let (mut g, mut r, _) = begin();
    let ping = Bytes::from(": ping\n\n");
    assert_eq!(text(&r.step(NOW, FlowEvent::Chunk { attempt: 1, raw: ping.clone() }, &mut g)), ": ping\n\n");
    assert_eq!(text(&r.step(NOW, FlowEvent::Chunk { attempt: 2, raw: ping }, &mut g)), "");
    r.step(NOW, FlowEvent::Chunk { attempt: 1, raw: event(4) }, &mut g);
    let outs = r.step(NOW, FlowEvent::Chunk { attempt: 2, raw: other(4) }, &mut g);
    assert!(outs.iter().any(|o| matches!(o, FlowAction::Open { attempt: 3, .. })), "{outs:?}");
}

fn after(ids: &[&str]) -> Sequence {
    let mut sequence = Sequence::after(None);
    ids.iter().for_each(|id| sequence.push(id));
    sequence
}

#[test]
fn given_ids_of_every_kind_when_the_next_is_judged_then_none_is_twice_or_left_out() {
    assert!(Sequence::after(None).is_next("7"), "a stream may begin anywhere");
    assert!(Sequence::after(Some("12".into())).is_next("13"));
    assert!(!Sequence::after(Some("12".into())).is_next("12"));
    for (known, next, fits) in [
        (&["1"][..], "2", true),
        (&["1"], "3", false),
        (&["1"], "1", false),
        (&["1", "2", "3"], "4", true),
        (&["1", "2", "3"], "5", false),
        (&["8", "16"], "24", true),
        (&["8", "16"], "20", true),
        (&["8", "16"], "32", false),
        (&["900"], "901", true),
        (&["900", "901"], "903", false),
        (&["a", "b"], "c", true),
        (&["a", "b"], "b", false),
        (&["1", "2"], "x", false),
    ] {
        assert_eq!(after(known).is_next(next), fits, "{known:?} then {next}");
    }
}

#[test]
fn given_ids_at_even_distances_when_a_stream_is_taken_up_anywhere_then_only_its_next_event_fits() {
    for stride in [1u64, 2, 7, 100] {
        for first in [stride, 40 * stride] {
            let ids: Vec<u64> = (0..12).map(|n| first + n * stride).collect();
            for cut in 2..ids.len() {
                let mut sequence = Sequence::after(None);
                ids[..cut].iter().for_each(|id| sequence.push(&id.to_string()));
                let fits: Vec<u64> =
                    ids.iter().copied().filter(|id| sequence.is_next(&id.to_string())).collect();
                assert_eq!(fits, [ids[cut]], "distance {stride}, first {first}, cut after {cut}");
            }
        }
    }
}
