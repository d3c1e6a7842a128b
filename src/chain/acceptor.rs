use super::core::{Chain, SILENCE_LIMIT};
use super::heartbeat::ROOM_TO_WRITE;
use super::view::View;
use super::view_change::PROPOSAL_TIMEOUT;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;

const PAUSE: Span = Span::ms(1000);
const LONG_LOST: Span = Span::ms(1000);
const LATER: Span = Span::ms(2000);

#[derive(Clone, Default)]
pub struct Acceptor {
    pub no: ViewNo,
    pub promised: Ballot,
    pub taken: Option<(Ballot, View)>,
    pub taken_at: Time,
    pub hold: Time,
    pub pause: Time,
    pub later: Option<(NodeId, ChainMsg, Time)>,
    pub top: u64,
    pub rest: Time,
}

impl Acceptor {
    pub fn restore_record(&mut self, no: ViewNo, ballot: Ballot, view: Option<View>) {
        self.no = no;
        self.promised = self.promised.max(ballot);
        self.top = self.top.max(ballot.round);
        if let Some(view) = view {
            self.taken = Some((ballot, view));
        }
    }

    pub fn records(&self) -> Vec<Record> {
        let mut rows = Vec::new();
        if let Some((ballot, view)) = &self.taken {
            rows.push(Record::Accept { ballot: *ballot, view: view.clone() });
        }
        if self.promised != Ballot::default() {
            rows.push(Record::Promise { no: self.no, ballot: self.promised });
        }
        rows
    }

    pub fn reset(&mut self, view: &View) {
        let hold = self.hold;
        *self = Acceptor { no: view.no.next(), hold, ..Acceptor::default() };
    }

    pub fn may_grant(&self, now: Time) -> bool {
        self.taken.is_none() && self.later.is_none() && now >= self.pause
    }
}

impl Chain {
    pub fn vote(&mut self, from: NodeId, msg: &ChainMsg, ctx: &mut Context) {
        let (no, ballot) = match msg {
            ChainMsg::Prepare { no, ballot, .. } => (*no, *ballot),
            ChainMsg::Accept { ballot, view } => (view.no, *ballot),
            _ => return,
        };
        let Some(view) = self.view.clone() else { return };
        if no <= view.no {
            return ctx.chain(from, ChainMsg::ViewDecided { view });
        }
        let may_write = ctx.room >= ROOM_TO_WRITE;
        if no != view.no.next() || !view.voters.contains(&self.ident) || !may_write {
            return;
        }
        if let ChainMsg::Prepare { lost: Some(lost), quiet, .. } = msg {
            let heard = self.alive_at.get(lost).copied().unwrap_or_default();
            let fine = *lost == self.ident || ctx.now.since(heard) < SILENCE_LIMIT;
            if fine && *quiet < LONG_LOST {
                return;
            }
        }
        let wait = ctx.now < self.acceptor.hold || self.in_restart_wait(ctx.now);
        if wait && ends_lease(msg, &view) {
            let old = self.acceptor.later.as_ref().map(|(_, m, _)| ballot_of(m));
            if old.is_none_or(|b| b <= ballot) {
                self.acceptor.later = Some((from, msg.clone(), ctx.now));
            }
            return;
        }
        self.acceptor.top = self.acceptor.top.max(ballot.round);
        if ballot < self.acceptor.promised {
            return ctx.chain(from, ChainMsg::Nack { no, ballot: self.acceptor.promised });
        }
        self.acceptor.no = no;
        self.acceptor.promised = ballot;
        match msg {
            ChainMsg::Accept { view, .. } => {
                ctx.save(Record::Accept { ballot, view: view.clone() });
                self.acceptor.taken = Some((ballot, view.clone()));
                self.acceptor.taken_at = ctx.now;
                ctx.chain(from, ChainMsg::Accepted { no, ballot });
            }
            _ => {
                ctx.save(Record::Promise { no, ballot });
                self.acceptor.pause = ctx.now + PAUSE;
                let taken = self.acceptor.taken.clone();
                ctx.chain(from, ChainMsg::Promise { no, ballot, taken });
            }
        }
    }

    pub fn acceptor_tick(&mut self, ctx: &mut Context) {
        if ctx.now >= self.acceptor.hold
            && !self.in_restart_wait(ctx.now)
            && let Some((from, msg, since)) = self.acceptor.later.take()
            && ctx.now.since(since) < LATER
        {
            self.vote(from, &msg, ctx);
        }
        if self.proposal.as_ref().is_some_and(|b| ctx.now.since(b.since) > PROPOSAL_TIMEOUT) {
            self.proposal = None;
        }
        let Some((_, view)) = self.acceptor.taken.clone() else { return };
        let wait = Span::ms(500 + ctx.rand.below(700));
        if self.proposal.is_none() && ctx.now.since(self.acceptor.taken_at) > wait {
            self.acceptor.taken_at = ctx.now;
            self.propose_view(view, None, Span(0), ctx);
        }
    }
}

fn ends_lease(msg: &ChainMsg, old: &View) -> bool {
    let ChainMsg::Accept { view, .. } = msg else { return false };
    view.tail() != old.tail() || view.voters != old.voters
}

fn ballot_of(msg: &ChainMsg) -> Ballot {
    match msg {
        ChainMsg::Prepare { ballot, .. } | ChainMsg::Accept { ballot, .. } => *ballot,
        _ => Ballot::default(),
    }
}
