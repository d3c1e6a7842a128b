use crate::distribution::subscribers::Publisher;
use crate::fleet::read::read;
use crate::fleet::state::*;
use crate::json::Tree;
use crate::kernel::component::{Component, Context};
use crate::kernel::fault::Fault;
use crate::kernel::ids::*;
use crate::kernel::rand::hash;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use crate::seam::OperatorSide;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use super::adoption::Foreign;
use super::heartbeat::ROOM;
use super::read_index::ReadIndex;
use super::reply::{faults, outcome};
const INBOX: usize = 64;
const AGAIN: Span = Span::ms(2000);

#[derive(Clone, Default)]
pub struct ChangeQueue {
    inbox: VecDeque<(ChangeId, Op)>,
    waits: BTreeMap<ChangeId, (NodeId, u64)>,
    sent: BTreeMap<ChangeId, Time>,
    trying: Option<Time>,
    pub(super) read_index: ReadIndex,
    pub(super) foreign: Foreign,
    pub(super) source: Publisher,
}

impl ChangeQueue {
    pub fn new(side: Option<Arc<dyn OperatorSide>>) -> ChangeQueue {
        ChangeQueue { foreign: Foreign::new(side), ..ChangeQueue::default() }
    }

    /// Decides on an order. The head's state was proven to be current after the order arrived (`read_index`).
    pub(super) fn op(&mut self, from: NodeId, id: ChangeId, attempt: u64, op: &Op, ctx: &mut Context) {
        self.waits.insert(id, (from, attempt));
        if let Some(o) = ctx.views.state.outcome(id) {
            if ctx.views.role.safe {
                self.end(id, outcome(o), ctx);
            }
            return;
        }
        let known = ctx.views.state.trial.as_ref().is_some_and(|t| t.id == id)
            || self.inbox.iter().any(|r| r.0 == id)
            || self.foreign.waits(id)
            || self.sent.get(&id).is_some_and(|t| ctx.now.since(*t) < AGAIN);
        if known {
            return ctx.send(from, Msg::OpPending { id, attempt });
        }
        if ctx.room < ROOM && !ctx.views.role.spare {
            let text = "the head's disk is nearly full and nothing was written; free room there";
            return self.end(id, Answer::new(507, "disk-full", text, 5), ctx);
        }
        if ctx.views.role.copies < ctx.views.role.need {
            let text = "the chain has too few members left and takes no change; bring back a controller";
            return self.end(id, Answer::new(503, "too-few-copies", text, 2), ctx);
        }
        if let Op::Foreign { .. } = op {
            return self.foreign_op(id, op, ctx);
        }
        if matches!(op, Op::Whole { .. } | Op::Part { .. }) {
            if self.inbox.len() >= INBOX {
                let text = "too many changes wait; this one was not taken, send it again later";
                return self.end(id, Answer::new(429, "inbox-full", text, 2), ctx);
            }
            self.inbox.push_back((id, op.clone()));
            return self.work(ctx);
        }
        self.take(id, op.clone(), ctx);
    }

    pub(super) fn end(&mut self, id: ChangeId, answer: Answer, ctx: &mut Context) {
        self.sent.remove(&id);
        if let Some((to, attempt)) = self.waits.remove(&id) {
            ctx.send(to, Msg::OpEnd { id, attempt, answer });
        }
    }

    fn told(&mut self, tell: &RouterTell, ctx: &mut Context) {
        if !ctx.views.role.head || !ctx.views.role.ready || ctx.views.role.copies < ctx.views.role.need {
            return;
        }
        for name in &tell.leaving {
            let key = ChangeId(hash(&name.0, 0x1eaf));
            let listed = ctx.views.state.runner(name).is_some_and(|r| !r.leaving);
            if listed && self.sent.get(&key).is_none_or(|t| ctx.now.since(*t) >= AGAIN) {
                self.sent.insert(key, ctx.now);
                let id = ChangeId(ctx.rand.next() | 1);
                let change = Change::Leaving { id, instance: name.clone() };
                ctx.publish(JournalEvent::Submitted(Arc::new(change)));
            }
        }
    }

    pub(super) fn submit(&mut self, id: ChangeId, change: Change, ctx: &mut Context) {
        self.sent.insert(id, ctx.now);
        ctx.publish(JournalEvent::Submitted(Arc::new(change)));
    }

    fn work(&mut self, ctx: &mut Context) {
        if ctx.views.state.trial.is_some() {
            return;
        }
        let asked = self.trying.is_some_and(|t| ctx.now.since(t) < AGAIN);
        if asked {
            return;
        }
        if let Some((id, op)) = self.inbox.pop_front() {
            self.take(id, op, ctx);
        }
    }

