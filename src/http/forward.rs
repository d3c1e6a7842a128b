//! Forwards one request: feeds the state machine in [`crate::forwarding`] with events and carries out its decisions.

use super::answer::{AnswerBody, coded_answer, refusal_answer};
use super::attempt::{self, Attempt, AttemptEvent, ForwardedRequest};
use super::body::{BodyWriter, streamed};
use super::pool::Pool;
use crate::forwarding::request::AttemptNo;
use crate::forwarding::{In, Out, RequestFlow};
use crate::gate::{Gate, Order, Plan};
use crate::kernel::time::Clock;
use crate::protocol::{CallerProtocol, RunnerProtocol, Protocols};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::header::HeaderMap;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

/// How often the state machine is given the time.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// How long a client may take none of its answer before it counts as gone.
const CLIENT_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// One request being forwarded. Dropping it cancels the request.
pub struct Forwarder {
    /// The gate of the request's service.
    pub gate: Arc<Mutex<Gate>>,
    /// The connections to runners.
    pub pool: Arc<Pool>,
    /// The clock that deadlines are read from.
    pub clock: Arc<dyn Clock>,
    /// The request as each attempt sends it.
    pub forwarded: Arc<ForwardedRequest>,
    /// The protocol of the runners.
    pub side: Arc<dyn RunnerProtocol>,
    /// The protocol of the client.
    pub caller: Arc<dyn CallerProtocol>,
    /// The state machine.
    request: RequestFlow,
    /// The running attempts.
    attempts: BTreeMap<AttemptNo, JoinHandle<()>>,
    /// Status and headers of answers that the state machine has not chosen yet.
    headers: BTreeMap<AttemptNo, (u16, HeaderMap)>,
    event_tx: mpsc::Sender<AttemptEvent>,
    wake_tx: mpsc::UnboundedSender<Plan>,
    response_tx: Option<oneshot::Sender<Response<AnswerBody>>>,
    body: Option<BodyWriter>,
}

/// The result of carrying out one effect.
#[derive(Clone, Copy, PartialEq, Eq)]
enum EffectOutcome {
    Done,
    /// The client accepts no more bytes, or not in time; the remaining effects must not be carried out.
    ClientGone,
}

/// A request to be forwarded.
pub struct ForwardJob {
    /// The parameters of the request.
    pub order: Order,
    /// The request as each attempt sends it.
    pub forwarded: Arc<ForwardedRequest>,
    /// The protocols of the client and of the runners.
    pub protocols: Protocols,
}

/// Forwards a request until its answer is complete or broken off, or the client is gone. The head of the answer, or a
/// refusal, goes to `response_tx`.
pub async fn forward(
    gate: Arc<Mutex<Gate>>,
    pool: Arc<Pool>,
    clock: Arc<dyn Clock>,
    job: ForwardJob,
    response_tx: oneshot::Sender<Response<AnswerBody>>,
) {
    let (event_tx, mut event_rx) = mpsc::channel(16);
    let (wake_tx, mut wake_rx) = mpsc::unbounded_channel();
    let mut forwarder = Forwarder {
        gate,
        pool,
        clock,
        forwarded: job.forwarded,
        side: job.protocols.runner,
        caller: job.protocols.caller,
        request: RequestFlow::new(job.order),
        attempts: BTreeMap::new(),
        headers: BTreeMap::new(),
        event_tx,
        wake_tx,
        response_tx: Some(response_tx),
        body: None,
    };
    let mut tick = tokio::time::interval(TICK_PERIOD);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    forwarder.step(In::Go).await;
    while !forwarder.request.over {
        let event = tokio::select! {
            Some(plan) = wake_rx.recv() => In::Woken(plan),
            Some(event) = event_rx.recv() => match event {
                AttemptEvent::Step(event) => event,
                AttemptEvent::Head((attempt, status, headers)) => {
                    forwarder.headers.insert(attempt, (status, headers));
                    continue;
                }
            },
            _ = client_gone(&mut forwarder.response_tx, &forwarder.body) => In::Gone,
            _ = tick.tick() => In::Tick,
        };
        forwarder.step(event).await;
    }
    wake_rx.close();
    while let Ok(plan) = wake_rx.try_recv() {
        forwarder.step(In::Woken(plan)).await;
    }
}

