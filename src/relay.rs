//! Forwards operators' calls, which may reach any node, to the head (writes) or the tail (reads) of the
//! chain.
//!
//! Each call gets an answer before its caller's timeout. An answer counts only for the attempt that asked for
//! it, so that a late one never answers a newer call.

use crate::kernel::component::{Component, Context};
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Interval at which a call is sent again while no answer has come.
const RESEND_INTERVAL: Span = Span::ms(300);
/// Interval at which a write is sent again after the head has said that it is working on it.
const PENDING_INTERVAL: Span = Span::ms(1000);
/// Time limit of a read, or of a change in a platform's format: such callers give up after a second.
const CALLER_TIMEOUT: Span = Span::ms(900);
/// Additional time limit for each KiB of a change.
const TIMEOUT_PER_KIB: Span = Span::ms(1);
/// Time limit of a change in the product's own format: its callers wait until its rehearsal ends.
const REHEARSAL_TIMEOUT: Span = Span::ms(20_000);

/// A call to forward.
enum Call {
    Write(Box<OperatorCall>),
    Read(String),
}

/// A call without an answer so far.
struct PendingCall {
    call: Call,
    /// Random and odd; answers to other attempts are ignored.
    attempt: u64,
    received_at: Time,
    sent_at: Option<Time>,
    /// Whether the head has said that it is working on the call.
    is_in_progress: bool,
}

/// Component that forwards operators' calls and answers them in time.
#[derive(Default)]
pub struct Relay {
    calls: BTreeMap<ChangeId, PendingCall>,
}

/// How long the caller of a write waits for its answer.
pub fn write_timeout(op: &OperatorCall) -> Span {
    match op {
        OperatorCall::PlatformConfig { text, .. } => {
            CALLER_TIMEOUT + Span(TIMEOUT_PER_KIB.0 * (text.len() as u64 / 1024))
        }
        _ => REHEARSAL_TIMEOUT,
    }
}

impl PendingCall {
    fn timeout(&self) -> Span {
        match &self.call {
            Call::Read(_) => CALLER_TIMEOUT,
            Call::Write(op) => write_timeout(op),
        }
    }

    fn is_resend_due(&self, now: Time) -> bool {
        let interval = if self.is_in_progress { PENDING_INTERVAL } else { RESEND_INTERVAL };
        self.sent_at.is_none_or(|sent_at| now.since(sent_at) >= interval)
    }

    /// The answer to the caller if none came in time or none can come.
    fn unanswered(&self, id: ChangeId, view_known: bool) -> Answer {
        let write = matches!(self.call, Call::Write(_));
        if write && self.sent_at.is_some() {
            let text = format!("the change may still be taken; ask for it with: spindledock change {id}");
            return Answer::new(504, "outcome-unknown", &text, 1);
        }
        if !view_known {
            let text = "no core is known yet; check the seeds and that a majority of controllers runs";
            return Answer::new(503, "no-core", text, 1);
        }
        let text = "this node reaches no majority of the controllers; nothing was done, ask another node";
        Answer::new(503, "no-majority", text, 1)
    }
}

/// The admin address of another member of the chain; `draw` spreads the callers over all members.
fn another_member(ctx: &Context, draw: u64) -> Option<SocketAddr> {
    let own = ctx.me.node;
    let chain = ctx.views.view.as_ref().map_or(vec![], |view| view.chain.clone());
    let others: Vec<NodeId> = chain.into_iter().filter(|node| *node != own).collect();
    let place = draw.checked_rem(others.len() as u64)? as usize;
    ctx.views.member(*others.get(place)?).map(|member| member.admin)
}

impl Relay {
    fn add(&mut self, id: ChangeId, call: Call, ctx: &mut Context) {
        let attempt = ctx.rand.next() | 1;
        let pending =
            PendingCall { call, attempt, received_at: ctx.now, sent_at: None, is_in_progress: false };
        if ctx.views.role.is_isolated {
            let redirect = another_member(ctx, attempt);
            return ctx.answer(id, Answer { redirect, ..pending.unanswered(id, true) });
        }
        self.calls.insert(id, pending);
        self.send(id, ctx);
    }

