use crate::fleet::read::read;
use crate::fleet::state::*;
use crate::json::Tree;
use crate::kernel::fault::Fault;
use crate::kernel::ids::*;
use crate::kernel::part::{Kit, Part};
use crate::kernel::rand::hash;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use crate::news::askers::Source;
use crate::seam::OperatorSide;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use super::beat::ROOM;
use super::foreign::Foreign;
use super::reply::{faults, outcome};
const INBOX: usize = 64;
const AGAIN: Span = Span::ms(2000);

#[derive(Default)]
pub struct Desk {
    inbox: VecDeque<(ChangeId, Op)>,
    waits: BTreeMap<ChangeId, NodeId>,
    sent: BTreeMap<ChangeId, Time>,
    trying: Option<Time>,
    pub(super) foreign: Foreign,
    pub(super) source: Source,
}

impl Desk {
    pub fn new(side: Option<Arc<dyn OperatorSide>>) -> Desk {
        Desk { foreign: Foreign::new(side), ..Desk::default() }
    }

    fn op(&mut self, from: NodeId, id: ChangeId, op: &Op, kit: &mut Kit) {
        if !kit.views.post.head || !kit.views.post.ready {
            return;
        }
        if let Op::Internal(change) = op {
            if kit.room >= ROOM || kit.views.post.spare {
                kit.note(Note::Submit(Arc::new(change.clone())));
            }
            return;
        }
        self.waits.insert(id, from);
        if let Some(o) = kit.views.state.outcome(id) {
            if kit.views.post.safe {
                self.end(id, outcome(o), kit);
            }
            return;
        }
        let known = kit.views.state.trial.as_ref().is_some_and(|t| t.id == id)
            || self.inbox.iter().any(|r| r.0 == id)
            || self.foreign.waits(id)
            || self.sent.get(&id).is_some_and(|t| kit.now.since(*t) < AGAIN);
        if known {
            return;
        }
        if kit.room < ROOM && !kit.views.post.spare {
            let text = "the head's disk is nearly full and nothing was written; free room there";
            return self.end(id, Answer::new(507, "disk-full", text, 5), kit);
        }
        if kit.views.post.copies < kit.views.post.need {
            let text = "the chain has too few members left and takes no change; bring back a controller";
            return self.end(id, Answer::new(503, "too-few-copies", text, 2), kit);
        }
        if let Op::Foreign { .. } = op {
            return self.foreign_op(id, op, kit);
        }
        if matches!(op, Op::Whole { .. } | Op::Part { .. }) {
            if self.inbox.len() >= INBOX {
                let text = "too many changes wait; this one was not taken, send it again later";
                return self.end(id, Answer::new(429, "inbox-full", text, 2), kit);
            }
            self.inbox.push_back((id, op.clone()));
            return self.work(kit);
        }
        self.take(id, op.clone(), kit);
    }

    pub(super) fn end(&mut self, id: ChangeId, answer: Answer, kit: &mut Kit) {
        self.sent.remove(&id);
        if let Some(to) = self.waits.remove(&id) {
            kit.send(to, Msg::OpEnd { id, answer });
        }
    }

    fn told(&mut self, tell: &RouterTell, kit: &mut Kit) {
        if !kit.views.post.head || !kit.views.post.ready || kit.views.post.copies < kit.views.post.need {
            return;
        }
        for name in &tell.leaving {
            let key = ChangeId(hash(&name.0, 0x1eaf));
            let listed = kit.views.state.runner(name).is_some_and(|r| !r.leaving);
            if listed && self.sent.get(&key).is_none_or(|t| kit.now.since(*t) >= AGAIN) {
                self.sent.insert(key, kit.now);
                let id = ChangeId(kit.rand.next() | 1);
                let change = Change::Leaving { id, instance: name.clone() };
                kit.note(Note::Submit(Arc::new(change)));
            }
        }
    }

    pub(super) fn submit(&mut self, id: ChangeId, change: Change, kit: &mut Kit) {
        self.sent.insert(id, kit.now);
        kit.note(Note::Submit(Arc::new(change)));
    }

