//! The events that a request's state machine handles, and the actions it returns.

use super::answer_end::AnswerEnd;
use super::readmit::CarriedOver;
use crate::fleet::runner::Runner;
use crate::gate::order::RefusalReason;
use crate::gate::{Refusal, RoutingDecision};
use crate::kernel::ids::*;
use crate::protocol::Load;
use bytes::Bytes;

/// Number of an attempt, unique within its request.
pub type AttemptNo = u64;

/// What happens to a request.
#[derive(Debug)]
pub enum FlowEvent {
    /// The request has arrived.
    Start,
    /// The balancer has decided on the waiting request.
    Routed(RoutingDecision),
    /// Nothing was sent: the runner was unreachable, or the check before sending failed with `reason`.
    OpenFailed { attempt: AttemptNo, reason: Option<RefusalReason> },
    /// The connection was lost after the request may have been sent.
    Lost { attempt: AttemptNo },
    /// The runner did not execute the request; `lacks_weights` if it lacks what was asked for.
    Rejected { attempt: AttemptNo, lacks_weights: bool },
    /// The runner told its load in an answer.
    Load { attempt: AttemptNo, load: Load },
    /// The head of the answer; `is_stream` for an event stream.
    Head { attempt: AttemptNo, status: u16, is_stream: bool },
    /// A piece of the body.
    Chunk { attempt: AttemptNo, raw: Bytes },
    /// The end of the body.
    End { attempt: AttemptNo, end: AnswerEnd },
    /// The client has disconnected.
    ClientGone,
    /// Periodic check.
    Tick,
}

impl FlowEvent {
    /// The attempt concerned, if any.
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

/// What is to be done for a request.
#[derive(Debug)]
pub enum FlowAction {
    /// Queue it at the balancer, without the runners in `avoid`.
    Wait { avoid: Vec<Name> },
    /// Send it to a runner, to continue after `last_event_id` if there is one.
    Open { attempt: AttemptNo, runner: Runner, last_event_id: Option<String> },
    /// Close the attempt's connection.
    Close { attempt: AttemptNo },
    /// Forward the head of this attempt's answer.
    Head { attempt: AttemptNo },
    /// Forward bytes of the body to the client.
    Forward(Bytes),
    /// The answer is complete.
    Finish,
    /// Break off an answer that has begun, for this reason.
    Abort(&'static str),
    /// Refuse the request: it was not run.
    Refuse(Refusal),
    /// Admit it anew by the newest routes, with what it carries over; nothing of it has run.
    Readmit(Box<CarriedOver>),
    /// Answer with this status: whether the request ran is not known.
    OutcomeUnknown(u16, &'static str),
    /// Log an event of this name with a note.
    Log(&'static str, String),
}
