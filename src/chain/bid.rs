use super::core::{Chain, LOST};
use super::view::View;
use crate::kernel::ids::*;
use crate::kernel::part::Kit;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use std::collections::BTreeSet;

pub const BID: Span = Span::ms(1500);
const AGAIN: Span = Span::ms(200);
const RESEAT: Span = Span::ms(2000);

pub struct Bid {
    pub no: ViewNo,
    pub ballot: Ballot,
    pub want: View,
    pub promises: BTreeSet<NodeId>,
    pub taken: Option<(Ballot, View)>,
    pub accepts: BTreeSet<NodeId>,
    pub sent: bool,
    pub since: Time,
    pub lost: Option<NodeId>,
    pub asked: Time,
}

impl Chain {
    pub fn mend(&mut self, kit: &mut Kit) {
        let Some(view) = self.view.clone() else { return };
        if !self.in_chain() || !self.ready || self.sits_out(kit.now) || !self.hears_most(kit.now) {
            return;
        }
        let quiet = |n: &NodeId| self.quiet(*n, kit.now);
        if let Some(bid) = &self.bid {
            let (no, ballot, lost) = (bid.no, bid.ballot, bid.lost);
            if !bid.sent && lost.is_some() && kit.now.since(bid.asked) >= AGAIN {
                let quiet = lost.map_or(Span(0), |n| quiet(&n));
                self.ask(ChainMsg::Prepare { no, ballot, lost, quiet }, kit);
            }
            return;
        }
        if kit.now < self.seat.rest {
            return;
        }
        let lost: Vec<NodeId> =
            view.chain.iter().copied().filter(|n| *n != self.ident && quiet(n) >= LOST).collect();
        let Some(first) = lost.first().copied() else { return self.reseat(&view, kit) };
        let long = lost.iter().map(quiet).max().unwrap_or_default();
        let next = view.without(&lost);
        let rank = next.chain.iter().position(|n| *n == self.ident).unwrap_or(0) as u64;
        if long < LOST + Span::ms(rank * 200) {
            return;
        }
        if next.head() != view.head() && next.head() != Some(self.ident) {
            return;
        }
        self.bid_for(next, Some(first), long, kit);
    }

    pub fn bid_for(&mut self, want: View, lost: Option<NodeId>, quiet: Span, kit: &mut Kit) {
        let Some(view) = self.view.clone() else { return };
        let round = self.seat.top.max(self.seat.promised.round) + 1;
        self.seat.top = round;
        let ballot = Ballot { round, node: self.ident };
        let no = view.no.next();
        kit.say("bid", format!("{want} by {}", self.ident));
        self.bid = Some(Bid {
            no,
            ballot,
            want,
            promises: BTreeSet::new(),
            taken: None,
            accepts: BTreeSet::new(),
            sent: false,
            since: kit.now,
            lost,
            asked: kit.now,
        });
        self.ask(ChainMsg::Prepare { no, ballot, lost, quiet }, kit);
    }

    pub fn promised(
        &mut self,
        from: NodeId,
        no: ViewNo,
        ballot: Ballot,
        taken: &Option<(Ballot, View)>,
        kit: &mut Kit,
    ) {
        let (Some(view), Some(bid)) = (&self.view, &mut self.bid) else { return };
        if bid.no != no || bid.ballot != ballot || !view.voters.contains(&from) {
            return;
        }
        bid.promises.insert(from);
        if let Some(t) = taken
            && bid.taken.as_ref().is_none_or(|old| old.0 < t.0)
        {
            bid.taken = Some(t.clone());
        }
        if bid.promises.len() < view.majority() || bid.sent {
            return;
        }
        bid.sent = true;
        if let Some((_, v)) = &bid.taken {
            bid.want = v.clone();
        }
        for node in &view.voters {
            kit.chain(*node, ChainMsg::Accept { ballot, view: bid.want.clone() });
        }
    }

    pub fn accepted(&mut self, from: NodeId, no: ViewNo, ballot: Ballot, kit: &mut Kit) {
        let (Some(view), Some(bid)) = (self.view.clone(), &mut self.bid) else { return };
        if bid.no != no || bid.ballot != ballot || !view.voters.contains(&from) {
            return;
        }
        bid.accepts.insert(from);
        if bid.accepts.len() < view.majority() {
            return;
        }
        let won = bid.want.clone();
        self.install(won.clone(), kit);
        let mut all = view.all();
        all.extend(won.all());
        all.sort();
        all.dedup();
        for node in all.into_iter().filter(|n| *n != self.ident) {
            kit.chain(node, ChainMsg::Decide { view: won.clone() });
        }
    }

    fn ask(&mut self, msg: ChainMsg, kit: &mut Kit) {
        let (Some(view), Some(bid)) = (&self.view, &mut self.bid) else { return };
        bid.asked = kit.now;
        for node in &view.voters {
            kit.chain(*node, msg.clone());
        }
    }

    fn reseat(&mut self, view: &View, kit: &mut Kit) {
        if !self.is_head() || kit.now.since(self.viewed) < RESEAT {
            return;
        }
        if let Some(next) = view.reseated(kit.me) {
            self.bid_for(next, None, Span(0), kit);
        }
    }

    pub fn nack(&mut self, no: ViewNo, ballot: Ballot, kit: &mut Kit) {
        self.seat.top = self.seat.top.max(ballot.round);
        if self.bid.as_ref().is_some_and(|b| b.no == no && b.ballot < ballot) {
            self.bid = None;
            self.seat.rest = kit.now + Span::ms(100 + kit.rand.below(400));
        }
    }
}
