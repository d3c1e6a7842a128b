//! Serves one request of a client: checks the limits, finds the route, admits the tenant, reads the body, takes a quota
//! token, and forwards the request through the balancer of its service ([`super::readmission`]).

use super::answer::{AnswerBody, coded_answer, unreceived_answer};
use super::client_connections::ClientConnections;
use super::client_request::{ClientRequest, host_of};
use super::memory_account::MemoryAccount;
use super::pool::Pool;
use super::readmission::too_large_text;
use super::receive::{ReceiveLimits, receive};
use super::request_body::RequestBody;
use super::request_head::head_bytes;
use crate::gate::order::RefusalReason;
use crate::gate::readmission::{AdmittedRoute, CountedTenants, RouteRefusal};
use crate::gate::{BalancerTable, Refusal};
use crate::kernel::time::{Clock, Span};
use crate::protocol::Protocols;
use hyper::header::HeaderValue;
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
    /// How many requests were refused for good as no route led anywhere.
    pub unknown_routes: AtomicU64,
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
            return self.refusal(&Refusal::new(RefusalReason::Stopping, 1));
        }
        if head_bytes(&request) > self.clients.limits().head_bytes {
            let text = "the request's head is over the configured limit; send a smaller one";
            return coded_answer(431, "head-too-large", text, 0, "refused");
        }
        let now = self.clock.now();
        let Some(routes) = self.table.fresh_routes(now) else {
            return self.refusal(&Refusal::new(RefusalReason::StaleConfiguration, 1));
        };
        let (mut parts, body) = request.into_parts();
        let key = self.protocols.caller.take_api_key(&mut parts.headers);
        let place = (host_of(&parts), parts.uri.path());
        let admitted = match AdmittedRoute::find(&routes, place, key) {
            Ok(admitted) => admitted,
            Err(refusal) => return self.route_refusal(&refusal),
        };
        drop(routes);
        let route = &admitted.row().route;
        let limits = ReceiveLimits {
            max_bytes: (route.body_kb as usize) << 10,
            time: Span::ms(route.due_ms).as_std(),
            copies: 1,
        };
        let received = match receive(body, limits, &self.memory).await {
            Ok(received) => received,
            Err(why) => return unreceived_answer(why, &too_large_text(route.body_kb)),
        };
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let request = ClientRequest::new(id, now, key, parts, received);
        let spec = match self.request_spec(&request, admitted) {
            Ok(spec) => spec,
            Err(answer) => return *answer,
        };
        let mut counted = CountedTenants::default();
        if let Err(over) = self.count_request(&spec, &mut counted).await {
            return self.refusal(&over);
        }
        self.recent.add(&spec, &request.host, &request.path, request.body_bytes());
        let (tx, rx) = oneshot::channel();
        let work = self.clone().forward_by_newest_routes(request, spec, counted, tx);
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

    /// The answer to a request that the routes do not allow. It does not contain the key.
    fn route_refusal(&self, refusal: &RouteRefusal) -> Response<AnswerBody> {
        let RouteRefusal::UnknownKey(service) = refusal else {
            self.unknown_routes.fetch_add(1, Ordering::Relaxed);
            let text = "no service has this route; see the configuration";
            return coded_answer(404, "unknown-route", text, 0, "refused");
        };
        let refusal = Refusal::new(RefusalReason::UnknownKey, 0);
        self.count_final(service, &refusal);
        self.refusal(&refusal)
    }
}
