//! Votes of members: a ready member without a vote proposes a view in which it has one.
#![deny(missing_docs)]

use super::core::Chain;
use super::view::View;
use super::view_change::RANK_STEP_MS;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};

/// A lost member keeps its vote for this long; then a ready member without a vote takes it over.
const VACANT_VOTE_DELAY: Span = Span::ms(1000);
/// How long a newly ready member delays its first lease request while it is given a vote.
const FIRST_VOTE_WINDOW: Span = Span::ms(500);

impl Chain {
    /// Proposes a view that gives this member a vote: a new member at once, any other once the lost member has had
    /// time to come back. All that makes it ready is synced by then, so the vote is reliable.
    pub(super) fn propose_own_vote(&mut self, view: &View, ctx: &mut Context) {
        let Some(next) = self.view_with_own_vote(view, ctx) else { return };
        let rank = self.vote_candidates(view, ctx.now).len() as u64 - 1;
        let wait = VACANT_VOTE_DELAY + Span::ms(rank * RANK_STEP_MS);
        if self.awaits_first_vote(ctx) || ctx.now.since(self.view_installed_at) >= wait {
            self.propose_view(next, None, Span(0), ctx);
        }
    }

    /// The next view, in which this member has a vote, if it has none now and there is one to take.
    pub fn view_with_own_vote(&self, view: &View, ctx: &Context) -> Option<View> {
        if !self.is_ready || self.departure.is_some() {
            return None;
        }
        let candidates = self.vote_candidates(view, ctx.now);
        if !candidates.contains(&self.node_id) {
            return None;
        }
        view.with_votes_for(&candidates, ctx.me)
    }

    /// The members without a vote that are heard: this node first, if it has none, then those before it in the
    /// chain. A member joins only behind a ready one, so if this node is ready, so are all before it.
    pub fn vote_candidates(&self, view: &View, now: Time) -> Vec<NodeId> {
        let place = |n: &NodeId| view.chain.iter().position(|c| c == n);
        let before =
            |n: &NodeId| place(n) <= place(&self.node_id) && self.is_heard(*n, now) && !self.is_leaving(*n);
        view.without_vote().into_iter().filter(before).collect()
    }

    /// Whether this node just became ready and there is a vote for it. It is then the tail, and no lease runs yet
    /// that the change of voters would have to wait for, so it requests its lease only afterwards.
    pub fn awaits_first_vote(&self, ctx: &Context) -> bool {
        let Some(view) = &self.view else { return false };
        let new = ctx.now.since(self.ready_since) < FIRST_VOTE_WINDOW && !self.has_reported_ready;
        new && self.view_with_own_vote(view, ctx).is_some()
    }
}
