//! Assignment of the placement duty: the chain's head names a holder, a stopping holder names its successor,
//! and the holder keeps its slice of the fleet state current.

use super::Placement;
use crate::chain::view::View;
use crate::fleet::slice::DutySlice;
use crate::fleet::state::*;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::Span;
use crate::membership::service::QUIET_AFTER;
use crate::msg::*;
use std::sync::Arc;

/// How often the slice is requested from the chain's tail.
const REQUEST_INTERVAL: Span = Span::ms(200);
/// How often a holder requests it while a plan is running.
const ACTIVE_REQUEST_INTERVAL: Span = Span::ms(60);
/// How often the chain is told that this holder orders, until that is recorded.
const RESEND_DELAY: Span = Span::ms(600);

/// The next duty holder among the nodes that `may`. The head and the tail of the chain have enough other
/// work, so one of them is chosen only if no other node may.
fn successor(view: &View, may: &dyn Fn(NodeId) -> bool) -> Option<NodeId> {
    let is_end = |node: NodeId| view.head() == Some(node) || view.tail() == Some(node);
    let candidates = || view.chain.iter().rev().copied().filter(|node| may(*node));
    candidates().find(|node| !is_end(*node)).or_else(|| candidates().next())
}

impl Placement {
    /// As head, names a new holder if there is none or if it is not alive.
    pub fn appoint_holder(&mut self, ctx: &mut Context) {
        let post = ctx.views.role;
        if !post.is_head
            || !post.is_ready
            || post.copies < 2
            || ctx.now.since(self.holder_named_at) < Span::ms(1500)
        {
            return;
        }
        let Some(view) = ctx.views.view.clone() else { return };
        let live = |n: NodeId| {
            n == ctx.me.node || ctx.views.members.iter().any(|r| r.who.node == n && r.silence < QUIET_AFTER)
        };
        let holder = ctx.views.state.duty.as_ref().map(|d| d.holder);
        if holder.is_some_and(|h| view.has(h) && live(h)) {
            return;
        }
        if let Some(next) = successor(&view, &live) {
            self.holder_named_at = ctx.now;
            ctx.log_event("duty-named", format!("{next} holds placement next"));
            ctx.publish(JournalEvent::Submitted(Arc::new(Change::Duty { holder: next })));
        }
    }

    /// Has the chain record that this holder has waited for its predecessor's orders to expire. If it
    /// restarts under the same term it then orders at once: it is the same machine under the same fencing
    /// term, and orders it sent before the restart are voided by the counts that orders name.
    pub fn record_begun(&mut self, slice: &DutySlice, ctx: &mut Context) {
        let recorded = slice.duty.as_ref().is_none_or(|duty| duty.term != self.term || duty.begun);
        if recorded || ctx.now.since(self.begun_sent_at) < RESEND_DELAY {
            return;
        }
        self.begun_sent_at = ctx.now;
        self.submit_change(Change::DutyBegun { term: self.term }, ctx);
    }

    /// Stops sending orders and names a successor, as this controller is about to stop.
    pub fn hand_over(&mut self, ctx: &mut Context) {
        self.is_stopping = true;
        if self.term == Term(0) {
            return;
        }
        let Some(view) = ctx.views.view.clone() else { return };
        let is_other = |node: NodeId| node != ctx.me.node;
        if let Some(next) = successor(&view, &is_other) {
            ctx.log_event("duty-handed", format!("{next} is named successor"));
            self.submit_change(Change::Duty { holder: next }, ctx);
        }
    }

    /// Requests the slice from the chain's tail at intervals.
    pub fn request_state(&mut self, ctx: &mut Context) {
        let lively = self.term != Term(0)
            && self.slice.as_ref().is_some_and(|s| s.plans.iter().any(|p| p.is_running()));
        if ctx.now.since(self.state_requested_at)
            < if lively { ACTIVE_REQUEST_INTERVAL } else { REQUEST_INTERVAL }
        {
            return;
        }
        self.state_requested_at = ctx.now;
        let Some(tail) = ctx.views.view.as_ref().and_then(|v| v.tail()) else { return };
        let nonce = self.reader.start_request(ctx.now);
        let have = vec![(Scope::Duty, self.reader.known_version(&Scope::Duty))];
        ctx.send(tail, Msg::UpdateRequest { nonce, direct: true, have });
    }
}
