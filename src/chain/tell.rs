use super::desk::Desk;
use crate::fleet::state::Scope;
use crate::kernel::ids::*;
use crate::kernel::part::Kit;
use crate::kernel::time::Span;
use crate::msg::*;

impl Desk {
    pub(super) fn news(&mut self, from: NodeId, nonce: u64, have: &[(Scope, Version)], kit: &mut Kit) {
        if kit.now >= kit.views.post.until {
            let view = kit.views.view.clone();
            return kit.send(from, Msg::NewsNo { nonce, view });
        }
        let state = &kit.views.state;
        let items = have.iter().map(|(scope, old)| {
            let at = state.scope_at(scope);
            let slice = (at > *old || *old == Version(0)).then(|| state.slice(scope));
            NewsItem { scope: scope.clone(), at, age: Span(0), slice }
        });
        let items = items.collect();
        kit.send(from, Msg::NewsTell { nonce, items });
    }
}
