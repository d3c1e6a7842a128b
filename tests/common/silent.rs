//! A stream whose runner is silent, told event by event.

#![allow(dead_code)]

use super::given::{NOW, balancer, event, report, request, text};
use bytes::Bytes;
use spindledock::fleet::config::RouteKind;
use spindledock::forwarding::{AnswerEnd, FlowAction, FlowEvent, RequestFlow};
use spindledock::gate::Balancer;
use spindledock::kernel::time::{Span, Time};
use spindledock::transfer::continuation::RunContract;

pub const TICK: Span = Span::ms(50);
/// Longer than four pauses of the route, shorter than eight.
pub const SILENCE: Span = Span::ms(1400);
pub const ALL: u64 = 5;

pub struct Story {
    pub balancer: Balancer,
    pub request: RequestFlow,
    pub now: Time,
    pub outs: Vec<FlowAction>,
}

/// An event of the second run: of its own words where runs differ.
pub fn second(runs: RunContract, n: u64) -> Bytes {
    match runs {
        RunContract::SameEvents => event(n),
        RunContract::SameIds => Bytes::from(format!("id: {n}\ndata: v{n}\n\n")),
    }
}

impl Story {
    /// A stream that passed `passed` events on, whose runner has been silent since.
    pub fn silent(runs: RunContract, passed: u64, tries: u64) -> Story {
        let mut request = request(true);
        request.spec.route_kind = RouteKind::Stream;
        request.spec.target_latency = Span::ms(600);
        request.spec.target_gap = Span::ms(300);
        request.spec.max_attempts = tries;
        request.spec.run_contract = runs;
        request.spec.answer_deadline = NOW + Span::ms(20_000);
        let mut story =
            Story { balancer: balancer(&["a1", "a2", "a3"]), request, now: NOW, outs: Vec::new() };
        story.feed(FlowEvent::Start);
        story.feed(FlowEvent::Head { attempt: 1, status: 200, is_stream: true });
        (1..=passed).for_each(|n| story.feed(FlowEvent::Chunk { attempt: 1, raw: event(n) }));
        story.wait(SILENCE);
        story
    }

    pub fn feed(&mut self, ev: FlowEvent) {
        let outs = self.request.step(self.now, ev, &mut self.balancer);
        self.outs.extend(outs);
    }

    pub fn wait(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + TICK;
            ["a1", "a2", "a3"].iter().for_each(|name| report(&mut self.balancer, self.now, name, 0));
            self.feed(FlowEvent::Tick);
        }
    }

    pub fn opened(&self, no: u64) -> Option<Option<String>> {
        self.outs.iter().find_map(|o| match o {
            FlowAction::Open { attempt, last_event_id: last, .. } if *attempt == no => Some(last.clone()),
            _ => None,
        })
    }

    pub fn closed(&self, no: u64) -> bool {
        self.outs.iter().any(|o| matches!(o, FlowAction::Close { attempt } if *attempt == no))
    }

    pub fn broken(&self) -> bool {
        self.outs.iter().any(|o| {
            matches!(o, FlowAction::Abort(_) | FlowAction::Refuse(_) | FlowAction::OutcomeUnknown(..))
        })
    }

    pub fn finished(&self) -> bool {
        self.outs.iter().any(|o| matches!(o, FlowAction::Finish))
    }

    pub fn ids(&self) -> Vec<u64> {
        let all = text(&self.outs);
        all.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
    }

    /// The first run comes back to life and ends the stream.
    pub fn first_goes_on(&mut self, passed: u64) {
        (passed + 1..=ALL).for_each(|n| self.feed(FlowEvent::Chunk { attempt: 1, raw: event(n) }));
        self.feed(FlowEvent::End { attempt: 1, end: AnswerEnd::Framed });
    }
}
