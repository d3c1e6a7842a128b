//! The proposer: changes the view when a member is lost or leaves, or when a vote is to be taken over.
//!
//! A proposer asks the voters of its view for promises (`Prepare`). If a promise reports an accepted view, the one
//! with the highest ballot replaces its own. It then asks the voters to accept, and a majority decides. The ballot
//! is synced before the first message leaves, so a restarted node never uses one ballot for two views.
#![deny(missing_docs)]

use super::acceptor::AcceptedView;
use super::core::{Chain, SILENCE_LIMIT};
use super::view::View;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use std::collections::BTreeSet;

/// A proposal that is not decided after this time is dropped.
pub const PROPOSAL_TIMEOUT: Span = Span::ms(1500);
/// How often `Prepare` is repeated until a majority has promised.
const PREPARE_INTERVAL: Span = Span::ms(200);
/// Each place in the chain waits this much longer, so that the first live member proposes.
pub(super) const RANK_STEP_MS: u64 = 200;
/// After losing to a higher ballot a proposer waits this long, plus a random jitter.
const BACKOFF: Span = Span::ms(100);
const BACKOFF_JITTER_MS: u64 = 400;

/// This node's own proposal of the next view.
#[derive(Clone)]
pub struct ViewProposal {
    /// The number of the proposed view.
    pub view_no: ViewNo,
    /// The ballot, unique to this node.
    pub ballot: Ballot,
    /// The view that the voters are asked to accept.
    pub proposed_view: View,
    /// The voters that promised.
    pub promises: BTreeSet<NodeId>,
    /// The view with the highest ballot among those that the promises report as accepted.
    pub accepted: Option<AcceptedView>,
    /// The voters that accepted.
    pub accepts: BTreeSet<NodeId>,
    /// Whether `Accept` was sent.
    pub is_accept_sent: bool,
    /// When the proposal began.
    pub started_at: Time,
    /// The first of the silent members that the view leaves out.
    pub lost_member: Option<NodeId>,
    /// When `Prepare` was sent last.
    pub prepare_sent_at: Time,
}

impl Chain {
    /// Proposes a view without members that fell silent; failing that, leaves if this node was told to stop, or
    /// takes over a vote.
    pub fn repair_view(&mut self, ctx: &mut Context) {
        let Some(view) = self.view.clone() else { return };
        if !self.in_chain() || !self.is_ready || !self.hears_majority(ctx.now) {
            return;
        }
        if self.proposal.is_some() {
            return self.repeat_prepare(ctx);
        }
        if ctx.now < self.acceptor.backoff_until {
            return;
        }
        if self.awaits_first_vote(ctx) {
            return self.propose_own_vote(&view, ctx);
        }
        if self.is_in_restart_wait(ctx.now) {
            return;
        }
        let lost = self.silent_members(&view, ctx.now);
        if !lost.is_empty() {
            self.propose_without(&view, &lost, ctx);
        } else if self.departure.is_some() {
            self.propose_leaving(&view, ctx);
        } else {
            self.propose_own_vote(&view, ctx);
        }
    }

    fn silent_members(&self, view: &View, now: Time) -> Vec<NodeId> {
        let silent = |n: &NodeId| *n != self.node_id && self.silence(*n, now) >= SILENCE_LIMIT;
        view.chain.iter().copied().filter(silent).collect()
    }

    fn propose_without(&mut self, view: &View, lost: &[NodeId], ctx: &mut Context) {
        let longest = lost.iter().map(|n| self.silence(*n, ctx.now)).max().unwrap_or_default();
        let next = view.without_members(lost);
        let rank = next.chain.iter().position(|n| *n == self.node_id).unwrap_or(0) as u64;
        if longest < SILENCE_LIMIT + Span::ms(rank * RANK_STEP_MS) {
            return;
        }
        if next.head() != view.head() && next.head() != Some(self.node_id) {
            return;
        }
        self.propose_view(next, lost.first().copied(), longest, ctx);
    }

    /// Repeats `Prepare`: voters may have still heard the lost member, or not have known this view yet.
    fn repeat_prepare(&mut self, ctx: &mut Context) {
        let Some(proposal) = &self.proposal else { return };
        let (view_no, ballot, lost_member) = (proposal.view_no, proposal.ballot, proposal.lost_member);
        if proposal.is_accept_sent || ctx.now.since(proposal.prepare_sent_at) < PREPARE_INTERVAL {
            return;
        }
        let silence = lost_member.map_or(Span(0), |n| self.silence(n, ctx.now));
        self.send_to_voters(ChainMsg::Prepare { view_no, ballot, lost_member, silence }, ctx);
    }

