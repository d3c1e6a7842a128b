//! One attempt to have a request run by one runner: builds the request, sends it, and reports each step to the
//! forwarding of the request ([`super::forward`]).

use super::answer_buffer::{BufferedAnswer, buffer_answer};
use super::connection::SendError;
use super::exchange::{BodyBroken, Classified, Exchange, RunnerAnswer};
use super::guard::Check;
use super::memory_account::MemoryAccount;
use super::pool::Pool;
use super::receive::ReceivedBody;
use crate::fleet::config::RouteKind;
use crate::fleet::runner::Runner;
use crate::forwarding::FlowEvent;
use crate::forwarding::request::AttemptNo;
use crate::gate::order::{RefusalReason, RequestSpec};
use crate::kernel::time::Clock;
use crate::protocol::RunnerProtocol;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, Uri};
use std::sync::Arc;
use tokio::sync::mpsc;

/// Headers that concern one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A copy of the end-to-end headers: without the hop-by-hop ones and those that `Connection` names.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all("connection")
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(',').map(|s| s.trim().to_ascii_lowercase()))
        .collect();
    let mut out = HeaderMap::new();
    for (k, v) in headers {
        let name = k.as_str();
        if HOP_BY_HOP.contains(&name) || named.iter().any(|n| n == name) {
            continue;
        }
        out.append(k.clone(), v.clone());
    }
    out
}

/// A client's request as every attempt forwards it.
pub struct ForwardedRequest {
    /// The method, unchanged.
    pub method: Method,
    /// Path and query, unchanged.
    pub uri: Uri,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// The whole body, with the memory reserved for it.
    pub body: ReceivedBody,
}

/// The head of a runner's answer: the attempt, its status and headers.
pub type AttemptHead = (AttemptNo, u16, HeaderMap);

/// What an attempt reports to the forwarding that started it.
pub enum AttemptEvent {
    /// An input for the forwarding's state machine.
    Step(FlowEvent),
    /// The head of the answer, sent before the matching `In::Head`.
    Head(AttemptHead),
}

