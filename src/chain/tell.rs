use super::desk::Desk;
use crate::fleet::state::Scope;
use crate::kernel::ids::*;
use crate::kernel::part::Kit;
use crate::msg::*;

impl Desk {
    pub(super) fn news(&mut self, from: NodeId, nonce: u64, have: &[(Scope, Version)], kit: &mut Kit) {
        if kit.now >= kit.views.post.until {
            let view = kit.views.view.clone();
            return kit.send(from, Msg::NewsNo { nonce, view });
        }
        let items = self.source.answer(from, have, &kit.views.state, kit.now);
        kit.send(from, Msg::NewsTell { nonce, items });
    }

    pub(super) fn push(&mut self, kit: &mut Kit) {
        if kit.now >= kit.views.post.until {
            return self.source.clear();
        }
        for (to, items) in self.source.pushes(&kit.views.state, kit.now) {
            kit.send(to, Msg::NewsPush { items });
        }
    }
}
