//! Configurations in the operator's own format: one is under way at a time, in the order of their base revisions.
//!
//! A refusal is answered only when it is final. Revisions only rise, so a configuration whose base or own revision
//! is behind the current one can never take effect again. Any other refusal is first committed, as a change of its
//! own, so that a copy of the same call that is still under way finds it.

use super::adoption_queue::{SubmittedAdoption, WaitingAdoption};
use super::change_queue::{ChangeQueue, QUEUE_CAPACITY, RESUBMIT_AFTER, queue_full_answer};
use super::reply::{faults, outcome_unknown, status};
use crate::fleet::FleetConfig;
use crate::fleet::state::{Change, OutcomeCode};
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::Span;
use crate::msg::*;
use std::sync::OnceLock;

/// How long a configuration waits for a base revision that nobody has sent yet.
const BASE_WAIT: Span = Span::ms(600);

/// What to do next with a waiting configuration.
enum AdoptionStep {
    Wait,
    /// An answer that needs nothing committed.
    Answer(Answer),
    /// A refusal that must be committed before it is answered.
    Refuse(OutcomeCode, String, Answer),
    Adopt(Box<FleetConfig>),
}

impl ChangeQueue {
    /// Queues a configuration in the operator's own format.
    pub(super) fn queue_adoption(&mut self, id: ChangeId, op: &OperatorCall, ctx: &mut Context) {
        let OperatorCall::PlatformConfig { base, part, text } = op else { return };
        if self.adoptions.protocol.is_none() {
            let text = "this node takes configurations in the product's own format only";
            return self.finish(id, Answer::new(400, "bad-order", text, 0), ctx);
        }
        if self.adoptions.waiting.len() >= QUEUE_CAPACITY {
            return self.finish(id, queue_full_answer(), ctx);
        }
        let (base, part, text) = (*base, *part, text.clone());
        let adoption = WaitingAdoption {
            id,
            base,
            part,
            text,
            revision: OnceLock::new(),
            since: ctx.now,
            refusal_submitted_at: None,
        };
        self.adoptions.waiting.push(adoption);
        self.adopt_next(ctx);
    }

    /// Decides on the waiting configurations, until one is submitted to the chain.
    pub(super) fn adopt_next(&mut self, ctx: &mut Context) {
        let state = &ctx.views.state;
        self.adoptions.waiting.retain(|adoption| state.decision(adoption.id).is_none());
        let busy = self.adoptions.submitted.as_ref();
        if busy.is_some_and(|adoption| ctx.now.since(adoption.since) < RESUBMIT_AFTER) {
            return;
        }
        self.adoptions.submitted = None;
        let mut index = 0;
        while index < self.adoptions.waiting.len() {
            match self.next_step(&self.adoptions.waiting[index], ctx) {
                AdoptionStep::Wait => index += 1,
                AdoptionStep::Answer(answer) => {
                    let adoption = self.adoptions.waiting.remove(index);
                    ctx.log_event("change-refused", format!("{} {}", adoption.id, answer.body));
                    self.finish(adoption.id, answer, ctx);
                }
                AdoptionStep::Refuse(code, text, answer) => {
                    self.refuse_adoption(index, code, text, answer, ctx);
                    index += 1;
                }
                AdoptionStep::Adopt(config) => {
                    let adoption = self.adoptions.waiting.remove(index);
                    return self.submit_adoption(adoption.id, config, ctx);
                }
            }
        }
    }

    fn next_step(&self, adoption: &WaitingAdoption, ctx: &Context) -> AdoptionStep {
        let current = ctx.views.state.config.revision;
        let step = match adoption.base {
            Some(base) if base > current => self.base_is_ahead(adoption, base, ctx),
            Some(base) if base < current => self.base_is_behind(adoption, base, ctx),
            _ => self.read_document(adoption, ctx),
        };
        match step {
            AdoptionStep::Answer(_) | AdoptionStep::Refuse(..) if !ctx.views.role.can_acknowledge => {
                AdoptionStep::Wait
            }
            step => step,
        }
    }

