use super::core::{Chain, SILENCE_LIMIT};
use super::view::View;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use std::collections::BTreeSet;

pub const PROPOSAL_TIMEOUT: Span = Span::ms(1500);
const AGAIN: Span = Span::ms(200);
const RESEAT: Span = Span::ms(2000);

#[derive(Clone)]
pub struct ViewProposal {
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
    pub fn repair(&mut self, ctx: &mut Context) {
        let Some(view) = self.view.clone() else { return };
        if !self.in_chain() || !self.ready || self.in_restart_wait(ctx.now) || !self.hears_majority(ctx.now) {
            return;
        }
        let quiet = |n: &NodeId| self.quiet(*n, ctx.now);
        if let Some(proposal) = &self.proposal {
            let (no, ballot, lost) = (proposal.no, proposal.ballot, proposal.lost);
            if !proposal.sent && lost.is_some() && ctx.now.since(proposal.asked) >= AGAIN {
                let quiet = lost.map_or(Span(0), |n| quiet(&n));
                self.ask(ChainMsg::Prepare { no, ballot, lost, quiet }, ctx);
            }
            return;
        }
        if ctx.now < self.acceptor.rest {
            return;
        }
        let lost: Vec<NodeId> =
            view.chain.iter().copied().filter(|n| *n != self.ident && quiet(n) >= SILENCE_LIMIT).collect();
        let Some(first) = lost.first().copied() else { return self.fill_vacant_votes(&view, ctx) };
        let long = lost.iter().map(quiet).max().unwrap_or_default();
        let next = view.without(&lost);
        let rank = next.chain.iter().position(|n| *n == self.ident).unwrap_or(0) as u64;
        if long < SILENCE_LIMIT + Span::ms(rank * 200) {
            return;
        }
        if next.head() != view.head() && next.head() != Some(self.ident) {
            return;
        }
        self.propose_view(next, Some(first), long, ctx);
    }

    pub fn propose_view(&mut self, want: View, lost: Option<NodeId>, quiet: Span, ctx: &mut Context) {
        let Some(view) = self.view.clone() else { return };
        if !self.has_writing_majority(ctx) {
            return;
        }
        let round = self.acceptor.top.max(self.acceptor.promised.round) + 1;
        self.acceptor.top = round;
        let ballot = Ballot { round, node: self.ident };
        let no = view.no.next();
        ctx.log_event("proposal", format!("{want} by {}", self.ident));
        self.proposal = Some(ViewProposal {
            no,
            ballot,
            want,
            promises: BTreeSet::new(),
            taken: None,
            accepts: BTreeSet::new(),
            sent: false,
            since: ctx.now,
            lost,
            asked: ctx.now,
        });
        self.ask(ChainMsg::Prepare { no, ballot, lost, quiet }, ctx);
    }

    pub fn promised(
        &mut self,
        from: NodeId,
        no: ViewNo,
        ballot: Ballot,
        taken: &Option<(Ballot, View)>,
        ctx: &mut Context,
    ) {
        let (Some(view), Some(proposal)) = (&self.view, &mut self.proposal) else { return };
        if proposal.no != no || proposal.ballot != ballot || !view.voters.contains(&from) {
            return;
        }
        proposal.promises.insert(from);
        if let Some(t) = taken
            && proposal.taken.as_ref().is_none_or(|old| old.0 < t.0)
        {
            proposal.taken = Some(t.clone());
        }
        if proposal.promises.len() < view.majority() || proposal.sent {
            return;
        }
        proposal.sent = true;
        if let Some((_, v)) = &proposal.taken {
            proposal.want = v.clone();
        }
        for node in &view.voters {
            ctx.chain(*node, ChainMsg::Accept { ballot, view: proposal.want.clone() });
        }
    }

    pub fn accepted(&mut self, from: NodeId, no: ViewNo, ballot: Ballot, ctx: &mut Context) {
        let (Some(view), Some(proposal)) = (self.view.clone(), &mut self.proposal) else { return };
        if proposal.no != no || proposal.ballot != ballot || !view.voters.contains(&from) {
            return;
        }
        proposal.accepts.insert(from);
        if proposal.accepts.len() < view.majority() {
            return;
        }
        let won = proposal.want.clone();
        self.install(won.clone(), ctx);
        let mut all = view.all();
        all.extend(won.all());
        all.sort();
        all.dedup();
        for node in all.into_iter().filter(|n| *n != self.ident) {
            ctx.chain(node, ChainMsg::ViewDecided { view: won.clone() });
        }
    }

    fn ask(&mut self, msg: ChainMsg, ctx: &mut Context) {
        let (Some(view), Some(proposal)) = (&self.view, &mut self.proposal) else { return };
        proposal.asked = ctx.now;
        for node in &view.voters {
            ctx.chain(*node, msg.clone());
        }
    }

    fn fill_vacant_votes(&mut self, view: &View, ctx: &mut Context) {
        if !self.is_head() || ctx.now.since(self.viewed) < RESEAT {
            return;
        }
        if let Some(next) = view.with_votes_filled(ctx.me) {
            self.propose_view(next, None, Span(0), ctx);
        }
    }

    pub fn nack(&mut self, no: ViewNo, ballot: Ballot, ctx: &mut Context) {
        self.acceptor.top = self.acceptor.top.max(ballot.round);
        if self.proposal.as_ref().is_some_and(|b| b.no == no && b.ballot < ballot) {
            self.proposal = None;
            self.acceptor.rest = ctx.now + Span::ms(100 + ctx.rand.below(400));
        }
    }
}
