//! The admin API: calls by which operators read the state of the fleet and change its configuration. Every node answers
//! it; the paths are listed in `docs/interface.md`.

use super::admin_answers::AdminAnswers;
use super::admin_call::{AdminCall, change_name, if_match_value};
use super::answer::{AnswerBody, coded_answer, full_body, operator_answer, unreceived_answer};
use super::memory_account::MemoryAccount;
use super::receive::{ReceiveLimits, receive};
use super::request_body::RequestBody;
use crate::daemon::input::NodeHandle;
use crate::fleet::runner::Runner;
use crate::fleet::size_limits::MAX_NAME_BYTES;
use crate::json::Tree;
use crate::kernel::ids::*;
use crate::kernel::rand::OsRandom;
use crate::msg::{Answer, Event, OperatorCall};
use crate::protocol::{OperatorProtocol, ParsedCall};
use hyper::header::LOCATION;
use hyper::{Method, Request, Response, StatusCode};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;

/// The limits on the body of a call. Its text is held several times while the call is read and carried out.
const BODY_LIMITS: ReceiveLimits =
    ReceiveLimits { max_bytes: 8 << 20, time: Duration::from_secs(30), copies: 4 };

/// How many reads may be under way at a time.
pub const MAX_CONCURRENT_READS: usize = 4;

/// The most runners in a list.
const MAX_RUNNERS: usize = 5_000;
/// The longest query in bytes. The depth of its expressions, which are worked off recursively, follows from its length.
const MAX_QUERY_BYTES: usize = 4 << 10;

/// The admin API of a node.
pub struct AdminApi {
    /// The node that answers.
    pub node: NodeHandle,
    /// Whether the node is ready, or why not.
    pub ready: Box<dyn Fn() -> Result<(), String> + Send + Sync>,
    /// The metrics in the Prometheus text format.
    pub metrics: Box<dyn Fn() -> String + Send + Sync>,
    /// The memory that the bodies of all calls may take together.
    pub memory: Arc<MemoryAccount>,
    /// The reads that may be under way at a time.
    pub reads: Semaphore,
    /// The answers that wait to be read.
    pub answers: AdminAnswers,
    /// The operators' own protocol, if the settings name one; its paths come before the native ones.
    pub operator: Option<Arc<dyn OperatorProtocol>>,
}

fn bad_request(text: &str) -> Answer {
    Answer::new(400, "bad-order", text, 0)
}

impl AdminApi {
    /// Has the node carry out a call. Only few reads are under way at a time: each may bring a large answer from another
    /// node.
    async fn ask(&self, id: ChangeId, event: Event) -> Answer {
        let _permit = match event {
            Event::ReadCall { .. } => self.reads.acquire().await.ok(),
            _ => None,
        };
        self.node.ask(id, event).await
    }

    /// The answer to `GET /ready`.
    fn ready_answer(&self) -> Response<AnswerBody> {
        match (self.ready)() {
            Ok(()) => coded_answer(200, "ready", "this node is ready", 0, "answered"),
            Err(why) => coded_answer(503, "not-ready", &why, 1, "answered"),
        }
    }

    /// The answer to a call of the operators' own protocol; `None` if the call is not part of it.
    async fn platform_answer(
        &self,
        side: &dyn OperatorProtocol,
        call: &AdminCall,
    ) -> Option<Response<AnswerBody>> {
        let base = call.base.as_deref();
        let id = match call.method.as_str() {
            "GET" => ChangeId::random(&mut OsRandom),
            _ => side.id(&call.method, base, &call.text),
        };
        let mut answer = match side.read_request(id, &call.method, &call.path, base, &call.text)? {
            ParsedCall::Ready => return Some(self.ready_answer()),
            ParsedCall::Event(ev) => self.ask(id, *ev).await,
            ParsedCall::Bad(answer) => answer,
        };
        let body = self.answers.reserve(&mut answer).await;
        let mut response = operator_answer(&answer, body);
        *response.status_mut() = StatusCode::from_u16(side.status(&answer)).unwrap_or_default();
        if response.status().is_redirection()
            && let Some(address) = answer.redirect
            && let Ok(location) = format!("http://{address}{}", call.path).parse()
        {
            response.headers_mut().insert(LOCATION, location);
        }
        Some(response)
    }

