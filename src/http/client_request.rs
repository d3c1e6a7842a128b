//! A client's request as it arrived, and its parameters by the route that admits it.

use super::answer::{AnswerBody, coded_answer};
use super::attempt::{ForwardedRequest, end_to_end};
use super::receive::ReceivedBody;
use super::request_service::RequestService;
use crate::fleet::config::ServiceKind;
use crate::fleet::tenants::KeyDigest;
use crate::gate::RequestSpec;
use crate::gate::readmission::AdmittedRoute;
use crate::kernel::time::{Span, Time};
use compact_str::CompactString;
use hyper::Response;
use hyper::http::request::Parts;
use std::sync::Arc;

/// How long after the deadline the last event of a runner that stops at the deadline may still arrive.
const FINAL_EVENT_GRACE: Span = Span::ms(100);

/// A request of a client whose body has arrived. Each admission reads its parameters from it.
pub struct ClientRequest {
    /// Unique on this router.
    pub id: u64,
    /// When its head had come.
    pub arrived_at: Time,
    /// Its host.
    pub host: CompactString,
    /// Its path, without the query.
    pub path: CompactString,
    /// The key that it carries.
    pub key: Option<KeyDigest>,
    /// The request as each attempt sends it.
    pub forwarded: Arc<ForwardedRequest>,
}

impl ClientRequest {
    /// A request with this head, without its key, and body.
    pub fn new(
        id: u64,
        arrived_at: Time,
        key: Option<KeyDigest>,
        parts: Parts,
        body: ReceivedBody,
    ) -> ClientRequest {
        let mut headers = end_to_end(&parts.headers);
        headers.remove("x-target-instance");
        let uri = parts.uri.path_and_query().map_or("/", |p| p.as_str()).parse().unwrap_or_default();
        ClientRequest {
            id,
            arrived_at,
            host: host_of(&parts).into(),
            path: parts.uri.path().into(),
            key,
            forwarded: Arc::new(ForwardedRequest { method: parts.method, uri, headers, body }),
        }
    }

    /// The size of its body, in bytes.
    pub fn body_bytes(&self) -> usize {
        self.forwarded.body.bytes.len()
    }
}

/// The host that a request names; empty if none.
pub fn host_of(parts: &Parts) -> &str {
    parts.headers.get("host").and_then(|host| host.to_str().ok()).unwrap_or("")
}

impl RequestService {
    /// The parameters of the request from its route, headers and body. Fails with the answer to a malformed request.
    pub(super) fn request_spec(
        &self,
        request: &ClientRequest,
        admitted: AdmittedRoute,
    ) -> Result<RequestSpec, Box<Response<AnswerBody>>> {
        let (now, row) = (request.arrived_at, admitted.row());
        let service = row.pick(request.id ^ now.0).clone();
        let balancer = self.table.get(&service);
        let sort = balancer.and_then(|g| g.lock().unwrap().slice.as_ref().map(|s| s.service.sort));
        let sort = sort.unwrap_or(ServiceKind::Plain);
        let (caller, forwarded) = (&self.protocols.caller, &request.forwarded);
        let is_assistant = sort == ServiceKind::Assistant;
        let keys = match caller.read_params(&forwarded.headers, &forwarded.body.bytes, is_assistant) {
            Ok(keys) => keys,
            Err(text) => return Err(Box::new(coded_answer(400, "bad-order", text, 0, "refused"))),
        };
        let most = Span::ms(row.route.due_ms);
        let left = keys.due.map_or(most, |d| d.min(most));
        Ok(RequestSpec {
            id: request.id,
            service,
            class: row.route.class,
            rank: admitted.admission.rank,
            key: request.key,
            credential: admitted.admission.credential.clone(),
            read_for: Some(sort),
            model: keys.model,
            adapter: keys.adapter,
            prefix: keys.prefix,
            is_resumable: row.route.resumable,
            start_deadline: now + caller.max_wait(left, &row.route),
            answer_deadline: now + left,
            completion_deadline: caller.deadline_covers_body().then_some(now + left + FINAL_EVENT_GRACE),
            last_event_id: keys.last.filter(|_| row.route.resumable),
            host: request.host.clone(),
            path: request.path.clone(),
            routes_version: admitted.version,
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
