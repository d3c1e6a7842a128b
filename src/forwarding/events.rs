//! The events that a request's state machine handles, and the actions that it asks for in return.

use super::answer_end::AnswerEnd;
use crate::fleet::runner::Runner;
use crate::gate::order::RefusalReason;
use crate::gate::{Refusal, RoutingDecision};
use crate::kernel::ids::*;
use crate::protocol::Load;
use bytes::Bytes;

pub type AttemptNo = u64;

#[derive(Debug)]
pub enum FlowEvent {
    Start,
    Routed(RoutingDecision),
    OpenFailed { attempt: AttemptNo, reason: Option<RefusalReason> },
    Lost { attempt: AttemptNo },
    Rejected { attempt: AttemptNo, lacks_weights: bool },
    Load { attempt: AttemptNo, load: Load },
    Head { attempt: AttemptNo, status: u16, is_stream: bool },
    Chunk { attempt: AttemptNo, raw: Bytes },
    End { attempt: AttemptNo, end: AnswerEnd },
    ClientGone,
    Tick,
}

impl FlowEvent {
    /// The attempt that the event is about.
    pub fn attempt(&self) -> Option<AttemptNo> {
        match self {
            FlowEvent::OpenFailed { attempt, .. }
            | FlowEvent::Lost { attempt }
            | FlowEvent::Head { attempt, .. } => Some(*attempt),
            FlowEvent::Rejected { attempt, .. } | FlowEvent::Load { attempt, .. } => Some(*attempt),
            FlowEvent::Chunk { attempt, .. } | FlowEvent::End { attempt, .. } => Some(*attempt),
            FlowEvent::Start | FlowEvent::Routed(_) | FlowEvent::ClientGone | FlowEvent::Tick => None,
        }
    }
}

#[derive(Debug)]
pub enum FlowAction {
    Wait { avoid: Vec<Name> },
    Open { attempt: AttemptNo, runner: Runner, last_event_id: Option<String> },
    Close { attempt: AttemptNo },
    Head { attempt: AttemptNo },
    Forward(Bytes),
    Finish,
    Abort(&'static str),
    Refuse(Refusal),
    OutcomeUnknown(u16, &'static str),
    Log(&'static str, String),
}
