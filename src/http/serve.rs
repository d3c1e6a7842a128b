use super::answer::{OutBody, own, refused};
use super::carry::{Cargo, carry};
use super::leg::{Shape, end_to_end};
use super::pool::Pool;
use crate::fleet::config::Sort;
use crate::fleet::slice::RouteRow;
use crate::gate::order::Why;
use crate::gate::{Order, Refusal, Table};
use crate::json::Tree;
use crate::kernel::time::{Clock, Span};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use tokio::sync::oneshot;

pub struct Front {
    pub table: Arc<Table>,
    pub pool: Arc<Pool>,
    pub clock: Arc<dyn Clock>,
    pub stopping: AtomicBool,
    pub next: AtomicU64,
    pub open: AtomicU64,
    pub seen: super::sender::Seen,
}

struct Counted<'a>(&'a AtomicU64);

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Front {
    pub async fn answer(self: Arc<Front>, order: Request<Incoming>) -> Response<OutBody> {
        self.open.fetch_add(1, Ordering::SeqCst);
        let _counted = Counted(&self.open);
        if self.stopping.load(Ordering::SeqCst) {
            return refused(&Refusal::new(Why::Stopping, 1));
        }
        let now = self.clock.now();
        let host = order.headers().get("host").and_then(|h| h.to_str().ok()).unwrap_or("").to_string();
        let Some((routes_at, found)) = self.table.find(now, &host, order.uri().path()) else {
            return refused(&Refusal::new(Why::Stale, 1));
        };
        let Some(row) = found else {
            return own(
                404,
                "unknown-route",
                "no service has this route; see the configuration",
                0,
                "refused",
            );
        };
        let due = now + Span::ms(row.route.due_ms);
        let (parts, body) = order.into_parts();
        let limited = Limited::new(body, (row.route.body_kb as usize) << 10).collect();
        let body = match tokio::time::timeout(Span::ms(row.route.due_ms).as_std(), limited).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
                let text = format!("the body is over {} KB; send a smaller one", row.route.body_kb);
                return own(413, "body-too-large", &text, 0, "refused");
            }
            _ => {
                return own(400, "body-unread", "the body did not arrive whole; send it again", 0, "refused");
            }
        };
        let mut heads = end_to_end(&parts.headers);
        heads.remove("x-target-instance");
        let last = heads.get("last-event-id").and_then(|v| v.to_str().ok()).map(|s| s.to_string());
        let order = match self.order(&row, due, &body, last) {
            Ok(order) => {
                Order { host: host.as_str().into(), path: parts.uri.path().into(), routes_at, ..order }
            }
            Err(answer) => return *answer,
        };
        let Some(gate) = self.table.gate(&row.service) else {
            return refused(&Refusal::new(Why::Stale, 1));
        };
        self.seen.add(&order, &host, parts.uri.path(), body.len());
        let uri = parts.uri.path_and_query().map_or("/", |p| p.as_str()).parse().unwrap_or_default();
        let shape = Arc::new(Shape { method: parts.method, uri, heads, body });
        let (tx, rx) = oneshot::channel();
        let work = carry(gate, self.pool.clone(), self.clock.clone(), Cargo { order, shape }, tx);
        let me = self.clone();
        self.open.fetch_add(1, Ordering::SeqCst);
        tokio::spawn(async move {
            let _counted = Counted(&me.open);
            work.await;
        });
        match rx.await {
            Ok(answer) => answer,
            Err(_) => own(502, "outcome-unknown", "the order was dropped; it may have run", 0, "unknown"),
        }
    }

    fn order(
        &self,
        row: &RouteRow,
        due: crate::kernel::time::Time,
        body: &Bytes,
        last: Option<String>,
    ) -> Result<Order, Box<Response<OutBody>>> {
        let gate = self.table.gate(&row.service);
        let sort = gate.and_then(|g| g.lock().unwrap().slice.as_ref().map(|s| s.service.sort));
        let bad = |text: &str| Err(Box::new(own(400, "bad-order", text, 0, "refused")));
        let mut keys = [String::new(), String::new(), String::new()];
        if sort == Some(Sort::Assistant) {
            let text = std::str::from_utf8(body).unwrap_or("");
            let Ok(tree) = Tree::parse(text) else {
                return bad("the body is not well-formed JSON; send an object with a model");
            };
            for (n, key) in ["model", "adapter", "prefix"].iter().enumerate() {
                keys[n] = match tree.get(key) {
                    Some(Tree::Text(t)) => t.clone(),
                    None | Some(Tree::Null) => String::new(),
                    Some(_) => return bad("model, adapter and prefix must be texts"),
                };
            }
            if keys[0].is_empty() {
                return bad("model is missing; name one the service offers");
            }
        }
        Ok(Order {
            id: self.next.fetch_add(1, Ordering::Relaxed),
            service: row.service.clone(),
            class: row.route.class,
            model: keys[0].as_str().into(),
            adapter: keys[1].as_str().into(),
            prefix: keys[2].as_str().into(),
            resumable: row.route.resumable,
            due,
            last: last.filter(|_| row.route.resumable),
            resumed: false,
            host: Default::default(),
            path: Default::default(),
            routes_at: Default::default(),
            kind: row.route.kind,
            tries: row.route.tries,
            aim: Span::ms(row.route.aim_ms),
            size: Default::default(),
            parts: Default::default(),
        })
    }
}
