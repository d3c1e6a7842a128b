//! Traits for the formats that callers, runners and operators speak.
//!
//! [`crate::http::native`] implements the product's own formats and [`crate::platform`] those of the platform.
//! The rest of the code uses only these traits, through [`Protocols`].

use crate::fleet::FleetConfig;
use crate::fleet::config::Route;
use crate::fleet::runner::{Runner, RunnerReport};
use crate::fleet::tenants::KeyDigest;
use crate::gate::order::{PromptParts, RequestSpec, TokenCounts};
use crate::http::native::{NativeCaller, NativeRunner};
use crate::kernel::fault::Fault;
use crate::kernel::ids::{ChangeId, Name};
use crate::kernel::time::Span;
use crate::msg::{Answer, Event, RunnerOrder};
use crate::runner_list::timing::ListTiming;
use crate::transfer::continuation::RunContract;
use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{HeaderMap, HeaderValue};
use std::net::SocketAddr;
use std::sync::Arc;

/// A request that this node sends.
pub type Call = Request<Full<Bytes>>;

/// The parameters of a caller's request, from its headers or its body.
#[derive(Clone, Debug, Default)]
pub struct RequestParams {
    /// The requested model; empty for plain services.
    pub model: CompactString,
    /// The requested adapter, if any.
    pub adapter: CompactString,
    /// The identifier of the prompt prefix; requests with the same one prefer the same runner.
    pub prefix: CompactString,
    /// The number of prompt and output tokens, if given.
    pub size: TokenCounts,
    /// The hashes of the prompt's prefix blocks and their lengths.
    pub parts: PromptParts,
    /// The caller's deadline, as time from now.
    pub due: Option<Span>,
    /// The last event id that the caller received of an earlier attempt.
    pub last: Option<String>,
}

/// The format of callers' requests and of the answers to them.
pub trait CallerProtocol: Send + Sync {
    /// Removes the API key from the headers, so that no runner sees it, and returns its digest.
    fn take_api_key(&self, heads: &mut HeaderMap) -> Option<KeyDigest>;
    /// Reads the parameters; `assistant` tells whether the service is one of models.
    ///
    /// # Errors
    ///
    /// A text for the caller that names the fault and its remedy.
    fn read_params(
        &self,
        heads: &HeaderMap,
        body: &[u8],
        assistant: bool,
    ) -> Result<RequestParams, &'static str>;
    /// The value of the `Retry-After` header for a wait.
    fn retry_after(&self, wait: Span) -> String;
    /// How much of the remaining time a request may wait for a runner before it is refused.
    fn max_wait(&self, left: Span, route: &Route) -> Span;
    /// Whether a route's deadline covers the whole answer; otherwise it covers only its start.
    fn deadline_covers_body(&self) -> bool {
        false
    }
}

/// What the head of a runner's response says about the request that was sent.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ResponseOrigin {
    /// It answers this request.
    Own,
    /// It answers this request, which the runner has not executed.
    NotExecuted,
    /// The runner is not the instance that the request was meant for.
    Misdirected,
    /// It answers another request.
    Stray,
}

/// The load that a runner states in a response.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Load {
    /// Requests in execution.
    pub running: u64,
    /// Requests in the runner's queue.
    pub waiting: u64,
    /// Requests that the runner executes at a time.
    pub slots: u64,
}