/// Returns once the client waits neither for the head nor for the body of its answer any more.
async fn client_gone(
    response_tx: &mut Option<oneshot::Sender<Response<AnswerBody>>>,
    body: &Option<BodyWriter>,
) {
    match (response_tx, body) {
        (Some(f), _) => f.closed().await,
        (None, Some(b)) => b.closed().await,
        (None, None) => std::future::pending().await,
    }
}

impl Forwarder {
    /// Feeds the state machine with one event and carries out the effects in order.
    async fn step(&mut self, event: In) {
        let now = self.clock.now();
        let effects = self.request.step(now, event, &mut self.gate.lock().unwrap());
        for effect in effects {
            if self.carry_out(effect).await == EffectOutcome::ClientGone {
                return self.abandon();
            }
        }
    }

    async fn carry_out(&mut self, effect: Out) -> EffectOutcome {
        match effect {
            Out::Wait { avoid } => {
                let wake_tx = self.wake_tx.clone();
                let wake = Box::new(move |plan: Plan| wake_tx.send(plan).map_err(|back| back.0));
                let now = self.clock.now();
                self.gate.lock().unwrap().wait(now, self.request.order.clone(), avoid, wake);
            }
            Out::Open { attempt, runner, last } => self.open(attempt, runner, last),
            Out::Close { attempt } => {
                if let Some(task) = self.attempts.remove(&attempt) {
                    task.abort();
                }
            }
            Out::Head { attempt } => self.head(attempt),
            Out::Pass(raw) => return self.pass(raw).await,
            Out::Finish => {
                if let Some(body) = self.body.take() {
                    body.finish();
                }
            }
            Out::Break(why) => {
                log::info!(event = "answer-broken-off", service = self.request.order.service.to_string(), why = why; "");
                self.body = None;
            }
            Out::Refuse(r) => self.answer(refusal_answer(&*self.caller, &r)),
            Out::Unknown(status, text) => {
                self.answer(coded_answer(status, "outcome-unknown", text, 0, "unknown"));
            }
            Out::Told(what, text) => {
                log::info!(event = what, service = self.request.order.service.to_string(), note = text; "");
            }
        }
        EffectOutcome::Done
    }

    fn open(
        &mut self,
        number: AttemptNo,
        runner: crate::fleet::runner::Runner,
        last_event_id: Option<String>,
    ) {
        let check = {
            let (gate, clock) = (self.gate.clone(), self.clock.clone());
            let (order, name) = (self.request.order.clone(), runner.instance.clone());
            move || gate.lock().unwrap().check(clock.now(), &order, &name).err()
        };
        let cause = check.clone();
        let job = Attempt {
            number,
            runner,
            last_event_id,
            order: self.request.order.clone(),
            side: self.side.clone(),
            clock: self.clock.clone(),
            request: self.forwarded.clone(),
            pool: self.pool.clone(),
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
        if self.request.stream {
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
            .order
            .whole_by
            .map_or(CLIENT_STALL_TIMEOUT, |by| by.since(self.clock.now()).as_std());
        match tokio::time::timeout(CLIENT_STALL_TIMEOUT.min(left), body.send(bytes)).await {
            Ok(Ok(())) => EffectOutcome::Done,
            _ => EffectOutcome::ClientGone,
        }
    }

    /// Ends the request of a client that accepts no more bytes, or not in time: breaks the answer off and stops all
    /// attempts.
    fn abandon(&mut self) {
        self.body = None;
        let now = self.clock.now();
        self.request.step(now, In::Gone, &mut self.gate.lock().unwrap());
        for attempt in std::mem::take(&mut self.attempts).into_values() {
            attempt.abort();
        }
    }
}

impl Drop for Forwarder {
    /// Releases what an unfinished request holds: its place in the gate's queue, its slots and its attempts.
    fn drop(&mut self) {
        if !self.request.over
            && let Ok(mut gate) = self.gate.lock()
        {
            self.request.step(self.clock.now(), In::Gone, &mut gate);
        }
        for task in self.attempts.values() {
            task.abort();
        }
    }
}