    /// Answers one call.
    pub async fn answer(self: Arc<AdminApi>, order: Request<RequestBody>) -> Response<AnswerBody> {
        let path = order.uri().path().trim_matches('/').to_string();
        let base = if_match_value(order.headers());
        let Some(name) = change_name(order.headers()) else {
            let text = "X-Change-Id is no id; give up to 32 hexadecimal digits, or none";
            return coded_answer(400, "bad-order", text, 0, "refused");
        };
        let method = order.method().clone();
        match (&method, path.as_str()) {
            (&Method::GET, "ready") => return self.ready_answer(),
            (&Method::GET, "metrics") => return Response::new(full_body((self.metrics)())),
            (&Method::GET, "v1/local") => return Response::new(full_body(self.node.status().await)),
            _ => {}
        }
        let received = match receive(order.into_body(), BODY_LIMITS, &self.memory).await {
            Ok(received) => received,
            Err(why) => {
                return unreceived_answer(why, "the body is over 8 MB; send a partial change");
            }
        };
        // Charged until the call has its answer.
        let _reservation = received.reservation;
        let Ok(text) = String::from_utf8(received.bytes.into()) else {
            return coded_answer(
                400,
                "bad-order",
                "the body is no UTF-8; send the document as UTF-8",
                0,
                "refused",
            );
        };
        let call = AdminCall { method: method.to_string(), path: format!("/{path}"), base, text };
        let id = ChangeId::named(name, call.digest());
        if let Some(side) = &self.operator
            && let Some(response) = self.platform_answer(&**side, &call).await
        {
            return response;
        }
        let mut answer = match event_of(&method, &path, id, call.base, call.text) {
            Ok(ev) => self.ask(id, ev).await,
            Err(answer) => answer,
        };
        let body = self.answers.reserve(&mut answer).await;
        let mut response = operator_answer(&answer, body);
        if let Ok(v) = id.to_string().parse() {
            response.headers_mut().insert("x-change-id", v);
        }
        response
    }
}

/// The node event for a call of the native admin API, or the answer to a malformed call.
fn event_of(
    method: &Method,
    path: &str,
    id: ChangeId,
    base: Option<String>,
    text: String,
) -> Result<Event, Answer> {
    let rows: Vec<&str> = path.split('/').collect();
    let ask = id;
    let base = match base {
        None => None,
        Some(base) => Some(
            Version::parse(base.trim_matches('"'))
                .ok_or_else(|| bad_request("If-Match is no version; give one as shown by config"))?,
        ),
    };
    let tree = || Tree::parse(&text).map_err(|why| bad_request(&format!("{why}; send well-formed JSON")));
    let op = match (method, &rows[..]) {
        (&Method::GET, ["v1", "changes", id]) => {
            return Ok(Event::ReadCall { id: ask, path: format!("change/{id}") });
        }
        (&Method::POST, ["v1", "query"]) if text.len() > MAX_QUERY_BYTES => {
            return Err(bad_request("the query is over 4 KB; write a shorter one"));
        }
        (&Method::POST, ["v1", "query"]) => return Ok(Event::ReadCall { id, path: format!("query/{text}") }),
        (&Method::GET, ["v1", what]) => return Ok(Event::ReadCall { id, path: what.to_string() }),
        (&Method::PUT, ["v1", "config"]) => match crate::fleet::read::read_text(&text) {
            Ok(_) => OperatorCall::ReplaceConfig { base, text },
            Err(bad_request) => return Err(crate::chain::reply::faults(&bad_request)),
        },
        (&Method::PATCH, ["v1", "config"]) => OperatorCall::PatchConfig { base, text },
        (&Method::PUT, ["v1", "runners"]) => {
            let tree = tree()?;
            let rows = if let Tree::List(rows) = &tree { &rows[..] } else { tree.list("runners") };
            OperatorCall::SetRunners(read_runners(rows).map_err(|why| bad_request(&why))?)
        }
        (&Method::POST, ["v1", "runners", name, "leaving"]) => OperatorCall::MarkLeaving(Name::from(*name)),
        (&Method::POST, ["v1", "plan", "propose"]) => OperatorCall::ProposePlan,
        (&Method::POST, ["v1", "plan", "accept", at]) => match Version::parse(at) {
            Some(at) => OperatorCall::AcceptPlan(at),
            None => return Err(bad_request("the plan's version is no version; give one as shown by plan")),
        },
        (&Method::POST, ["v1", "moves"]) => {
            let tree = tree()?;
            let text = |k: &str| Name(tree.text(k).unwrap_or("").to_string());
            OperatorCall::MoveModel {
                service: text("service"),
                model: text("model"),
                from: text("from"),
                to: text("to"),
                want: text("want"),
            }
        }
        _ => return Err(Answer::new(404, "unknown-path", "see docs/interface.md for what can be asked", 0)),
    };
    Ok(Event::OperatorCall { id, op })
}

/// Reads a list of runners. Fails with a text for the operator.
fn read_runners(rows: &[Tree]) -> Result<Vec<Runner>, String> {
    if rows.len() > MAX_RUNNERS {
        return Err(format!("the list has {} runners; give at most {MAX_RUNNERS}", rows.len()));
    }
    let runners = rows.iter().map(Runner::read).collect::<Result<Vec<Runner>, String>>()?;
    let is_long = |name: &Name| name.0.len() > MAX_NAME_BYTES;
    if runners
        .iter()
        .any(|runner| is_long(&runner.instance) || is_long(&runner.service) || is_long(&runner.domain))
    {
        return Err(format!("a name is too long; use at most {MAX_NAME_BYTES} bytes"));
    }
    let mut instances = BTreeSet::new();
    if let Some(runner) = runners.iter().find(|runner| !instances.insert(&runner.instance)) {
        return Err(format!("runner {} is given twice; keep one", runner.instance));
    }
    Ok(runners)
}
