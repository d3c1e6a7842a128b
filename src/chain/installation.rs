//! Taking up a decided view, and what this node then is in it.
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
    /// Takes up a decided view, unless this node has a newer one.
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
        self.chain_synced = Version(0);
        self.viewed = ctx.now;
        let known = self.view.as_ref().filter(|old| old.has(self.ident)).map_or(vec![], View::all);
        for node in view.all().into_iter().filter(|n| !known.contains(n)) {
            self.mark_alive(node, ctx.now);
        }
        let went_on = self.view.as_ref().is_some_and(|old| old.no.next() == view.no && old.has(self.ident));
        self.ready = view.head() == Some(self.ident) || (went_on && self.ready && view.has(self.ident));
        if self.ready {
            self.save_ready(view.no, ctx);
        }
        self.joiner.stop(view.has(self.ident));
        self.lead_from = self.log.last();
        if self.view.is_none() && view.no == ViewNo(1) {
            ctx.publish(JournalEvent::Founded);
        }
        self.view = Some(view.clone());
        ctx.publish(JournalEvent::ViewInstalled(view));
        self.announce(ctx);
        self.commit_if_tail(ctx);
    }

    /// Records that this member holds all that was committed before view `no`; synced before others hear of it.
    pub fn save_ready(&mut self, no: ViewNo, ctx: &mut Context) {
        self.ready_in = Some(no);
        ctx.save(Record::Ready { view: no });
        ctx.publish(JournalEvent::MemberReady(no));
    }

    /// Tells the node's other components what it is in the chain.
    pub fn publish_role(&mut self, ctx: &mut Context) {
        let post = ChainRole {
            head: self.is_head() && self.committed >= self.lead_from,
            tail: self.is_tail(),
            ready: self.ready,
            copies: self.view.as_ref().map_or(0, |v| v.chain.len()),
            need: ctx.me.required_copies(),
            safe: self.safe(ctx),
            spare: self.spared(ctx),
            until: if self.is_tail() && self.ready { self.lease.until } else { Time(0) },
            last: self.log.last(),
            view: self.view.as_ref().map_or(ViewNo(0), |v| v.no),
            isolated: self.view.is_some() && self.isolated,
        };
        let has_its_vote = |v: &View| self.view_with_my_vote(v, ctx).is_none();
        let settled = self.reported_ready || self.view.as_ref().is_some_and(has_its_vote);
        let fit = self.ready && self.in_chain() && settled;
        if fit != self.reported_ready {
            self.reported_ready = fit;
            ctx.effects.push(Effect::Ready(fit));
        }
        ctx.publish(JournalEvent::Role(post));
    }
}
