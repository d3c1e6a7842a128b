//! The envelope between nodes. Each module owns its own messages; they are named here once for all.

pub use crate::chain::messages::*;
use crate::chain::view::View;
pub use crate::constraints::messages::ConstraintMsg;
pub use crate::distribution::messages::{
    LeaseApplication, LeaseNumber, ServingLeaseGrant, ServingLeaseRequest, TopicUpdate,
};
use crate::fleet::holdings::{HoldingsUpdate, UnmetDemand};
use crate::fleet::runner::Runner;
use crate::fleet::state::{Change, Scope};
pub use crate::kernel::event::*;
use crate::kernel::ids::*;
pub use crate::membership::messages::*;
pub use crate::router_report::*;
use crate::runner_list::messages::ListRead;
use bitcode::{Decode, Encode};
use std::net::SocketAddr;
use std::sync::Arc;

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Envelope {
    pub from: NodeId,
    pub to: NodeId,
    pub fleet: FleetId,
    pub addr: SocketAddr,
    pub msg: Msg,
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum Msg {
    Hello {
        me: Member,
        empty: bool,
        digest: u64,
    },
    Welcome {
        empty: bool,
        gossip: Option<Box<Gossip>>,
    },
    Ping(Box<Gossip>),
    Pong(Box<Gossip>),
    Gossip(Box<Gossip>),
    Suspect {
        who: Vec<NodeId>,
    },
    GossipRequest,
    Chain(ChainMsg),
    UpdateRequest {
        nonce: u64,
        direct: bool,
        have: Vec<(Scope, Version)>,
    },
    UpdateReply {
        nonce: u64,
        items: Vec<TopicUpdate>,
    },
    UpdatePush {
        items: Vec<TopicUpdate>,
    },
    UpdateRefused {
        nonce: u64,
        view: Option<View>,
    },
    ServingLeaseRequest(ServingLeaseRequest),
    ServingLeaseGrant(ServingLeaseGrant),
    OperatorCall {
        id: ChangeId,
        attempt: u64,
        op: OperatorCall,
    },
    CallPending {
        id: ChangeId,
        attempt: u64,
    },
    CallAnswer {
        id: ChangeId,
        attempt: u64,
        answer: Answer,
    },
    ReadCall {
        attempt: u64,
        path: String,
    },
    ReadAnswer {
        attempt: u64,
        answer: Answer,
    },
    RouterReport(Arc<RouterReport>),
    RequestUpdates,
    UnmetDemand(Vec<UnmetDemand>),
    Holdings(Arc<HoldingsUpdate>),
    HoldingsRequest,
    /// A controller has read the list of runners.
    ListRead(Box<ListRead>),
    /// Runners that the list shows as leaving, told to routers at once.
    RunnersLeaving(Vec<Name>),
    /// What routers and owners say about quotas.
    Constraint(ConstraintMsg),
}

impl Msg {
    /// Its kind, for figures.
    pub fn kind(&self) -> &'static str {
        match self {
            Msg::Hello { .. } => "hello",
            Msg::Welcome { .. } => "welcome",
            Msg::Ping(_) => "ping",
            Msg::Pong(_) => "pong",
            Msg::Gossip(_) => "gossip",
            Msg::Suspect { .. } => "doubt",
            Msg::GossipRequest => "sync",
            Msg::Chain(msg) => msg.kind(),
            Msg::UpdateRequest { .. } => "update request",
            Msg::UpdateReply { .. } => "update reply",
            Msg::UpdatePush { .. } => "update push",
            Msg::UpdateRefused { .. } => "update refused",
            Msg::ServingLeaseRequest(_) => "serving lease request",
            Msg::ServingLeaseGrant(_) => "serving lease grant",
            Msg::OperatorCall { .. } | Msg::CallPending { .. } | Msg::CallAnswer { .. } => "passed call",
            Msg::ReadCall { .. } | Msg::ReadAnswer { .. } => "passed read",
            Msg::RouterReport(_) => "tell",
            Msg::RequestUpdates => "nudge",
            Msg::UnmetDemand(_) => "want",
            Msg::Holdings(_) => "holdings",
            Msg::HoldingsRequest => "holdings request",
            Msg::ListRead(_) => "list read",
            Msg::RunnersLeaving(_) => "runners leaving",
            Msg::Constraint(_) => "quota",
        }
    }
}

/// What an operator, or another node, asks of the head.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum OperatorCall {
    ReplaceConfig { base: Option<Version>, text: String },
    PatchConfig { base: Option<Version>, text: String },
    PlatformConfig { base: Option<u64>, part: bool, text: String },
    SetRunners(Vec<Runner>),
    MarkLeaving(Name),
    ProposePlan,
    AcceptPlan(Version),
    MoveModel { service: Name, model: Name, from: Name, to: Name, want: Name },
    Internal(Change),
}

impl OperatorCall {
    /// The digest of what is asked for, for calls that come in as such and not as a document.
    pub fn document(&self) -> DocumentDigest {
        DocumentDigest::of(&[&bitcode::encode(self)])
    }
}

/// The answer to an operator: `retry_s` tells when to ask again, 0 for never.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Answer {
    pub status: u16,
    pub body: String,
    pub retry_s: u64,
    /// Where another controller takes operators' calls, if this node can't answer.
    pub redirect: Option<SocketAddr>,
}
