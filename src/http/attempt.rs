//! One attempt to have a request run by one runner: the request as it is sent, and what came of it, step by step.

use super::connection::SendError;
use super::exchange::{BodyBroken, Classified, Exchange, RunnerAnswer};
use super::guard::Check;
use super::pool::Pool;
use crate::fleet::config::RouteKind;
use crate::fleet::runner::Runner;
use crate::forwarding::In;
use crate::forwarding::request::AttemptNo;
use crate::gate::order::{Order, Why};
use crate::kernel::time::Clock;
use crate::protocol::RunnerProtocol;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, Uri};
use std::sync::Arc;
use tokio::sync::mpsc;

const BUFFERED_ANSWER_MAX_BYTES: usize = 64 << 20;

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

/// The headers that are meant for the far end, without those of one connection.
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

/// A caller's request as it is handed on.
pub struct ForwardedRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// The head of a runner's answer: the attempt, its status and headers.
pub type AttemptHead = (AttemptNo, u16, HeaderMap);

/// What an attempt tells the forwarding that made it.
pub enum AttemptEvent {
    Step(In),
    Head(AttemptHead),
}

/// The request as this attempt's runner gets it.
pub fn outgoing_request(job: &Attempt) -> Request<Full<Bytes>> {
    let (request, runner) = (&job.request, &job.runner);
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    *outgoing.headers_mut() = request.headers.clone();
    let headers = outgoing.headers_mut();
    headers.remove("content-length");
    headers.remove("expect");
    let left = job.order.end.since(job.clock.now());
    job.side.add_request_headers(headers, runner, &job.order, job.last_event_id.as_deref(), left);
    if let (false, Ok(host)) = (headers.contains_key("host"), HeaderValue::from_str(&runner.addr.to_string()))
    {
        headers.insert("host", host);
    }
    outgoing
}

/// All that one attempt needs.
pub struct Attempt {
    pub number: AttemptNo,
    pub runner: Runner,
    pub last_event_id: Option<String>,
    pub order: Order,
    pub side: Arc<dyn RunnerProtocol>,
    pub clock: Arc<dyn Clock>,
    pub request: Arc<ForwardedRequest>,
    pub pool: Arc<Pool>,
    pub check: Check,
    pub refusal_cause: Box<dyn Fn() -> Option<Why> + Send + Sync>,
    pub events: mpsc::Sender<AttemptEvent>,
}

/// Sends the request, its deadline counted from the moment it is sent. A connection that turns out to be gone
/// before a byte was written is replaced by a new one.
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

/// One try at one runner, told step by step to the forwarding that asked for it.
pub async fn run(job: Attempt) {
    let attempt = job.number;
    let report = |ev: In| job.events.send(AttemptEvent::Step(ev));
    let (exchange, sent) = match send(&job).await {
        Ok(done) => done,
        Err(SendError::NotSent) => return drop(report(In::OpenFailed { attempt, why: None }).await),
        Err(SendError::RefusedByCheck) => {
            let why = (job.refusal_cause)().or(Some(Why::Stale));
            return drop(report(In::OpenFailed { attempt, why }).await);
        }
        Err(SendError::MaybeSent) => return drop(report(In::Lost { attempt }).await),
    };
    let load = job.side.load(exchange.headers());
    let judged = exchange.judge(|status, headers| job.side.classify_response(&sent, status, headers));
    if let (Some(load), false) = (load, matches!(judged, Classified::Stray)) {
        let _ = report(In::Load { attempt, load }).await;
    }
    match judged {
        Classified::Own(answer) => relay_answer(&job, answer).await,
        Classified::NotExecuted(answer) => report_refusal(&job, answer, false).await,
        Classified::Misdirected(answer) => report_refusal(&job, answer, true).await,
        Classified::Stray => drop(report(In::Lost { attempt }).await),
    }
}

async fn report_refusal(job: &Attempt, answer: RunnerAnswer, gone: bool) {
    job.pool.drain(job.runner.addr, answer).await;
    let _ = job.events.send(AttemptEvent::Step(In::Shed { attempt: job.number, gone })).await;
}

/// Hands the runner's answer on. One to a request that may run again is read as a whole first, so that another
/// runner can still give it.
async fn relay_answer(job: &Attempt, mut answer: RunnerAnswer) {
    let attempt = job.number;
    let report = |ev: In| job.events.send(AttemptEvent::Step(ev));
    let status = answer.status();
    let headers = end_to_end(answer.headers());
    let kind = headers.get("content-type").and_then(|v| v.to_str().ok()).unwrap_or("");
    let stream = kind.starts_with("text/event-stream");
    let end = answer.end();
    let mut whole = None;
    if job.order.kind == RouteKind::Idempotent && !stream {
        match answer.collect(BUFFERED_ANSWER_MAX_BYTES).await {
            Ok(body) => whole = Some(body),
            Err(BodyBroken) => return drop(report(In::Lost { attempt }).await),
        }
    }
    if job.events.send(AttemptEvent::Head((attempt, status, headers))).await.is_err()
        || report(In::Head { attempt, status, stream }).await.is_err()
    {
        return;
    }
    if let Some(raw) = whole {
        job.pool.keep_connection_of(job.runner.addr, answer);
        let _ = report(In::Chunk { attempt, raw }).await;
        return drop(report(In::End { attempt, end }).await);
    }
    loop {
        match answer.next().await {
            Ok(Some(raw)) => {
                if report(In::Chunk { attempt, raw }).await.is_err() {
                    return;
                }
            }
            Ok(None) => break,
            Err(BodyBroken) => return drop(report(In::Lost { attempt }).await),
        }
    }
    job.pool.keep_connection_of(job.runner.addr, answer);
    let _ = report(In::End { attempt, end }).await;
}
