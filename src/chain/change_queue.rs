//! The head's queue of operator calls: each is kept until its outcome is committed and answered.
//!
//! Answers are given only from committed state. A call whose change was accepted or refused before is answered from
//! the replicated state. A new one is submitted to the chain, and its caller gets the committed outcome.
//! `read_index` proves that the head is current before it decides; `own_change` and `adoption` handle
//! configurations in the native and in the operator's format.

use crate::distribution::subscribers::Publisher;
use crate::fleet::state::*;
use crate::kernel::component::{Component, Context};
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use crate::protocol::OperatorProtocol;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use super::adoption_queue::AdoptionQueue;
use super::heartbeat::NEARLY_FULL_BYTES;
use super::read_index::ReadIndex;
use super::reply::{can_answer, decided};

/// How many changes may wait at the head, for each of the two formats.
pub(super) const QUEUE_CAPACITY: usize = 64;
/// A change that was submitted to the chain and has no outcome after this time is submitted again.
pub(super) const RESUBMIT_AFTER: Span = Span::ms(2000);

/// The component of the controllers that takes operator calls, answers reads at the tail and sends updates to
/// routers.
#[derive(Clone, Default)]
pub struct ChangeQueue {
    pub(super) waiting_changes: VecDeque<(ChangeId, OperatorCall)>,
    /// The node that waits for the outcome of each change, and its attempt number.
    callers: BTreeMap<ChangeId, (NodeId, u64)>,
    submitted: BTreeMap<ChangeId, Time>,
    leaving_submitted: BTreeMap<Name, Time>,
    pub(super) proposed_at: Option<Time>,
    /// The full answers to changes whose refusal was submitted to the chain.
    pub(super) pending_refusals: BTreeMap<ChangeId, Answer>,
    pub(super) read_index: ReadIndex,
    pub(super) adoptions: AdoptionQueue,
    pub(super) publisher: Publisher,
}

impl ChangeQueue {
    /// A queue that also takes configurations in the format of `protocol`.
    pub fn new(protocol: Option<Arc<dyn OperatorProtocol>>) -> ChangeQueue {
        ChangeQueue { adoptions: AdoptionQueue::new(protocol), ..ChangeQueue::default() }
    }

    /// Decides on an operator call. The head's state was confirmed as current after the call arrived
    /// (`read_index`).
    pub(super) fn decide(
        &mut self,
        from: NodeId,
        id: ChangeId,
        attempt: u64,
        op: &OperatorCall,
        ctx: &mut Context,
    ) {
        self.callers.insert(id, (from, attempt));
        if ctx.views.state.decision(id).is_some() {
            if self.answer_if_decided(id, ctx) {
                return;
            }
            return ctx.send(from, Msg::CallPending { id, attempt });
        }
        if self.is_under_way(id, ctx) {
            return ctx.send(from, Msg::CallPending { id, attempt });
        }
        if let Some(answer) = write_obstacle(ctx) {
            return self.finish(id, answer, ctx);
        }
        match op {
            OperatorCall::PlatformConfig { .. } => self.queue_adoption(id, op, ctx),
            OperatorCall::ReplaceConfig { .. } | OperatorCall::PatchConfig { .. } => {
                self.queue_own_change(id, op, ctx)
            }
            _ => self.execute(id, op.clone(), ctx),
        }
    }

    fn queue_own_change(&mut self, id: ChangeId, op: &OperatorCall, ctx: &mut Context) {
        if self.waiting_changes.len() >= QUEUE_CAPACITY {
            return self.finish(id, queue_full_answer(), ctx);
        }
        self.waiting_changes.push_back((id, op.clone()));
        self.start_next_change(ctx);
    }

    fn is_under_way(&self, id: ChangeId, ctx: &Context) -> bool {
        ctx.views.state.candidate.as_ref().is_some_and(|candidate| candidate.id == id)
            || self.waiting_changes.iter().any(|row| row.0 == id)
            || self.adoptions.contains(id)
            || self.submitted.get(&id).is_some_and(|since| ctx.now.since(*since) < RESUBMIT_AFTER)
    }

    /// Answers the caller of a change whose outcome is committed and may be told. Returns whether it did.
    fn answer_if_decided(&mut self, id: ChangeId, ctx: &mut Context) -> bool {
        let decision = ctx.views.state.decision(id).filter(|decision| can_answer(decision, ctx.views));
        let Some(decision) = decision else { return false };
        let refused = matches!(decision, Decision::Outcome(outcome) if outcome.code != OutcomeCode::Ok);
        let full = self.pending_refusals.remove(&id).filter(|_| refused);
        let answer = full.unwrap_or_else(|| decided(decision));
        self.finish(id, answer, ctx);
        true
    }

    /// Answers the caller of a change and forgets it.
    pub(super) fn finish(&mut self, id: ChangeId, answer: Answer, ctx: &mut Context) {
        self.submitted.remove(&id);
        if let Some((caller, attempt)) = self.callers.remove(&id) {
            ctx.send(caller, Msg::CallAnswer { id, attempt, answer });
        }
    }

