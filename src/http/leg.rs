use super::guard::Check;
use super::pool::{self, Miss, Pool};
use crate::fleet::config::RouteKind;
use crate::fleet::runner::Runner;
use crate::gate::order::{Order, Why};
use crate::kernel::time::Clock;
use crate::pass::In;
use crate::pass::ride::LegNo;
use crate::seam::{RunnerSide, Verdict};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, Uri};
use std::sync::Arc;
use tokio::sync::mpsc;

const WHOLE: usize = 64 << 20;

const HOP: [&str; 9] = [
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
        if HOP.contains(&name) || named.iter().any(|n| n == name) {
            continue;
        }
        out.append(k.clone(), v.clone());
    }
    out
}

pub struct Shape {
    pub method: Method,
    pub uri: Uri,
    pub heads: HeaderMap,
    pub body: Bytes,
}

pub type HeadSlot = (LegNo, u16, HeaderMap);

pub enum LegEvent {
    Step(In),
    Head(HeadSlot),
}

pub fn order_for(job: &LegJob) -> Request<Full<Bytes>> {
    let (shape, runner) = (&job.shape, &job.runner);
    let mut order = Request::new(Full::new(shape.body.clone()));
    *order.method_mut() = shape.method.clone();
    *order.uri_mut() = shape.uri.clone();
    *order.headers_mut() = shape.heads.clone();
    let heads = order.headers_mut();
    heads.remove("content-length");
    heads.remove("expect");
    let left = job.order.end.since(job.clock.now());
    job.side.dress(heads, runner, &job.order, job.last.as_deref(), left);
    if let (false, Ok(host)) = (heads.contains_key("host"), HeaderValue::from_str(&runner.addr.to_string())) {
        heads.insert("host", host);
    }
    order
}

pub struct LegJob {
    pub no: LegNo,
    pub runner: Runner,
    pub last: Option<String>,
    pub order: Order,
    pub side: Arc<dyn RunnerSide>,
    pub clock: Arc<dyn Clock>,
    pub shape: Arc<Shape>,
    pub pool: Arc<Pool>,
    pub check: Check,
    pub why: Box<dyn Fn() -> Option<Why> + Send>,
    pub tx: mpsc::Sender<LegEvent>,
}

pub async fn run(job: LegJob) {
    let order = order_for(&job);
    let sent = order.headers().clone();
    let LegJob { no: leg, runner, order: asked, side, pool, check, why, tx, .. } = job;
    let say = |ev: In| tx.send(LegEvent::Step(ev));
    let reply = match pool.send(runner.addr, order, check).await {
        Ok(reply) => reply,
        Err(Miss::NotSent) => {
            let _ = say(In::OpenFailed { leg, why: None }).await;
            return;
        }
        Err(Miss::Barred) => {
            let why = why().or(Some(Why::Stale));
            let _ = say(In::OpenFailed { leg, why }).await;
            return;
        }
        Err(Miss::Unsure) => {
            let _ = say(In::Lost { leg }).await;
            return;
        }
    };
    let status = reply.response.status().as_u16();
    let heads = end_to_end(reply.response.headers());
    if let Some(load) = side.load(reply.response.headers()) {
        let _ = say(In::Load { leg, load }).await;
    }
    let ev = match side.judge(&sent, status, reply.response.headers()) {
        Verdict::Own => None,
        Verdict::NotRun => Some(In::Shed { leg, gone: false }),
        Verdict::NotMine => Some(In::Shed { leg, gone: true }),
        Verdict::Stray => Some(In::Lost { leg }),
    };
    if let Some(ev) = ev {
        if !matches!(ev, In::Lost { .. }) {
            pool.finish(runner.addr, reply).await;
        }
        let _ = say(ev).await;
        return;
    }
    let kind = heads.get("content-type").and_then(|v| v.to_str().ok()).unwrap_or("");
    let stream = kind.starts_with("text/event-stream");
    let keep = pool::kept(reply.response.headers());
    if asked.kind == RouteKind::Idempotent && !stream {
        let Ok(body) = Limited::new(reply.response.into_body(), WHOLE).collect().await else {
            let _ = say(In::Lost { leg }).await;
            return;
        };
        pool.give(runner.addr, reply.link, keep);
        let _ = tx.send(LegEvent::Head((leg, status, heads))).await;
        let _ = say(In::Head { leg, status, stream }).await;
        let _ = say(In::Chunk { leg, raw: body.to_bytes() }).await;
        let _ = say(In::End { leg }).await;
        return;
    }
    if tx.send(LegEvent::Head((leg, status, heads))).await.is_err() {
        return;
    }
    if say(In::Head { leg, status, stream }).await.is_err() {
        return;
    }
    let mut body = reply.response.into_body();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            let _ = say(In::Lost { leg }).await;
            return;
        };
        let Ok(raw) = frame.into_data() else { continue };
        if say(In::Chunk { leg, raw }).await.is_err() {
            return;
        }
    }
    pool.give(runner.addr, reply.link, keep);
    let _ = say(In::End { leg }).await;
}
