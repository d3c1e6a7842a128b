//! The move of a running event stream from a source runner to a destination.
//!
//! In warm rounds the destination produces the stream from the last forwarded event on and catches up, while the source still
//! serves the client. When the gap is small enough, the cut begins: events of the source are held back until the
//! destination's first event matches them; then the destination continues. If anything differs, fails or takes too long, the
//! held-back events are forwarded and the source keeps the stream.

use super::continuation::RunContract;
use super::event_buffer::StreamEvent;
use crate::fleet::config::Moving;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use std::collections::VecDeque;

/// Stage of a move.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum HandoverStage {
    /// The destination catches up.
    Warm,
    /// Events of the source are held back until the destination continues.
    Cut,
}

/// What is to be done for a move.
#[derive(PartialEq, Debug)]
pub enum HandoverAction {
    /// Forward an event to the client.
    Forward(StreamEvent),
    /// Open the destination after this event; `is_cut` for the cut.
    Open { last_event_id: Option<String>, is_cut: bool },
    /// Close the attempt at the destination.
    CloseDestination,
    /// The destination continues the stream; the source is closed.
    Switch,
    /// The move failed for this reason; the source keeps the stream.
    Abort(&'static str),
    /// The source has finished; there is nothing left to move.
    Abandon,
}

/// A move in progress.
pub struct Handover {
    /// The move in the placement's plan.
    pub id: MoveId,
    /// The destination.
    pub to: Name,
    /// Its stage.
    pub stage: HandoverStage,
    /// Number of the round, from 1.
    pub round: u64,
    /// Duration of each finished round in milliseconds.
    pub rounds_ms: Vec<u64>,
    /// Events by which the destination was behind at the end of each round.
    pub gaps: Vec<u64>,
    limits: Moving,
    contract: RunContract,
    from_source: VecDeque<StreamEvent>,
    from_destination: VecDeque<StreamEvent>,
    matched: u64,
    held_back: VecDeque<StreamEvent>,
    round_began_at: Time,
    /// When it began.
    pub began_at: Time,
    /// Whether the retry budget allows another warm round.
    pub has_credit: bool,
}

impl Handover {
    /// Begins a move after the event `last`; returns the actions of the first round.
    pub fn new(
        id: MoveId,
        to: Name,
        (plan, contract): (Moving, RunContract),
        now: Time,
        last: Option<String>,
    ) -> (Handover, Vec<HandoverAction>) {
        let h = Handover {
            id,
            to,
            stage: HandoverStage::Warm,
            round: 1,
            rounds_ms: Vec::new(),
            gaps: Vec::new(),
            limits: plan,
            contract,
            from_source: VecDeque::new(),
            from_destination: VecDeque::new(),
            matched: 0,
            held_back: VecDeque::new(),
            round_began_at: now,
            began_at: now,
            has_credit: true,
        };
        (h, vec![HandoverAction::Open { last_event_id: last, is_cut: false }])
    }

    /// Handles an event of the source. One without a place is forwarded as it comes.
    pub fn on_source_event(&mut self, now: Time, item: StreamEvent) -> Vec<HandoverAction> {
        if !self.contract.has_place(&item) {
            return vec![HandoverAction::Forward(item)];
        }
        match self.stage {
            HandoverStage::Warm => {
                self.from_source.push_back(item.clone());
                let mut out = vec![HandoverAction::Forward(item)];
                out.extend(self.compare(now));
                out
            }
            HandoverStage::Cut => {
                self.held_back.push_back(item);
                self.compare(now)
            }
        }
    }

    /// Handles an event of the destination; those without a place are ignored.
    pub fn on_destination_event(&mut self, now: Time, item: StreamEvent) -> Vec<HandoverAction> {
        if !self.contract.has_place(&item) {
            return vec![];
        }
        self.from_destination.push_back(item);
        self.compare(now)
    }

