//! Carries out the effects of the forwarding state machine.

use super::Forwarder;
use crate::forwarding::FlowAction;
use crate::forwarding::request::AttemptNo;
use crate::gate::RoutingDecision;
use crate::http::answer::{AnswerBody, coded_answer, refusal_answer};
use crate::http::attempt::{self, Attempt};
use crate::http::body::streamed;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use std::sync::Arc;
use std::time::Duration;

/// How long a client may take none of its answer before it counts as gone.
const CLIENT_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// The result of carrying out one effect.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum EffectOutcome {
    /// The effect was carried out.
    Done,
    /// The client accepts no more bytes, or not in time; the remaining effects must not be carried out.
    ClientGone,
}

impl Forwarder {
    /// Carries out one effect.
    pub(super) async fn carry_out(&mut self, effect: FlowAction) -> EffectOutcome {
        match effect {
            FlowAction::Wait { avoid } => {
                let wake_tx = self.wake_tx.clone();
                let wake = Box::new(move |plan: RoutingDecision| wake_tx.send(plan).map_err(|back| back.0));
                let now = self.clock.now();
                self.balancer.lock().unwrap().wait(now, self.request.spec.clone(), avoid, wake);
            }
            FlowAction::Open { attempt, runner, last_event_id: last } => self.open(attempt, runner, last),
            FlowAction::Close { attempt } => {
                if let Some(task) = self.attempts.remove(&attempt) {
                    task.abort();
                }
            }
            FlowAction::Head { attempt } => self.head(attempt),
            FlowAction::Forward(raw) => return self.pass(raw).await,
            FlowAction::Finish => {
                if let Some(body) = self.body.take() {
                    body.finish();
                }
            }
            FlowAction::Abort(why) => {
                log::info!(event = "answer-broken-off", service = self.request.spec.service.to_string(), why = why; "");
                self.body = None;
            }
            FlowAction::Readmit(carried) => self.carried_over = Some(*carried),
            FlowAction::Refuse(r) => self.answer(refusal_answer(&*self.caller, &r)),
            FlowAction::OutcomeUnknown(status, text) => {
                self.answer(coded_answer(status, "outcome-unknown", text, 0, "unknown"));
            }
            FlowAction::Log(what, text) => {
                log::info!(event = what, service = self.request.spec.service.to_string(), note = text; "");
            }
        }
        EffectOutcome::Done
    }

    /// Starts an attempt.
    fn open(
        &mut self,
        number: AttemptNo,
        runner: crate::fleet::runner::Runner,
        last_event_id: Option<String>,
    ) {
        let check = {
            let (balancer, clock) = (self.balancer.clone(), self.clock.clone());
            let (order, name) = (self.request.spec.clone(), runner.instance.clone());
            move || balancer.lock().unwrap().check_before_send(clock.now(), &order, &name).err()
        };
        let cause = check.clone();
        let job = Attempt {
            number,
            runner,
            last_event_id,
            order: self.request.spec.clone(),
            side: self.side.clone(),
            clock: self.clock.clone(),
            request: self.forwarded.clone(),
            pool: self.pool.clone(),
            answer_memory: self.answer_memory.clone(),
            check: Arc::new(move || check().is_none()),
            refusal_cause: Box::new(cause),
            events: self.event_tx.clone(),
        };
        self.attempts.insert(number, tokio::spawn(attempt::run(job)));
    }

    /// Sends the head of the answer, once.
    fn answer(&mut self, response: Response<AnswerBody>) {
        if let Some(response_tx) = self.response_tx.take() {
            let _ = response_tx.send(response);
        }
    }

    /// Sends the head of the attempt that the state machine has chosen and opens the body.
    fn head(&mut self, attempt: AttemptNo) {
        let Some((status, headers)) = self.headers.remove(&attempt) else { return };
        let (writer, body) = streamed();
        let mut response = Response::new(body.boxed_unsync());
        *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
        *response.headers_mut() = headers;
        if self.request.is_stream {
            response.headers_mut().remove("content-length");
        }
        self.body = Some(writer);
        self.answer(response);
    }

    /// Passes bytes of the body on, within `CLIENT_STALL_TIMEOUT` and the deadline of the whole answer.
    async fn pass(&mut self, bytes: Bytes) -> EffectOutcome {
        let Some(body) = &self.body else { return EffectOutcome::Done };
        let left = self
            .request
            .spec
            .completion_deadline
            .map_or(CLIENT_STALL_TIMEOUT, |by| by.since(self.clock.now()).as_std());
        match tokio::time::timeout(CLIENT_STALL_TIMEOUT.min(left), body.send(bytes)).await {
            Ok(Ok(())) => EffectOutcome::Done,
            _ => EffectOutcome::ClientGone,
        }
    }
}
