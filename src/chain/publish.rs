//! Updates from the tail to the nodes that read topics directly from it, sent only while the tail holds its lease.

use super::change_queue::ChangeQueue;
use crate::fleet::state::Scope;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::msg::*;

impl ChangeQueue {
    /// Answers a request for updates, or refuses it without a lease.
    pub(super) fn on_update_request(
        &mut self,
        from: NodeId,
        nonce: u64,
        have: &[(Scope, Version)],
        ctx: &mut Context,
    ) {
        if ctx.now >= ctx.views.role.lease_until {
            let view = ctx.views.view.clone();
            return ctx.send(from, Msg::UpdateRefused { nonce, view });
        }
        let items = self.publisher.answer(from, have, &ctx.views.state, ctx.now);
        ctx.send(from, Msg::UpdateReply { nonce, items });
    }

    /// Sends updates to the subscribers. Without a lease, forgets the subscribers.
    pub(super) fn push_updates(&mut self, ctx: &mut Context) {
        if ctx.now >= ctx.views.role.lease_until {
            return self.publisher.clear();
        }
        for (to, items) in self.publisher.pushes(&ctx.views.state, ctx.now) {
            ctx.send(to, Msg::UpdatePush { items });
        }
    }
}
