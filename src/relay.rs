//! Forwards an operator's calls, which may reach any node, to the head (writes) or the tail (reads) of the chain.
//!
//! Each call is answered while its caller still listens. An answer counts only for the attempt that asked for
//! it, so that one that comes late never answers a newer call.

use crate::kernel::component::{Component, Context};
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How often a call is sent again while nothing came back for it.
const RESEND_INTERVAL: Span = Span::ms(300);
/// How often a write is sent again once the head has said that it is at work on it.
const PENDING_INTERVAL: Span = Span::ms(1000);
/// How long a read, or a change in an operator's own format, may take: such callers leave after a second.
const CALLER_PATIENCE: Span = Span::ms(900);
/// What callers wait longer for each KiB of a change.
const PATIENCE_PER_KIB: Span = Span::ms(1);
/// How long a change in the product's own format may take: its callers wait for the end of its rehearsal.
const REHEARSAL_PATIENCE: Span = Span::ms(20_000);

/// What is forwarded.
enum Call {
    Write(Box<OperatorCall>),
    Read(String),
}

/// A call that is under way.
struct Job {
    call: Call,
    attempt: u64,
    since: Time,
    sent: Option<Time>,
    pending: bool,
}

/// Component that forwards operators' calls and answers them in time.
#[derive(Default)]
pub struct Relay {
    jobs: BTreeMap<ChangeId, Job>,
}

/// How long the caller of a write waits for its answer.
pub fn write_patience(op: &OperatorCall) -> Span {
    match op {
        OperatorCall::PlatformConfig { text, .. } => {
            CALLER_PATIENCE + Span(PATIENCE_PER_KIB.0 * (text.len() as u64 / 1024))
        }
        _ => REHEARSAL_PATIENCE,
    }
}

impl Job {
    fn max_age(&self) -> Span {
        match &self.call {
            Call::Read(_) => CALLER_PATIENCE,
            Call::Write(op) => write_patience(op),
        }
    }

    fn resend_due(&self, now: Time) -> bool {
        let interval = if self.pending { PENDING_INTERVAL } else { RESEND_INTERVAL };
        self.sent.is_none_or(|sent| now.since(sent) >= interval)
    }

    /// What the caller is told when no answer came in time, or none can come.
    fn unanswered(&self, id: ChangeId, view_known: bool) -> Answer {
        let write = matches!(self.call, Call::Write(_));
        if write && self.sent.is_some() {
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

/// Where another member of the chain takes calls; `draw` spreads the callers over all of them.
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
        let job = Job { call, attempt, since: ctx.now, sent: None, pending: false };
        if ctx.views.role.is_isolated {
            let redirect = another_member(ctx, attempt);
            return ctx.answer(id, Answer { redirect, ..job.unanswered(id, true) });
        }
        self.jobs.insert(id, job);
        self.send(id, ctx);
    }

    fn send(&mut self, id: ChangeId, ctx: &mut Context) {
        let (Some(job), Some(view)) = (self.jobs.get_mut(&id), &ctx.views.view) else { return };
        let attempt = job.attempt;
        let (to, msg) = match &job.call {
            Call::Write(op) => (view.head(), Msg::OperatorCall { id, attempt, op: OperatorCall::clone(op) }),
            Call::Read(path) => (view.tail(), Msg::ReadCall { attempt, path: path.clone() }),
        };
        if let Some(to) = to {
            job.sent = Some(ctx.now);
            ctx.send(to, msg);
        }
    }

    fn tick(&mut self, ctx: &mut Context) {
        let ids: Vec<ChangeId> = self.jobs.keys().copied().collect();
        for id in ids {
            let Some(job) = self.jobs.get(&id) else { continue };
            if ctx.now.since(job.since) >= job.max_age() {
                let answer = job.unanswered(id, ctx.views.view.is_some());
                self.jobs.remove(&id);
                ctx.answer(id, answer);
            } else if job.resend_due(ctx.now) {
                self.send(id, ctx);
            }
        }
    }

    /// The head or tail may be another now: everything is sent again.
    fn view_changed(&mut self, ctx: &mut Context) {
        let ids: Vec<ChangeId> = self.jobs.keys().copied().collect();
        for id in ids {
            self.send(id, ctx);
        }
    }

    fn write_ended(&mut self, id: ChangeId, attempt: u64, answer: &Answer, ctx: &mut Context) {
        if self.jobs.get(&id).is_some_and(|job| job.attempt == attempt) {
            self.jobs.remove(&id);
            ctx.answer(id, answer.clone());
        }
    }

    fn read_ended(&mut self, attempt: u64, answer: &Answer, ctx: &mut Context) {
        let found = self.jobs.iter().find(|(_, job)| job.attempt == attempt).map(|(id, _)| *id);
        if let Some(id) = found {
            self.jobs.remove(&id);
            ctx.answer(id, answer.clone());
        }
    }

    fn pending(&mut self, id: ChangeId, attempt: u64) {
        if let Some(job) = self.jobs.get_mut(&id).filter(|job| job.attempt == attempt) {
            job.pending = true;
        }
    }
}

impl Answer {
    /// An answer with a code, and a text that names the remedy.
    pub fn new(status: u16, code: &str, text: &str, retry_s: u64) -> Answer {
        let body = crate::json::tree::map(&[("code", code.into()), ("text", text.into())]).to_string();
        Answer { status, body, retry_s, redirect: None }
    }

    /// A success that carries what was asked for.
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
            Event::Message { msg: Msg::CallPending { id, attempt }, .. } => self.pending(*id, *attempt),
            Event::Journal(JournalEvent::ViewInstalled(_) | JournalEvent::ViewHeard(_)) => {
                self.view_changed(ctx)
            }
            Event::Tick => self.tick(ctx),
            _ => {}
        }
    }

    fn status(&self, _now: Time) -> Vec<(&'static str, String)> {
        vec![("pending", self.jobs.len().to_string())]
    }
}
