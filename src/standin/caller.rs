use super::script::{Script, plain};
use super::tally::{End, Tally};
use crate::http::answer::OUTCOME_HEADER;
use crate::http::connection::{IdleConnection, ReadyConnection, SendError};
use crate::http::exchange::{Classified, RunnerAnswer};
use crate::http::pool::{Pool, always_allowed};
use crate::json::Tree;
use crate::kernel::ids::Name;
use crate::kernel::time::{BootClock, Clock, Time};
use crate::protocol::ResponseOrigin;
use crate::sim::record::Fact;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
pub struct Call {
    pub path: String,
    pub body: Option<String>,
    pub last: Option<u64>,
    pub service: String,
    pub model: String,
    pub resumable: bool,
}

static NEXT: AtomicU64 = AtomicU64::new(1);

pub fn tile(service: &str, n: u64) -> Call {
    let (path, service) = (format!("/{service}/{n}"), service.to_string());
    Call { path, body: None, last: None, service, model: String::new(), resumable: false }
}

pub fn assistant(path: &str, model: &str, tokens: u64, salt: u64) -> Call {
    let body = format!(
        "{{\"model\":\"{model}\",\"tokens\":{tokens},\"stream\":true,\"prefix\":\"p{}\",\"salt\":{salt}}}",
        salt % 7
    );
    Call {
        path: path.to_string(),
        body: Some(body),
        last: None,
        service: "assistant".into(),
        model: model.into(),
        resumable: true,
    }
}

/// Sends a request over a connection of the pool and reads its answer.
pub async fn call(pool: &Pool, router: SocketAddr, what: &Call) -> Tally {
    let Ok(ready) = pool.connect(router).await else {
        let mut unsent = Tally::default();
        unsent.add(End::Failed);
        return Called::now(what).ended(unsent, "");
    };
    let (tally, resting) = call_over(Called::now(what), ready, router, what, Duration::ZERO).await;
    if let Some(resting) = resting {
        pool.keep_idle(router, resting);
    }
    tally
}

/// Sends a request over this connection and reads its answer, with a pause after each piece. The connection comes
/// back if it may be used again.
pub async fn call_over(
    called: Called,
    ready: ReadyConnection,
    router: SocketAddr,
    what: &Call,
    pause: Duration,
) -> (Tally, Option<IdleConnection>) {
    let mut tally = Tally::default();
    let request = request(what, router, called.id);
    let began = Instant::now();
    let (code, resting) = match send(ready, request).await {
        Ok(answer) => {
            tally.first_ms.push(began.elapsed().as_millis() as u64);
            read(answer, what, pause, &mut tally).await
        }
        Err(SendError::NotSent | SendError::RefusedByCheck) => {
            tally.add(End::Failed);
            (String::new(), None)
        }
        Err(SendError::MaybeSent) => {
            tally.add(End::Broken);
            (String::new(), None)
        }
    };
    (called.ended(tally, &code), resting)
}

/// A request that was sent.
#[derive(Clone)]
pub struct Called {
    id: u64,
    at: Time,
    fact: Fact,
}

impl Called {
    /// A request with an id of its own that is sent now.
    pub fn now(what: &Call) -> Called {
        let id = NEXT.fetch_add(1, Ordering::Relaxed);
        let fact = Fact::Called {
            call: id,
            service: Name(what.service.clone()),
            path: what.path.clone(),
            body: what.body.clone(),
            last: what.last.unwrap_or(0),
            resumable: what.resumable,
            key: None,
        };
        Called { id, at: BootClock.now(), fact }
    }

    /// The tally with the facts of the request and of its end.
    pub fn ended(self, mut tally: Tally, code: &str) -> Tally {
        let end = tally.ends.keys().next_back().copied().unwrap_or(End::Failed);
        let (text, after) = (tally.text.take(), tally.gap_ms);
        let ended = Fact::Ended { call: self.id, end, text, after, code: code.to_string() };
        tally.facts.push((self.at, self.fact));
        tally.facts.push((BootClock.now(), ended));
        tally
    }
}

async fn send(ready: ReadyConnection, request: Request<Full<Bytes>>) -> Result<RunnerAnswer, SendError> {
    match ready.send(request, always_allowed()).await?.judge(|_, _| ResponseOrigin::Own) {
        Classified::Own(answer) => Ok(answer),
        _ => Err(SendError::MaybeSent),
    }
}

