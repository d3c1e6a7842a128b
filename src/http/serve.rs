use super::answer::{OutBody, own, refused, too_slow};
use super::attempt::{ForwardedRequest, end_to_end};
use super::client::ClientConnections;
use super::forward::{ForwardJob, forward};
use super::pool::Pool;
use super::quota::take_token;
use crate::fleet::config::ServiceKind;
use crate::fleet::slice::RouteRow;
use crate::gate::admission::admit;
use crate::gate::order::RefusalReason;
use crate::gate::{BalancerTable, Refusal, RequestSpec};
use crate::kernel::time::{Clock, Span, Time};
use crate::protocol::Protocols;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Request, Response};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use tokio::sync::oneshot;

pub struct Front {
    pub table: Arc<BalancerTable>,
    pub pool: Arc<Pool>,
    pub clock: Arc<dyn Clock>,
    pub leaving: AtomicBool,
    pub stopping: AtomicBool,
    pub next: AtomicU64,
    pub open: AtomicU64,
    pub seen: super::sender::Seen,
    pub clients: Arc<ClientConnections>,
    pub protocols: Protocols,
}

/// What a runner that stops at the end of its time has for its last word to arrive.
const LAST_WORD: Span = Span::ms(100);

struct Counted<'a>(&'a AtomicU64);

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The bytes of a request's head as it came, but for blanks around values.
fn head_bytes(request: &Request<Incoming>) -> u64 {
    const LINE: usize = "  HTTP/1.1\r\n".len();
    const HEADER: usize = ": \r\n".len();
    const END: usize = "\r\n".len();
    let target = request.uri().path_and_query().map_or(0, |p| p.as_str().len());
    let first = request.method().as_str().len() + target + LINE;
    let rows = request.headers().iter().map(|(k, v)| k.as_str().len() + v.len() + HEADER);
    (first + rows.sum::<usize>() + END) as u64
}

impl Front {
    /// Takes over the newest limits and ends the connections of clients that are over them.
    pub fn sweep(&self) {
        self.clients.sweep(self.table.limits());
    }

    pub async fn answer(self: Arc<Front>, order: Request<Incoming>) -> Response<OutBody> {
        let me = self.clone();
        let mut out = self.served(order).await;
        if me.leaving.load(Ordering::SeqCst) {
            out.headers_mut().insert("connection", HeaderValue::from_static("close"));
        }
        out
    }

    async fn served(self: Arc<Front>, order: Request<Incoming>) -> Response<OutBody> {
        self.open.fetch_add(1, Ordering::SeqCst);
        let _counted = Counted(&self.open);
        if self.stopping.load(Ordering::SeqCst) {
            return refused(&*self.protocols.caller, &Refusal::new(RefusalReason::Stopping, 1));
        }
        if head_bytes(&order) > self.clients.limits().head_bytes {
            let text = "the request's head is over the configured limit; send a smaller one";
            return own(431, "head-too-large", text, 0, "refused");
        }
        let now = self.clock.now();
        let host = order.headers().get("host").and_then(|h| h.to_str().ok()).unwrap_or("").to_string();
        let Some((routes_version, routes)) = self.table.fresh_routes(now) else {
            return refused(&*self.protocols.caller, &Refusal::new(RefusalReason::StaleConfiguration, 1));
        };
        let Some(row) = routes.find(&host, order.uri().path()) else {
            return own(
                404,
                "unknown-route",
                "no service has this route; see the configuration",
                0,
                "refused",
            );
        };
        let (mut parts, body) = order.into_parts();
        let key = self.protocols.caller.take_api_key(&mut parts.headers);
        let admission = match admit(&routes, row, key) {
            Ok(admission) => admission,
            Err(_) => return self.unknown_key(row),
        };
        let limited = Limited::new(body, (row.route.body_kb as usize) << 10).collect();
        let body = match tokio::time::timeout(Span::ms(row.route.due_ms).as_std(), limited).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
                let text = format!("the body is over {} KB; send a smaller one", row.route.body_kb);
                return own(413, "body-too-large", &text, 0, "refused");
            }
            Err(_) => return too_slow(),
            Ok(Err(_)) => {
                return own(400, "body-unread", "the body did not arrive whole; send it again", 0, "refused");
            }
        };
        let mut heads = end_to_end(&parts.headers);
        heads.remove("x-target-instance");
        let order = match self.order(row, now, &heads, &body) {
            Ok(order) => RequestSpec {
                host: host.as_str().into(),
                path: parts.uri.path().into(),
                routes_version,
                rank: admission.rank,
                credential: admission.credential,
                ..order
            },
            Err(answer) => return *answer,
        };
        if let Err(over) = take_token(&self.table, &*self.clock, &order).await {
            return refused(&*self.protocols.caller, &over);
        }
        let Some(balancer) = self.table.get(&order.service) else {
            return refused(&*self.protocols.caller, &Refusal::new(RefusalReason::StaleConfiguration, 1));
        };
        self.seen.add(&order, &host, parts.uri.path(), body.len());
        let uri = parts.uri.path_and_query().map_or("/", |p| p.as_str()).parse().unwrap_or_default();
        let shape = Arc::new(ForwardedRequest { method: parts.method, uri, heads, body });
        let (tx, rx) = oneshot::channel();
        let work = forward(
            balancer,
            self.pool.clone(),
            self.clock.clone(),
            ForwardJob { order, shape, protocols: self.protocols.clone() },
            tx,
        );
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

    /// What a client without a known key is told; nothing of its key is in it.
    fn unknown_key(&self, row: &RouteRow) -> Response<OutBody> {
        if let Some(balancer) = self.table.get(&row.service) {
            balancer.lock().unwrap().count("refused_unknown_key");
        }
        refused(&*self.protocols.caller, &Refusal::new(RefusalReason::UnknownKey, 0))
    }

    fn order(
        &self,
        row: &RouteRow,
        now: Time,
        heads: &HeaderMap,
        body: &Bytes,
    ) -> Result<RequestSpec, Box<Response<OutBody>>> {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let service = row.pick(id ^ now.0).clone();
        let balancer = self.table.get(&service);
        let sort = balancer.and_then(|g| g.lock().unwrap().slice.as_ref().map(|s| s.service.sort));
        let keys = match self.protocols.caller.read_params(heads, body, sort == Some(ServiceKind::Assistant))
        {
            Ok(keys) => keys,
            Err(text) => return Err(Box::new(own(400, "bad-order", text, 0, "refused"))),
        };
        let most = Span::ms(row.route.due_ms);
        let left = keys.due.map_or(most, |d| d.min(most));
        Ok(RequestSpec {
            id,
            service,
            class: row.route.class,
            model: keys.model,
            adapter: keys.adapter,
            prefix: keys.prefix,
            is_resumable: row.route.resumable,
            start_deadline: now + self.protocols.caller.max_wait(left, &row.route),
            answer_deadline: now + left,
            completion_deadline: self
                .protocols
                .caller
                .deadline_covers_body()
                .then_some(now + left + LAST_WORD),
            last_event_id: keys.last.filter(|_| row.route.resumable),
            route_kind: row.route.kind,
            max_attempts: row.route.tries,
            target_latency: Span::ms(row.route.aim_ms),
            target_gap: Span::ms(row.route.gap_ms),
            token_counts: keys.size,
            prompt_parts: keys.parts,
            run_contract: self.protocols.runner.run_contract(),
            ..RequestSpec::default()
        })
    }
}
