//! Proof that the head's state is current, taken before it decides on an operator's order.
//!
//! A head that was cut off, frozen or replaced still has its old state. Whatever it would say from it (taken,
//! stale, invalid on top of this) may be wrong. So an order waits at the head until the tail has confirmed, in a
//! request sent after the order arrived, that it holds its lease in the head's own view, and until the head has
//! applied all that the tail had committed then. Without that the order is turned away untouched.
//!
//! An order that came while the chain had members enough, and is not decided on when it loses one too many, waits
//! for another member as a change does that was handed to the chain before.

use super::change_queue::{ChangeQueue, queue_full_answer, too_few_copies_answer};
use super::heartbeat::NEARLY_FULL_BYTES;
use super::view::View;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use crate::relay::write_timeout;
use std::sync::Arc;

/// How long before its caller leaves an order that got no proof is turned away.
const REJECT_MARGIN: Span = Span::ms(200);
/// How often the tail is asked again while orders wait.
const REQUEST_INTERVAL: Span = Span::ms(100);
/// Orders that may wait for the proof at a time.
const MAX_ARRIVALS: usize = 64;

/// An order that has arrived at the head and isn't yet decided on.
#[derive(Clone)]
struct Arrival {
    from: NodeId,
    id: ChangeId,
    attempt: u64,
    op: OperatorCall,
    since: Time,
    /// Whether the chain had members enough when it arrived.
    had_enough_copies: bool,
}

/// The tail's answer to a request sent at `sent`; it counts once the head has applied `committed`.
#[derive(Clone)]
struct Confirmation {
    sent: Time,
    committed: Version,
}

/// The orders that wait for a proof, and what the tail has confirmed.
#[derive(Clone, Default)]
pub struct ReadIndex {
    arrivals: Vec<Arrival>,
    confirmation: Option<Confirmation>,
    requested_at: Time,
}

impl ReadIndex {
    /// Forgets all orders that wait; this node is no head any more.
    pub fn clear(&mut self) {
        *self = ReadIndex::default();
    }

    /// Adds an order, or a newer attempt of one that waits already. A repeat of the same attempt changes nothing.
    fn add(&mut self, new: Arrival) -> bool {
        if let Some(old) = self.arrivals.iter_mut().find(|a| a.id == new.id) {
            if old.attempt != new.attempt {
                *old = new;
            }
            return true;
        }
        let room = self.arrivals.len() < MAX_ARRIVALS;
        if room {
            self.arrivals.push(new);
        }
        room
    }

    /// Takes out the orders that arrived before the confirmed request was sent, but for those that wait for a
    /// member.
    fn confirmed(&mut self, applied: Version, has_enough_copies: bool) -> Vec<Arrival> {
        let Some(proof) = self.confirmation.as_ref().filter(|c| c.committed <= applied) else {
            return vec![];
        };
        let sent = proof.sent;
        let waits_for_member = |a: &Arrival| a.had_enough_copies && !has_enough_copies;
        self.arrivals.extract_if(.., |a| a.since <= sent && !waits_for_member(a)).collect()
    }

    fn expired(&mut self, now: Time) -> Vec<Arrival> {
        self.arrivals.extract_if(.., |a| now.since(a.since) + REJECT_MARGIN >= write_timeout(&a.op)).collect()
    }
}

impl ChangeQueue {
    /// Takes in an order. A change of the fleet's own carries its own fence and needs no proof.
    pub(super) fn on_operator_call(
        &mut self,
        from: NodeId,
        id: ChangeId,
        attempt: u64,
        op: &OperatorCall,
        ctx: &mut Context,
    ) {
        if !ctx.views.role.is_head || !ctx.views.role.is_ready {
            return;
        }
        let OperatorCall::Internal(change) = op else { return self.on_arrival(from, id, attempt, op, ctx) };
        if ctx.free_disk_bytes >= NEARLY_FULL_BYTES || ctx.views.role.peers_have_room {
            ctx.publish(JournalEvent::Submitted(Arc::new(change.clone())));
        }
    }

