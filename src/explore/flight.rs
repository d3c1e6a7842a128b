//! Messages under way between replicas.

use crate::kernel::ids::*;
use crate::msg::{ChainMsg, Msg};
use std::sync::Arc;

/// A message that was sent and may arrive at any later time, or never.
#[derive(Clone)]
pub struct Flight {
    pub number: u64,
    pub from: NodeId,
    pub to: NodeId,
    pub fleet: FleetId,
    pub msg: Arc<Msg>,
}

impl Flight {
    /// A message that only repeats the sender's present state: the newest one between two replicas stands for all.
    pub fn supersedes(&self, older: &Flight) -> bool {
        let same_link = self.from == older.from && self.to == older.to;
        let Some(kind) = repeated_kind(&self.msg) else { return false };
        same_link && repeated_kind(&older.msg) == Some(kind)
    }

    pub fn name(&self) -> &'static str {
        let Msg::Chain(msg) = &*self.msg else { return "other" };
        match msg {
            ChainMsg::Pledge { .. } => "pledge request",
            ChainMsg::Pledged { .. } => "pledge",
            ChainMsg::Append { .. } => "append",
            ChainMsg::Progress { .. } => "progress",
            ChainMsg::Heartbeat { .. } => "heartbeat",
            ChainMsg::Join { .. } => "join",
            ChainMsg::Snapshot { .. } => "snapshot",
            ChainMsg::Follow { .. } => "follow",
            ChainMsg::Prepare { .. } => "prepare",
            ChainMsg::Promise { .. } => "promise",
            ChainMsg::Accept { .. } => "accept",
            ChainMsg::Accepted { .. } => "accepted",
            ChainMsg::Nack { .. } => "nack",
            ChainMsg::ViewDecided { .. } => "view decided",
            ChainMsg::LeaseRequest { .. } => "lease request",
            ChainMsg::LeaseGrant { .. } => "lease grant",
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
        ChainMsg::Join { .. } | ChainMsg::JoinHeard => Some(RepeatedKind::Join),
        _ => None,
    }
}

/// Whether losing or delaying this one message by itself is worth a step of its own.
pub fn carries_state(msg: &Msg) -> bool {
    let Msg::Chain(msg) = msg else { return true };
    match msg {
        ChainMsg::Heartbeat { .. } | ChainMsg::Progress { .. } => false,
        ChainMsg::JoinHeard | ChainMsg::Join { .. } => false,
        ChainMsg::Append { entries, .. } => !entries.is_empty(),
        _ => true,
    }
}
