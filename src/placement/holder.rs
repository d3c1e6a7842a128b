use super::duty::Placement;
use crate::colleagues::part::SUSPECT;
use crate::fleet::state::*;
use crate::kernel::ids::*;
use crate::kernel::part::Kit;
use crate::kernel::time::Span;
use crate::msg::*;
use std::sync::Arc;

const ASK: Span = Span::ms(200);
const ASK_SOON: Span = Span::ms(60);

impl Placement {
    pub fn name_holder(&mut self, kit: &mut Kit) {
        let post = kit.views.post;
        if !post.head || !post.ready || post.copies < 2 || kit.now.since(self.named) < Span::ms(1500) {
            return;
        }
        let Some(view) = kit.views.view.clone() else { return };
        let live = |n: NodeId| {
            n == kit.me.node || kit.views.book.iter().any(|r| r.who.node == n && r.quiet < SUSPECT)
        };
        let holder = kit.views.state.duty.as_ref().map(|d| d.holder);
        if holder.is_some_and(|h| view.has(h) && live(h)) {
            return;
        }
        let rank: Vec<NodeId> = view.chain.iter().rev().copied().filter(|n| live(*n)).collect();
        if let Some(next) = rank.first() {
            self.named = kit.now;
            kit.say("duty-named", format!("{next} holds placement next"));
            kit.note(Note::Submit(Arc::new(Change::Duty { holder: *next })));
        }
    }

    pub fn hand_over(&mut self, kit: &mut Kit) {
        self.warned = true;
        if self.term == Term(0) {
            return;
        }
        let Some(view) = kit.views.view.clone() else { return };
        let next = view.chain.iter().rev().find(|n| **n != kit.me.node).copied();
        if let Some(next) = next {
            kit.say("duty-handed", format!("{next} is named successor"));
            self.tell_head(Change::Duty { holder: next }, kit);
        }
    }

    pub fn ask(&mut self, kit: &mut Kit) {
        let lively =
            self.term != Term(0) && self.slice.as_ref().is_some_and(|s| s.plans.iter().any(|p| p.live()));
        if kit.now.since(self.asked) < if lively { ASK_SOON } else { ASK } {
            return;
        }
        self.asked = kit.now;
        let Some(tail) = kit.views.view.as_ref().and_then(|v| v.tail()) else { return };
        let nonce = self.reader.ask(kit.now);
        let have = vec![(Scope::Duty, self.reader.have(&Scope::Duty))];
        kit.send(tail, Msg::NewsAsk { nonce, direct: true, have });
    }
}