    /// An order has arrived: it is decided on once the head's state is proven.
    fn on_arrival(&mut self, from: NodeId, id: ChangeId, attempt: u64, op: &OperatorCall, ctx: &mut Context) {
        let (op, had_enough_copies) = (op.clone(), has_enough_copies(ctx));
        let arrival = Arrival { from, id, attempt, op, since: ctx.now, had_enough_copies };
        if !self.read_index.add(arrival) {
            return ctx.send(from, Msg::CallAnswer { id, attempt, answer: queue_full_answer() });
        }
        self.request_confirmation(ctx);
    }

    /// Asks the tail whether the head's view is current; a head that is the tail itself asks its own lease.
    fn request_confirmation(&mut self, ctx: &mut Context) {
        let role = ctx.views.role;
        if role.is_tail {
            if ctx.now < role.lease_until {
                self.read_index.confirmation = Some(Confirmation { sent: ctx.now, committed: Version(0) });
            }
            return self.decide_confirmed(ctx);
        }
        self.read_index.requested_at = ctx.now;
        self.on_read_index_request(role.view, ctx.now, ctx);
    }

    /// A request goes from member to member, by the links that changes take, until it is at the tail, which
    /// confirms only while it holds its lease in that very view.
    pub(super) fn on_read_index_request(&mut self, view: ViewNo, sent: Time, ctx: &mut Context) {
        let (role, own) = (ctx.views.role, ctx.me.node);
        let Some(chain) = confirmation_view(view, ctx) else { return };
        if let Some(next) = chain.after(own) {
            return ctx.chain(next, ChainMsg::ReadIndexRequest { view, sent });
        }
        if let (Some(previous), true) = (chain.before(own), role.is_tail && ctx.now < role.lease_until) {
            let committed = ctx.views.state.at;
            ctx.chain(previous, ChainMsg::ReadIndexReply { view, sent, committed });
        }
    }

    /// A reply goes back the same way, until it is at the head.
    pub(super) fn on_read_index_reply(
        &mut self,
        view: ViewNo,
        sent: Time,
        committed: Version,
        ctx: &mut Context,
    ) {
        let (role, own) = (ctx.views.role, ctx.me.node);
        let Some(chain) = confirmation_view(view, ctx) else { return };
        if let Some(previous) = chain.before(own) {
            return ctx.chain(previous, ChainMsg::ReadIndexReply { view, sent, committed });
        }
        if role.is_head && self.read_index.confirmation.as_ref().is_none_or(|c| c.sent < sent) {
            self.read_index.confirmation = Some(Confirmation { sent, committed });
            self.decide_confirmed(ctx);
        }
    }

    /// Decides on all orders that are older than the proof.
    pub(super) fn decide_confirmed(&mut self, ctx: &mut Context) {
        for a in self.read_index.confirmed(ctx.views.state.at, has_enough_copies(ctx)) {
            self.decide(a.from, a.id, a.attempt, &a.op, ctx);
        }
    }

    /// Asks again for orders that wait, and turns away those that have waited too long.
    pub(super) fn on_read_index_tick(&mut self, ctx: &mut Context) {
        self.decide_confirmed(ctx);
        for a in self.read_index.expired(ctx.now) {
            let answer = if has_enough_copies(ctx) { unconfirmed_answer() } else { too_few_copies_answer() };
            ctx.send(a.from, Msg::CallAnswer { id: a.id, attempt: a.attempt, answer });
        }
        let waits = !self.read_index.arrivals.is_empty();
        if waits && ctx.now.since(self.read_index.requested_at) >= REQUEST_INTERVAL {
            self.request_confirmation(ctx);
        }
    }
}

fn has_enough_copies(ctx: &Context) -> bool {
    ctx.views.role.copies >= ctx.views.role.required_copies
}

/// The answer to an order that got no proof in time.
fn unconfirmed_answer() -> Answer {
    let text = "no majority of the controllers confirms this head; nothing was taken, ask another node";
    Answer::new(503, "no-majority", text, 1)
}

/// The chain that a proof of `view` passes along. A member that hears no majority stays silent: its letters would
/// count as signs of life, and it would not be left out.
fn confirmation_view(view: ViewNo, ctx: &Context) -> Option<View> {
    let role = ctx.views.role;
    let current = ctx.views.view.clone().filter(|v| v.no == view && role.view == view);
    current.filter(|_| !role.is_isolated)
}
