//! The interfaces of a node: the events that it handles, the events that its components publish to each
//! other, and the effects that it asks its driver for.

use crate::chain::leaving::Departure;
use crate::chain::messages::{ChainRole, Record};
use crate::chain::view::View;
use crate::constraints::shares::{Grant, QuotaDemand};
use crate::fleet::FleetState;
use crate::fleet::holdings::{RunnerHoldings, UnmetDemand};
use crate::fleet::runner::{Runner, RunnerReport};
use crate::fleet::slice::Slice;
use crate::fleet::state::{Change, Scope};
use crate::kernel::ids::*;
use crate::kernel::time::Time;
use crate::membership::messages::MemberRow;
use crate::msg::{Answer, Msg, OperatorCall};
use crate::router_report::RouterReport;
use crate::runner_list::messages::RunnerListing;
use std::net::SocketAddr;
use std::sync::Arc;

/// An event that a component publishes. The other components handle it in the same step, and
/// [`super::component::Views`] is derived from these events.
#[derive(Clone, Debug)]
pub enum JournalEvent {
    /// This node now belongs to the fleet.
    Fleet(FleetId),
    /// The membership changed.
    Members(Arc<Vec<MemberRow>>),
    /// Another node told of this chain view.
    ViewHeard(View),
    /// This node, as a member of the chain, works under this view.
    ViewInstalled(View),
    /// This node has a full copy of the state and is ready in the view.
    MemberReady(ViewNo),
    /// A change was committed.
    Committed {
        /// The version that it made.
        at: Version,
        /// The change.
        change: Arc<Change>,
    },
    /// The state was replaced as a whole, by a snapshot or from disk.
    StateLoaded(Arc<FleetState>),
    /// A component of this node submits a change to the head.
    Submitted(Arc<Change>),
    /// The role of this node in the chain changed.
    Role(ChainRole),
    /// This node installed the first view of a new fleet; there was no earlier tail.
    Founded,
    /// Changes up to this version may be acknowledged (see `chain::serving_leases`).
    Released(Version),
    /// An operator or the list marked the runner as leaving.
    RunnerMarked(Name),
    /// A log event: its name and its text.
    Text(&'static str, String),
}

/// An input of a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// The node starts.
    Start,
    /// Timed work that other nodes depend on: heartbeats, leases, pings. It has its turn even while other
    /// inputs wait.
    Tick,
    /// Timed work of rollout and placement; more urgent inputs go first.
    DutyTick,
    /// A message from another node.
    Message {
        /// The sender.
        from: NodeId,
        /// The sender's fleet.
        fleet: FleetId,
        /// The payload.
        msg: Msg,
    },
    /// An operator asked this node for a change.
    OperatorCall {
        /// Identifies the call in the answer.
        id: ChangeId,
        /// What is asked for.
        op: OperatorCall,
    },
    /// An operator asked this node for a read.
    ReadCall {
        /// Identifies the call in the answer.
        id: ChangeId,
        /// What is read, as in the admin interface after `/v1/`.
        path: String,
    },
    /// A runner was polled.
    RunnerReport {
        /// The runner.
        instance: Name,
        /// Its report; `None` if it gave none.
        report: Option<RunnerReport>,
    },
    /// A runner answered an order to load or unload.
    OrderAnswered {
        /// The order.
        order: OrderId,
        /// The HTTP status; 0 if no answer came.
        status: u16,
    },
    /// What this node's own router reports.
    RouterState(Arc<RouterReport>),
    /// The list of runners was read.
    RunnersListed(RunnerListing),
    /// A request on this node waits for a model or adapter that no runner holds.
    NameWanted(UnmetDemand),
    /// The router of this node needs quota tokens.
    QuotaWanted(QuotaDemand),
    /// The process is about to stop; the node hands over its duties.
    StopAnnounced,
    /// A component of this node published an event.
    Journal(JournalEvent),
}

