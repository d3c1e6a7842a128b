//! Messages between controllers about the view, the chain and its leases, and the records they keep on disk.

use super::acceptor::AcceptedView;
use super::ledger_transfer::LeaseLedger;
use super::view::View;
use crate::distribution::messages::LeaseApplication;
use crate::fleet::FleetState;
use crate::fleet::state::Change;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::membership::messages::Member;
use bitcode::{Decode, Encode};
use std::sync::Arc;

/// A change at its position in the replication log.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Entry {
    /// The version that the change leads to: its position in the log.
    pub at: Version,
    /// The view in which the head appended it.
    pub view: ViewNo,
    /// The change itself.
    pub change: Arc<Change>,
}

/// Messages between controllers about the view, the chain and its leases.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum ChainMsg {
    /// A founder asks the first members to pledge themselves to its fleet.
    PledgeRequest { fleet: FleetId, members: Vec<NodeId>, sent: Time },
    /// The pledge is synced; `sent` repeats the time of the request.
    PledgeReply { fleet: FleetId, sent: Time },
    /// Entries for the next member. An empty announcement only tells it the last entry of the sender.
    Append { view: ViewNo, is_announcement: bool, log_last: Version, entries: Vec<Entry> },
    /// What the sender has synced and committed, and what all members from it to the tail have synced.
    Progress { view: ViewNo, synced: Version, committed: Version, synced_to_tail: Version },
    /// Sent to all members and voters of the view.
    Heartbeat {
        view: ViewNo,
        has_room: bool,
        /// The sender hears no majority, or cannot write to its disk.
        is_impaired: bool,
        is_leaving: bool,
    },
    /// A node outside the chain asks to join; `synced` is the last entry it holds.
    JoinRequest { synced: Version, is_following: bool },
    /// A member other than the tail confirms that it is in touch with the joining node.
    JoinAck,
    /// The whole state as of version `at`.
    Snapshot { at: Version, state: Box<FleetState> },
    /// Entries after the snapshot for a joining node, and what the tail has committed.
    CatchUp { entries: Vec<Entry>, committed: Version },
    /// Paxos phase 1. `lost_member` was silent for `silence` at the proposer; none if nobody is left out.
    Prepare { view_no: ViewNo, ballot: Ballot, lost_member: Option<NodeId>, silence: Span },
    /// The voter refuses lower ballots from now on, and reports what it has accepted so far.
    Promise { view_no: ViewNo, ballot: Ballot, accepted: Option<AcceptedView> },
    /// Paxos phase 2.
    Accept { ballot: Ballot, view: View },
    /// The voter has synced the view under this ballot.
    Accepted { view_no: ViewNo, ballot: Ballot },
    /// The ballot was too low; `ballot` is the highest one promised.
    Nack { view_no: ViewNo, ballot: Ballot },
    /// A majority has accepted this view.
    ViewDecided { view: View },
    /// The tail asks the voters for its lease; `sent` is its own clock.
    LeaseRequest { view: ViewNo, sent: Time },
    /// A voter grants the lease requested at `sent`.
    LeaseGrant { view: ViewNo, sent: Time },
    /// The tail no longer uses its lease; `sent` is the time of its last request.
    LeaseReturned { view: ViewNo, sent: Time },
    /// Requests of routers for serving leases. Each member records them before the next one; the tail grants them.
    LeaseApplications { view: ViewNo, rows: Vec<LeaseApplication> },
    /// Changes up to `upto` may be acknowledged: no router serves an older state for longer than allowed.
    Released { view: ViewNo, upto: Version },
    /// The head asks the tail to confirm that the view is current, and up to where it has committed.
    ReadIndexRequest { view: ViewNo, sent: Time },
    /// The tail held its lease in `view` when it answered, and had committed up to `committed`.
    ReadIndexReply { view: ViewNo, sent: Time, committed: Version },
    /// A new or restarted member asks its predecessor for the ledger of serving leases.
    LeaseLedgerRequest { view: ViewNo, nonce: u64 },
    /// The predecessor's ledger, in answer to the request with this nonce.
    LeaseLedger { view: ViewNo, nonce: u64, ledger: LeaseLedger },
}

impl ChainMsg {
    /// The name of the message kind, for statistics.
    pub fn kind(&self) -> &'static str {
        match self {
            ChainMsg::PledgeRequest { .. } | ChainMsg::PledgeReply { .. } => "pledge",
            ChainMsg::Append { .. } => "append",
            ChainMsg::Progress { .. } => "progress",
            ChainMsg::Heartbeat { .. } => "heartbeat",
            ChainMsg::JoinRequest { .. } | ChainMsg::JoinAck => "chain join",
            ChainMsg::Snapshot { .. } | ChainMsg::CatchUp { .. } => "chain catch-up",
            ChainMsg::Prepare { .. }
            | ChainMsg::Promise { .. }
            | ChainMsg::Accept { .. }
            | ChainMsg::Accepted { .. }
            | ChainMsg::Nack { .. }
            | ChainMsg::ViewDecided { .. } => "view change",
            ChainMsg::LeaseRequest { .. } | ChainMsg::LeaseGrant { .. } | ChainMsg::LeaseReturned { .. } => {
                "chain lease"
            }
            ChainMsg::LeaseApplications { .. } => "lease applications",
            ChainMsg::Released { .. } => "released",
            ChainMsg::ReadIndexRequest { .. } | ChainMsg::ReadIndexReply { .. } => "read index",
            ChainMsg::LeaseLedgerRequest { .. } | ChainMsg::LeaseLedger { .. } => "lease ledger",
        }
    }
}

/// A record in the log file of a controller.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum Record {
    /// The id of this node.
    Ident { node: NodeId },
    /// The fleet it belongs to.
    Fleet { fleet: FleetId },
    /// A pledge to found a fleet with these members; fleet 0 withdraws it.
    Pledge { fleet: FleetId, members: Vec<NodeId> },
    /// An installed view.
    View { view: View },
    /// The highest ballot promised as a voter.
    Promise { view_no: ViewNo, ballot: Ballot },
    /// A view accepted as a voter.
    Accept { ballot: Ballot, view: View },
    /// An entry of the replication log.
    Entry { entry: Box<Entry> },
    /// This node was ready in the view.
    Ready { view: ViewNo },
    /// The state at version `at`, whose entry was appended in `base_view`; all before it was dropped from the log.
    Snapshot { at: Version, base_view: ViewNo, state: Box<FleetState> },
    /// No longer written; ignored when read.
    Book { rows: Vec<Member> },
}

/// This node's current role in the chain, for its other components.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct ChainRole {
    /// Whether it is the head and has applied all entries of the views before.
    pub is_head: bool,
    /// Whether it is the tail.
    pub is_tail: bool,
    /// Whether it holds all that was committed before this view.
    pub is_ready: bool,
    /// How many members the chain has.
    pub copies: usize,
    /// How many members must hold a change before it is acknowledged.
    pub required_copies: usize,
    /// Whether enough members hold all that is committed here.
    pub can_acknowledge: bool,
    /// Whether enough other members have room on their disks.
    pub peers_have_room: bool,
    /// Until when the lease of the tail runs; 0 on other members.
    pub lease_until: Time,
    /// The last entry in its log.
    pub last_entry: Version,
    /// The view in which this node has the role; 0 without a view.
    pub view: ViewNo,
    /// Whether no majority of the voters was heard lately.
    pub is_isolated: bool,
}
