use crate::fleet::FleetConfig;
use crate::fleet::config::Route;
use crate::fleet::runner::{Runner, RunnerReport};
use crate::fleet::tenants::KeyDigest;
use crate::gate::order::{PromptParts, RequestSpec, TokenCounts};
use crate::http::own::{OwnCaller, OwnRunner};
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

pub type Call = Request<Full<Bytes>>;

/// What a caller's order asks for, read from its head or body.
#[derive(Clone, Debug, Default)]
pub struct RequestParams {
    pub model: CompactString,
    pub adapter: CompactString,
    pub prefix: CompactString,
    pub size: TokenCounts,
    pub parts: PromptParts,
    pub due: Option<Span>,
    pub last: Option<String>,
}

/// How callers speak. `Err` holds a text that names the remedy.
pub trait CallerProtocol: Send + Sync {
    /// The key that a request carries, if any; it is taken out of the headers, so that no runner gets it.
    fn take_api_key(&self, heads: &mut HeaderMap) -> Option<KeyDigest>;
    fn read_params(
        &self,
        heads: &HeaderMap,
        body: &[u8],
        assistant: bool,
    ) -> Result<RequestParams, &'static str>;
    /// The text of `Retry-After` for a wait.
    fn retry_after(&self, wait: Span) -> String;
    /// Of the time that is left, how long an order may wait for a runner before it is refused.
    fn max_wait(&self, left: Span, route: &Route) -> Span;
    /// Whether a route's time bounds the whole of an answer; else it bounds only its start.
    fn deadline_covers_body(&self) -> bool {
        false
    }
}

/// What a runner's head of answer says of the order that was sent.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ResponseOrigin {
    Own,
    NotExecuted,
    Misdirected,
    Stray,
}

/// What a runner tells of its load in an answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Load {
    pub running: u64,
    pub waiting: u64,
    pub slots: u64,
}

/// How runners speak.
pub trait RunnerProtocol: Send + Sync {
    /// Adds what a runner needs to know to the head; `left` is the time until the order's due.
    fn add_request_headers(
        &self,
        heads: &mut HeaderMap,
        runner: &Runner,
        order: &RequestSpec,
        last: Option<&str>,
        left: Span,
    );
    fn classify_response(&self, sent: &HeaderMap, status: u16, heads: &HeaderMap) -> ResponseOrigin;
    /// Whether an answer with these headers may be one to a request with the headers `sent`, by its id alone.
    fn may_answer(&self, _sent: &HeaderMap, _heads: &HeaderMap) -> bool {
        true
    }
    fn load(&self, heads: &HeaderMap) -> Option<Load>;
    /// What two runs of the same request have in common.
    fn run_contract(&self) -> RunContract {
        RunContract::SameEvents
    }
    /// Whether runners of plain services report too.
    fn plain_services_report(&self) -> bool;
    fn report(&self, runner: &Runner) -> Call;
    fn read_report(&self, runner: &Runner, body: &[u8]) -> Option<RunnerReport>;
    fn order_request(&self, order: &RunnerOrder) -> Call;
}

/// Where the list of runners is asked for, if this node asks.
pub trait RunnerListProtocol: Send + Sync {
    fn addr(&self) -> SocketAddr;
    fn pause(&self) -> std::time::Duration;
    /// How old what is known of the list may become.
    fn timing(&self) -> ListTiming;
    fn ask(&self, page: Option<&str>) -> Call;
    /// The runners of a page and the name of the next page.
    fn read(&self, body: &[u8]) -> Option<(Vec<Runner>, Option<String>)>;
}

/// What an operator's call asks of this node.
pub enum OperatorRequest {
    Ready,
    Event(Box<Event>),
    Bad(Answer),
}

/// How operators speak, and how they write their configurations.
pub trait OperatorProtocol: Send + Sync {
    fn read_request(
        &self,
        id: ChangeId,
        method: &str,
        path: &str,
        base: Option<&str>,
        text: &str,
    ) -> Option<OperatorRequest>;
    /// The id under which a call that is sent again is known: of method, base and text, collision-resistant.
    fn id(&self, method: &str, base: Option<&str>, text: &str) -> ChangeId;
    fn status(&self, answer: &Answer) -> u16;
    /// The revision that a document says it makes, if it can be read.
    fn revision(&self, text: &str) -> Option<u64>;
    /// The configuration that `text` makes of `now`: whole, or named items of it.
    fn read(&self, now: &FleetConfig, text: &str, part: bool) -> Result<FleetConfig, Vec<Fault>>;
}

/// The name of the request's tenant as runners are told it.
pub fn tenant_value(order: &RequestSpec) -> Option<HeaderValue> {
    let name = &order.credential.as_ref()?.tenant.name;
    HeaderValue::from_bytes(name.0.as_bytes()).ok()
}

pub fn adapter_name(model: &str, adapter: &str) -> Name {
    Name(format!("{model}/{adapter}"))
}

#[derive(Clone)]
pub struct Protocols {
    pub caller: Arc<dyn CallerProtocol>,
    pub runner: Arc<dyn RunnerProtocol>,
    pub list: Option<Arc<dyn RunnerListProtocol>>,
    pub operator: Option<Arc<dyn OperatorProtocol>>,
}

impl Default for Protocols {
    fn default() -> Protocols {
        Protocols { caller: Arc::new(OwnCaller), runner: Arc::new(OwnRunner), list: None, operator: None }
    }
}

impl std::fmt::Debug for Protocols {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Sides(list={} operator={})", self.list.is_some(), self.operator.is_some())
    }
}
