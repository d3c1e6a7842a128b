use super::bid::Bid;
use super::found::Founder;
use super::join::Joiner;
use super::log::Log;
use super::seat::Seat;
use super::term::Tail;
use super::view::View;
use crate::fleet::FleetState;
use crate::kernel::ids::*;
use crate::kernel::part::{Kit, Part};
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use std::collections::BTreeMap;
use std::sync::Arc;

pub const BEAT: Span = Span::ms(150);
pub const LOST: Span = Span::ms(600);
pub const LONG: usize = 512;

pub struct Chain {
    pub fleet: FleetId,
    pub view: Option<View>,
    pub log: Log,
    pub done: Version,
    pub lead_from: Version,
    pub ready: bool,
    pub ready_in: Option<ViewNo>,
    pub below: Version,
    pub heard: BTreeMap<NodeId, Time>,
    pub ears: BTreeMap<NodeId, Time>,
    pub seat: Seat,
    pub bid: Option<Bid>,
    pub tail: Tail,
    pub joiner: Joiner,
    pub founder: Founder,
    pub beat_at: Time,
    pub load: Option<Arc<FleetState>>,
    pub ident: NodeId,
    pub started: Time,
    pub ticked: Time,
    pub deaf: bool,
    pub viewed: Time,
    pub low: Version,
    pub spare: BTreeMap<NodeId, bool>,
    told_ready: bool,
}