/// The request as this attempt's runner receives it, with the remaining time as its deadline.
pub fn outgoing_request(job: &Attempt) -> Request<Full<Bytes>> {
    let (request, runner) = (&job.request, &job.runner);
    let mut outgoing = Request::new(Full::new(request.body.bytes.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    *outgoing.headers_mut() = request.headers.clone();
    let headers = outgoing.headers_mut();
    headers.remove("content-length");
    headers.remove("expect");
    let left = job.order.answer_deadline.since(job.clock.now());
    job.side.add_request_headers(headers, runner, &job.order, job.last_event_id.as_deref(), left);
    if let (false, Ok(host)) = (headers.contains_key("host"), HeaderValue::from_str(&runner.addr.to_string()))
    {
        headers.insert("host", host);
    }
    outgoing
}

/// Everything one attempt needs.
pub struct Attempt {
    /// The number of the attempt within its request.
    pub number: AttemptNo,
    /// The runner to send to.
    pub runner: Runner,
    /// The id of the last event that the client has, if a stream is to be resumed after it.
    pub last_event_id: Option<String>,
    /// The parameters of the request.
    pub order: RequestSpec,
    /// The protocol that the runner speaks.
    pub side: Arc<dyn RunnerProtocol>,
    /// The clock that deadlines are read from.
    pub clock: Arc<dyn Clock>,
    /// The client's request.
    pub request: Arc<ForwardedRequest>,
    /// The connections to runners.
    pub pool: Arc<Pool>,
    /// The memory that buffered answers may take together.
    pub answer_memory: Arc<MemoryAccount>,
    /// Whether the request may still be sent; asked right before its first byte is written.
    pub check: Check,
    /// Why the check refuses the request, evaluated anew.
    pub refusal_cause: Box<dyn Fn() -> Option<RefusalReason> + Send + Sync>,
    /// Where the steps are reported.
    pub events: mpsc::Sender<AttemptEvent>,
}

/// Sends the request; its deadline is computed at the moment of sending. If a reused connection turns out to be closed
/// before a byte was written, another connection is tried.
async fn send(job: &Attempt) -> Result<(Exchange, HeaderMap), SendError> {
    loop {
        let connection = job.pool.connect(job.runner.addr).await?;
        let was_used = connection.is_used();
        let request = outgoing_request(job);
        let sent = request.headers().clone();
        match connection.send(request, job.check.clone()).await {
            Err(SendError::NotSent) if was_used => continue,
            done => return done.map(|exchange| (exchange, sent)),
        }
    }
}

/// Runs one attempt to its end and reports each step to the forwarding that started it.
pub async fn run(job: Attempt) {
    let attempt = job.number;
    let report = |ev: FlowEvent| job.events.send(AttemptEvent::Step(ev));
    let (exchange, sent) = match send(&job).await {
        Ok(done) => done,
        Err(SendError::NotSent) => {
            return drop(report(FlowEvent::OpenFailed { attempt, reason: None }).await);
        }
        Err(SendError::RefusedByCheck) => {
            let why = (job.refusal_cause)().or(Some(RefusalReason::StaleConfiguration));
            return drop(report(FlowEvent::OpenFailed { attempt, reason: why }).await);
        }
        Err(SendError::MaybeSent) => return drop(report(FlowEvent::Lost { attempt }).await),
    };
    let load = job.side.load(exchange.headers());
    let judged = exchange.judge(|status, headers| job.side.classify_response(&sent, status, headers));
    if let (Some(load), false) = (load, matches!(judged, Classified::Stray)) {
        let _ = report(FlowEvent::Load { attempt, load }).await;
    }
    match judged {
        Classified::Own(answer) => relay_answer(&job, answer).await,
        Classified::NotExecuted(answer) => report_refusal(&job, answer, false).await,
        Classified::Misdirected(answer) => report_refusal(&job, answer, true).await,
        Classified::Stray => drop(report(FlowEvent::Lost { attempt }).await),
    }
}

/// Reports that the runner did not execute the request; `gone` if a different instance answered at its address.
async fn report_refusal(job: &Attempt, answer: RunnerAnswer, gone: bool) {
    job.pool.drain(job.runner.addr, answer).await;
    let _ = job
        .events
        .send(AttemptEvent::Step(FlowEvent::Rejected { attempt: job.number, lacks_weights: gone }))
        .await;
}

/// Passes the runner's answer on. The answer to an idempotent request is buffered first, as far as there is memory and
/// unless it is an event stream, so that another runner can still answer if this one fails half way.
async fn relay_answer(job: &Attempt, mut answer: RunnerAnswer) {
    let attempt = job.number;
    let report = |ev: FlowEvent| job.events.send(AttemptEvent::Step(ev));
    let status = answer.status();
    let headers = end_to_end(answer.headers());
    let kind = headers.get("content-type").and_then(|v| v.to_str().ok()).unwrap_or("");
    let stream = kind.starts_with("text/event-stream");
    let end = answer.end();
    let mut buffered = None;
    if job.order.route_kind == RouteKind::Idempotent && !stream {
        match buffer_answer(&mut answer, &job.answer_memory).await {
            Ok(part) => buffered = Some(part),
            Err(BodyBroken) => return drop(report(FlowEvent::Lost { attempt }).await),
        }
    }
    if job.events.send(AttemptEvent::Head((attempt, status, headers))).await.is_err()
        || report(FlowEvent::Head { attempt, status, is_stream: stream }).await.is_err()
    {
        return;
    }
    if let Some(BufferedAnswer { bytes: raw, is_whole }) = buffered {
        if is_whole {
            job.pool.keep_connection_of(job.runner.addr, answer);
            let _ = report(FlowEvent::Chunk { attempt, raw }).await;
            return drop(report(FlowEvent::End { attempt, end }).await);
        }
        if report(FlowEvent::Chunk { attempt, raw }).await.is_err() {
            return;
        }
    }
    loop {
        match answer.next().await {
            Ok(Some(raw)) => {
                if report(FlowEvent::Chunk { attempt, raw }).await.is_err() {
                    return;
                }
            }
            Ok(None) => break,
            Err(BodyBroken) => return drop(report(FlowEvent::Lost { attempt }).await),
        }
    }
    job.pool.keep_connection_of(job.runner.addr, answer);
    let _ = report(FlowEvent::End { attempt, end }).await;
}
