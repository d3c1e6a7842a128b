use crate::fleet::FleetConfig;
use crate::fleet::runner::{Report, Runner};
use crate::gate::order::{Order, Parts, Size};
use crate::kernel::fault::Fault;
use crate::kernel::ids::Name;
use crate::kernel::time::Span;
use crate::msg::RunnerOrder;
use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HeaderMap;
use std::net::SocketAddr;

pub type Call = Request<Full<Bytes>>;

/// What a caller's order asks for, read from its head or body.
#[derive(Clone, Debug, Default)]
pub struct Keys {
    pub model: CompactString,
    pub adapter: CompactString,
    pub prefix: CompactString,
    pub size: Size,
    pub parts: Parts,
    pub due: Option<Span>,
    pub last: Option<String>,
}

/// How callers speak. `Err` holds a text that names the remedy.
pub trait CallerSide: Send + Sync {
    fn keys(&self, heads: &HeaderMap, body: &[u8], assistant: bool) -> Result<Keys, &'static str>;
    /// The text of `Retry-After` for a wait.
    fn retry(&self, wait: Span) -> String;
    /// The longest that an order waits for a runner; later it is refused.
    fn patience(&self) -> Option<Span>;
}

/// What a runner's head of answer says of the order that was sent.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Verdict {
    Own,
    NotRun,
    NotMine,
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
pub trait RunnerSide: Send + Sync {
    /// Adds what a runner needs to know to the head; `left` is the time until the order's due.
    fn dress(&self, heads: &mut HeaderMap, runner: &Runner, order: &Order, last: Option<&str>, left: Span);
    fn judge(&self, sent: &HeaderMap, status: u16, heads: &HeaderMap) -> Verdict;
    fn load(&self, heads: &HeaderMap) -> Option<Load>;
    fn report(&self, runner: &Runner) -> Call;
    fn read_report(&self, runner: &Runner, body: &[u8]) -> Option<Report>;
    fn drive(&self, order: &RunnerOrder) -> Call;
}

/// Where the list of runners is asked for, if this node asks.
pub trait RunnerList: Send + Sync {
    fn addr(&self) -> SocketAddr;
    fn ask(&self, page: Option<&str>) -> Call;
    /// The runners of a page and the name of the next page.
    fn read(&self, body: &[u8]) -> Option<(Vec<Runner>, Option<String>)>;
}

/// How operators write their configurations.
pub trait OperatorSide: Send + Sync {
    /// The configuration that `text` makes of `now`: whole, or named items of it.
    fn read(&self, now: &FleetConfig, text: &str, part: bool) -> Result<FleetConfig, Vec<Fault>>;
}

pub fn adapter_name(model: &str, adapter: &str) -> Name {
    Name(format!("{model}/{adapter}"))
}