impl Chain {
    pub fn new(ident: NodeId, records: Vec<Record>, started: Time) -> Chain {
        let mut c = Chain {
            fleet: FleetId(0),
            view: None,
            log: Log::default(),
            done: Version(0),
            lead_from: Version(0),
            ready: false,
            ready_in: None,
            below: Version(0),
            heard: BTreeMap::new(),
            ears: BTreeMap::new(),
            seat: Seat::default(),
            bid: None,
            tail: Tail::default(),
            joiner: Joiner::default(),
            founder: Founder::default(),
            beat_at: Time(0),
            load: None,
            ident,
            started,
            ticked: started,
            deaf: false,
            viewed: started,
            low: Version(0),
            spare: BTreeMap::new(),
            told_ready: false,
        };
        for r in records {
            c.recall(r);
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

    pub fn install(&mut self, view: View, kit: &mut Kit) {
        if self.view.as_ref().is_some_and(|old| old.no >= view.no) {
            return;
        }
        kit.save(Record::View { view: view.clone() });
        kit.say("view", view.to_string());
        self.seat.reset(&view);
        self.bid = None;
        self.tail = Tail::default();
        self.below = Version(0);
        self.low = Version(0);
        self.viewed = kit.now;
        for node in view.all() {
            self.hear(node, kit.now);
        }
        let went_on = self.view.as_ref().is_some_and(|old| old.no.next() == view.no && old.has(self.ident));
        self.ready = view.head() == Some(self.ident) || (went_on && self.ready && view.has(self.ident));
        if self.ready {
            self.ready_in = Some(view.no);
            kit.save(Record::Ready { view: view.no });
        }
        self.joiner.stop(view.has(self.ident));
        self.lead_from = self.log.last();
        self.view = Some(view.clone());
        kit.note(Note::View(view));
        self.greet(kit);
        self.commit_if_tail(kit);
    }

    pub fn show(&mut self, kit: &mut Kit) {
        let post = Post {
            head: self.is_head() && self.done >= self.lead_from,
            tail: self.is_tail(),
            ready: self.ready,
            copies: self.view.as_ref().map_or(0, |v| v.chain.len()),
            need: kit.me.need(),
            safe: self.safe(kit),
            spare: self.spared(kit),
            until: if self.is_tail() && self.ready { self.tail.until } else { Time(0) },
            last: self.log.last(),
        };
        let fit = self.ready && self.in_chain();
        if fit != self.told_ready {
            self.told_ready = fit;
            kit.out.push(Effect::Ready(fit));
        }
        kit.note(Note::Post(post));
    }

    fn start(&mut self, kit: &mut Kit) {
        if self.fleet != FleetId(0) {
            kit.note(Note::Fleet(self.fleet));
        }
        if let Some(state) = self.load.take() {
            kit.note(Note::Load(state));
        }
        self.lead_from = self.log.last();
        if let Some(view) = self.view.clone() {
            for node in view.all() {
                self.hear(node, kit.now);
            }
            self.ready = view.head() == Some(self.ident) || self.ready_in == Some(view.no);
            kit.note(Note::View(view));
            self.commit_if_tail(kit);
        }
    }

    pub fn trim(&mut self, kit: &mut Kit) {
        if self.log.rows.len() < LONG || self.done.0 < self.log.base.0 + LONG as u64 / 2 {
            return;
        }
        self.log.trim(self.done);
        let rows = self.records(&kit.views.state);
        kit.out.push(Effect::Rewrite(rows));
    }

    fn mail(&mut self, from: NodeId, fleet: FleetId, msg: &ChainMsg, kit: &mut Kit) {
        self.ears.insert(from, kit.now);
        if !matches!(msg, ChainMsg::Beat { deaf: true, .. }) {
            self.heard.insert(from, kit.now);
        }
        match msg {
            ChainMsg::Pledge { fleet, members, sent } => self.pledge(from, *fleet, members, *sent, kit),
            ChainMsg::Pledged { fleet, sent } => self.pledged(from, *fleet, *sent, kit),
            ChainMsg::Append { view, upto, entries, .. } => self.append(from, *view, *upto, entries, kit),
            ChainMsg::Have { .. } => self.have(from, msg, kit),
            ChainMsg::Beat { view, room, .. } => self.beat(from, *view, *room, kit),
            ChainMsg::Join { have, following } => self.join_asked(from, *have, *following, kit),
            ChainMsg::Met => drop(self.joiner.met.insert(from, kit.now)),
            ChainMsg::Snapshot { at, state } => self.snapshot(from, *at, state, kit),
            ChainMsg::Follow { entries, .. } => self.follow(from, entries, kit),
            ChainMsg::Prepare { .. } | ChainMsg::Accept { .. } => self.vote(from, msg, kit),
            ChainMsg::Promise { no, ballot, taken } => self.promised(from, *no, *ballot, taken, kit),
            ChainMsg::Accepted { no, ballot } => self.accepted(from, *no, *ballot, kit),
            ChainMsg::Nack { no, ballot } => self.nack(*no, *ballot, kit),
            ChainMsg::Decide { view } => {
                if self.fleet == fleet && fleet != FleetId(0) {
                    self.install(view.clone(), kit);
                }
            }
            ChainMsg::TermAsk { view, sent } => self.term_asked(from, *view, *sent, kit),
            ChainMsg::TermGrant { view, sent } => self.term_granted(from, *view, *sent, kit),
        }
    }
}

impl Part for Chain {
    fn name(&self) -> &'static str {
        "chain"
    }

    fn on(&mut self, ev: &Event, kit: &mut Kit) {
        match ev {
            Event::Start => self.start(kit),
            Event::Tick => self.tick(kit),
            Event::Mail { from, fleet, msg } => {
                self.adopt(*fleet, kit);
                if let Msg::Welcome { empty, .. } = msg {
                    self.founder.welcome(*from, *empty, kit.now);
                }
                if let Msg::Chain(msg) = msg {
                    self.mail(*from, *fleet, msg, kit);
                }
            }
            Event::Note(Note::Submit(change)) => self.submit(change, kit),
            Event::Note(Note::Heard(view)) if self.fleet != FleetId(0) => self.install(view.clone(), kit),
            _ => {}
        }
        self.show(kit);
    }

    fn status(&self, now: Time) -> Vec<(&'static str, String)> {
        vec![
            ("view", self.view.as_ref().map_or("none".into(), |v| v.to_string())),
            ("synced", self.log.last().to_string()),
            ("committed", self.done.to_string()),
            ("ready", self.ready.to_string()),
            ("term_left", self.tail.until.since(now).to_string()),
            ("log_rows", self.log.rows.len().to_string()),
        ]
    }
}
