//! The `Chain` component: one controller's state in the chain, and the dispatch of events to the modules around it.

use super::acceptor::Acceptor;
use super::founding::Founder;
use super::join::Joiner;
use super::lease::Lease;
use super::leaving::{Departure, PeerState};
use super::replicate::SuccessorProgress;
use super::replication_log::ReplicationLog;
use super::view::View;
use super::view_change::ViewProposal;
use crate::fleet::FleetState;
use crate::kernel::component::{Component, Context};
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// How often a member sends heartbeats to the other members and voters.
pub const HEARTBEAT_INTERVAL: Span = Span::ms(150);
/// A node that has sent nothing for this long counts as lost.
pub const SILENCE_LIMIT: Span = Span::ms(600);

/// The state of one controller in the chain.
#[derive(Clone)]
pub struct Chain {
    /// The fleet that this node belongs to; 0 before it has joined one.
    pub fleet: FleetId,
    /// The newest decided view that this node knows.
    pub view: Option<View>,
    /// The entries appended here, committed or not.
    pub log: ReplicationLog,
    /// The last version applied to the state.
    pub committed: Version,
    /// The last entry held when the view was installed. A new head acts as head only once it has applied all of
    /// them.
    pub inherited_up_to: Version,
    /// Whether this member holds all that was committed before the current view.
    pub is_ready: bool,
    /// The last view in which it was ready, as synced to disk.
    pub ready_in_view: Option<ViewNo>,
    /// What the next member of the chain has synced, and what was sent to it.
    pub successor: SuccessorProgress,
    /// When each node last sent something that shows it to be working; see `note_heard`.
    pub last_alive_at: BTreeMap<NodeId, Time>,
    /// When anything last came from each node, even from one that cannot write.
    pub last_reached_at: BTreeMap<NodeId, Time>,
    /// This node's side of the agreement as a voter.
    pub acceptor: Acceptor,
    /// This node's own proposal of the next view, while one is under way.
    pub proposal: Option<ViewProposal>,
    /// The tail's lease, if this node is the tail.
    pub lease: Lease,
    /// State kept while joining the chain.
    pub joiner: Joiner,
    /// State kept while founding a fleet.
    pub founder: Founder,
    /// When heartbeats were last sent.
    pub heartbeat_sent_at: Time,
    /// The state from the snapshot on disk, published at start.
    pub restored_state: Option<Arc<FleetState>>,
    /// The id of this node.
    pub node_id: NodeId,
    /// When this process started.
    pub started_at: Time,
    /// When the last tick ran.
    pub ticked_at: Time,
    /// Whether no majority of the voters was heard at the last tick.
    pub is_isolated: bool,
    /// When the current view was installed here.
    pub view_installed_at: Time,
    /// The version that the next member and all members after it have synced, as it reported.
    pub successor_synced_to_tail: Version,
    /// What each other controller said of itself in its last heartbeat.
    pub peers: BTreeMap<NodeId, PeerState>,
    /// Set once this node was told to stop.
    pub departure: Option<Departure>,
    /// When this node last became ready.
    pub ready_since: Time,
    /// The readiness that was last reported to the process (`Effect::Ready`).
    pub(super) has_reported_ready: bool,
}

impl Chain {
    /// A chain member with the state restored from its records on disk.
    pub fn new(node_id: NodeId, records: Vec<Record>, started_at: Time) -> Chain {
        let mut chain = Chain {
            fleet: FleetId(0),
            view: None,
            log: ReplicationLog::default(),
            committed: Version(0),
            inherited_up_to: Version(0),
            is_ready: false,
            ready_in_view: None,
            successor: SuccessorProgress::default(),
            last_alive_at: BTreeMap::new(),
            last_reached_at: BTreeMap::new(),
            acceptor: Acceptor::default(),
            proposal: None,
            lease: Lease::default(),
            joiner: Joiner::default(),
            founder: Founder::default(),
            heartbeat_sent_at: Time(0),
            restored_state: None,
            node_id,
            started_at,
            ticked_at: started_at,
            is_isolated: false,
            view_installed_at: started_at,
            successor_synced_to_tail: Version(0),
            peers: BTreeMap::new(),
            departure: None,
            ready_since: started_at,
            has_reported_ready: false,
        };
        for record in records {
            chain.restore_record(record);
        }
        chain
    }

    /// Whether this node is a member of the chain in its view.
    pub fn in_chain(&self) -> bool {
        self.view.as_ref().is_some_and(|v| v.has(self.node_id))
    }

    /// Whether this node is the tail of its view.
    pub fn is_tail(&self) -> bool {
        self.view.as_ref().is_some_and(|v| v.tail() == Some(self.node_id))
    }

    /// Whether this node is the head of its view.
    pub fn is_head(&self) -> bool {
        self.view.as_ref().is_some_and(|v| v.head() == Some(self.node_id))
    }

