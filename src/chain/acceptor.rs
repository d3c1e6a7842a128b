//! The acceptor: a voter's side of the agreement on the next view.
//!
//! There is one Paxos register for each view number. A promise or an acceptance is synced to disk before it is
//! answered, so a restarted voter still knows what it said. A voter that lost its disk comes back with a new id and
//! has no vote.
#![deny(missing_docs)]

use super::core::{Chain, SILENCE_LIMIT};
use super::heartbeat::MIN_WRITE_BYTES;
use super::view::View;
use super::view_change::PROPOSAL_TIMEOUT;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use bitcode::{Decode, Encode};

/// How long a voter grants no lease after a promise, so that the proposal can succeed.
const GRANT_PAUSE: Span = Span::ms(1000);
/// A member that was silent to the proposer for this long counts as lost even for a voter that still hears it.
const CERTAIN_LOSS_SILENCE: Span = Span::ms(1000);
/// How long an `Accept` is kept that waits for a lease to expire.
const DEFERRED_TIMEOUT: Span = Span::ms(2000);
/// A voter that accepted a view and sees no decision proposes it itself after this wait, plus a random jitter.
const FINISH_AFTER: Span = Span::ms(500);
const FINISH_JITTER_MS: u64 = 700;

/// An accepted view and its ballot.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct AcceptedView {
    /// The ballot of the proposal.
    pub ballot: Ballot,
    /// The accepted view.
    pub view: View,
}

/// An `Accept` that waits until the lease granted by this voter has expired.
#[derive(Clone)]
pub struct DeferredAccept {
    /// The proposer.
    pub from: NodeId,
    /// The view to accept.
    pub proposal: AcceptedView,
    /// When it was received.
    pub since: Time,
}

/// What a voter has promised and accepted for the next view number.
#[derive(Clone, Default)]
pub struct Acceptor {
    /// The view number of this register.
    pub view_no: ViewNo,
    /// The highest ballot promised; lower ones are refused.
    pub promised: Ballot,
    /// The view accepted last.
    pub accepted: Option<AcceptedView>,
    /// When it was accepted, or when this voter last proposed it itself.
    pub accepted_at: Time,
    /// Until when a lease that this voter granted may be in use.
    pub lease_hold_until: Time,
    /// The holder of that lease, and the time of its request on the holder's clock.
    pub granted_lease: Option<(NodeId, Time)>,
    /// Until when no lease is granted, because of a promise.
    pub grants_paused_until: Time,
    /// The `Accept` that waits for `lease_hold_until`.
    pub deferred: Option<DeferredAccept>,
    /// The highest ballot round seen, from which this node's own next ballot is derived.
    pub highest_round: u64,
    /// Until when this node makes no proposal, after it lost to a higher ballot.
    pub backoff_until: Time,
}

impl Acceptor {
    /// Restores a promise or an acceptance from disk.
    pub fn restore_record(&mut self, view_no: ViewNo, ballot: Ballot, view: Option<View>) {
        self.view_no = view_no;
        self.promised = self.promised.max(ballot);
        self.highest_round = self.highest_round.max(ballot.round);
        if let Some(view) = view {
            self.accepted = Some(AcceptedView { ballot, view });
        }
    }

    /// The records from which `restore_record` rebuilds this register.
    pub fn records(&self) -> Vec<Record> {
        let mut rows = Vec::new();
        if let Some(AcceptedView { ballot, view }) = &self.accepted {
            rows.push(Record::Accept { ballot: *ballot, view: view.clone() });
        }
        if self.promised != Ballot::default() {
            rows.push(Record::Promise { view_no: self.view_no, ballot: self.promised });
        }
        rows
    }

    /// Starts the register for the view after `view`. A lease granted before remains in force.
    pub fn reset(&mut self, view: &View) {
        let (lease_hold_until, granted_lease) = (self.lease_hold_until, self.granted_lease);
        *self = Acceptor { view_no: view.no.next(), lease_hold_until, granted_lease, ..Acceptor::default() };
    }

    /// Whether a lease may be granted: not while a view change is under way.
    pub fn may_grant(&self, now: Time) -> bool {
        self.accepted.is_none() && self.deferred.is_none() && now >= self.grants_paused_until
    }
}

impl Chain {
    /// Answers a `Prepare` of a proposer.
    pub fn on_prepare(&mut self, from: NodeId, msg: &ChainMsg, ctx: &mut Context) {
        let ChainMsg::Prepare { view_no, ballot, lost_member, silence } = msg else { return };
        if *lost_member == Some(self.node_id) {
            self.return_lease(*view_no, ctx);
        }
        if self.can_vote_on(from, *view_no, ctx) && self.believes_lost(*lost_member, *silence, ctx.now) {
            self.promise(from, *view_no, *ballot, ctx);
        }
    }

    /// Answers an `Accept` of a proposer, now or once a lease has expired.
    pub fn on_accept(&mut self, from: NodeId, ballot: Ballot, view: &View, ctx: &mut Context) {
        if self.can_vote_on(from, view.no, ctx) {
            self.accept_or_defer(from, AcceptedView { ballot, view: view.clone() }, ctx);
        }
    }

