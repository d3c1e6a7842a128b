use super::control::{Fault, Knobs};
use super::script::{Script, plain};
use super::stock::Stock;
use crate::http::answer::{AnswerBody, full_body};
use crate::http::body::{BodyWriter, streamed};
use crate::http::request_body::RequestBody;
use crate::json::Tree;
use crate::json::tree::map;
use crate::kernel::ids::Name;
use crate::kernel::time::{BootClock, Clock};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Request, Response};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// How long a runner that turns requests away late takes for its word.
const LATE_REFUSAL: Duration = Duration::from_millis(700);

pub struct Runner {
    pub stock: Mutex<Stock>,
    pub knobs: Mutex<Knobs>,
    pub gate: Arc<Semaphore>,
    pub warm: Mutex<BTreeMap<u64, u64>>,
    pub assistant: bool,
    pub record: Mutex<Option<std::fs::File>>,
}

fn json(status: u16, tree: Tree) -> Response<AnswerBody> {
    let b = Response::builder().status(status).header("content-type", "application/json");
    b.body(full_body(tree.to_string())).expect("a valid answer")
}

fn text(status: u16, text: &str) -> Response<AnswerBody> {
    json(status, map(&[("text", text.into())]))
}

struct Run {
    runner: Arc<Runner>,
    model: Name,
    call: String,
    whole: bool,
}

impl Drop for Run {
    fn drop(&mut self) {
        let mut s = self.runner.stock.lock().unwrap();
        if let Some(n) = s.runs.get_mut(&self.model) {
            *n = n.saturating_sub(1);
        }
        drop(s);
        let line = format!("run-end call={} whole={}", self.call, self.whole);
        self.runner.note(&line);
    }
}

/// Sends the events of a stream, each in two pieces where the runner splits them.
async fn stream(mut run: Run, _slot: OwnedSemaphorePermit, script: Script, after: u64, writer: BodyWriter) {
    for n in after + 1..=script.tokens + 1 {
        let knobs = run.runner.knobs.lock().unwrap().clone();
        tokio::time::sleep(Duration::from_micros(knobs.token_us)).await;
        if run.runner.knobs.lock().unwrap().fault == Fault::Dark {
            // The stream stands still; a closed connection ends it all the same.
            return writer.closed().await;
        }
        let mut event = script.event(n);
        if knobs.fault == Fault::Differ {
            event = event.replace("data: ", "data: x");
        }
        let rest = event.split_off(if knobs.split_us > 0 { event.len() / 2 } else { 0 });
        let truncated = knobs.fault == Fault::Truncate;
        if !event.is_empty() {
            if writer.send(Bytes::from(event)).await.is_err() {
                return;
            }
            tokio::time::sleep(Duration::from_micros(knobs.split_us)).await;
        }
        if truncated && knobs.unframed {
            return writer.finish();
        }
        if truncated || writer.send(Bytes::from(rest)).await.is_err() {
            return;
        }
        run.runner.warm.lock().unwrap().insert(script.seed, n);
    }
    run.whole = true;
    writer.finish();
}

impl Runner {
    pub fn note(&self, line: &str) {
        use std::io::Write;
        let now = BootClock.now().0;
        if let Some(f) = &mut *self.record.lock().unwrap() {
            let _ = writeln!(f, "at={now} {line}");
        }
    }

    fn flush(&self) {
        let lines = std::mem::take(&mut self.stock.lock().unwrap().lines);
        for l in lines {
            self.note(&l);
        }
    }

    pub async fn answer(self: Arc<Runner>, order: Request<RequestBody>) -> Response<AnswerBody> {
        let fault = self.knobs.lock().unwrap().fault.clone();
        let path = order.uri().path().to_string();
        if path == "/fault" {
            let body = order.into_body().collect().await.map(|b| b.to_bytes()).unwrap_or_default();
            return super::control::set(&self, &body);
        }
        if let Some(call) = order.headers().get("x-call-id").and_then(|v| v.to_str().ok()) {
            self.note(&format!("arrive call={call}"));
        }
        if fault == Fault::Dark {
            std::future::pending::<()>().await;
        }
        if fault == Fault::Rubbish {
            return Response::new(full_body("{]rubbish"));
        }
        if path == "/spindle/report" {
            let mut rep = self.stock.lock().unwrap().report();
            if fault == Fault::Lie {
                rep.used_mb = 0;
            }
            return json(200, rep.tree());
        }
        let target = order.headers().get("x-target-instance").and_then(|v| v.to_str().ok()).unwrap_or("");
        if target != self.stock.lock().unwrap().instance.0 {
            return text(421, "another instance is meant");
        }
        if path == "/spindle/load" || path == "/spindle/unload" {
            let body = order.into_body().collect().await.map(|b| b.to_bytes()).unwrap_or_default();
            return self.ordered(&path, &body);
        }
        if fault == Fault::LateRefusal {
            tokio::time::sleep(LATE_REFUSAL).await;
            return text(421, "turned away late");
        }
        self.run(order).await
    }