    fn take(&mut self, id: ChangeId, op: Op, ctx: &mut Context) {
        let now_at = ctx.views.state.config_at;
        let (base, tree) = match op {
            Op::Whole { base, text } => (base, Tree::parse(&text)),
            Op::Part { base: Some(base), .. } if base != now_at => {
                let text = format!("base {base} is not the current {now_at}; read it and send again");
                self.end(id, Answer::new(409, "stale-base", &text, 0), ctx);
                return self.work(ctx);
            }
            Op::Part { text, .. } => {
                let base = Some(now_at);
                let mut whole = ctx.views.state.config.tree();
                let part = Tree::parse(&text).map(|t| {
                    whole.merge(t);
                    whole
                });
                (base, part)
            }
            Op::Runners(list) => return self.submit(id, Change::Runners { id, list }, ctx),
            Op::Leaving(instance) => return self.submit(id, Change::Leaving { id, instance }, ctx),
            Op::Propose => return self.submit(id, Change::PlanAsk { id }, ctx),
            Op::Accept(at) => return self.submit(id, Change::Accept { id, at }, ctx),
            Op::Internal(_) | Op::Foreign { .. } => return,
            Op::Move { service, model, from, to, want } => {
                let plan = MovePlan {
                    id: MoveId(id.0),
                    service,
                    model,
                    from,
                    to,
                    want,
                    phase: Phase::Load,
                    why: String::new(),
                    stages: vec![],
                };
                return match crate::placement::plan::check(&plan, &ctx.views.state) {
                    Ok(()) => self.submit(id, Change::Move { id, plan }, ctx),
                    Err(f) => self.end(id, Answer::new(400, "bad-move", &f.to_string(), 0), ctx),
                };
            }
        };
        let parsed = tree.map_err(|why| {
            let remedy = "send one well-formed JSON object";
            vec![Fault::new(crate::kernel::fault::Kind::Config, "configuration", why, remedy)]
        });
        match parsed.and_then(|t| read(&t)) {
            Err(bad) => {
                self.end(id, faults(&bad), ctx);
                self.work(ctx);
            }
            Ok(config) => {
                let base = base.unwrap_or(now_at);
                self.trying = Some(ctx.now);
                self.submit(id, Change::Propose { id, base, config: Box::new(config) }, ctx);
            }
        }
    }

    fn settle(&mut self, ctx: &mut Context) {
        let safe = ctx.views.role.safe;
        let ids: Vec<ChangeId> = self.waits.keys().copied().filter(|_| safe).collect();
        for id in ids {
            if let Some(o) = ctx.views.state.outcome(id) {
                let answer = outcome(o);
                self.end(id, answer, ctx);
            }
        }
        let state = &ctx.views.state;
        self.sent.retain(|id, t| {
            state.outcome(*id).is_none()
                && state.trial.as_ref().is_none_or(|c| c.id != *id)
                && ctx.now.since(*t) < AGAIN
        });
        if ctx.views.role.head {
            self.work(ctx);
            self.foreign_work(ctx);
        } else {
            self.inbox.clear();
            self.foreign.clear();
            self.read_index.clear();
            self.waits.clear();
        }
    }
}

impl Component for ChangeQueue {
    fn name(&self) -> &'static str {
        "change_queue"
    }

    fn on(&mut self, ev: &Event, ctx: &mut Context) {
        match ev {
            Event::Mail { from, msg, .. } => match msg {
                Msg::Op { id, attempt, op } => self.received(*from, *id, *attempt, op, ctx),
                Msg::Ask { attempt, path } => self.ask(*from, *attempt, path, ctx),
                Msg::Chain(ChainMsg::ReadIndexRequest { view, sent }) => {
                    self.proof_requested(*view, *sent, ctx)
                }
                Msg::Chain(ChainMsg::ReadIndexReply { view, sent, committed }) => {
                    self.proof_given(*view, *sent, *committed, ctx)
                }
                Msg::Tell(tell) => {
                    self.foreign.told(*from, ctx.now, tell);
                    self.told(tell, ctx);
                }
                Msg::UpdateRequest { nonce, direct: true, have } => self.news(*from, *nonce, have, ctx),
                _ => {}
            },
            Event::Journal(JournalEvent::Committed { change, .. }) => {
                match **change {
                    Change::Propose { .. } => self.trying = None,
                    Change::Adopt { id, .. } => self.foreign.folded(id),
                    _ => {}
                }
                self.admit(ctx);
                self.settle(ctx);
            }
            Event::Tick => {
                self.read_index_tick(ctx);
                self.settle(ctx);
                self.push(ctx);
            }
            _ => {}
        }
    }

    fn status(&self, _now: Time) -> Vec<(&'static str, String)> {
        vec![("inbox", self.inbox.len().to_string())]
    }
}