    fn work(&mut self, kit: &mut Kit) {
        if kit.views.state.trial.is_some() {
            return;
        }
        let asked = self.trying.is_some_and(|t| kit.now.since(t) < AGAIN);
        if asked {
            return;
        }
        if let Some((id, op)) = self.inbox.pop_front() {
            self.take(id, op, kit);
        }
    }

    fn take(&mut self, id: ChangeId, op: Op, kit: &mut Kit) {
        let now_at = kit.views.state.config_at;
        let (base, tree) = match op {
            Op::Whole { base, text } => (base, Tree::parse(&text)),
            Op::Part { base: Some(base), .. } if base != now_at => {
                let text = format!("base {base} is not the current {now_at}; read it and send again");
                self.end(id, Answer::new(409, "stale-base", &text, 0), kit);
                return self.work(kit);
            }
            Op::Part { text, .. } => {
                let base = Some(now_at);
                let mut whole = kit.views.state.config.tree();
                let part = Tree::parse(&text).map(|t| {
                    whole.merge(t);
                    whole
                });
                (base, part)
            }
            Op::Runners(list) => return self.submit(id, Change::Runners { id, list }, kit),
            Op::Leaving(instance) => return self.submit(id, Change::Leaving { id, instance }, kit),
            Op::Propose => return self.submit(id, Change::PlanAsk { id }, kit),
            Op::Accept(at) => return self.submit(id, Change::Accept { id, at }, kit),
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
                return match crate::placement::plan::check(&plan, &kit.views.state) {
                    Ok(()) => self.submit(id, Change::Move { id, plan }, kit),
                    Err(f) => self.end(id, Answer::new(400, "bad-move", &f.to_string(), 0), kit),
                };
            }
        };
        let parsed = tree.map_err(|why| {
            let remedy = "send one well-formed JSON object";
            vec![Fault::new(crate::kernel::fault::Kind::Config, "configuration", why, remedy)]
        });
        match parsed.and_then(|t| read(&t)) {
            Err(bad) => {
                self.end(id, faults(&bad), kit);
                self.work(kit);
            }
            Ok(config) => {
                let base = base.unwrap_or(now_at);
                self.trying = Some(kit.now);
                self.submit(id, Change::Propose { id, base, config: Box::new(config) }, kit);
            }
        }
    }

    fn settle(&mut self, kit: &mut Kit) {
        let safe = kit.views.post.safe;
        let ids: Vec<ChangeId> = self.waits.keys().copied().filter(|_| safe).collect();
        for id in ids {
            if let Some(o) = kit.views.state.outcome(id) {
                let answer = outcome(o);
                self.end(id, answer, kit);
            }
        }
        let state = &kit.views.state;
        self.sent.retain(|id, t| {
            state.outcome(*id).is_none()
                && state.trial.as_ref().is_none_or(|c| c.id != *id)
                && kit.now.since(*t) < AGAIN
        });
        if kit.views.post.head {
            self.work(kit);
            self.foreign_work(kit);
        } else {
            self.inbox.clear();
            self.foreign.clear();
            self.waits.clear();
        }
    }
}

impl Part for Desk {
    fn name(&self) -> &'static str {
        "desk"
    }

    fn on(&mut self, ev: &Event, kit: &mut Kit) {
        match ev {
            Event::Mail { from, msg, .. } => match msg {
                Msg::Op { id, op } => self.op(*from, *id, op, kit),
                Msg::Ask { id, path } => self.ask(*from, *id, path, kit),
                Msg::Tell(tell) => {
                    self.foreign.told(*from, kit.now, tell);
                    self.told(tell, kit);
                }
                Msg::NewsAsk { nonce, direct: true, have } => self.news(*from, *nonce, have, kit),
                _ => {}
            },
            Event::Note(Note::Fold { change, .. }) => {
                match **change {
                    Change::Propose { .. } => self.trying = None,
                    Change::Adopt { id, .. } => self.foreign.folded(id),
                    _ => {}
                }
                self.settle(kit);
            }
            Event::Tick => {
                self.settle(kit);
                self.push(kit);
            }
            _ => {}
        }
    }

    fn status(&self, _now: Time) -> Vec<(&'static str, String)> {
        vec![("inbox", self.inbox.len().to_string())]
    }
}
