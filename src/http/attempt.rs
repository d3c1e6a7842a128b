//! One attempt to have a request run by one runner: the request as it is sent, and what came of it, step by step.

use super::connection::SendError;
use super::exchange::{Answer, BodyBroken, Exchange, Judged};
use super::guard::Check;
use super::pool::Pool;
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

const WHOLE_LIMIT: usize = 64 << 20;

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
pub fn end_to_end(heads: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = heads
        .get_all("connection")
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(',').map(|s| s.trim().to_ascii_lowercase()))
        .collect();
    let mut out = HeaderMap::new();
    for (k, v) in heads {
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
    pub heads: HeaderMap,
    pub body: Bytes,
}

/// The head of a runner's answer: the attempt, its status and headers.
pub type AttemptHead = (AttemptNo, u16, HeaderMap);

/// What an attempt tells the forwarding that made it.
pub enum AttemptEvent {
    Step(FlowEvent),
    Head(AttemptHead),
}

/// The request as this attempt's runner gets it.
pub fn request_for(job: &Attempt) -> Request<Full<Bytes>> {
    let (shape, runner) = (&job.shape, &job.runner);
    let mut order = Request::new(Full::new(shape.body.clone()));
    *order.method_mut() = shape.method.clone();
    *order.uri_mut() = shape.uri.clone();
    *order.headers_mut() = shape.heads.clone();
    let heads = order.headers_mut();
    heads.remove("content-length");
    heads.remove("expect");
    let left = job.order.answer_deadline.since(job.clock.now());
    job.side.add_request_headers(heads, runner, &job.order, job.last.as_deref(), left);
    if let (false, Ok(host)) = (heads.contains_key("host"), HeaderValue::from_str(&runner.addr.to_string())) {
        heads.insert("host", host);
    }
    order
}

/// All that one attempt needs.
pub struct Attempt {
    pub no: AttemptNo,
    pub runner: Runner,
    pub last: Option<String>,
    pub order: RequestSpec,
    pub side: Arc<dyn RunnerProtocol>,
    pub clock: Arc<dyn Clock>,
    pub shape: Arc<ForwardedRequest>,
    pub pool: Arc<Pool>,
    pub check: Check,
    pub why: Box<dyn Fn() -> Option<RefusalReason> + Send + Sync>,
    pub tx: mpsc::Sender<AttemptEvent>,
}

/// Sends the request, its deadline counted from the moment it is sent. A connection that turns out to be gone
/// before a byte was written is replaced by a new one.
async fn send(job: &Attempt) -> Result<(Exchange, HeaderMap), SendError> {
    loop {
        let connection = job.pool.connect(job.runner.addr).await?;
        let used = connection.is_used();
        let request = request_for(job);
        let sent = request.headers().clone();
        match connection.send(request, job.check.clone()).await {
            Err(SendError::NotSent) if used => continue,
            done => return done.map(|exchange| (exchange, sent)),
        }
    }
}

/// One try at one runner, told step by step to the forwarding that asked for it.
pub async fn run(job: Attempt) {
    let attempt = job.no;
    let say = |ev: FlowEvent| job.tx.send(AttemptEvent::Step(ev));
    let (exchange, sent) = match send(&job).await {
        Ok(done) => done,
        Err(SendError::NotSent) => return drop(say(FlowEvent::OpenFailed { attempt, reason: None }).await),
        Err(SendError::Barred) => {
            let why = (job.why)().or(Some(RefusalReason::StaleConfiguration));
            return drop(say(FlowEvent::OpenFailed { attempt, reason: why }).await);
        }
        Err(SendError::Unsure) => return drop(say(FlowEvent::Lost { attempt }).await),
    };
    let load = job.side.load(exchange.headers());
    let judged = exchange.judge(|status, headers| job.side.classify_response(&sent, status, headers));
    if let (Some(load), false) = (load, matches!(judged, Judged::Stray)) {
        let _ = say(FlowEvent::Load { attempt, load }).await;
    }
    match judged {
        Judged::Own(answer) => pass_on(&job, answer).await,
        Judged::NotRun(answer) => turned_away(&job, answer, false).await,
        Judged::NotMine(answer) => turned_away(&job, answer, true).await,
        Judged::Stray => drop(say(FlowEvent::Lost { attempt }).await),
    }
}

async fn turned_away(job: &Attempt, answer: Answer, gone: bool) {
    job.pool.drain(job.runner.addr, answer).await;
    let _ =
        job.tx.send(AttemptEvent::Step(FlowEvent::Rejected { attempt: job.no, lacks_weights: gone })).await;
}

/// Hands the runner's answer on. One to a request that may run again is read as a whole first, so that another
/// runner can still give it.
async fn pass_on(job: &Attempt, mut answer: Answer) {
    let attempt = job.no;
    let say = |ev: FlowEvent| job.tx.send(AttemptEvent::Step(ev));
    let status = answer.status();
    let heads = end_to_end(answer.headers());
    let kind = heads.get("content-type").and_then(|v| v.to_str().ok()).unwrap_or("");
    let stream = kind.starts_with("text/event-stream");
    let end = answer.end();
    let mut whole = None;
    if job.order.route_kind == RouteKind::Idempotent && !stream {
        match answer.collect(WHOLE_LIMIT).await {
            Ok(body) => whole = Some(body),
            Err(BodyBroken) => return drop(say(FlowEvent::Lost { attempt }).await),
        }
    }
    if job.tx.send(AttemptEvent::Head((attempt, status, heads))).await.is_err()
        || say(FlowEvent::Head { attempt, status, is_stream: stream }).await.is_err()
    {
        return;
    }
    if let Some(raw) = whole {
        job.pool.keep(job.runner.addr, answer);
        let _ = say(FlowEvent::Chunk { attempt, raw }).await;
        return drop(say(FlowEvent::End { attempt, end }).await);
    }
    loop {
        match answer.next().await {
            Ok(Some(raw)) => {
                if say(FlowEvent::Chunk { attempt, raw }).await.is_err() {
                    return;
                }
            }
            Ok(None) => break,
            Err(BodyBroken) => return drop(say(FlowEvent::Lost { attempt }).await),
        }
    }
    job.pool.keep(job.runner.addr, answer);
    let _ = say(FlowEvent::End { attempt, end }).await;
}