/// The format of requests to runners and of their responses.
pub trait RunnerProtocol: Send + Sync {
    /// Adds the headers that a runner needs; `left` is the time until the request's deadline.
    fn add_request_headers(
        &self,
        heads: &mut HeaderMap,
        runner: &Runner,
        order: &RequestSpec,
        last: Option<&str>,
        left: Span,
    );
    /// Tells from status and headers whether the response belongs to the request with the headers `sent`.
    fn classify_response(&self, sent: &HeaderMap, status: u16, heads: &HeaderMap) -> ResponseOrigin;
    /// Whether a response with these headers can belong to a request with the headers `sent`, judged by its
    /// id.
    fn may_answer(&self, _sent: &HeaderMap, _heads: &HeaderMap) -> bool {
        true
    }
    /// The load that the response states.
    fn load(&self, heads: &HeaderMap) -> Option<Load>;
    /// What two runs of the same request have in common.
    fn run_contract(&self) -> RunContract {
        RunContract::SameEvents
    }
    /// Whether runners of plain services send reports too.
    fn plain_services_report(&self) -> bool;
    /// The request for a runner's report.
    fn report(&self, runner: &Runner) -> Call;
    /// Reads the body of a report; `None` if it is malformed or from another instance.
    fn read_report(&self, runner: &Runner, body: &[u8]) -> Option<RunnerReport>;
    /// The request that makes a runner load or unload.
    fn order_request(&self, order: &RunnerOrder) -> Call;
}

/// The format of the platform's list of runners, for nodes that poll it.
pub trait RunnerListProtocol: Send + Sync {
    /// The address that serves the list.
    fn addr(&self) -> SocketAddr;
    /// The time between two polls.
    fn pause(&self) -> std::time::Duration;
    /// How old the known list may become.
    fn timing(&self) -> ListTiming;
    /// The request for a page; `None` for the first one.
    fn ask(&self, page: Option<&str>) -> Call;
    /// The runners of a page and the token of the next one; `None` if the page is malformed.
    fn read(&self, body: &[u8]) -> Option<(Vec<Runner>, Option<String>)>;
}

/// What an operator's HTTP request asks of this node.
pub enum ParsedCall {
    /// Whether the node is ready.
    Ready,
    /// A change or a read, to be handled by the node.
    Event(Box<Event>),
    /// The request is invalid; this is the answer.
    Bad(Answer),
}

/// The format of operators' calls and of their configurations.
pub trait OperatorProtocol: Send + Sync {
    /// Parses a call; `None` if the path is not one of this format.
    fn read_request(
        &self,
        id: ChangeId,
        method: &str,
        path: &str,
        base: Option<&str>,
        text: &str,
    ) -> Option<ParsedCall>;
    /// The collision-resistant id of a call, from method, base and text; a repeated call has the same id.
    fn id(&self, method: &str, base: Option<&str>, text: &str) -> ChangeId;
    /// The HTTP status that this format uses for an answer.
    fn status(&self, answer: &Answer) -> u16;
    /// The revision that a document states, if it can be read.
    fn revision(&self, text: &str) -> Option<u64>;
    /// The configuration that results from applying `text` to `now`: all of it, or with `part` only the
    /// items it names.
    ///
    /// # Errors
    ///
    /// All faults that were found in the document.
    fn read(&self, now: &FleetConfig, text: &str, part: bool) -> Result<FleetConfig, Vec<Fault>>;
}

/// The header value that tells a runner the request's tenant.
pub fn tenant_value(order: &RequestSpec) -> Option<HeaderValue> {
    let name = &order.credential.as_ref()?.tenant.name;
    HeaderValue::from_bytes(name.0.as_bytes()).ok()
}

/// The name of an adapter as it is known to the fleet: that of its model and its own.
pub fn adapter_name(model: &str, adapter: &str) -> Name {
    Name(format!("{model}/{adapter}"))
}

/// The formats that this node speaks.
#[derive(Clone)]
pub struct Protocols {
    /// With callers.
    pub caller: Arc<dyn CallerProtocol>,
    /// With runners.
    pub runner: Arc<dyn RunnerProtocol>,
    /// For the list of runners, if this node polls one.
    pub list: Option<Arc<dyn RunnerListProtocol>>,
    /// With operators, besides the product's own format.
    pub operator: Option<Arc<dyn OperatorProtocol>>,
}

impl Default for Protocols {
    fn default() -> Protocols {
        Protocols {
            caller: Arc::new(NativeCaller),
            runner: Arc::new(NativeRunner),
            list: None,
            operator: None,
        }
    }
}

impl std::fmt::Debug for Protocols {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Sides(list={} operator={})", self.list.is_some(), self.operator.is_some())
    }
}