    fn start(&mut self, ctx: &mut Context) {
        if self.fleet != FleetId(0) {
            ctx.publish(JournalEvent::Fleet(self.fleet));
        }
        if let Some(state) = self.restored_state.take() {
            ctx.publish(JournalEvent::StateLoaded(state));
        }
        self.inherited_up_to = self.log.last();
        if let Some(view) = self.view.clone() {
            for node in view.nodes() {
                self.mark_alive(node, ctx.now);
            }
            self.is_ready = view.head() == Some(self.node_id) || self.ready_in_view == Some(view.no);
            ctx.publish(JournalEvent::ViewInstalled(view));
            self.commit_if_tail(ctx);
        }
    }

    /// Replaces committed entries with a snapshot once there are enough of them.
    pub fn trim_log(&mut self, ctx: &mut Context) {
        if !self.log.is_trim_due(self.committed) {
            return;
        }
        self.log.trim(self.committed);
        let rows = self.records(&ctx.views.state);
        ctx.effects.push(Effect::Rewrite(rows));
    }

    fn on_chain_message(&mut self, from: NodeId, fleet: FleetId, msg: &ChainMsg, ctx: &mut Context) {
        self.note_heard(from, msg, ctx.now);
        match msg {
            ChainMsg::PledgeRequest { fleet, members, sent } => {
                self.on_pledge_request(from, *fleet, members, *sent, ctx)
            }
            ChainMsg::PledgeReply { fleet, sent } => self.on_pledge_reply(from, *fleet, *sent, ctx),
            ChainMsg::Append { view, log_last, entries, .. } => {
                self.on_append(from, *view, *log_last, entries, ctx)
            }
            ChainMsg::Progress { .. } => self.on_progress(from, msg, ctx),
            ChainMsg::Heartbeat { view, has_room, is_leaving, is_impaired } => {
                let state =
                    PeerState { is_impaired: *is_impaired, has_room: *has_room, is_leaving: *is_leaving };
                self.on_heartbeat(from, *view, state, ctx)
            }
            ChainMsg::JoinRequest { synced, is_following } => self.on_join(from, *synced, *is_following, ctx),
            ChainMsg::JoinAck => drop(self.joiner.answered_at.insert(from, ctx.now)),
            ChainMsg::Snapshot { at, state } => self.on_snapshot(from, *at, state, ctx),
            ChainMsg::CatchUp { entries, .. } => self.on_catch_up(from, entries, ctx),
            ChainMsg::Prepare { .. } => self.on_prepare(from, msg, ctx),
            ChainMsg::Accept { ballot, view } => self.on_accept(from, *ballot, view, ctx),
            ChainMsg::Promise { view_no, ballot, accepted } => {
                self.on_promise(from, *view_no, *ballot, accepted, ctx)
            }
            ChainMsg::Accepted { view_no, ballot } => self.on_accepted(from, *view_no, *ballot, ctx),
            ChainMsg::Nack { view_no, ballot } => self.on_nack(*view_no, *ballot, ctx),
            ChainMsg::ViewDecided { view } => {
                if self.fleet == fleet && fleet != FleetId(0) {
                    self.install(view.clone(), ctx);
                }
            }
            ChainMsg::LeaseRequest { view, sent } => self.on_lease_request(from, *view, *sent, ctx),
            ChainMsg::LeaseGrant { view, sent } => self.on_lease_grant(from, *view, *sent),
            ChainMsg::LeaseReturned { view, sent } => self.on_lease_returned(from, *view, *sent, ctx),
            ChainMsg::LeaseApplications { .. }
            | ChainMsg::LeaseLedgerRequest { .. }
            | ChainMsg::LeaseLedger { .. }
            | ChainMsg::Released { .. }
            | ChainMsg::ReadIndexRequest { .. }
            | ChainMsg::ReadIndexReply { .. } => {}
        }
    }
}

impl Component for Chain {
    fn name(&self) -> &'static str {
        "chain"
    }

    fn on(&mut self, ev: &Event, ctx: &mut Context) {
        match ev {
            Event::Start => self.start(ctx),
            Event::Tick => self.tick(ctx),
            Event::StopAnnounced => self.begin_leaving(ctx),
            Event::Message { from, fleet, msg } => {
                self.join_fleet(*fleet, ctx);
                if let Msg::Welcome { empty, .. } = msg {
                    self.founder.on_welcome(*from, *empty, ctx.now);
                }
                if let Msg::Chain(msg) = msg {
                    self.on_chain_message(*from, *fleet, msg, ctx);
                }
            }
            Event::Journal(JournalEvent::Submitted(change)) => self.submit(change, ctx),
            Event::Journal(JournalEvent::ViewHeard(view)) if self.fleet != FleetId(0) => {
                self.install(view.clone(), ctx)
            }
            _ => {}
        }
        self.publish_role(ctx);
    }

    fn status(&self, now: Time) -> Vec<(&'static str, String)> {
        vec![
            ("view", self.view.as_ref().map_or("none".into(), |v| v.to_string())),
            ("synced", self.log.last().to_string()),
            ("committed", self.committed.to_string()),
            ("ready", self.is_ready.to_string()),
            ("term_left", self.lease.valid_until.since(now).to_string()),
            ("log_rows", self.log.entry_count().to_string()),
            ("log_bytes", self.log.bytes().to_string()),
        ]
    }
}
