use super::change_queue::ChangeQueue;
use crate::fleet::state::Scope;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::msg::*;

impl ChangeQueue {
    pub(super) fn news(&mut self, from: NodeId, nonce: u64, have: &[(Scope, Version)], ctx: &mut Context) {
        if ctx.now >= ctx.views.role.lease_until {
            let view = ctx.views.view.clone();
            return ctx.send(from, Msg::UpdateRefused { nonce, view });
        }
        let items = self.source.answer(from, have, &ctx.views.state, ctx.now);
        ctx.send(from, Msg::UpdateReply { nonce, items });
    }

    pub(super) fn push(&mut self, ctx: &mut Context) {
        if ctx.now >= ctx.views.role.lease_until {
            return self.source.clear();
        }
        for (to, items) in self.source.pushes(&ctx.views.state, ctx.now) {
            ctx.send(to, Msg::UpdatePush { items });
        }
    }
}