    fn send(&mut self, id: ChangeId, ctx: &mut Context) {
        let (Some(pending), Some(view)) = (self.calls.get_mut(&id), &ctx.views.view) else { return };
        let attempt = pending.attempt;
        let (to, msg) = match &pending.call {
            Call::Write(op) => (view.head(), Msg::OperatorCall { id, attempt, op: OperatorCall::clone(op) }),
            Call::Read(path) => (view.tail(), Msg::ReadCall { attempt, path: path.clone() }),
        };
        if let Some(to) = to {
            pending.sent_at = Some(ctx.now);
            ctx.send(to, msg);
        }
    }

    fn tick(&mut self, ctx: &mut Context) {
        let ids: Vec<ChangeId> = self.calls.keys().copied().collect();
        for id in ids {
            let Some(pending) = self.calls.get(&id) else { continue };
            if ctx.now.since(pending.received_at) >= pending.timeout() {
                let answer = pending.unanswered(id, ctx.views.view.is_some());
                self.calls.remove(&id);
                ctx.answer(id, answer);
            } else if pending.is_resend_due(ctx.now) {
                self.send(id, ctx);
            }
        }
    }

    /// Sends every call again, because the head or tail may have changed.
    fn view_changed(&mut self, ctx: &mut Context) {
        let ids: Vec<ChangeId> = self.calls.keys().copied().collect();
        for id in ids {
            self.send(id, ctx);
        }
    }

    fn write_ended(&mut self, id: ChangeId, attempt: u64, answer: &Answer, ctx: &mut Context) {
        if self.calls.get(&id).is_some_and(|pending| pending.attempt == attempt) {
            self.calls.remove(&id);
            ctx.answer(id, answer.clone());
        }
    }

    fn read_ended(&mut self, attempt: u64, answer: &Answer, ctx: &mut Context) {
        let found = self.calls.iter().find(|(_, pending)| pending.attempt == attempt).map(|(id, _)| *id);
        if let Some(id) = found {
            self.calls.remove(&id);
            ctx.answer(id, answer.clone());
        }
    }

    fn mark_in_progress(&mut self, id: ChangeId, attempt: u64) {
        if let Some(pending) = self.calls.get_mut(&id).filter(|pending| pending.attempt == attempt) {
            pending.is_in_progress = true;
        }
    }
}

impl Answer {
    /// An answer with a code and a text that names the remedy.
    pub fn new(status: u16, code: &str, text: &str, retry_s: u64) -> Answer {
        let body = crate::json::tree::map(&[("code", code.into()), ("text", text.into())]).to_string();
        Answer { status, body, retry_s, redirect: None }
    }

    /// A successful answer with this body.
    pub fn ok(body: String) -> Answer {
        Answer { status: 200, body, retry_s: 0, redirect: None }
    }
}

impl Component for Relay {
    fn name(&self) -> &'static str {
        "relay"
    }

    fn on(&mut self, ev: &Event, ctx: &mut Context) {
        match ev {
            Event::OperatorCall { id, op } => {
                if let OperatorCall::MarkLeaving(name) = op {
                    ctx.publish(JournalEvent::RunnerMarked(name.clone()));
                }
                self.add(*id, Call::Write(Box::new(op.clone())), ctx);
            }
            Event::ReadCall { id, path } => self.add(*id, Call::Read(path.clone()), ctx),
            Event::Message { msg: Msg::CallAnswer { id, attempt, answer }, .. } => {
                self.write_ended(*id, *attempt, answer, ctx)
            }
            Event::Message { msg: Msg::ReadAnswer { attempt, answer }, .. } => {
                self.read_ended(*attempt, answer, ctx)
            }
            Event::Message { msg: Msg::CallPending { id, attempt }, .. } => {
                self.mark_in_progress(*id, *attempt)
            }
            Event::Journal(JournalEvent::ViewInstalled(_) | JournalEvent::ViewHeard(_)) => {
                self.view_changed(ctx)
            }
            Event::Tick => self.tick(ctx),
            _ => {}
        }
    }

    fn status(&self, _now: Time) -> Vec<(&'static str, String)> {
        vec![("pending", self.calls.len().to_string())]
    }
}
