//! Changes in the native format: one is under way at a time, and each is rehearsed as a candidate before it takes
//! effect. Also the other operator calls that become one change each.

use super::change_queue::{ChangeQueue, RESUBMIT_AFTER};
use super::reply::{faults, outcome_unknown, status};
use crate::fleet::read::read;
use crate::fleet::state::*;
use crate::json::Tree;
use crate::kernel::component::Context;
use crate::kernel::fault::{Fault, Kind};
use crate::kernel::ids::*;
use crate::msg::{Answer, OperatorCall};

/// For refusals that need not wait for any revision before they can be forgotten.
const NO_LAST_REVISION: u64 = u64::MAX;

impl ChangeQueue {
    /// Starts the next change in the queue, unless one is under way.
    pub(super) fn start_next_change(&mut self, ctx: &mut Context) {
        let proposing = self.proposed_at.is_some_and(|since| ctx.now.since(since) < RESUBMIT_AFTER);
        if ctx.views.state.candidate.is_some() || proposing {
            return;
        }
        if let Some((id, op)) = self.waiting_changes.pop_front() {
            self.execute(id, op, ctx);
        }
    }

    /// Turns an operator call into a change and submits it.
    pub(super) fn execute(&mut self, id: ChangeId, op: OperatorCall, ctx: &mut Context) {
        match op {
            OperatorCall::ReplaceConfig { base, text } => {
                self.propose(id, base, Tree::parse(&text), true, ctx)
            }
            OperatorCall::PatchConfig { base, text } => self.propose_part(id, base, &text, ctx),
            OperatorCall::SetRunners(list) => self.submit(id, Change::Runners { id, list }, ctx),
            OperatorCall::MarkLeaving(instance) => self.submit(id, Change::Leaving { id, instance }, ctx),
            OperatorCall::ProposePlan => self.submit(id, Change::PlanAsk { id }, ctx),
            OperatorCall::AcceptPlan(at) => self.submit(id, Change::Accept { id, at }, ctx),
            OperatorCall::MoveModel { service, model, from, to, want } => {
                let plan = MovePlan {
                    id: MoveId(id.short()),
                    service,
                    model,
                    from,
                    to,
                    want,
                    phase: Phase::Load,
                    why: String::new(),
                    stages: vec![],
                };
                self.plan_move(id, plan, ctx);
            }
            OperatorCall::Internal(_) | OperatorCall::PlatformConfig { .. } => {}
        }
    }

    fn plan_move(&mut self, id: ChangeId, plan: MovePlan, ctx: &mut Context) {
        match crate::placement::move_check::check_move(&plan, &ctx.views.state) {
            Ok(()) => self.submit(id, Change::Move { id, plan }, ctx),
            Err(fault) => {
                let code = OutcomeCode::BadMove;
                let answer = Answer::new(status(code), &code.to_string(), &fault.to_string(), 0);
                self.submit_refusal(id, code, fault.to_string(), answer, ctx);
            }
        }
    }

    fn propose_part(&mut self, id: ChangeId, base: Option<Version>, text: &str, ctx: &mut Context) {
        let current = ctx.views.state.config_version;
        match base {
            Some(base) if base > current => self.finish(id, unknown_base_answer(base, current), ctx),
            Some(base) if base < current => self.finish(id, stale_base_answer(base, ctx), ctx),
            _ => {
                let mut whole = ctx.views.state.config.tree();
                let merged = Tree::parse(text).map(|part| {
                    whole.merge(part);
                    whole
                });
                return self.propose(id, Some(current), merged, base.is_some(), ctx);
            }
        }
        self.start_next_change(ctx);
    }

    /// Submits a configuration to the chain. `is_final_fault`: a fault found in it now would be found at any time,
    /// so that its refusal need not be committed.
    fn propose(
        &mut self,
        id: ChangeId,
        base: Option<Version>,
        tree: Result<Tree, String>,
        is_final_fault: bool,
        ctx: &mut Context,
    ) {
        let current = ctx.views.state.config_version;
        if base.is_some_and(|base| ctx.views.state.ledger.may_have_forgotten_version(base)) {
            self.finish(id, outcome_unknown(), ctx);
            return self.start_next_change(ctx);
        }
        let parsed = tree.map_err(|why| {
            vec![Fault::new(Kind::Config, "configuration", why, "send one well-formed JSON object")]
        });
        match parsed.and_then(|tree| read(&tree)) {
            Ok(config) => {
                let base = base.unwrap_or(current);
                self.proposed_at = Some(ctx.now);
                self.submit(id, Change::Propose { id, base, config: Box::new(config) }, ctx);
            }
            Err(bad) => {
                if is_final_fault {
                    self.finish(id, faults(&bad), ctx);
                } else {
                    let text = bad[0].to_string();
                    self.submit_refusal(id, OutcomeCode::BadConfiguration, text, faults(&bad), ctx);
                }
                self.start_next_change(ctx);
            }
        }
    }

    /// Commits a refusal before it is answered, because the same change could be valid at another time.
    fn submit_refusal(
        &mut self,
        id: ChangeId,
        code: OutcomeCode,
        text: String,
        answer: Answer,
        ctx: &mut Context,
    ) {
        self.pending_refusals.insert(id, answer);
        let last_revision = NO_LAST_REVISION;
        self.submit(id, Change::Refuse { id, base: None, last_revision, code, text }, ctx);
    }
}

fn stale_base_answer(base: Version, ctx: &Context) -> Answer {
    let state = &ctx.views.state;
    if state.ledger.may_have_forgotten_version(base) {
        return outcome_unknown();
    }
    let code = OutcomeCode::StaleBase;
    let text = format!("base {base} is not the current {}; read it and send again", state.config_version);
    Answer::new(status(code), &code.to_string(), &text, 0)
}

/// The tail commits first, so a base that was read there may not be known to this head yet.
fn unknown_base_answer(base: Version, current: Version) -> Answer {
    let text = format!("base {base} is not known here yet, the newest is {current}; send it again");
    Answer::new(503, "base-unknown", &text, 1)
}