    /// Starts a proposal of the view `want`. The ballot is saved first; the kernel sends nothing before it is
    /// synced. Does nothing if this node, or a majority of the voters, cannot write.
    pub fn propose_view(
        &mut self,
        want: View,
        lost_member: Option<NodeId>,
        silence: Span,
        ctx: &mut Context,
    ) {
        let Some(view) = self.view.clone() else { return };
        if !self.can_write(ctx) || !self.has_writing_majority(ctx) {
            return;
        }
        let round = self.acceptor.highest_round.max(self.acceptor.promised.round) + 1;
        let ballot = Ballot { round, node: self.node_id };
        let view_no = view.no.next();
        self.acceptor.highest_round = round;
        self.acceptor.view_no = view_no;
        self.acceptor.promised = ballot;
        ctx.save(Record::Promise { view_no, ballot });
        ctx.log_event("proposal", format!("{want} by {}", self.node_id));
        self.proposal = Some(ViewProposal {
            view_no,
            ballot,
            proposed_view: want,
            promises: BTreeSet::new(),
            accepted: None,
            accepts: BTreeSet::new(),
            is_accept_sent: false,
            started_at: ctx.now,
            lost_member,
            prepare_sent_at: ctx.now,
        });
        self.send_to_voters(ChainMsg::Prepare { view_no, ballot, lost_member, silence }, ctx);
    }

    /// Counts a promise; once a majority has promised, asks the voters to accept.
    pub fn on_promise(
        &mut self,
        from: NodeId,
        view_no: ViewNo,
        ballot: Ballot,
        accepted: &Option<AcceptedView>,
        ctx: &mut Context,
    ) {
        let (Some(view), Some(proposal)) = (&self.view, &mut self.proposal) else { return };
        if proposal.view_no != view_no || proposal.ballot != ballot || !view.voters.contains(&from) {
            return;
        }
        proposal.promises.insert(from);
        if let Some(theirs) = accepted
            && proposal.accepted.as_ref().is_none_or(|old| old.ballot < theirs.ballot)
        {
            proposal.accepted = Some(theirs.clone());
        }
        if proposal.promises.len() < view.majority() || proposal.is_accept_sent {
            return;
        }
        proposal.is_accept_sent = true;
        if let Some(accepted) = &proposal.accepted {
            proposal.proposed_view = accepted.view.clone();
        }
        for node in &view.voters {
            ctx.chain(*node, ChainMsg::Accept { ballot, view: proposal.proposed_view.clone() });
        }
    }

    /// Counts an acceptance; once a majority has accepted, the view is decided and sent to all members of both
    /// views.
    pub fn on_accepted(&mut self, from: NodeId, view_no: ViewNo, ballot: Ballot, ctx: &mut Context) {
        let (Some(view), Some(proposal)) = (self.view.clone(), &mut self.proposal) else { return };
        if proposal.view_no != view_no || proposal.ballot != ballot || !view.voters.contains(&from) {
            return;
        }
        proposal.accepts.insert(from);
        if proposal.accepts.len() < view.majority() {
            return;
        }
        let decided = proposal.proposed_view.clone();
        self.install(decided.clone(), ctx);
        let mut all = view.nodes();
        all.extend(decided.nodes());
        all.sort();
        all.dedup();
        for node in all.into_iter().filter(|n| *n != self.node_id) {
            ctx.chain(node, ChainMsg::ViewDecided { view: decided.clone() });
        }
    }

    fn send_to_voters(&mut self, msg: ChainMsg, ctx: &mut Context) {
        let (Some(view), Some(proposal)) = (&self.view, &mut self.proposal) else { return };
        proposal.prepare_sent_at = ctx.now;
        for node in &view.voters {
            ctx.chain(*node, msg.clone());
        }
    }

    /// Drops the proposal in favour of a higher ballot and backs off.
    pub fn on_nack(&mut self, view_no: ViewNo, ballot: Ballot, ctx: &mut Context) {
        self.acceptor.highest_round = self.acceptor.highest_round.max(ballot.round);
        if self.proposal.as_ref().is_some_and(|b| b.view_no == view_no && b.ballot < ballot) {
            self.proposal = None;
            self.acceptor.backoff_until = ctx.now + BACKOFF + Span::ms(ctx.rand.below(BACKOFF_JITTER_MS));
        }
    }
}
