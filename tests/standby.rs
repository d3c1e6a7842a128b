//! A stream whose runner is silent: another run stands by, and the first is left alone until the other goes on.

#[path = "common/forwarding.rs"]
mod given;
#[path = "common/silent.rs"]
mod silent;

use bytes::Bytes;
use given::{event, text};
use silent::{ALL, Story, second};
use spindledock::forwarding::{AnswerEnd, FlowEvent};
use spindledock::kernel::time::Span;
use spindledock::transfer::continuation::RunContract;

const CONTRACTS: [RunContract; 2] = [RunContract::SameEvents, RunContract::SameIds];

#[test]
fn given_a_silent_runner_when_another_stands_by_then_the_first_run_goes_on_meanwhile() {
    for runs in CONTRACTS {
        for passed in 0..ALL {
            let story = Story::silent(runs, passed, 2);
            let last = story.opened(2).unwrap_or_else(|| panic!("{runs:?} {passed}: {:?}", story.outs));
            assert!(!story.closed(1), "{runs:?} {passed}: the first run was closed");
            let exact = (passed > 0).then(|| passed.to_string());
            if runs == RunContract::SameIds {
                assert_eq!(last, exact, "it goes on exactly where the stream stands");
            }
        }
    }
}

#[test]
fn given_a_second_run_of_no_use_when_the_first_speaks_again_then_the_answer_is_whole_and_its_own() {
    let words = |raw: &'static str| FlowEvent::Chunk { attempt: 2, raw: Bytes::from(raw) };
    let ends: [&dyn Fn() -> FlowEvent; 6] = [
        &|| FlowEvent::Rejected { attempt: 2, lacks_weights: false },
        &|| words("id: 77\ndata: other\n\n"),
        &|| words("id: 1\ndata: other\n\n"),
        &|| FlowEvent::Head { attempt: 2, status: 500, is_stream: false },
        &|| FlowEvent::Lost { attempt: 2 },
        &|| FlowEvent::End { attempt: 2, end: AnswerEnd::Framed },
    ];
    for end in ends {
        for runs in CONTRACTS {
            for passed in 1..ALL {
                let mut story = Story::silent(runs, passed, 2);
                let what = format!("{:?} {runs:?} {passed}", end());
                story.feed(end());
                assert!(story.closed(2) && !story.broken() && !story.closed(1), "{what}: {:?}", story.outs);
                story.wait(Span::ms(500));
                story.first_goes_on(passed);
                assert!(story.finished() && !story.broken(), "{what}");
                assert_eq!(story.ids(), (1..=ALL).collect::<Vec<_>>(), "{what}");
                assert!(!text(&story.outs).contains("other"), "{what}: events were mixed");
            }
        }
    }
}

#[test]
fn given_a_second_run_when_it_goes_on_first_then_the_silent_one_is_closed_after_its_event_was_passed_on() {
    for runs in CONTRACTS {
        for passed in 1..ALL {
            let mut story = Story::silent(runs, passed, 2);
            story.feed(FlowEvent::Head { attempt: 2, status: 200, is_stream: true });
            if runs == RunContract::SameEvents {
                story.feed(FlowEvent::Chunk { attempt: 2, raw: event(passed) });
                assert!(!story.closed(1), "a repeated event alone is no reason to leave the first run");
            }
            for n in passed + 1..=ALL {
                story.feed(FlowEvent::Chunk { attempt: 2, raw: second(runs, n) });
                assert!(story.closed(1), "{runs:?} {passed}");
                story.feed(FlowEvent::Chunk { attempt: 1, raw: event(n) });
            }
            story.feed(FlowEvent::End { attempt: 2, end: AnswerEnd::Framed });
            assert!(story.finished() && !story.broken(), "{runs:?} {passed}");
            assert_eq!(story.ids(), (1..=ALL).collect::<Vec<_>>(), "{runs:?} {passed}");
        }
    }
}

#[test]
fn given_a_second_run_when_the_first_speaks_or_is_lost_then_one_of_them_carries_the_whole_stream_on() {
    for runs in CONTRACTS {
        for passed in 1..ALL {
            let mut spoke = Story::silent(runs, passed, 2);
            spoke.first_goes_on(passed);
            assert!(spoke.closed(2) && spoke.finished(), "{runs:?} {passed}: {:?}", spoke.outs);
            assert_eq!(spoke.ids(), (1..=ALL).collect::<Vec<_>>());
            let mut lost = Story::silent(runs, passed, 2);
            lost.feed(FlowEvent::Lost { attempt: 1 });
            assert!(!lost.broken() && lost.opened(3).is_none(), "{runs:?} {passed}: {:?}", lost.outs);
            lost.feed(FlowEvent::Head { attempt: 2, status: 200, is_stream: true });
            let again = u64::from(runs == RunContract::SameIds);
            (passed + again..=ALL)
                .for_each(|n| lost.feed(FlowEvent::Chunk { attempt: 2, raw: second(runs, n) }));
            lost.feed(FlowEvent::End { attempt: 2, end: AnswerEnd::Framed });
            assert!(lost.finished() && !lost.broken(), "{runs:?} {passed}: {:?}", lost.outs);
            assert_eq!(lost.ids(), (1..=ALL).collect::<Vec<_>>(), "{runs:?} {passed}");
        }
    }
}

#[test]
fn given_no_credit_no_tries_or_no_other_runner_when_a_runner_is_silent_then_its_run_goes_on_all_the_same() {
    for case in 0..3 {
        let tries = if case == 0 { 1 } else { 2 };
        let mut story = Story::silent(RunContract::SameIds, 0, 1);
        story.request.spec.max_attempts = tries;
        story.feed(FlowEvent::Chunk { attempt: 1, raw: event(1) });
        if case == 1 {
            while story.balancer.retry_budget.try_spend() {}
        }
        if case == 2 {
            let names = ["a1", "a2", "a3"];
            story.request.avoid = names.iter().map(|n| spindledock::kernel::ids::Name::from(*n)).collect();
        }
        story.wait(Span::ms(4000));
        assert!(story.opened(2).is_none() && !story.closed(1) && !story.broken(), "{case}: {:?}", story.outs);
        story.first_goes_on(1);
        assert!(story.finished(), "{case}");
        assert_eq!(story.ids(), (1..=ALL).collect::<Vec<_>>());
    }
}