    fn ordered(self: &Arc<Runner>, path: &str, body: &[u8]) -> Response<AnswerBody> {
        let Ok(t) = Tree::parse(&String::from_utf8_lossy(body)) else { return text(400, "not JSON") };
        let (Some(id), Some(term), Some(name)) = (t.text("order"), t.num("term"), t.text("name")) else {
            return text(400, "order, term and name are needed");
        };
        let name = Name(name.to_string());
        let load = path == "/spindle/load";
        let (status, why) = self.stock.lock().unwrap().order(id, term, &name, load, t.num("expected"));
        self.flush();
        if load && status == 200 && why == "loading" {
            let me = self.clone();
            let ms = self.stock.lock().unwrap().catalog.load_ms(&name);
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(ms)).await;
                me.stock.lock().unwrap().loaded(&name);
            });
        }
        text(status, why)
    }

    async fn run(self: Arc<Runner>, order: Request<RequestBody>) -> Response<AnswerBody> {
        let head = |k: &str| order.headers().get(k).and_then(|v| v.to_str().ok()).unwrap_or("").to_string();
        let (call, last) = (head("x-call-id"), head("last-event-id"));
        let (method, path) = (order.method().clone(), order.uri().path().to_string());
        let Ok(body) = order.into_body().collect().await else { return text(400, "no body") };
        let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        let after = last.parse::<u64>().unwrap_or(0);
        let script = if self.assistant { Script::read(&body) } else { None };
        let model = Name(script.as_ref().map_or(String::new(), |s| s.model.clone()));
        if self.assistant {
            let Some(s) = &script else { return text(400, "not an assistant order") };
            let stock = self.stock.lock().unwrap();
            let adapter = Name(s.adapter.clone());
            if !stock.holds.contains(&model) || (!s.adapter.is_empty() && !stock.holds.contains(&adapter)) {
                return text(421, "the model is not held here");
            }
        }
        self.note(&format!("run-begin call={call} model={model} after={after} method={method} path={path}"));
        {
            let mut s = self.stock.lock().unwrap();
            *s.runs.entry(model.clone()).or_default() += 1;
            s.waiting += 1;
        }
        let run = Run { runner: self.clone(), model, call, whole: false };
        let permit = self.gate.clone().acquire_owned().await;
        self.stock.lock().unwrap().waiting -= 1;
        let knobs = self.knobs.lock().unwrap().clone();
        let Some(s) = script else {
            tokio::time::sleep(Duration::from_micros(knobs.plain_us)).await;
            let raw = plain(&path);
            let mut run = run;
            run.whole = true;
            return Response::new(full_body(raw));
        };
        self.prefill(&s, after, &knobs).await;
        if !s.stream {
            tokio::time::sleep(Duration::from_micros(knobs.token_us * s.tokens)).await;
            let mut run = run;
            run.whole = true;
            return Response::builder()
                .header("content-type", "application/json")
                .body(full_body(s.whole()))
                .expect("valid");
        }
        let unframed = knobs.unframed;
        let (writer, body) = streamed();
        let Ok(slot) = permit else { return text(503, "this runner ends") };
        tokio::spawn(stream(run, slot, s, after, writer));
        let b = Response::builder().header("content-type", "text/event-stream");
        let mut answer = b.body(body.boxed_unsync()).expect("a valid answer");
        if unframed {
            // An answer of this version has no chunks: it ends with its connection.
            *answer.version_mut() = hyper::Version::HTTP_10;
        }
        answer
    }

    async fn prefill(&self, s: &Script, after: u64, knobs: &Knobs) {
        let known = if knobs.fault == Fault::Evict {
            0
        } else {
            self.warm.lock().unwrap().get(&s.seed).copied().unwrap_or(0)
        };
        let had = self.stock.lock().unwrap().prefixes.contains(&s.prefix);
        let prompt = if had || known > 0 { 0 } else { knobs.prompt_tokens };
        let left = after.saturating_sub(known) + prompt;
        tokio::time::sleep(Duration::from_micros(knobs.token_us * left / 10)).await;
        self.stock.lock().unwrap().warm(&s.prefix);
        let mut warm = self.warm.lock().unwrap();
        let row = warm.entry(s.seed).or_default();
        *row = (*row).max(after);
        if warm.len() > 4096 {
            warm.pop_first();
        }
    }
}
