//! Installing a decided view, and the role of this node in it.
#![deny(missing_docs)]

use super::core::Chain;
use super::lease::Lease;
use super::replicate::SuccessorProgress;
use super::view::View;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::Time;
use crate::msg::*;

impl Chain {
    /// Installs a decided view, unless this node has that or a newer one. A member of the view just before stays
    /// ready; the head is always ready.
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
        self.successor_synced_to_tail = Version(0);
        self.view_installed_at = ctx.now;
        let known = self.view.as_ref().filter(|old| old.has(self.node_id)).map_or(vec![], View::nodes);
        for node in view.nodes().into_iter().filter(|n| !known.contains(n)) {
            self.mark_alive(node, ctx.now);
        }
        let went_on = self.view.as_ref().is_some_and(|old| old.no.next() == view.no && old.has(self.node_id));
        self.is_ready =
            view.head() == Some(self.node_id) || (went_on && self.is_ready && view.has(self.node_id));
        if self.is_ready {
            self.save_ready(view.no, ctx);
        }
        self.joiner.stop(view.has(self.node_id));
        self.inherited_up_to = self.log.last();
        if self.view.is_none() && view.no == ViewNo(1) {
            ctx.publish(JournalEvent::Founded);
        }
        self.view = Some(view.clone());
        ctx.publish(JournalEvent::ViewInstalled(view));
        self.announce_log_end(ctx);
        self.commit_if_tail(ctx);
    }

    /// Records that this member holds all that was committed before view `view_no`. It is synced before any message
    /// says so.
    pub fn save_ready(&mut self, view_no: ViewNo, ctx: &mut Context) {
        self.ready_in_view = Some(view_no);
        ctx.save(Record::Ready { view: view_no });
        ctx.publish(JournalEvent::MemberReady(view_no));
    }

    /// Publishes the role of this node to its other components, and reports its readiness to the process.
    pub fn publish_role(&mut self, ctx: &mut Context) {
        let role = ChainRole {
            is_head: self.is_head() && self.committed >= self.inherited_up_to,
            is_tail: self.is_tail(),
            is_ready: self.is_ready,
            copies: self.view.as_ref().map_or(0, |v| v.chain.len()),
            required_copies: ctx.me.required_copies(),
            can_acknowledge: self.has_enough_copies(ctx),
            peers_have_room: self.peers_have_room(ctx),
            lease_until: if self.is_tail() && self.is_ready { self.lease.valid_until } else { Time(0) },
            last_entry: self.log.last(),
            view: self.view.as_ref().map_or(ViewNo(0), |v| v.no),
            is_isolated: self.view.is_some() && self.is_isolated,
        };
        let has_its_vote = |v: &View| self.view_with_own_vote(v, ctx).is_none();
        let settled = self.has_reported_ready || self.view.as_ref().is_some_and(has_its_vote);
        let classify = self.is_ready && self.in_chain() && settled;
        if classify != self.has_reported_ready {
            self.has_reported_ready = classify;
            ctx.effects.push(Effect::Ready(classify));
        }
        ctx.publish(JournalEvent::Role(role));
    }
}
