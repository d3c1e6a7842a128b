//! Forwards one request: feeds the state machine in [`crate::forwarding`] with events and carries out its decisions.

use super::answer::AnswerBody;
use super::attempt::{AttemptEvent, ForwardedRequest};
use super::body::BodyWriter;
use super::memory_account::MemoryAccount;
use super::pool::Pool;
use crate::forwarding::readmit::CarriedOver;
use crate::forwarding::request::AttemptNo;
use crate::forwarding::{FlowEvent, RequestFlow};
use crate::gate::{Balancer, RoutingDecision};
use crate::kernel::time::Clock;
use crate::protocol::{CallerProtocol, Protocols, RunnerProtocol};
use effects::EffectOutcome;
use hyper::Response;
use hyper::header::HeaderMap;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

mod effects;

/// How often the state machine is given the time.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// How many events of attempts may be queued; each may hold a piece of an answer.
const MAX_QUEUED_EVENTS: usize = 2;

/// One request being forwarded. Dropping it cancels the request.
pub struct Forwarder {
    /// The balancer of the request's service.
    pub balancer: Arc<Mutex<Balancer>>,
    /// The connections to runners.
    pub pool: Arc<Pool>,
    /// The clock that deadlines are read from.
    pub clock: Arc<dyn Clock>,
    /// The request as each attempt sends it.
    pub forwarded: Arc<ForwardedRequest>,
    /// The memory that buffered answers may take together.
    pub answer_memory: Arc<MemoryAccount>,
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
    wake_tx: mpsc::UnboundedSender<RoutingDecision>,
    response_tx: Option<oneshot::Sender<Response<AnswerBody>>>,
    body: Option<BodyWriter>,
    carried_over: Option<CarriedOver>,
}

/// A request to be forwarded.
pub struct ForwardJob {
    /// The request, not started.
    pub flow: RequestFlow,
    /// The request as each attempt sends it.
    pub forwarded: Arc<ForwardedRequest>,
    /// The memory that buffered answers may take together.
    pub answer_memory: Arc<MemoryAccount>,
    /// The protocols of the client and of the runners.
    pub protocols: Protocols,
}

/// A request to be admitted anew, of which nothing has run.
pub struct Readmission {
    /// What it carries over.
    pub carried: CarriedOver,
    /// Where its client waits for the head of the answer.
    pub response_tx: oneshot::Sender<Response<AnswerBody>>,
}

/// Forwards a request until its answer is complete or broken off, the client is gone, or newer routes want it admitted
/// anew. The head of the answer, or a refusal, goes to `response_tx`.
pub async fn forward(
    balancer: Arc<Mutex<Balancer>>,
    pool: Arc<Pool>,
    clock: Arc<dyn Clock>,
    job: ForwardJob,
    response_tx: oneshot::Sender<Response<AnswerBody>>,
) -> Option<Readmission> {
    let (event_tx, mut event_rx) = mpsc::channel(MAX_QUEUED_EVENTS);
    let (wake_tx, mut wake_rx) = mpsc::unbounded_channel();
    let mut forwarder = Forwarder {
        balancer,
        pool,
        clock,
        forwarded: job.forwarded,
        answer_memory: job.answer_memory,
        side: job.protocols.runner,
        caller: job.protocols.caller,
        request: job.flow,
        attempts: BTreeMap::new(),
        headers: BTreeMap::new(),
        event_tx,
        wake_tx,
        response_tx: Some(response_tx),
        body: None,
        carried_over: None,
    };
    let mut tick = tokio::time::interval(TICK_PERIOD);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    forwarder.step(FlowEvent::Start).await;
    while !forwarder.request.is_over {
        let event = tokio::select! {
            Some(plan) = wake_rx.recv() => FlowEvent::Routed(plan),
            Some(event) = event_rx.recv() => match event {
                AttemptEvent::Step(event) => event,
                AttemptEvent::Head((attempt, status, headers)) => {
                    forwarder.headers.insert(attempt, (status, headers));
                    continue;
                }
            },
            _ = client_gone(&mut forwarder.response_tx, &forwarder.body) => FlowEvent::ClientGone,
            _ = tick.tick() => FlowEvent::Tick,
        };
        forwarder.step(event).await;
    }
    wake_rx.close();
    while let Ok(plan) = wake_rx.try_recv() {
        forwarder.step(FlowEvent::Routed(plan)).await;
    }
    let carried = forwarder.carried_over.take()?;
    Some(Readmission { carried, response_tx: forwarder.response_tx.take()? })
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
    async fn step(&mut self, event: FlowEvent) {
        let now = self.clock.now();
        let effects = self.request.step(now, event, &mut self.balancer.lock().unwrap());
        for effect in effects {
            if self.carry_out(effect).await == EffectOutcome::ClientGone {
                return self.abandon();
            }
        }
    }

    /// Ends the request of a client that accepts no more bytes, or not in time: breaks the answer off and stops all
    /// attempts.
    fn abandon(&mut self) {
        self.body = None;
        let now = self.clock.now();
        self.request.step(now, FlowEvent::ClientGone, &mut self.balancer.lock().unwrap());
        for attempt in std::mem::take(&mut self.attempts).into_values() {
            attempt.abort();
        }
    }
}

impl Drop for Forwarder {
    /// Releases what an unfinished request holds: its place in the balancer's queue, its slots and its attempts.
    fn drop(&mut self) {
        if !self.request.is_over
            && let Ok(mut balancer) = self.balancer.lock()
        {
            self.request.step(self.clock.now(), FlowEvent::ClientGone, &mut balancer);
        }
        for task in self.attempts.values() {
            task.abort();
        }
    }
}
