//! Forwarding one request: carries out what the forwarding's state machine decides.

use super::answer::{OutBody, own, refused};
use super::attempt::{self, Attempt, AttemptEvent, ForwardedRequest};
use super::body::{BodyWriter, streamed};
use super::pool::Pool;
use crate::forwarding::request::AttemptNo;
use crate::forwarding::{FlowAction, FlowEvent, RequestFlow};
use crate::gate::{Balancer, RequestSpec, RoutingDecision};
use crate::kernel::time::Clock;
use crate::protocol::{CallerProtocol, Protocols, RunnerProtocol};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::header::HeaderMap;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

const TICK: Duration = Duration::from_millis(50);
const STALL: Duration = Duration::from_secs(30);

/// The work on one request.
pub struct Forwarder {
    pub balancer: Arc<Mutex<Balancer>>,
    pub pool: Arc<Pool>,
    pub clock: Arc<dyn Clock>,
    pub shape: Arc<ForwardedRequest>,
    pub side: Arc<dyn RunnerProtocol>,
    pub caller: Arc<dyn CallerProtocol>,
    request: RequestFlow,
    attempts: BTreeMap<AttemptNo, JoinHandle<()>>,
    heads: BTreeMap<AttemptNo, (u16, HeaderMap)>,
    tx: mpsc::Sender<AttemptEvent>,
    woken: mpsc::UnboundedSender<RoutingDecision>,
    first: Option<oneshot::Sender<Response<OutBody>>>,
    body: Option<BodyWriter>,
}

/// What became of one effect.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Acted {
    Done,
    /// The client takes no more, or not in time; no effect that was to follow may be carried out.
    ClientGone,
}

/// A request to be forwarded.
pub struct ForwardJob {
    pub order: RequestSpec,
    pub shape: Arc<ForwardedRequest>,
    pub protocols: Protocols,
}

/// Forwards a request until its answer is whole, broken off or nobody waits for it any more.
pub async fn forward(
    balancer: Arc<Mutex<Balancer>>,
    pool: Arc<Pool>,
    clock: Arc<dyn Clock>,
    job: ForwardJob,
    first: oneshot::Sender<Response<OutBody>>,
) {
    let (tx, mut rx) = mpsc::channel(16);
    let (woken, mut wakes) = mpsc::unbounded_channel();
    let mut c = Forwarder {
        balancer,
        pool,
        clock,
        shape: job.shape,
        side: job.protocols.runner,
        caller: job.protocols.caller,
        request: RequestFlow::new(job.order),
        attempts: BTreeMap::new(),
        heads: BTreeMap::new(),
        tx,
        woken,
        first: Some(first),
        body: None,
    };
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    c.step(FlowEvent::Start).await;
    while !c.request.is_over {
        let ev = tokio::select! {
            Some(plan) = wakes.recv() => FlowEvent::Routed(plan),
            Some(ev) = rx.recv() => match ev {
                AttemptEvent::Step(ev) => ev,
                AttemptEvent::Head((attempt, status, heads)) => {
                    c.heads.insert(attempt, (status, heads));
                    continue;
                }
            },
            _ = gone(&mut c.first, &c.body) => FlowEvent::ClientGone,
            _ = tick.tick() => FlowEvent::Tick,
        };
        c.step(ev).await;
    }
    wakes.close();
    while let Ok(plan) = wakes.try_recv() {
        c.step(FlowEvent::Routed(plan)).await;
    }
}

async fn gone(first: &mut Option<oneshot::Sender<Response<OutBody>>>, body: &Option<BodyWriter>) {
    match (first, body) {
        (Some(f), _) => f.closed().await,
        (None, Some(b)) => b.closed().await,
        (None, None) => std::future::pending().await,
    }
}

impl Forwarder {
    async fn step(&mut self, ev: FlowEvent) {
        let now = self.clock.now();
        let outs = self.request.step(now, ev, &mut self.balancer.lock().unwrap());
        for out in outs {
            if self.act(out).await == Acted::ClientGone {
                return self.client_gone();
            }
        }
    }

    async fn act(&mut self, out: FlowAction) -> Acted {
        match out {
            FlowAction::Wait { avoid } => {
                let woken = self.woken.clone();
                let wake = Box::new(move |plan: RoutingDecision| woken.send(plan).map_err(|back| back.0));
                let now = self.clock.now();
                self.balancer.lock().unwrap().wait(now, self.request.spec.clone(), avoid, wake);
            }
            FlowAction::Open { attempt, runner, last_event_id: last } => self.open(attempt, runner, last),
            FlowAction::Close { attempt } => {
                if let Some(h) = self.attempts.remove(&attempt) {
                    h.abort();
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
            FlowAction::Refuse(r) => self.answer(refused(&*self.caller, &r)),
            FlowAction::OutcomeUnknown(status, text) => {
                self.answer(own(status, "outcome-unknown", text, 0, "unknown"));
            }
            FlowAction::Log(what, text) => {
                log::info!(event = what, service = self.request.spec.service.to_string(), note = text; "");
            }
        }
        Acted::Done
    }

    fn open(&mut self, no: AttemptNo, runner: crate::fleet::runner::Runner, last: Option<String>) {
        let check = {
            let (balancer, clock) = (self.balancer.clone(), self.clock.clone());
            let (order, name) = (self.request.spec.clone(), runner.instance.clone());
            move || balancer.lock().unwrap().check_before_send(clock.now(), &order, &name).err()
        };
        let again = check.clone();
        let job = Attempt {
            no,
            runner,
            last,
            order: self.request.spec.clone(),
            side: self.side.clone(),
            clock: self.clock.clone(),
            shape: self.shape.clone(),
            pool: self.pool.clone(),
            check: Arc::new(move || check().is_none()),
            why: Box::new(again),
            tx: self.tx.clone(),
        };
        self.attempts.insert(no, tokio::spawn(attempt::run(job)));
    }

    fn answer(&mut self, response: Response<OutBody>) {
        if let Some(first) = self.first.take() {
            let _ = first.send(response);
        }
    }

    fn head(&mut self, attempt: AttemptNo) {
        let Some((status, heads)) = self.heads.remove(&attempt) else { return };
        let (writer, body) = streamed();
        let mut response = Response::new(body.boxed_unsync());
        *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
        *response.headers_mut() = heads;
        if self.request.is_stream {
            response.headers_mut().remove("content-length");
        }
        self.body = Some(writer);
        self.answer(response);
    }

    async fn pass(&mut self, bytes: Bytes) -> Acted {
        let Some(body) = &self.body else { return Acted::Done };
        let by =
            self.request.spec.completion_deadline.map_or(STALL, |by| by.since(self.clock.now()).as_std());
        match tokio::time::timeout(STALL.min(by), body.send(bytes)).await {
            Ok(Ok(())) => Acted::Done,
            _ => Acted::ClientGone,
        }
    }

    /// The client takes no more, or not in time: its answer is broken off and nothing of its request goes on.
    fn client_gone(&mut self) {
        self.body = None;
        let now = self.clock.now();
        self.request.step(now, FlowEvent::ClientGone, &mut self.balancer.lock().unwrap());
        for attempt in std::mem::take(&mut self.attempts).into_values() {
            attempt.abort();
        }
    }
}

impl Drop for Forwarder {
    /// A forwarding that ends before its request does leaves no waiter, slot or run behind.
    fn drop(&mut self) {
        if !self.request.is_over
            && let Ok(mut balancer) = self.balancer.lock()
        {
            self.request.step(self.clock.now(), FlowEvent::ClientGone, &mut balancer);
        }
        for h in self.attempts.values() {
            h.abort();
        }
    }
}
