//! Which inputs of a node are served first, and what may become of one that waits.
#![deny(missing_docs)]

use super::ids::NodeId;
use crate::constraints::messages::ConstraintMsg;
use crate::msg::{Event, Msg, Role};

/// The lanes before a node, the most urgent first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Lane {
    /// Messages between the members of the chain: heartbeats, leases, entries, votes; few, and never late.
    Chain,
    /// Calls, reads, serving leases, distribution and membership: someone waits for an answer.
    Serving,
    /// The timed work of the duties, and what runners answer to it: as much as this node itself has asked for.
    Duty,
    /// What routers report, however many they are.
    Deferrable,
}

/// All lanes.
pub const LANES: [Lane; 4] = [Lane::Chain, Lane::Serving, Lane::Duty, Lane::Deferrable];

/// A place that only the newest input of one sender and kind takes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct Slot {
    /// Who sent it; 0 for what comes from this process.
    pub sender: NodeId,
    /// Its kind.
    pub kind: &'static str,
}

/// How an input is queued.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Class {
    /// Where it waits.
    pub lane: Lane,
    /// Where a newer one of the same sender and kind looks for it.
    pub slot: Option<Slot>,
    /// Whether a newer one in the same slot says all that it says.
    pub replaceable: bool,
    /// Whether it may be dropped when its lane is full, as it could be lost on the network.
    pub droppable: bool,
}

impl Class {
    /// Waits its turn; neither replaced nor dropped.
    pub const fn kept(lane: Lane) -> Class {
        Class { lane, slot: None, replaceable: false, droppable: false }
    }

    /// Waits its turn, and may be dropped.
    pub const fn droppable(lane: Lane) -> Class {
        Class { droppable: true, ..Class::kept(lane) }
    }

    /// Its place is taken by a newer one of the same sender and kind.
    pub const fn newest(lane: Lane, sender: NodeId, kind: &'static str) -> Class {
        let slot = Some(Slot { sender, kind });
        Class { lane, slot, replaceable: true, droppable: true }
    }
}

/// The sender of what comes from this process itself.
const OWN: NodeId = NodeId(0);

/// How an event is queued before a node.
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

/// How a message is queued, at its sender before the link as well as before the node that gets it.
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
        // A router takes only the grant of its newest request.
        Msg::ServingLeaseRequest(_) | Msg::ListRead(_) => Class::newest(Lane::Serving, from, msg.kind()),
        _ => Class::droppable(Lane::Serving),
    }
}
