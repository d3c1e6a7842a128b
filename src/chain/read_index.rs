//! Read index: confirmation that the head's state is current, obtained before it decides on an operator call.
//!
//! A head that was cut off, suspended or replaced still has its old state, and any answer from it (accepted, stale,
//! invalid against this configuration) could be wrong. So a call waits at the head until the tail has confirmed, in
//! answer to a request sent after the call arrived, that it holds its lease in the head's view, and until the head
//! has applied all that the tail had committed by then. Without a confirmation the call is rejected without any
//! effect.
//!
//! If the chain had enough members when a call arrived but loses one before the decision, the call waits for
//! another member, as a change does that was already submitted to the chain.

use super::change_queue::{ChangeQueue, queue_full_answer, too_few_copies_answer};
use super::heartbeat::NEARLY_FULL_BYTES;
use super::view::View;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use crate::relay::write_timeout;
use std::sync::Arc;

/// A call without a confirmation is rejected this long before its caller gives up.
const REJECT_MARGIN: Span = Span::ms(200);
/// How often the tail is asked again while calls wait.
const REQUEST_INTERVAL: Span = Span::ms(100);
/// How many calls may wait for a confirmation.
const MAX_ARRIVALS: usize = 64;

/// An operator call that has arrived at the head and is not decided yet.
#[derive(Clone)]
struct Arrival {
    from: NodeId,
    id: ChangeId,
    attempt: u64,
    op: OperatorCall,
    since: Time,
    /// Whether the chain had enough members when it arrived.
    had_enough_copies: bool,
}

/// The tail's answer to a request sent at `sent`. It counts once the head has applied `committed`.
#[derive(Clone)]
struct Confirmation {
    sent: Time,
    committed: Version,
}

/// The calls that wait for a confirmation, and the last confirmation of the tail.
#[derive(Clone, Default)]
pub struct ReadIndex {
    arrivals: Vec<Arrival>,
    confirmation: Option<Confirmation>,
    requested_at: Time,
}

impl ReadIndex {
    /// Forgets all waiting calls, when this node is no longer the head.
    pub fn clear(&mut self) {
        *self = ReadIndex::default();
    }

    /// Adds a call, or a newer attempt of one that already waits; a repetition of the same attempt changes nothing.
    /// False if there are too many.
    fn add(&mut self, new: Arrival) -> bool {
        if let Some(old) = self.arrivals.iter_mut().find(|arrival| arrival.id == new.id) {
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

    /// Removes and returns the calls that arrived before the confirmed request was sent, except those that wait for
    /// another member.
    fn confirmed(&mut self, applied: Version, has_enough_copies: bool) -> Vec<Arrival> {
        let Some(confirmation) = self.confirmation.as_ref().filter(|c| c.committed <= applied) else {
            return vec![];
        };
        let sent = confirmation.sent;
        let waits_for_member = |arrival: &Arrival| arrival.had_enough_copies && !has_enough_copies;
        self.arrivals.extract_if(.., |arrival| arrival.since <= sent && !waits_for_member(arrival)).collect()
    }

    fn expired(&mut self, now: Time) -> Vec<Arrival> {
        self.arrivals
            .extract_if(.., |arrival| now.since(arrival.since) + REJECT_MARGIN >= write_timeout(&arrival.op))
            .collect()
    }
}

impl ChangeQueue {
    /// Takes an operator call. An internal change is guarded by its own preconditions and needs no confirmation.
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

    /// Keeps a call until the head's state is confirmed, and asks for a confirmation.
    fn on_arrival(&mut self, from: NodeId, id: ChangeId, attempt: u64, op: &OperatorCall, ctx: &mut Context) {
        let (op, had_enough_copies) = (op.clone(), has_enough_copies(ctx));
        let arrival = Arrival { from, id, attempt, op, since: ctx.now, had_enough_copies };
        if !self.read_index.add(arrival) {
            return ctx.send(from, Msg::CallAnswer { id, attempt, answer: queue_full_answer() });
        }
        self.request_confirmation(ctx);
    }

    /// Asks the tail to confirm the head's view; a head that is also the tail checks its own lease.
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

    /// Passes a request on along the chain, over the same links as changes. The tail answers it, if it holds its
    /// lease in that view.
    pub(super) fn on_read_index_request(&mut self, view: ViewNo, sent: Time, ctx: &mut Context) {
        let (role, own) = (ctx.views.role, ctx.me.node);
        let Some(chain) = confirmation_view(view, ctx) else { return };
        if let Some(next) = chain.successor(own) {
            return ctx.chain(next, ChainMsg::ReadIndexRequest { view, sent });
        }
        if let (Some(previous), true) = (chain.predecessor(own), role.is_tail && ctx.now < role.lease_until) {
            let committed = ctx.views.state.at;
            ctx.chain(previous, ChainMsg::ReadIndexReply { view, sent, committed });
        }
    }

    /// Passes a reply back along the chain until it reaches the head.
    pub(super) fn on_read_index_reply(
        &mut self,
        view: ViewNo,
        sent: Time,
        committed: Version,
        ctx: &mut Context,
    ) {
        let (role, own) = (ctx.views.role, ctx.me.node);
        let Some(chain) = confirmation_view(view, ctx) else { return };
        if let Some(previous) = chain.predecessor(own) {
            return ctx.chain(previous, ChainMsg::ReadIndexReply { view, sent, committed });
        }
        if role.is_head && self.read_index.confirmation.as_ref().is_none_or(|c| c.sent < sent) {
            self.read_index.confirmation = Some(Confirmation { sent, committed });
            self.decide_confirmed(ctx);
        }
    }

    /// Decides on all calls that arrived before the confirmed request.
    pub(super) fn decide_confirmed(&mut self, ctx: &mut Context) {
        for arrival in self.read_index.confirmed(ctx.views.state.at, has_enough_copies(ctx)) {
            self.decide(arrival.from, arrival.id, arrival.attempt, &arrival.op, ctx);
        }
    }

    /// Timed work: repeats the request while calls wait, and rejects calls that have waited too long.
    pub(super) fn on_read_index_tick(&mut self, ctx: &mut Context) {
        self.decide_confirmed(ctx);
        for arrival in self.read_index.expired(ctx.now) {
            let answer = if has_enough_copies(ctx) { unconfirmed_answer() } else { too_few_copies_answer() };
            ctx.send(arrival.from, Msg::CallAnswer { id: arrival.id, attempt: arrival.attempt, answer });
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

/// The answer to a call that got no confirmation in time.
fn unconfirmed_answer() -> Answer {
    let text = "no majority of the controllers confirms this head; nothing was taken, ask another node";
    Answer::new(503, "no-majority", text, 1)
}

/// The view along whose chain a confirmation of `view` travels, if it is current. None on a member that hears no
/// majority: its messages would make it look alive, and it would not be removed from the chain.
fn confirmation_view(view: ViewNo, ctx: &Context) -> Option<View> {
    let role = ctx.views.role;
    let current = ctx.views.view.clone().filter(|v| v.no == view && role.view == view);
    current.filter(|_| !role.is_isolated)
}
