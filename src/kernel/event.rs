//! What enters a node, what its components tell each other, and what leaves it.

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

/// What the components of a node tell each other; views are derived from it.
#[derive(Clone, Debug)]
pub enum JournalEvent {
    Fleet(FleetId),
    Members(Arc<Vec<MemberRow>>),
    ViewHeard(View),
    ViewInstalled(View),
    MemberReady(ViewNo),
    Committed {
        at: Version,
        change: Arc<Change>,
    },
    StateLoaded(Arc<FleetState>),
    Submitted(Arc<Change>),
    Role(ChainRole),
    /// This node has installed the first view of a new fleet: no other tail was there before.
    Founded,
    /// Changes up to this version may be acknowledged (see `chain::serving_leases`).
    Released(Version),
    RunnerMarked(Name),
    Text(&'static str, String),
}

/// What a node reacts to.
#[derive(Clone, Debug)]
pub enum Event {
    Start,
    /// The timed work that others wait for: heartbeats, leases, pings. Never held up by anything that waits.
    Tick,
    /// The timed work of the duties (rollout, placement), done between more urgent inputs.
    DutyTick,
    Message {
        from: NodeId,
        fleet: FleetId,
        msg: Msg,
    },
    OperatorCall {
        id: ChangeId,
        op: OperatorCall,
    },
    ReadCall {
        id: ChangeId,
        path: String,
    },
    RunnerReport {
        instance: Name,
        report: Option<RunnerReport>,
    },
    OrderAnswered {
        order: OrderId,
        status: u16,
    },
    RouterState(Arc<RouterReport>),
    RunnersListed(RunnerListing),
    NameWanted(UnmetDemand),
    QuotaWanted(QuotaDemand),
    StopAnnounced,
    Journal(JournalEvent),
}

/// An order to a runner to load or unload, under the term of the placement duty.
#[derive(Clone, Debug)]
pub struct RunnerOrder {
    pub order: OrderId,
    pub term: Term,
    pub runner: Runner,
    pub load: bool,
    pub name: Name,
    pub adapter: bool,
    /// How many orders the runner has taken as far as this one's sender knows; it is void if that is no longer so.
    pub expected: u64,
    pub due: Time,
}

/// What a node asks its driver (daemon, simulator or explorer) to do.
#[derive(Clone, Debug)]
pub enum Effect {
    Send {
        to: NodeId,
        msg: Msg,
    },
    SendAt {
        addr: SocketAddr,
        msg: Msg,
    },
    Save(Record),
    Rewrite(Vec<Record>),
    Reset(String),
    Answer {
        id: ChangeId,
        answer: Answer,
    },
    OrderRunner(RunnerOrder),
    RouterCount(u64),
    PollRunners(Vec<Runner>),
    HoldsDuty(bool),
    /// The list of runners is to be read once, now.
    ReadList,
    PollRunner(Name),
    Holdings(Vec<RunnerHoldings>),
    RunnerLeaving(Name),
    Ready(bool),
    /// These topics may be served by until then, without a newer proof.
    ServingLease {
        scopes: Vec<Scope>,
        until: Time,
    },
    Leaving(Departure),
    /// Owners of quotas have answered.
    QuotaGranted(Vec<Grant>),
    Topic {
        scope: Scope,
        at: Version,
        slice: Option<Slice>,
        proven: Time,
    },
}

impl Event {
    /// Its kind, for figures; messages by their own kind.
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
    pub fn text(&self) -> Option<(&'static str, String)> {
        match self {
            JournalEvent::Text(what, text) => Some((what, text.clone())),
            _ => None,
        }
    }
}
