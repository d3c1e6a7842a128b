//! Serves one request of a client: checks the limits, finds the route, admits the tenant, reads the body, takes a quota
//! token, and forwards the request through the balancer of its service ([`super::forward`]).

use super::answer::{AnswerBody, coded_answer, refusal_answer, unreceived_answer};
use super::attempt::{ForwardedRequest, end_to_end};
use super::client_connections::ClientConnections;
use super::forward::{ForwardJob, forward};
use super::memory_account::MemoryAccount;
use super::pool::Pool;
use super::quota::take_token;
use super::receive::{ReceiveLimits, receive};
use super::request_body::RequestBody;
use super::request_head::head_bytes;
use crate::fleet::config::ServiceKind;
use crate::fleet::slice::RouteRow;
use crate::gate::admission::admit;
use crate::gate::order::RefusalReason;
use crate::gate::{BalancerTable, Refusal, RequestSpec};
use crate::kernel::time::{Clock, Span, Time};
use crate::protocol::Protocols;
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Request, Response};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use tokio::sync::oneshot;

/// Serves the requests of clients. One per router.
pub struct RequestService {
    /// The routes in force and the balancers of the services.
    pub table: Arc<BalancerTable>,
    /// The connections to runners.
    pub pool: Arc<Pool>,
    /// The clock that deadlines are read from.
    pub clock: Arc<dyn Clock>,
    /// The router is about to stop: each answer closes its connection, so that clients go to another router.
    pub is_leaving: AtomicBool,
    /// New requests are refused.
    pub is_stopping: AtomicBool,
    /// The id of the next request.
    pub next_id: AtomicU64,
    /// How many requests are being received or forwarded; one that is forwarded may count twice.
    pub open_requests: AtomicU64,
    /// The latest admitted requests.
    pub recent: super::recent_requests::RecentRequests,
    /// The connections of clients.
    pub clients: Arc<ClientConnections>,
    /// The memory that the bodies of all clients may take together.
    pub memory: Arc<MemoryAccount>,
    /// The memory that buffered answers may take together.
    pub answer_memory: Arc<MemoryAccount>,
    /// The protocols of clients and runners.
    pub protocols: Protocols,
}

/// How long after the deadline the last event of a runner that stops at the deadline may still arrive.
const FINAL_EVENT_GRACE: Span = Span::ms(100);

/// Decrements the number of open requests when dropped.
struct OpenRequestCount<'a>(&'a AtomicU64);

impl Drop for OpenRequestCount<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl RequestService {
    /// Applies the newest limits to the connections of clients and expires those that are over them.
    pub fn sweep(&self) {
        self.clients.sweep(self.table.limits());
    }

    /// Answers one request of a client.
    pub async fn answer(self: Arc<RequestService>, request: Request<RequestBody>) -> Response<AnswerBody> {
        let me = self.clone();
        let mut out = self.handle(request).await;
        if me.is_leaving.load(Ordering::SeqCst) {
            out.headers_mut().insert("connection", HeaderValue::from_static("close"));
        }
        out
    }

    async fn handle(self: Arc<RequestService>, request: Request<RequestBody>) -> Response<AnswerBody> {
        self.open_requests.fetch_add(1, Ordering::SeqCst);
        let _count = OpenRequestCount(&self.open_requests);
        if self.is_stopping.load(Ordering::SeqCst) {
            return refusal_answer(&*self.protocols.caller, &Refusal::new(RefusalReason::Stopping, 1));
        }
        if head_bytes(&request) > self.clients.limits().head_bytes {
            let text = "the request's head is over the configured limit; send a smaller one";
            return coded_answer(431, "head-too-large", text, 0, "refused");
        }
        let now = self.clock.now();
        let host = request.headers().get("host").and_then(|h| h.to_str().ok()).unwrap_or("").to_string();
        let Some((routes_version, routes)) = self.table.fresh_routes(now) else {
            return refusal_answer(
                &*self.protocols.caller,
                &Refusal::new(RefusalReason::StaleConfiguration, 1),
            );
        };
        let Some(row) = routes.find(&host, request.uri().path()) else {
            return coded_answer(
                404,
                "unknown-route",
                "no service has this route; see the configuration",
                0,
                "refused",
            );
        };
        let (mut parts, body) = request.into_parts();
        let key = self.protocols.caller.take_api_key(&mut parts.headers);
        let admission = match admit(&routes, row, key) {
            Ok(admission) => admission,
            Err(_) => return self.unknown_key(row),
        };
        let limits = ReceiveLimits {
            max_bytes: (row.route.body_kb as usize) << 10,
            time: Span::ms(row.route.due_ms).as_std(),
            copies: 1,
        };
        let received = match receive(body, limits, &self.memory).await {
            Ok(received) => received,
            Err(why) => {
                let too_large = format!("the body is over {} KB; send a smaller one", row.route.body_kb);
                return unreceived_answer(why, &too_large);
            }
        };
        let body = &received.bytes;
        let mut headers = end_to_end(&parts.headers);
        headers.remove("x-target-instance");
        let order = match self.build_order(row, now, &headers, body) {
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
            return refusal_answer(&*self.protocols.caller, &over);
        }
        let Some(balancer) = self.table.get(&order.service) else {
            return refusal_answer(
                &*self.protocols.caller,
                &Refusal::new(RefusalReason::StaleConfiguration, 1),
            );
        };
        self.recent.add(&order, &host, parts.uri.path(), body.len());
        let uri = parts.uri.path_and_query().map_or("/", |p| p.as_str()).parse().unwrap_or_default();
        let forwarded = Arc::new(ForwardedRequest { method: parts.method, uri, headers, body: received });
        let (tx, rx) = oneshot::channel();
        let work = forward(
            balancer,
            self.pool.clone(),
            self.clock.clone(),
            ForwardJob {
                order,
                forwarded,
                answer_memory: self.answer_memory.clone(),
                protocols: self.protocols.clone(),
            },
            tx,
        );
        let me = self.clone();
        self.open_requests.fetch_add(1, Ordering::SeqCst);
        tokio::spawn(async move {
            let _count = OpenRequestCount(&me.open_requests);
            work.await;
        });
        match rx.await {
            Ok(answer) => answer,
            Err(_) => {
                coded_answer(502, "outcome-unknown", "the order was dropped; it may have run", 0, "unknown")
            }
        }
    }

    /// The refusal of a request whose key is unknown or missing. It does not contain the key.
    fn unknown_key(&self, row: &RouteRow) -> Response<AnswerBody> {
        if let Some(balancer) = self.table.get(&row.service) {
            balancer.lock().unwrap().count("refused_unknown_key");
        }
        refusal_answer(&*self.protocols.caller, &Refusal::new(RefusalReason::UnknownKey, 0))
    }

    /// The parameters of the request from its route, headers and body. Fails with the answer to a malformed request.
    fn build_order(
        &self,
        row: &RouteRow,
        now: Time,
        headers: &HeaderMap,
        body: &Bytes,
    ) -> Result<RequestSpec, Box<Response<AnswerBody>>> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let service = row.pick(id ^ now.0).clone();
        let balancer = self.table.get(&service);
        let sort = balancer.and_then(|g| g.lock().unwrap().slice.as_ref().map(|s| s.service.sort));
        let keys =
            match self.protocols.caller.read_params(headers, body, sort == Some(ServiceKind::Assistant)) {
                Ok(keys) => keys,
                Err(text) => return Err(Box::new(coded_answer(400, "bad-order", text, 0, "refused"))),
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
                .then_some(now + left + FINAL_EVENT_GRACE),
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
