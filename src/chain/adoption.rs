//! Changes that come in an operator's own format: one is under way at a time, in the order of their bases.
//!
//! A refusal is told only when it is final. Revisions only rise, so an order whose base or whose revision has
//! been passed can never be in force again. Any other refusal is committed first, as a change of its own: a copy
//! of the order that is still on its way then finds it.

use super::adoption_queue::{UnderWay, WaitingOrder};
use super::change_queue::{ChangeQueue, QUEUE_CAPACITY, RESUBMIT_AFTER, queue_full};
use super::reply::{beyond_memory, faults, status};
use crate::fleet::FleetConfig;
use crate::fleet::state::{Change, OutcomeCode};
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::Span;
use crate::msg::*;
use std::sync::OnceLock;

/// How long an order waits for a base that nobody has sent yet.
const BASE_WAIT: Span = Span::ms(600);
/// What is to be done with a waiting order now.
enum Step {
    Wait,
    /// A clear or unclear answer that needs nothing committed.
    Answer(Answer),
    /// A refusal that counts once it is committed.
    Refuse(OutcomeCode, String, Answer),
    Adopt(Box<FleetConfig>),
}

impl ChangeQueue {
    /// Queues an order in the operator's own format.
    pub(super) fn queue_adoption(&mut self, id: ChangeId, op: &OperatorCall, ctx: &mut Context) {
        let OperatorCall::PlatformConfig { base, part, text } = op else { return };
        if self.adoptions.side.is_none() {
            let text = "this node takes configurations in the product's own format only";
            return self.end(id, Answer::new(400, "bad-order", text, 0), ctx);
        }
        if self.adoptions.orders.len() >= QUEUE_CAPACITY {
            return self.end(id, queue_full(), ctx);
        }
        let (base, part, text) = (*base, *part, text.clone());
        let order =
            WaitingOrder { id, base, part, text, revision: OnceLock::new(), since: ctx.now, refusing: None };
        self.adoptions.orders.push(order);
        self.adopt_next(ctx);
    }

    /// Decides on the waiting orders, until one is on its way.
    pub(super) fn adopt_next(&mut self, ctx: &mut Context) {
        let state = &ctx.views.state;
        self.adoptions.orders.retain(|order| state.decision(order.id).is_none());
        let busy = self.adoptions.under_way.as_ref();
        if busy.is_some_and(|order| ctx.now.since(order.since) < RESUBMIT_AFTER) {
            return;
        }
        self.adoptions.under_way = None;
        let mut n = 0;
        while n < self.adoptions.orders.len() {
            match self.step(&self.adoptions.orders[n], ctx) {
                Step::Wait => n += 1,
                Step::Answer(answer) => {
                    let order = self.adoptions.orders.remove(n);
                    ctx.log_event("change-refused", format!("{} {}", order.id, answer.body));
                    self.end(order.id, answer, ctx);
                }
                Step::Refuse(code, text, answer) => {
                    self.refuse_order(n, code, text, answer, ctx);
                    n += 1;
                }
                Step::Adopt(config) => {
                    let order = self.adoptions.orders.remove(n);
                    return self.adopt(order.id, config, ctx);
                }
            }
        }
    }

    fn step(&self, order: &WaitingOrder, ctx: &Context) -> Step {
        let current = ctx.views.state.config.revision;
        let step = match order.base {
            Some(base) if base > current => self.early(order, base, ctx),
            Some(base) if base < current => self.late(order, base, ctx),
            _ => self.read_order(order, ctx),
        };
        match step {
            Step::Answer(_) | Step::Refuse(..) if !ctx.views.role.can_acknowledge => Step::Wait,
            step => step,
        }
    }

    /// The base is yet to come: wait for it, as long as it may.
    fn early(&self, order: &WaitingOrder, base: u64, ctx: &Context) -> Step {
        let refusing = order.refusing.is_some_and(|since| ctx.now.since(since) < RESUBMIT_AFTER);
        let waiting = ctx.now.since(order.since) < BASE_WAIT || self.adoptions.expects(base);
        if refusing || waiting {
            return Step::Wait;
        }
        let code = OutcomeCode::StaleBase;
        let text = stale_text(base, ctx);
        let answer = Answer::new(status(code), &code.to_string(), &text, 0);
        Step::Refuse(code, text, answer)
    }

    /// The base was passed: the order can never be in force from now on, but it may have been.
    fn late(&self, order: &WaitingOrder, base: u64, ctx: &Context) -> Step {
        let ledger = &ctx.views.state.ledger;
        let forgotten = ledger.may_have_forgotten(Some(base), None)
            && ledger.may_have_forgotten(Some(base), order.revision(self.adoptions.side.as_deref()));
        if forgotten {
            return Step::Answer(beyond_memory());
        }
        let code = OutcomeCode::StaleBase;
        Step::Answer(Answer::new(status(code), &code.to_string(), &stale_text(base, ctx), 0))
    }

    /// The base is the current one, or none is stated: read the document on top of what is in force.
    fn read_order(&self, order: &WaitingOrder, ctx: &Context) -> Step {
        let Some(side) = &self.adoptions.side else { return Step::Wait };
        if order.refusing.is_some_and(|since| ctx.now.since(since) < RESUBMIT_AFTER) {
            return Step::Wait;
        }
        let current = ctx.views.state.config.revision;
        let config = match side.read(&ctx.views.state.config, &order.text, order.part) {
            Ok(config) => config,
            Err(bad) if order.part && order.base.is_none() => {
                return Step::Refuse(OutcomeCode::BadConfiguration, bad[0].to_string(), faults(&bad));
            }
            Err(bad) => return Step::Answer(faults(&bad)),
        };
        if config.revision > current {
            return Step::Adopt(Box::new(config));
        }
        if ctx.views.state.ledger.may_have_forgotten(order.base, Some(config.revision)) {
            return Step::Answer(beyond_memory());
        }
        let code = OutcomeCode::OldRevision;
        let text = format!("its revision {} is not above the current {current}; raise it", config.revision);
        Step::Answer(Answer::new(status(code), &code.to_string(), &text, 0))
    }

    fn refuse_order(&mut self, n: usize, code: OutcomeCode, text: String, full: Answer, ctx: &mut Context) {
        let order = &mut self.adoptions.orders[n];
        order.refusing = Some(ctx.now);
        let (id, base) = (order.id, order.base);
        let last_revision =
            base.or_else(|| order.revision(self.adoptions.side.as_deref())).unwrap_or(u64::MAX);
        self.refusals.insert(id, full);
        self.submit(id, Change::Refuse { id, base, last_revision, code, text }, ctx);
    }

    fn adopt(&mut self, id: ChangeId, config: Box<FleetConfig>, ctx: &mut Context) {
        let stage = self.adoptions.rehearse(&config, &ctx.views.state.config, ctx.now);
        let revision = config.revision;
        ctx.log_event("change-taken-in", format!("{id} revision {revision} {}", stage.note));
        self.adoptions.under_way = Some(UnderWay { id, since: ctx.now, revision });
        let base = ctx.views.state.config.revision;
        self.submit(id, Change::Adopt { id, base, config, stages: vec![stage] }, ctx);
    }
}

fn stale_text(base: u64, ctx: &Context) -> String {
    let current = ctx.views.state.config.revision;
    format!("it builds on {base}; the current revision is {current}; read it and send again")
}
