use super::bid::BID;
use super::core::{Chain, LOST};
use super::view::View;
use crate::kernel::ids::*;
use crate::kernel::part::Kit;
use crate::kernel::time::{Span, Time};
use crate::msg::*;

const PAUSE: Span = Span::ms(1000);
const LONG_LOST: Span = Span::ms(1000);
const LATER: Span = Span::ms(2000);

#[derive(Default)]
pub struct Seat {
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

impl Seat {
    pub fn recall(&mut self, no: ViewNo, ballot: Ballot, view: Option<View>) {
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
        *self = Seat { no: view.no.next(), hold, ..Seat::default() };
    }

    pub fn may_grant(&self, now: Time) -> bool {
        self.taken.is_none() && self.later.is_none() && now >= self.pause
    }
}

impl Chain {
    pub fn vote(&mut self, from: NodeId, msg: &ChainMsg, kit: &mut Kit) {
        let (no, ballot) = match msg {
            ChainMsg::Prepare { no, ballot, .. } => (*no, *ballot),
            ChainMsg::Accept { ballot, view } => (view.no, *ballot),
            _ => return,
        };
        let Some(view) = self.view.clone() else { return };
        if no <= view.no {
            return kit.chain(from, ChainMsg::Decide { view });
        }
        if no != view.no.next() || !view.voters.contains(&self.ident) {
            return;
        }
        if let ChainMsg::Prepare { lost: Some(lost), quiet, .. } = msg {
            let heard = self.heard.get(lost).copied().unwrap_or_default();
            let fine = *lost == self.ident || kit.now.since(heard) < LOST;
            if fine && *quiet < LONG_LOST {
                return;
            }
        }
        let wait = kit.now < self.seat.hold || self.sits_out(kit.now);
        if wait && ends_term(msg, &view) {
            let old = self.seat.later.as_ref().map(|(_, m, _)| ballot_of(m));
            if old.is_none_or(|b| b <= ballot) {
                self.seat.later = Some((from, msg.clone(), kit.now));
            }
            return;
        }
        self.seat.top = self.seat.top.max(ballot.round);
        if ballot < self.seat.promised {
            return kit.chain(from, ChainMsg::Nack { no, ballot: self.seat.promised });
        }
        self.seat.no = no;
        self.seat.promised = ballot;
        match msg {
            ChainMsg::Accept { view, .. } => {
                kit.save(Record::Accept { ballot, view: view.clone() });
                self.seat.taken = Some((ballot, view.clone()));
                self.seat.taken_at = kit.now;
                kit.chain(from, ChainMsg::Accepted { no, ballot });
            }
            _ => {
                kit.save(Record::Promise { no, ballot });
                self.seat.pause = kit.now + PAUSE;
                let taken = self.seat.taken.clone();
                kit.chain(from, ChainMsg::Promise { no, ballot, taken });
            }
        }
    }

    pub fn seat_tick(&mut self, kit: &mut Kit) {
        if kit.now >= self.seat.hold
            && !self.sits_out(kit.now)
            && let Some((from, msg, since)) = self.seat.later.take()
            && kit.now.since(since) < LATER
        {
            self.vote(from, &msg, kit);
        }
        if self.bid.as_ref().is_some_and(|b| kit.now.since(b.since) > BID) {
            self.bid = None;
        }
        let Some((_, view)) = self.seat.taken.clone() else { return };
        let wait = Span::ms(500 + kit.rand.below(700));
        if self.bid.is_none() && kit.now.since(self.seat.taken_at) > wait {
            self.seat.taken_at = kit.now;
            self.bid_for(view, None, Span(0), kit);
        }
    }
}

fn ends_term(msg: &ChainMsg, old: &View) -> bool {
    let ChainMsg::Accept { view, .. } = msg else { return false };
    view.tail() != old.tail() || view.voters != old.voters
}

fn ballot_of(msg: &ChainMsg) -> Ballot {
    match msg {
        ChainMsg::Prepare { ballot, .. } | ChainMsg::Accept { ballot, .. } => *ballot,
        _ => Ballot::default(),
    }
}