fn request(call: &Call, router: SocketAddr, id: u64) -> Request<Full<Bytes>> {
    let mut request = Request::builder()
        .method(if call.body.is_some() { "POST" } else { "GET" })
        .uri(call.path.as_str())
        .header("host", router.to_string())
        .header("x-call-id", id.to_string());
    if let Some(last) = call.last {
        request = request.header("last-event-id", last.to_string());
    }
    let body = Full::new(Bytes::from(call.body.clone().unwrap_or_default()));
    request.body(body).expect("a valid request")
}

/// Reads an answer to its end; the code of one that the router made itself, and the connection if it rests.
async fn read(
    mut answer: RunnerAnswer,
    call: &Call,
    pause: Duration,
    t: &mut Tally,
) -> (String, Option<IdleConnection>) {
    let status = answer.status();
    let outcome = answer.headers().get(OUTCOME_HEADER).and_then(|v| v.to_str().ok()).map(|s| s.to_string());
    let stream = answer.headers().get("content-type").is_some_and(|v| v == "text/event-stream");
    let mut raw = Vec::new();
    let mut beat = Instant::now();
    loop {
        let Ok(part) = answer.next().await else {
            t.add(End::Broken);
            t.judge_part(call, &raw, stream);
            t.text = Some(String::from_utf8_lossy(&raw).into_owned());
            return (String::new(), None);
        };
        let Some(data) = part else { break };
        if !raw.is_empty() {
            t.gap_ms = t.gap_ms.max(beat.elapsed().as_millis() as u64);
        }
        beat = Instant::now();
        raw.extend_from_slice(&data);
        if pause > Duration::ZERO {
            tokio::time::sleep(pause).await;
        }
    }
    let resting = answer.into_idle_connection();
    let text = String::from_utf8_lossy(&raw).into_owned();
    if let Some(outcome) = outcome {
        let code = Tree::parse(&text).ok().and_then(|t| t.text("code").map(|s| s.to_string()));
        let code = code.unwrap_or("?".into());
        *t.codes.entry(code.clone()).or_default() += 1;
        t.add(if outcome == "refused" { End::Refused } else { End::Unknown });
        return (code, resting);
    }
    t.text = Some(text.clone());
    let want = expected(call, stream);
    if status == 200 && text == want {
        t.add(End::Whole);
    } else {
        t.wrongs.push(format!("{} status={status} got={} want={}", call.path, text.len(), want.len()));
        t.add(End::Wrong);
    }
    (String::new(), resting)
}

fn expected(call: &Call, stream: bool) -> String {
    let Some(body) = &call.body else { return plain(&call.path) };
    let Some(s) = Script::read(body) else { return plain(&call.path) };
    if stream { s.whole_stream(call.last.unwrap_or(0)) } else { s.whole() }
}

impl Tally {
    fn judge_part(&mut self, call: &Call, raw: &[u8], stream: bool) {
        let want = expected(call, stream);
        if !want.as_bytes().starts_with(raw) {
            self.wrongs.push(format!("{} broken part differs", call.path));
            self.add(End::Wrong);
        }
    }
}

#[derive(Clone)]
pub struct Flow {
    pub routers: Vec<SocketAddr>,
    pub per_s: f64,
    pub make: Arc<dyn Fn(u64) -> Call + Send + Sync>,
}

pub async fn load(pool: Arc<Pool>, flow: Flow, lasting: Duration, sum: Arc<Mutex<Tally>>) {
    let began = Instant::now();
    let mut n = 0u64;
    let mut tasks = tokio::task::JoinSet::new();
    while began.elapsed() < lasting {
        let due = Duration::from_secs_f64(n as f64 / flow.per_s);
        if let Some(wait) = due.checked_sub(began.elapsed()) {
            tokio::time::sleep(wait).await;
        }
        let (pool, sum) = (pool.clone(), sum.clone());
        let router = flow.routers[n as usize % flow.routers.len()];
        let what = (flow.make)(n);
        tasks.spawn(async move {
            let t = call(&pool, router, &what).await;
            sum.lock().unwrap().merge(t);
        });
        n += 1;
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
}