    /// Whether this node has a vote on view `view_no` and room to sync it. A proposer whose view number is already
    /// decided is sent the current view.
    fn can_vote_on(&mut self, from: NodeId, view_no: ViewNo, ctx: &mut Context) -> bool {
        let Some(view) = self.view.clone() else { return false };
        if view_no <= view.no {
            ctx.chain(from, ChainMsg::ViewDecided { view });
            return false;
        }
        view_no == view.no.next()
            && view.voters.contains(&self.node_id)
            && ctx.free_disk_bytes >= MIN_WRITE_BYTES
    }

    /// Whether this voter agrees that the member is lost: it is silent here too, or was silent to the proposer for
    /// `CERTAIN_LOSS_SILENCE`.
    fn believes_lost(&self, lost_member: Option<NodeId>, silence: Span, now: Time) -> bool {
        let Some(lost) = lost_member else { return true };
        let heard = self.last_alive_at.get(&lost).copied().unwrap_or_default();
        let fine = lost == self.node_id || now.since(heard) < SILENCE_LIMIT;
        !fine || silence >= CERTAIN_LOSS_SILENCE
    }

    fn promise(&mut self, from: NodeId, view_no: ViewNo, ballot: Ballot, ctx: &mut Context) {
        let saved = self.acceptor.promised == ballot;
        if self.refuses(from, view_no, ballot, ctx) {
            return;
        }
        if !saved {
            ctx.save(Record::Promise { view_no, ballot });
        }
        self.acceptor.grants_paused_until = ctx.now + GRANT_PAUSE;
        let accepted = self.acceptor.accepted.clone();
        ctx.chain(from, ChainMsg::Promise { view_no, ballot, accepted });
    }

    fn accept_or_defer(&mut self, from: NodeId, proposal: AcceptedView, ctx: &mut Context) {
        let ends_lease = self.view.as_ref().is_some_and(|old| ends_lease(&proposal.view, old));
        if ends_lease && self.lease_may_run(ctx.now) {
            let old = self.acceptor.deferred.as_ref().map(|deferred| deferred.proposal.ballot);
            if old.is_none_or(|b| b <= proposal.ballot) {
                self.acceptor.deferred = Some(DeferredAccept { from, proposal, since: ctx.now });
            }
            return;
        }
        self.accept(from, proposal, ctx);
    }

    fn accept(&mut self, from: NodeId, proposal: AcceptedView, ctx: &mut Context) {
        let (view_no, ballot) = (proposal.view.no, proposal.ballot);
        if self.refuses(from, view_no, ballot, ctx) {
            return;
        }
        ctx.save(Record::Accept { ballot, view: proposal.view.clone() });
        self.acceptor.accepted = Some(proposal);
        self.acceptor.accepted_at = ctx.now;
        ctx.chain(from, ChainMsg::Accepted { view_no, ballot });
    }

    /// Refuses a ballot below the promised one; otherwise promises this one.
    fn refuses(&mut self, from: NodeId, view_no: ViewNo, ballot: Ballot, ctx: &mut Context) -> bool {
        self.acceptor.highest_round = self.acceptor.highest_round.max(ballot.round);
        if ballot < self.acceptor.promised {
            ctx.chain(from, ChainMsg::Nack { view_no, ballot: self.acceptor.promised });
            return true;
        }
        self.acceptor.view_no = view_no;
        self.acceptor.promised = ballot;
        false
    }

    /// Whether a lease that this voter granted, perhaps before a restart, may still be in use.
    fn lease_may_run(&self, now: Time) -> bool {
        now < self.acceptor.lease_hold_until || self.is_in_restart_wait(now)
    }

    /// Accepts the deferred view once the lease has expired or was returned.
    pub fn accept_deferred(&mut self, ctx: &mut Context) {
        if !self.lease_may_run(ctx.now)
            && let Some(deferred) = self.acceptor.deferred.take()
            && ctx.now.since(deferred.since) < DEFERRED_TIMEOUT
            && self.can_vote_on(deferred.from, deferred.proposal.view.no, ctx)
        {
            self.accept(deferred.from, deferred.proposal, ctx);
        }
    }

    /// Timed work: accepts a deferred view, drops a proposal that timed out, and proposes an accepted view that
    /// nobody has decided.
    pub fn acceptor_tick(&mut self, ctx: &mut Context) {
        self.accept_deferred(ctx);
        if self.proposal.as_ref().is_some_and(|b| ctx.now.since(b.started_at) > PROPOSAL_TIMEOUT) {
            self.proposal = None;
        }
        let Some(accepted) = &self.acceptor.accepted else { return };
        let view = accepted.view.clone();
        let wait = FINISH_AFTER + Span::ms(ctx.rand.below(FINISH_JITTER_MS));
        if self.proposal.is_none() && ctx.now.since(self.acceptor.accepted_at) > wait {
            self.acceptor.accepted_at = ctx.now;
            self.propose_view(view, None, Span(0), ctx);
        }
    }
}

/// Whether the lease of `old` must have expired before `next` is accepted. Not with the same tail and voters:
/// nothing is committed in `next` without that tail.
fn ends_lease(next: &View, old: &View) -> bool {
    next.tail() != old.tail() || next.voters != old.voters
}