    /// The base is ahead of the current revision: waits for it for `BASE_WAIT`, or while a waiting configuration
    /// would reach it, and then refuses.
    fn base_is_ahead(&self, adoption: &WaitingAdoption, base: u64, ctx: &Context) -> AdoptionStep {
        let is_refusing =
            adoption.refusal_submitted_at.is_some_and(|since| ctx.now.since(since) < RESUBMIT_AFTER);
        let waiting = ctx.now.since(adoption.since) < BASE_WAIT || self.adoptions.will_reach_revision(base);
        if is_refusing || waiting {
            return AdoptionStep::Wait;
        }
        let code = OutcomeCode::StaleBase;
        let text = stale_text(base, ctx);
        let answer = Answer::new(status(code), &code.to_string(), &text, 0);
        AdoptionStep::Refuse(code, text, answer)
    }

    /// The base is behind the current revision: the configuration can no longer take effect, but may have done so
    /// before.
    fn base_is_behind(&self, adoption: &WaitingAdoption, base: u64, ctx: &Context) -> AdoptionStep {
        let ledger = &ctx.views.state.ledger;
        let forgotten = ledger.may_have_forgotten(Some(base), None)
            && ledger.may_have_forgotten(Some(base), adoption.revision(self.adoptions.protocol.as_deref()));
        if forgotten {
            return AdoptionStep::Answer(outcome_unknown());
        }
        let code = OutcomeCode::StaleBase;
        AdoptionStep::Answer(Answer::new(status(code), &code.to_string(), &stale_text(base, ctx), 0))
    }

    /// The base is the current revision, or none is given: reads the document against the current configuration.
    fn read_document(&self, adoption: &WaitingAdoption, ctx: &Context) -> AdoptionStep {
        let Some(protocol) = &self.adoptions.protocol else { return AdoptionStep::Wait };
        if adoption.refusal_submitted_at.is_some_and(|since| ctx.now.since(since) < RESUBMIT_AFTER) {
            return AdoptionStep::Wait;
        }
        let current = ctx.views.state.config.revision;
        let config = match protocol.read(&ctx.views.state.config, &adoption.text, adoption.part) {
            Ok(config) => config,
            Err(bad) if adoption.part && adoption.base.is_none() => {
                return AdoptionStep::Refuse(OutcomeCode::BadConfiguration, bad[0].to_string(), faults(&bad));
            }
            Err(bad) => return AdoptionStep::Answer(faults(&bad)),
        };
        if config.revision > current {
            return AdoptionStep::Adopt(Box::new(config));
        }
        if ctx.views.state.ledger.may_have_forgotten(adoption.base, Some(config.revision)) {
            return AdoptionStep::Answer(outcome_unknown());
        }
        let code = OutcomeCode::OldRevision;
        let text = format!("its revision {} is not above the current {current}; raise it", config.revision);
        AdoptionStep::Answer(Answer::new(status(code), &code.to_string(), &text, 0))
    }

    fn refuse_adoption(
        &mut self,
        index: usize,
        code: OutcomeCode,
        text: String,
        full: Answer,
        ctx: &mut Context,
    ) {
        let adoption = &mut self.adoptions.waiting[index];
        adoption.refusal_submitted_at = Some(ctx.now);
        let (id, base) = (adoption.id, adoption.base);
        let last_revision =
            base.or_else(|| adoption.revision(self.adoptions.protocol.as_deref())).unwrap_or(u64::MAX);
        self.pending_refusals.insert(id, full);
        self.submit(id, Change::Refuse { id, base, last_revision, code, text }, ctx);
    }

    fn submit_adoption(&mut self, id: ChangeId, config: Box<FleetConfig>, ctx: &mut Context) {
        let stage = self.adoptions.rehearse(&config, &ctx.views.state.config, ctx.now);
        let revision = config.revision;
        ctx.log_event("change-taken-in", format!("{id} revision {revision} {}", stage.note));
        self.adoptions.submitted = Some(SubmittedAdoption { id, since: ctx.now, revision });
        let base = ctx.views.state.config.revision;
        self.submit(id, Change::Adopt { id, base, config, stages: vec![stage] }, ctx);
    }
}

fn stale_text(base: u64, ctx: &Context) -> String {
    let current = ctx.views.state.config.revision;
    format!("it builds on {base}; the current revision is {current}; read it and send again")
}