/// An order to a runner to load or unload, under the term of the placement duty.
#[derive(Clone, Debug)]
pub struct RunnerOrder {
    /// Identifies the order.
    pub order: OrderId,
    /// The term of the sender; runners refuse orders of older terms.
    pub term: Term,
    /// The runner.
    pub runner: Runner,
    /// Whether to load; otherwise to unload.
    pub load: bool,
    /// The model or adapter.
    pub name: Name,
    /// Whether `name` is an adapter.
    pub adapter: bool,
    /// The number of orders that the runner has accepted, as known to the sender; the runner refuses the
    /// order if the number differs.
    pub expected: u64,
    /// The runner must not start the order after this time.
    pub due: Time,
}

/// What a node asks its driver (daemon, simulator or explorer) to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message to a member.
    Send {
        /// The receiver.
        to: NodeId,
        /// The payload.
        msg: Msg,
    },
    /// Send a message to an address whose node is not known.
    SendAt {
        /// The address.
        addr: SocketAddr,
        /// The payload.
        msg: Msg,
    },
    /// Append the record to the disk.
    Save(Record),
    /// Replace all records on the disk.
    Rewrite(Vec<Record>),
    /// Discard the node's state and start it anew, for this reason.
    Reset(String),
    /// Answer an operator's call.
    Answer {
        /// The call.
        id: ChangeId,
        /// The answer.
        answer: Answer,
    },
    /// Send an order to a runner.
    OrderRunner(RunnerOrder),
    /// The number of routers that report, for the metrics.
    RouterCount(u64),
    /// Poll the reports of these runners from now on, and of no others.
    PollRunners(Vec<Runner>),
    /// Whether this node holds the placement duty, and so polls the list of runners.
    HoldsDuty(bool),
    /// Read the list of runners once, now.
    ReadList,
    /// Poll the report of this runner once, now.
    PollRunner(Name),
    /// Give this node's router what the runners hold.
    Holdings(Vec<RunnerHoldings>),
    /// Tell this node's router that the runner is leaving.
    RunnerLeaving(Name),
    /// Whether this controller is ready, for the readiness probe.
    Ready(bool),
    /// The router may serve by these topics until then without a newer proof of freshness.
    ServingLease {
        /// The topics.
        scopes: Vec<Scope>,
        /// The end of the lease.
        until: Time,
    },
    /// How far the departure from the chain has come, for a process that is about to stop.
    Leaving(Departure),
    /// Answers of quota owners, for this node's router.
    QuotaGranted(Vec<Grant>),
    /// Give this node's router the state of a topic.
    Topic {
        /// The topic.
        scope: Scope,
        /// Its version.
        at: Version,
        /// Its content, if it is new.
        slice: Option<Slice>,
        /// When this version was known to be the newest.
        proven: Time,
    },
}

impl Event {
    /// The kind of this input in step times and simulator figures; messages by their own kind.
    pub fn kind(&self) -> &'static str {
        match self {
            Event::Start => "start",
            Event::Tick => "tick",
            Event::DutyTick => "work",
            Event::Message { msg, .. } => msg.kind(),
            Event::OperatorCall { .. } => "operator call",
            Event::ReadCall { .. } => "operator read",
            Event::RunnerReport { .. } => "runner report",
            Event::OrderAnswered { .. } => "order answer",
            Event::RouterState(_) => "router state",
            Event::RunnersListed(_) => "list of runners",
            Event::NameWanted(_) => "wanted name",
            Event::QuotaWanted(_) => "quota wanted",
            Event::StopAnnounced => "warning",
            Event::Journal(_) => "journal",
        }
    }
}

impl JournalEvent {
    /// Name and text, if this is a log event.
    pub fn text(&self) -> Option<(&'static str, String)> {
        match self {
            JournalEvent::Text(what, text) => Some((what, text.clone())),
            _ => None,
        }
    }
}
