//! Messages under way between replicas.

use super::digest::digest_of;
use crate::kernel::ids::*;
use crate::kernel::time::Time;
use crate::msg::{ChainMsg, Msg};
use std::sync::{Arc, OnceLock};

/// A message that was sent and may arrive at any later time, or never.
#[derive(Clone)]
pub struct Flight {
    pub number: u64,
    pub from: NodeId,
    pub to: NodeId,
    pub fleet: FleetId,
    pub msg: Arc<Msg>,
    /// A digest of the message without the time in it, taken when it is first wanted.
    content: OnceLock<u64>,
    /// The time in it, and by whose clock it counts.
    pub sent: Option<(NodeId, Time)>,
}

impl Flight {
    pub fn new(number: u64, from: NodeId, to: NodeId, fleet: FleetId, msg: Msg) -> Flight {
        let sent = time_of(&msg).map(|(owner, sent)| (if owner == Owner::Sender { from } else { to }, sent));
        Flight { number, from, to, fleet, msg: Arc::new(msg), content: OnceLock::new(), sent }
    }

    pub fn content(&self) -> u64 {
        *self.content.get_or_init(|| {
            let mut timeless = Msg::clone(&self.msg);
            clear_time(&mut timeless);
            digest_of(&timeless)
        })
    }

    /// A message that only repeats the sender's present state: the newest one between two replicas stands for all.
    pub fn supersedes(&self, older: &Flight) -> bool {
        let same_link = self.from == older.from && self.to == older.to;
        let Some(kind) = repeated_kind(&self.msg) else { return false };
        same_link && repeated_kind(&older.msg) == Some(kind)
    }

    pub fn name(&self) -> &'static str {
        let Msg::Chain(msg) = &*self.msg else { return "other" };
        match msg {
            ChainMsg::PledgeRequest { .. } => "pledge request",
            ChainMsg::PledgeReply { .. } => "pledge",
            ChainMsg::Append { .. } => "append",
            ChainMsg::Progress { .. } => "progress",
            ChainMsg::Heartbeat { .. } => "heartbeat",
            ChainMsg::JoinRequest { .. } => "join",
            ChainMsg::Snapshot { .. } => "snapshot",
            ChainMsg::CatchUp { .. } => "follow",
            ChainMsg::Prepare { .. } => "prepare",
            ChainMsg::Promise { .. } => "promise",
            ChainMsg::Accept { .. } => "accept",
            ChainMsg::Accepted { .. } => "accepted",
            ChainMsg::Nack { .. } => "nack",
            ChainMsg::ViewDecided { .. } => "view decided",
            ChainMsg::LeaseRequest { .. } => "lease request",
            ChainMsg::LeaseGrant { .. } => "lease grant",
            ChainMsg::LeaseReturned { .. } => "lease returned",
            _ => "chain",
        }
    }
}

#[derive(PartialEq, Eq)]
enum RepeatedKind {
    Heartbeat,
    EmptyAppend,
    Progress,
    Join,
}

fn repeated_kind(msg: &Msg) -> Option<RepeatedKind> {
    let Msg::Chain(msg) = msg else { return None };
    match msg {
        ChainMsg::Heartbeat { .. } => Some(RepeatedKind::Heartbeat),
        ChainMsg::Append { entries, .. } if entries.is_empty() => Some(RepeatedKind::EmptyAppend),
        ChainMsg::Progress { .. } => Some(RepeatedKind::Progress),
        ChainMsg::JoinRequest { .. } | ChainMsg::JoinAck => Some(RepeatedKind::Join),
        _ => None,
    }
}

/// Whether losing or delaying this one message by itself is worth a step of its own. What is repeated by itself
/// is not, nor are messages about leases unless `leases` says so.
pub fn carries_state(msg: &Msg, leases: bool) -> bool {
    let Msg::Chain(msg) = msg else { return true };
    match msg {
        ChainMsg::Heartbeat { .. } | ChainMsg::Progress { .. } => false,
        ChainMsg::JoinAck | ChainMsg::JoinRequest { .. } => false,
        ChainMsg::ReadIndexRequest { .. } | ChainMsg::ReadIndexReply { .. } => false,
        ChainMsg::LeaseRequest { .. } | ChainMsg::LeaseGrant { .. } => leases,
        ChainMsg::LeaseReturned { .. } => leases,
        ChainMsg::Append { entries, .. } => !entries.is_empty(),
        _ => true,
    }
}

/// By whose clock a message's time counts.
#[derive(PartialEq, Eq)]
enum Owner {
    Sender,
    Receiver,
}

fn time_of(msg: &Msg) -> Option<(Owner, Time)> {
    let Msg::Chain(msg) = msg else { return None };
    match msg {
        ChainMsg::LeaseRequest { sent, .. }
        | ChainMsg::LeaseReturned { sent, .. }
        | ChainMsg::PledgeRequest { sent, .. } => Some((Owner::Sender, *sent)),
        ChainMsg::LeaseGrant { sent, .. } | ChainMsg::PledgeReply { sent, .. } => {
            Some((Owner::Receiver, *sent))
        }
        _ => None,
    }
}

fn clear_time(msg: &mut Msg) {
    let Msg::Chain(msg) = msg else { return };
    match msg {
        ChainMsg::LeaseRequest { sent, .. }
        | ChainMsg::PledgeRequest { sent, .. }
        | ChainMsg::LeaseGrant { sent, .. }
        | ChainMsg::LeaseReturned { sent, .. }
        | ChainMsg::PledgeReply { sent, .. } => *sent = Time(0),
        _ => {}
    }
}
