//! Messages between controllers, and the records that they keep on disk.

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

/// A change at its place in the chain, and the view in which the head placed it there.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Entry {
    pub at: Version,
    pub view: ViewNo,
    pub change: Arc<Change>,
}

/// What controllers say to each other about the view, the chain and its lease.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum ChainMsg {
    PledgeRequest {
        fleet: FleetId,
        members: Vec<NodeId>,
        sent: Time,
    },
    PledgeReply {
        fleet: FleetId,
        sent: Time,
    },
    Append {
        view: ViewNo,
        is_announcement: bool,
        log_last: Version,
        entries: Vec<Entry>,
    },
    Progress {
        view: ViewNo,
        synced: Version,
        committed: Version,
        synced_to_tail: Version,
    },
    Heartbeat {
        view: ViewNo,
        has_room: bool,
        /// The sender hears no majority, or cannot write.
        is_impaired: bool,
        is_leaving: bool,
    },
    JoinRequest {
        synced: Version,
        is_following: bool,
    },
    JoinAck,
    Snapshot {
        at: Version,
        state: Box<FleetState>,
    },
    CatchUp {
        entries: Vec<Entry>,
        committed: Version,
    },
    Prepare {
        view_no: ViewNo,
        ballot: Ballot,
        lost_member: Option<NodeId>,
        silence: Span,
    },
    Promise {
        view_no: ViewNo,
        ballot: Ballot,
        accepted: Option<AcceptedView>,
    },
    Accept {
        ballot: Ballot,
        view: View,
    },
    Accepted {
        view_no: ViewNo,
        ballot: Ballot,
    },
    Nack {
        view_no: ViewNo,
        ballot: Ballot,
    },
    ViewDecided {
        view: View,
    },
    LeaseRequest {
        view: ViewNo,
        sent: Time,
    },
    LeaseGrant {
        view: ViewNo,
        sent: Time,
    },
    /// The tail uses its lease no longer; `sent` is that of its last request.
    LeaseReturned {
        view: ViewNo,
        sent: Time,
    },
    /// Routers ask for serving leases; each member records them before the next one, the tail grants them.
    LeaseApplications {
        view: ViewNo,
        rows: Vec<LeaseApplication>,
    },
    /// Changes up to `upto` are released: no router serves by anything older for longer than allowed.
    Released {
        view: ViewNo,
        upto: Version,
    },
    /// The head asks the tail to confirm that the view is current and what was committed in it.
    ReadIndexRequest {
        view: ViewNo,
        sent: Time,
    },
    /// The tail held its lease in `view` when it answered, and nothing was committed after `committed`.
    ReadIndexReply {
        view: ViewNo,
        sent: Time,
        committed: Version,
    },
    /// A member that is new in the chain or was restarted asks its predecessor for the ledger of serving leases.
    LeaseLedgerRequest {
        view: ViewNo,
        nonce: u64,
    },
    /// The predecessor's ledger of serving leases, in answer to the request with this nonce.
    LeaseLedger {
        view: ViewNo,
        nonce: u64,
        ledger: LeaseLedger,
    },
}

impl ChainMsg {
    /// Its kind, for figures.
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

/// What a controller keeps on its disk.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum Record {
    Ident { node: NodeId },
    Fleet { fleet: FleetId },
    Pledge { fleet: FleetId, members: Vec<NodeId> },
    View { view: View },
    Promise { view_no: ViewNo, ballot: Ballot },
    Accept { ballot: Ballot, view: View },
    Entry { entry: Box<Entry> },
    Ready { view: ViewNo },
    Snapshot { at: Version, tag: ViewNo, state: Box<FleetState> },
    Book { rows: Vec<Member> },
}

/// What this node is in the chain at this moment, for its other components.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct ChainRole {
    pub is_head: bool,
    pub is_tail: bool,
    pub is_ready: bool,
    pub copies: usize,
    pub required_copies: usize,
    pub can_acknowledge: bool,
    pub peers_have_room: bool,
    pub lease_until: Time,
    pub last_entry: Version,
    /// The view in which this node holds the role.
    pub view: ViewNo,
    /// No majority of the voters was heard lately.
    pub is_isolated: bool,
}
