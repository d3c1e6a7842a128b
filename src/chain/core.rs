use super::acceptor::Acceptor;
use super::founding::Founder;
use super::join::Joiner;
use super::lease::Lease;
use super::replicate::SuccessorProgress;
use super::replication_log::ReplicationLog;
use super::view::View;
use super::view_change::ViewProposal;
use crate::fleet::FleetState;
use crate::kernel::component::{Component, Context};
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use std::collections::{BTreeMap, BTreeSet};
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
    /// Members that say of themselves that they hear no majority or cannot write. They beat and grant leases;
    /// the others count them as lost all the same, so that the chain goes on without them.
    pub impaired: BTreeSet<NodeId>,
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
    pub spare: BTreeMap<NodeId, bool>,
    reported_ready: bool,
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
            impaired: BTreeSet::new(),
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
            spare: BTreeMap::new(),
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

    pub fn install(&mut self, view: View, ctx: &mut Context) {
        if self.view.as_ref().is_some_and(|old| old.no >= view.no) {
            return;
        }
        ctx.save(Record::View { view: view.clone() });
        ctx.log_event("view", view.to_string());
        self.acceptor.reset(&view);
        self.proposal = None;
        self.lease = Lease::default();
        self.successor = SuccessorProgress::default();
        self.chain_synced = Version(0);
        self.viewed = ctx.now;
        for node in view.all() {
            self.mark_alive(node, ctx.now);
        }
        let went_on = self.view.as_ref().is_some_and(|old| old.no.next() == view.no && old.has(self.ident));
        self.ready = view.head() == Some(self.ident) || (went_on && self.ready && view.has(self.ident));
        if self.ready {
            self.ready_in = Some(view.no);
            ctx.save(Record::Ready { view: view.no });
        }
        self.joiner.stop(view.has(self.ident));
        self.lead_from = self.log.last();
        self.view = Some(view.clone());
        ctx.publish(JournalEvent::ViewInstalled(view));
        self.announce(ctx);
        self.commit_if_tail(ctx);
    }

    pub fn publish_role(&mut self, ctx: &mut Context) {
        let post = ChainRole {
            head: self.is_head() && self.committed >= self.lead_from,
            tail: self.is_tail(),
            ready: self.ready,
            copies: self.view.as_ref().map_or(0, |v| v.chain.len()),
            need: ctx.me.need(),
            safe: self.safe(ctx),
            spare: self.spared(ctx),
            until: if self.is_tail() && self.ready { self.lease.until } else { Time(0) },
            last: self.log.last(),
        };
        let fit = self.ready && self.in_chain();
        if fit != self.reported_ready {
            self.reported_ready = fit;
            ctx.out.push(Effect::Ready(fit));
        }
        ctx.publish(JournalEvent::Role(post));
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
        ctx.out.push(Effect::Rewrite(rows));
    }

    fn mail(&mut self, from: NodeId, fleet: FleetId, msg: &ChainMsg, ctx: &mut Context) {
        self.reached_at.insert(from, ctx.now);
        if let ChainMsg::Heartbeat { impaired, .. } = msg {
            self.note_impaired(from, *impaired);
        }
        if !self.impaired.contains(&from) {
            self.alive_at.insert(from, ctx.now);
        }
        match msg {
            ChainMsg::Pledge { fleet, members, sent } => self.pledge(from, *fleet, members, *sent, ctx),
            ChainMsg::Pledged { fleet, sent } => self.pledged(from, *fleet, *sent, ctx),
            ChainMsg::Append { view, upto, entries, .. } => self.append(from, *view, *upto, entries, ctx),
            ChainMsg::Progress { .. } => self.have(from, msg, ctx),
            ChainMsg::Heartbeat { view, room, .. } => self.beat(from, *view, *room, ctx),
            ChainMsg::Join { have, following } => self.join_asked(from, *have, *following, ctx),
            ChainMsg::JoinHeard => drop(self.joiner.met.insert(from, ctx.now)),
            ChainMsg::Snapshot { at, state } => self.snapshot(from, *at, state, ctx),
            ChainMsg::Follow { entries, .. } => self.follow(from, entries, ctx),
            ChainMsg::Prepare { .. } | ChainMsg::Accept { .. } => self.vote(from, msg, ctx),
            ChainMsg::Promise { no, ballot, taken } => self.promised(from, *no, *ballot, taken, ctx),
            ChainMsg::Accepted { no, ballot } => self.accepted(from, *no, *ballot, ctx),
            ChainMsg::Nack { no, ballot } => self.nack(*no, *ballot, ctx),
            ChainMsg::ViewDecided { view } => {
                if self.fleet == fleet && fleet != FleetId(0) {
                    self.install(view.clone(), ctx);
                }
            }
            ChainMsg::LeaseRequest { view, sent } => self.lease_requested(from, *view, *sent, ctx),
            ChainMsg::LeaseGrant { view, sent } => self.lease_granted(from, *view, *sent, ctx),
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
            Event::Mail { from, fleet, msg } => {
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
