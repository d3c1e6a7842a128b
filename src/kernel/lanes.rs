//! Classifies the inputs of a node: how urgent each is, and whether it may be replaced or dropped while it
//! waits.
#![deny(missing_docs)]

use super::ids::NodeId;
use crate::constraints::messages::ConstraintMsg;
use crate::msg::{Event, Msg, Role};

/// The lanes of a node, the most urgent first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Lane {
    /// Messages between the members of the chain: heartbeats, leases, entries, votes. They are few and must
    /// not be late.
    Chain,
    /// Calls, reads, serving leases, distribution and membership: someone waits for an answer.
    Serving,
    /// Timed work of the duties and the runners' answers to it; the node itself limits their number.
    Duty,
    /// Reports of routers, whatever their number.
    Deferrable,
}

/// All lanes, the most urgent first.
pub const LANES: [Lane; 4] = [Lane::Chain, Lane::Serving, Lane::Duty, Lane::Deferrable];

/// Identifies the inputs of one sender and kind.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct Slot {
    /// The sender; 0 for inputs from this process.
    pub sender: NodeId,
    /// The kind of input.
    pub kind: &'static str,
}

/// How an input is queued.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Class {
    /// The lane.
    pub lane: Lane,
    /// The slot, if a newer input of the same sender and kind may replace it.
    pub slot: Option<Slot>,
    /// Whether a newer input in the same slot makes it redundant.
    pub replaceable: bool,
    /// Whether it may be dropped when its lane is full, as it could be lost on the network.
    pub droppable: bool,
}

impl Class {
    /// Neither replaced nor dropped.
    pub const fn kept(lane: Lane) -> Class {
        Class { lane, slot: None, replaceable: false, droppable: false }
    }

    /// Not replaced, but droppable.
    pub const fn droppable(lane: Lane) -> Class {
        Class { droppable: true, ..Class::kept(lane) }
    }

    /// Replaced by a newer input of the same sender and kind, and droppable.
    pub const fn newest(lane: Lane, sender: NodeId, kind: &'static str) -> Class {
        let slot = Some(Slot { sender, kind });
        Class { lane, slot, replaceable: true, droppable: true }
    }
}

/// The sender of inputs from this process.
const OWN: NodeId = NodeId(0);

/// The class of an event.
pub fn class_of(event: &Event) -> Class {
    match event {
        Event::Message { from, msg, .. } => class_of_message(*from, msg),
        Event::DutyTick => Class { droppable: false, ..Class::newest(Lane::Duty, OWN, event.kind()) },
        Event::RunnersListed(_) => {
            Class { droppable: false, ..Class::newest(Lane::Serving, OWN, event.kind()) }
        }
        Event::RouterState(tell) => {
            Class { replaceable: tell.live.is_empty(), ..Class::newest(Lane::Deferrable, OWN, event.kind()) }
        }
        Event::RunnerReport { .. } | Event::OrderAnswered { .. } => Class::kept(Lane::Duty),
        Event::NameWanted(_) => Class::droppable(Lane::Deferrable),
        Event::Start | Event::Tick | Event::Journal(_) => Class::kept(Lane::Chain),
        Event::OperatorCall { .. }
        | Event::ReadCall { .. }
        | Event::QuotaWanted(_)
        | Event::StopAnnounced => Class::kept(Lane::Serving),
    }
}

/// The class of a message, both in the sender's queue to the link and in the receiver's input queue.
pub fn class_of_message(from: NodeId, msg: &Msg) -> Class {
    match msg {
        Msg::Chain(_) => Class::kept(Lane::Chain),
        Msg::Constraint(ConstraintMsg::AuthorityRequest { .. } | ConstraintMsg::AuthorityGrant { .. }) => {
            Class::newest(Lane::Chain, from, msg.kind())
        }
        Msg::RouterReport(tell) => {
            Class { replaceable: tell.live.is_empty(), ..Class::newest(Lane::Deferrable, from, msg.kind()) }
        }
        Msg::Hello { me, .. } if me.role == Role::Controller => {
            Class::newest(Lane::Serving, from, msg.kind())
        }
        Msg::Hello { .. } | Msg::GossipRequest | Msg::HoldingsRequest => {
            Class::newest(Lane::Deferrable, from, msg.kind())
        }
        Msg::UnmetDemand(_) | Msg::Holdings(_) => Class::droppable(Lane::Deferrable),
        // A router accepts only the grant of its newest request.
        Msg::ServingLeaseRequest(_) | Msg::ListRead(_) => Class::newest(Lane::Serving, from, msg.kind()),
        _ => Class::droppable(Lane::Serving),
    }
}