    /// Submits a change for each runner that a router reports as leaving and the state does not show so yet.
    fn submit_leaving(&mut self, report: &RouterReport, ctx: &mut Context) {
        if !ctx.views.role.is_head
            || !ctx.views.role.is_ready
            || ctx.views.role.copies < ctx.views.role.required_copies
        {
            return;
        }
        self.leaving_submitted.retain(|_, since| ctx.now.since(*since) < RESUBMIT_AFTER);
        for name in &report.leaving {
            let listed = ctx.views.state.runner(name).is_some_and(|runner| !runner.leaving);
            if listed && !self.leaving_submitted.contains_key(name) {
                self.leaving_submitted.insert(name.clone(), ctx.now);
                let id = ChangeId::random(ctx.rand);
                let change = Change::Leaving { id, instance: name.clone() };
                ctx.publish(JournalEvent::Submitted(Arc::new(change)));
            }
        }
    }

    /// Submits a change to the chain.
    pub(super) fn submit(&mut self, id: ChangeId, change: Change, ctx: &mut Context) {
        self.submitted.insert(id, ctx.now);
        ctx.publish(JournalEvent::Submitted(Arc::new(change)));
    }

    /// Answers all callers whose outcome is known by now, and starts what waits; on other nodes than the head,
    /// clears the queue.
    fn answer_decided(&mut self, ctx: &mut Context) {
        let waiting: Vec<ChangeId> = self.callers.keys().copied().collect();
        for id in waiting {
            self.answer_if_decided(id, ctx);
        }
        let state = &ctx.views.state;
        self.submitted.retain(|id, since| {
            state.decision(*id).is_none()
                && state.candidate.as_ref().is_none_or(|candidate| candidate.id != *id)
                && ctx.now.since(*since) < RESUBMIT_AFTER
        });
        if ctx.views.role.is_head {
            self.start_next_change(ctx);
            self.adopt_next(ctx);
        } else {
            self.forget_waiting();
        }
    }

    /// Forgets all that waits: only the head answers, and entry nodes resend to the new head.
    fn forget_waiting(&mut self) {
        self.waiting_changes.clear();
        self.adoptions.clear();
        self.read_index.clear();
        self.callers.clear();
        self.pending_refusals.clear();
    }
}

/// The reason why nothing can be written now. It says nothing about the change: an earlier attempt may have
/// succeeded.
fn write_obstacle(ctx: &Context) -> Option<Answer> {
    if ctx.free_disk_bytes < NEARLY_FULL_BYTES && !ctx.views.role.peers_have_room {
        let text = "the head's disk is nearly full and nothing was written; free room there";
        return Some(Answer::new(507, "disk-full", text, 5));
    }
    if ctx.views.role.copies < ctx.views.role.required_copies {
        return Some(too_few_copies_answer());
    }
    None
}

/// The answer to a change while the chain has too few members.
pub(super) fn too_few_copies_answer() -> Answer {
    let text = "the chain has too few members left and takes no change; bring back a controller";
    Answer::new(503, "too-few-copies", text, 2)
}

/// The answer to a change when the queue is full.
pub(super) fn queue_full_answer() -> Answer {
    Answer::new(503, "inbox-full", "too many changes wait; send it again later", 1)
}

impl Component for ChangeQueue {
    fn name(&self) -> &'static str {
        "change_queue"
    }

    fn on(&mut self, ev: &Event, ctx: &mut Context) {
        match ev {
            Event::Message { from, msg, .. } => match msg {
                Msg::OperatorCall { id, attempt, op } => self.on_operator_call(*from, *id, *attempt, op, ctx),
                Msg::ReadCall { attempt, path } => self.on_read(*from, *attempt, path, ctx),
                Msg::Chain(ChainMsg::ReadIndexRequest { view, sent }) => {
                    self.on_read_index_request(*view, *sent, ctx)
                }
                Msg::Chain(ChainMsg::ReadIndexReply { view, sent, committed }) => {
                    self.on_read_index_reply(*view, *sent, *committed, ctx)
                }
                Msg::RouterReport(report) => {
                    self.adoptions.note_live_routes(*from, ctx.now, report);
                    self.submit_leaving(report, ctx);
                }
                Msg::UpdateRequest { nonce, direct: true, have } => {
                    self.on_update_request(*from, *nonce, have, ctx)
                }
                _ => {}
            },
            Event::Journal(JournalEvent::Committed { change, .. }) => {
                match **change {
                    Change::Propose { .. } => self.proposed_at = None,
                    Change::Adopt { id, .. } | Change::Refuse { id, .. } => self.adoptions.on_committed(id),
                    _ => {}
                }
                self.decide_confirmed(ctx);
                self.answer_decided(ctx);
            }
            Event::Journal(JournalEvent::Released(_)) => self.answer_decided(ctx),
            Event::Tick => {
                self.on_read_index_tick(ctx);
                self.answer_decided(ctx);
                self.push_updates(ctx);
            }
            _ => {}
        }
    }

    fn status(&self, _now: Time) -> Vec<(&'static str, String)> {
        vec![("inbox", self.waiting_changes.len().to_string())]
    }
}
