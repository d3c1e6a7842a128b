//! A stream whose runner is silent: another run stands by, and the first is left alone until the other goes on.

#[path = "common/forwarding.rs"]
mod given;

use bytes::Bytes;
use given::{NOW, event, gate, report, request, text};
use spindledock::fleet::config::RouteKind;
use spindledock::forwarding::{In, Out, RequestFlow};
use spindledock::gate::Gate;
use spindledock::kernel::time::{Span, Time};
use spindledock::transfer::continuation::RunContract;

const TICK: Span = Span::ms(50);
/// Longer than four pauses of the route, shorter than eight.
const SILENCE: Span = Span::ms(1400);
const ALL: u64 = 5;

struct Story {
    gate: Gate,
    request: RequestFlow,
    now: Time,
    outs: Vec<Out>,
}

/// An event of the second run: of its own words where runs differ.
fn second(runs: RunContract, n: u64) -> Bytes {
    match runs {
        RunContract::SameEvents => event(n),
        RunContract::SameIds => Bytes::from(format!("id: {n}\ndata: v{n}\n\n")),
    }
}

impl Story {
    /// A stream that passed `passed` events on, whose runner has been silent since.
    fn silent(runs: RunContract, passed: u64, tries: u64) -> Story {
        let mut request = request(true);
        request.order.kind = RouteKind::Stream;
        request.order.aim = Span::ms(600);
        request.order.gap = Span::ms(300);
        request.order.tries = tries;
        request.order.runs = runs;
        request.order.end = NOW + Span::ms(20_000);
        let mut story = Story { gate: gate(&["a1", "a2", "a3"]), request, now: NOW, outs: Vec::new() };
        story.feed(In::Go);
        story.feed(In::Head { attempt: 1, status: 200, stream: true });
        (1..=passed).for_each(|n| story.feed(In::Chunk { attempt: 1, raw: event(n) }));
        story.wait(SILENCE);
        story
    }

    fn feed(&mut self, ev: In) {
        let outs = self.request.step(self.now, ev, &mut self.gate);
        self.outs.extend(outs);
    }

    fn wait(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + TICK;
            ["a1", "a2", "a3"].iter().for_each(|name| report(&mut self.gate, self.now, name, 0));
            self.feed(In::Tick);
        }
    }

    fn opened(&self, no: u64) -> Option<Option<String>> {
        self.outs.iter().find_map(|o| match o {
            Out::Open { attempt, last, .. } if *attempt == no => Some(last.clone()),
            _ => None,
        })
    }

    fn closed(&self, no: u64) -> bool {
        self.outs.iter().any(|o| matches!(o, Out::Close { attempt } if *attempt == no))
    }

    fn broken(&self) -> bool {
        self.outs.iter().any(|o| matches!(o, Out::Break(_) | Out::Refuse(_) | Out::Unknown(..)))
    }

    fn finished(&self) -> bool {
        self.outs.iter().any(|o| matches!(o, Out::Finish))
    }

    fn ids(&self) -> Vec<u64> {
        let all = text(&self.outs);
        all.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
    }

    /// The first run comes back to life and ends the stream.
    fn first_goes_on(&mut self, passed: u64) {
        (passed + 1..=ALL).for_each(|n| self.feed(In::Chunk { attempt: 1, raw: event(n) }));
        self.feed(In::End { attempt: 1 });
    }
}

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
    let words = |raw: &'static str| In::Chunk { attempt: 2, raw: Bytes::from(raw) };
    let ends: [&dyn Fn() -> In; 6] = [
        &|| In::Shed { attempt: 2, gone: false },
        &|| words("id: 77\ndata: other\n\n"),
        &|| words("id: 1\ndata: other\n\n"),
        &|| In::Head { attempt: 2, status: 500, stream: false },
        &|| In::Lost { attempt: 2 },
        &|| In::End { attempt: 2 },
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
            story.feed(In::Head { attempt: 2, status: 200, stream: true });
            if runs == RunContract::SameEvents {
                story.feed(In::Chunk { attempt: 2, raw: event(passed) });
                assert!(!story.closed(1), "a repeated event alone is no reason to leave the first run");
            }
            for n in passed + 1..=ALL {
                story.feed(In::Chunk { attempt: 2, raw: second(runs, n) });
                assert!(story.closed(1), "{runs:?} {passed}");
                story.feed(In::Chunk { attempt: 1, raw: event(n) });
            }
            story.feed(In::End { attempt: 2 });
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
            lost.feed(In::Lost { attempt: 1 });
            assert!(!lost.broken() && lost.opened(3).is_none(), "{runs:?} {passed}: {:?}", lost.outs);
            lost.feed(In::Head { attempt: 2, status: 200, stream: true });
            let again = u64::from(runs == RunContract::SameIds);
            (passed + again..=ALL).for_each(|n| lost.feed(In::Chunk { attempt: 2, raw: second(runs, n) }));
            lost.feed(In::End { attempt: 2 });
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
        story.request.order.tries = tries;
        story.feed(In::Chunk { attempt: 1, raw: event(1) });
        if case == 1 {
            while story.gate.tries.spend() {}
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
