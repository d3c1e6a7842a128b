//! Messages between nodes: the envelope, the message kinds and the calls that operators make.
//!
//! Each module defines the payload of its own messages; this module names every kind once and re-exports the
//! payload types. The encoding is in [`crate::wire`].

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

/// A message with its sender, receiver and the sender's fleet.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Envelope {
    /// The node that sent it.
    pub from: NodeId,
    /// The node it is addressed to; `NodeId(0)` if the sender does not know it yet.
    pub to: NodeId,
    /// The fleet of the sender; 0 while it belongs to none.
    pub fleet: FleetId,
    /// The address at which the sender accepts messages.
    pub addr: SocketAddr,
    /// The payload.
    pub msg: Msg,
}

/// The kinds of messages between nodes.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum Msg {
    /// A node that does not know its peer introduces itself.
    Hello {
        /// The sender.
        me: Member,
        /// Whether the sender belongs to no fleet yet.
        empty: bool,
        /// Digest of the sender's membership table.
        digest: u64,
    },
    /// Answers `Hello`; carries the membership if the digests differ.
    Welcome {
        /// Whether the sender belongs to no fleet yet.
        empty: bool,
        /// The membership rows that the receiver lacks.
        gossip: Option<Box<Gossip>>,
    },
    /// Failure detector probe with piggybacked membership.
    Ping(Box<Gossip>),
    /// Answers `Ping`.
    Pong(Box<Gossip>),
    /// Membership rows without a probe.
    Gossip(Box<Gossip>),
    /// The sender has not heard from these nodes and asks whether the receiver has.
    Suspect { who: Vec<NodeId> },
    /// Asks for the whole membership table.
    GossipRequest,
    /// Replication between the controllers of the chain.
    Chain(ChainMsg),
    /// Asks for newer versions of topics.
    UpdateRequest {
        /// Returned in the reply.
        nonce: u64,
        /// Whether the request is for the tail itself and not for a relay node.
        direct: bool,
        /// The topics and the versions that the sender has.
        have: Vec<(Scope, Version)>,
    },
    /// Answers `UpdateRequest`.
    UpdateReply {
        /// That of the request.
        nonce: u64,
        /// The topics with their newest content.
        items: Vec<TopicUpdate>,
    },
    /// New topic versions, sent unasked to recent subscribers.
    UpdatePush {
        /// The topics with their newest content.
        items: Vec<TopicUpdate>,
    },
    /// The receiver of an `UpdateRequest` is not the tail.
    UpdateRefused {
        /// That of the request.
        nonce: u64,
        /// The newest chain view that it knows.
        view: Option<View>,
    },
    /// A router asks for a serving lease.
    ServingLeaseRequest(ServingLeaseRequest),
    /// The tail grants a serving lease.
    ServingLeaseGrant(ServingLeaseGrant),
    /// A change that an operator sent to another node, on its way to the head.
    OperatorCall {
        /// The change.
        id: ChangeId,
        /// Distinguishes this attempt from earlier ones with the same change id.
        attempt: u64,
        /// What is asked for.
        op: OperatorCall,
    },
    /// The head is working on the change.
    CallPending {
        /// The change.
        id: ChangeId,
        /// The attempt.
        attempt: u64,
    },
    /// The head's final answer to a change.
    CallAnswer {
        /// The change.
        id: ChangeId,
        /// The attempt.
        attempt: u64,
        /// The answer for the operator.
        answer: Answer,
    },
    /// An operator's read, on its way to the tail.
    ReadCall {
        /// The attempt, unique for each read.
        attempt: u64,
        /// What is read, as in the admin interface after `/v1/`.
        path: String,
    },
    /// The tail's answer to a read.
    ReadAnswer {
        /// The attempt.
        attempt: u64,
        /// The answer for the operator.
        answer: Answer,
    },
    /// A router reports its load, moves and rehearsals.
    RouterReport(Arc<RouterReport>),
    /// Asks a router to request updates now, because a candidate configuration is to be rehearsed.
    RequestUpdates,
    /// Models and adapters that requests at the sending router wait for and no runner holds.
    UnmetDemand(Vec<UnmetDemand>),
    /// What the runners hold, from the holder of the placement duty to routers.
    Holdings(Arc<HoldingsUpdate>),
    /// Asks the holder of the placement duty for all holdings.
    HoldingsRequest,
    /// A controller has read the list of runners.
    ListRead(Box<ListRead>),
    /// Runners that the list shows as leaving, sent to routers without delay.
    RunnersLeaving(Vec<Name>),
    /// Quota messages between routers and the quota owners.
    Constraint(ConstraintMsg),
}

impl Msg {
    /// The name of this kind of message in step times and simulator figures.
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

/// A change that an operator, or another node, asks the head to make.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum OperatorCall {
    /// Replaces the whole configuration, given in the product's own format.
    ReplaceConfig { base: Option<Version>, text: String },
    /// Merges a partial document into the configuration, in the product's own format.
    PatchConfig { base: Option<Version>, text: String },
    /// Replaces or patches the configuration in the platform's format; `base` is a revision.
    PlatformConfig { base: Option<u64>, part: bool, text: String },
    /// Replaces the list of runners.
    SetRunners(Vec<Runner>),
    /// Marks a runner as leaving.
    MarkLeaving(Name),
    /// Asks the placement duty for a plan.
    ProposePlan,
    /// Accepts the proposed plan of this version.
    AcceptPlan(Version),
    /// Moves a model between two runners and then loads `want`, if it is not empty, on `from`.
    MoveModel { service: Name, model: Name, from: Name, to: Name, want: Name },
    /// A change that the fleet makes itself.
    Internal(Change),
}

impl OperatorCall {
    /// The digest that identifies a call that came as such and not as a document.
    pub fn document(&self) -> DocumentDigest {
        DocumentDigest::of(&[&bitcode::encode(self)])
    }
}

/// The answer to an operator.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The JSON body.
    pub body: String,
    /// After how many seconds to ask again; 0 means that a repetition does not help.
    pub retry_s: u64,
    /// Where another controller accepts operators' calls, if this node can't answer.
    pub redirect: Option<SocketAddr>,
}