    fn compare(&mut self, now: Time) -> Vec<HandoverAction> {
        match self.stage {
            HandoverStage::Warm => self.compare_warm(now),
            HandoverStage::Cut => self.compare_cut(),
        }
    }

    /// Ends the round once the destination has matched an event, and begins the next one or the cut.
    fn compare_warm(&mut self, now: Time) -> Vec<HandoverAction> {
        while let (Some(a), Some(b)) =
            (self.from_source.get(self.matched as usize), self.from_destination.front())
        {
            if !self.contract.is_same_place(a, b) {
                return self.abort("the destination's event differs from the source's of the same place");
            }
            self.matched += 1;
            self.from_destination.pop_front();
        }
        if self.matched == 0 {
            return vec![];
        }
        let gap = self.from_source.len() as u64 - self.matched;
        self.gaps.push(gap);
        self.rounds_ms.push(now.since(self.round_began_at).as_ms());
        self.round_began_at = now;
        self.from_destination.clear();
        let last = self.from_source.back().and_then(|i| i.id.clone());
        self.from_source.clear();
        self.matched = 0;
        if gap <= self.limits.gap || self.round >= self.limits.rounds || !self.has_credit {
            self.stage = HandoverStage::Cut;
        }
        self.round += 1;
        vec![
            HandoverAction::CloseDestination,
            HandoverAction::Open { last_event_id: last, is_cut: self.stage == HandoverStage::Cut },
        ]
    }

    /// Switches once the destination's first event matches the first one held back.
    fn compare_cut(&mut self) -> Vec<HandoverAction> {
        let (Some(a), Some(b)) = (self.held_back.front(), self.from_destination.front()) else {
            return vec![];
        };
        if !self.contract.is_same_place(a, b) {
            return self.abort("the destination's first event differs from the source's");
        }
        let mut out = vec![HandoverAction::Switch];
        out.extend(self.from_destination.drain(..).map(HandoverAction::Forward));
        self.held_back.clear();
        out
    }

    /// Forwards the events held back.
    fn release_held_back(&mut self) -> Vec<HandoverAction> {
        self.held_back.drain(..).map(HandoverAction::Forward).collect()
    }

    /// Ends the move; the source keeps the stream.
    fn abort(&mut self, why: &'static str) -> Vec<HandoverAction> {
        let mut out = vec![HandoverAction::CloseDestination];
        out.extend(self.release_held_back());
        out.push(HandoverAction::Abort(why));
        out
    }

    /// The source has ended regularly.
    pub fn on_source_end(&mut self) -> Vec<HandoverAction> {
        let mut out = vec![HandoverAction::CloseDestination];
        out.extend(self.release_held_back());
        out.push(HandoverAction::Abandon);
        out
    }

    /// The source has failed.
    pub fn on_source_failed(&mut self) -> Vec<HandoverAction> {
        let mut out = vec![HandoverAction::CloseDestination];
        out.extend(self.release_held_back());
        out.push(HandoverAction::Abort("the source failed"));
        out
    }

    /// The destination has failed.
    pub fn on_destination_failed(&mut self, why: &'static str) -> Vec<HandoverAction> {
        self.abort(why)
    }

    /// The destination has ended, too early if it sent no event.
    pub fn on_destination_end(&mut self) -> Vec<HandoverAction> {
        if self.from_destination.is_empty() {
            return self.abort("the destination ended before its first event");
        }
        vec![]
    }

    /// The plan no longer contains the move.
    pub fn on_plan_withdrawn(&mut self) -> Vec<HandoverAction> {
        self.abort("the plan was withdrawn")
    }

    /// Aborts the move if its round takes too long.
    pub fn tick(&mut self, now: Time) -> Vec<HandoverAction> {
        let most = if self.stage == HandoverStage::Cut { self.limits.cut_ms } else { self.limits.round_ms };
        if now.since(self.round_began_at) > Span::ms(most) {
            return self.abort("a round took longer than its allowance");
        }
        vec![]
    }
}
