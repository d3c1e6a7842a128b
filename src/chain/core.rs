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

pub const HEARTBEAT_INTERVAL: Span = Span::ms(150);
pub const SILENCE_LIMIT: Span = Span::ms(600);

#[derive(Clone)]
pub struct Chain {
    pub fleet: FleetId,
    pub view: Option<View>,
    pub log: ReplicationLog,
    pub committed: Version,
    pub lead_from: Version,
    pub ready: bool,
    pub ready_in: Option<ViewNo>,
    pub successor: SuccessorProgress,
    pub alive_at: BTreeMap<NodeId, Time>,
    pub reached_at: BTreeMap<NodeId, Time>,
    pub acceptor: Acceptor,
    pub proposal: Option<ViewProposal>,
    pub lease: Lease,
    pub joiner: Joiner,
    pub founder: Founder,
    pub beat_at: Time,
    pub load: Option<Arc<FleetState>>,
    pub ident: NodeId,
    pub started: Time,
    pub ticked: Time,
    pub isolated: bool,
    pub viewed: Time,
    pub chain_synced: Version,
    pub peers: BTreeMap<NodeId, PeerState>,
    pub departure: Option<Departure>,
    pub ready_since: Time,
    pub(super) reported_ready: bool,
}

impl Chain {
    pub fn new(ident: NodeId, records: Vec<Record>, started: Time) -> Chain {
        let mut c = Chain {
            fleet: FleetId(0),
            view: None,
            log: ReplicationLog::default(),
            committed: Version(0),
            lead_from: Version(0),
            ready: false,
            ready_in: None,
            successor: SuccessorProgress::default(),
            alive_at: BTreeMap::new(),
            reached_at: BTreeMap::new(),
            acceptor: Acceptor::default(),
            proposal: None,
            lease: Lease::default(),
            joiner: Joiner::default(),
            founder: Founder::default(),
            beat_at: Time(0),
            load: None,
            ident,
            started,
            ticked: started,
            isolated: false,
            viewed: started,
            chain_synced: Version(0),
            peers: BTreeMap::new(),
            departure: None,
            ready_since: started,
            reported_ready: false,
        };
        for r in records {
            c.restore_record(r);
        }
        c
    }

    pub fn in_chain(&self) -> bool {
        self.view.as_ref().is_some_and(|v| v.has(self.ident))
    }

    pub fn is_tail(&self) -> bool {
        self.view.as_ref().is_some_and(|v| v.tail() == Some(self.ident))
    }

    pub fn is_head(&self) -> bool {
        self.view.as_ref().is_some_and(|v| v.head() == Some(self.ident))
    }

    fn start(&mut self, ctx: &mut Context) {
        if self.fleet != FleetId(0) {
            ctx.publish(JournalEvent::Fleet(self.fleet));
        }
        if let Some(state) = self.load.take() {
            ctx.publish(JournalEvent::StateLoaded(state));
        }
        self.lead_from = self.log.last();
        if let Some(view) = self.view.clone() {
            for node in view.all() {
                self.mark_alive(node, ctx.now);
            }
            self.ready = view.head() == Some(self.ident) || self.ready_in == Some(view.no);
            ctx.publish(JournalEvent::ViewInstalled(view));
            self.commit_if_tail(ctx);
        }
    }

    pub fn trim(&mut self, ctx: &mut Context) {
        if !self.log.is_trim_due(self.committed) {
            return;
        }
        self.log.trim(self.committed);
        let rows = self.records(&ctx.views.state);
        ctx.effects.push(Effect::Rewrite(rows));
    }

    fn mail(&mut self, from: NodeId, fleet: FleetId, msg: &ChainMsg, ctx: &mut Context) {
        self.note_heard(from, msg, ctx.now);
        match msg {
            ChainMsg::Pledge { fleet, members, sent } => self.pledge(from, *fleet, members, *sent, ctx),
            ChainMsg::Pledged { fleet, sent } => self.pledged(from, *fleet, *sent, ctx),
            ChainMsg::Append { view, upto, entries, .. } => self.append(from, *view, *upto, entries, ctx),
            ChainMsg::Progress { .. } => self.have(from, msg, ctx),
            ChainMsg::Heartbeat { view, room, leaving, impaired } => {
                let said = PeerState { impaired: *impaired, room: *room, leaving: *leaving };
                self.beat(from, *view, said, ctx)
            }
            ChainMsg::Join { have, following } => self.join_asked(from, *have, *following, ctx),
            ChainMsg::JoinHeard => drop(self.joiner.met.insert(from, ctx.now)),
            ChainMsg::Snapshot { at, state } => self.snapshot(from, *at, state, ctx),
            ChainMsg::Follow { entries, .. } => self.follow(from, entries, ctx),
            ChainMsg::Prepare { .. } => self.prepare_asked(from, msg, ctx),
            ChainMsg::Accept { ballot, view } => self.accept_asked(from, *ballot, view, ctx),
            ChainMsg::Promise { no, ballot, accepted } => self.promised(from, *no, *ballot, accepted, ctx),
            ChainMsg::Accepted { no, ballot } => self.accepted(from, *no, *ballot, ctx),
            ChainMsg::Nack { no, ballot } => self.nack(*no, *ballot, ctx),
            ChainMsg::ViewDecided { view } => {
                if self.fleet == fleet && fleet != FleetId(0) {
                    self.install(view.clone(), ctx);
                }
            }
            ChainMsg::LeaseRequest { view, sent } => self.lease_requested(from, *view, *sent, ctx),
            ChainMsg::LeaseGrant { view, sent } => self.lease_granted(from, *view, *sent),
            ChainMsg::LeaseReturned { view, sent } => self.lease_returned(from, *view, *sent, ctx),
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
                self.adopt(*fleet, ctx);
                if let Msg::Welcome { empty, .. } = msg {
                    self.founder.welcome(*from, *empty, ctx.now);
                }
                if let Msg::Chain(msg) = msg {
                    self.mail(*from, *fleet, msg, ctx);
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
            ("ready", self.ready.to_string()),
            ("term_left", self.lease.until.since(now).to_string()),
            ("log_rows", self.log.rows().to_string()),
            ("log_bytes", self.log.bytes().to_string()),
        ]
    }
}
