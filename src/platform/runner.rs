//! The protocol of the platform's runners: request headers, answers, reports, and orders to load and unload.

use crate::fleet::runner::{Runner, RunnerReport};
use crate::gate::order::RequestSpec;
use crate::json::Tree;
use crate::json::tree::map;
use crate::kernel::ids::Name;
use crate::kernel::time::Span;
use crate::msg::RunnerOrder;
use crate::protocol::{Call, Load, ResponseOrigin, RunnerProtocol, adapter_name, tenant_value};
use crate::transfer::continuation::RunContract;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};

/// The header by which a runner's answer names its request.
const REQUEST_ID: &str = "x-request-id";
/// The header that names the tenant to a runner.
const TENANT_HEADER: &str = "x-tenant";
/// The least urgent priority class that a runner knows.
const MAX_CLASS: u8 = 9;
/// How many priority classes one tenant rank spans: one for each class of routes.
const CLASSES_PER_RANK: u8 = 4;

/// The protocol of the platform's runners.
pub struct PlatformRunner {
    /// The name of this machine, under which orders are given.
    pub node: String,
}

fn set_header(headers: &mut HeaderMap, key: &'static str, value: &str) {
    if let Ok(v) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(key), v);
    }
}

/// A call to runner `r` with a JSON body.
fn runner_call(method: &str, path: &str, runner: &Runner, body: String) -> Call {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", runner.addr.to_string())
        .header("x-target-instance", runner.instance.0.as_str())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .expect("a valid call")
}

/// The priority class of a request at its runner: by the rank of its tenant, then by the class of its route.
fn priority_class(order: &RequestSpec) -> u8 {
    let first = order.rank.0.saturating_mul(CLASSES_PER_RANK);
    first.saturating_add(order.class as u8).min(MAX_CLASS)
}

/// The names of the models and adapters in the `Models` of a report or a list entry.
pub fn held_names(tree: &Tree) -> Vec<Name> {
    let mut out = Vec::new();
    for model in tree.list("Models") {
        let Some(name) = model.text("Name") else { continue };
        out.push(Name::from(name));
        out.extend(model.texts("Adapters").iter().map(|a| adapter_name(name, a)));
    }
    out
}

impl RunnerProtocol for PlatformRunner {
    fn add_request_headers(
        &self,
        headers: &mut HeaderMap,
        runner: &Runner,
        order: &RequestSpec,
        last: Option<&str>,
        left: Span,
    ) {
        set_header(headers, "x-target-instance", &runner.instance.0);
        set_header(headers, "x-deadline-ms", &left.as_ms().max(1).to_string());
        if let Some(id) = last {
            set_header(headers, "last-event-id", id);
        }
        headers.remove(TENANT_HEADER);
        if let Some(name) = tenant_value(order) {
            headers.insert(HeaderName::from_static(TENANT_HEADER), name);
        }
        if !order.model.is_empty() {
            set_header(headers, "x-priority-class", &priority_class(order).to_string());
        }
    }

    fn classify_response(&self, sent: &HeaderMap, status: u16, headers: &HeaderMap) -> ResponseOrigin {
        let is_other_answer = !self.may_answer(sent, headers);
        if status == 421 && !(is_other_answer && headers.contains_key(REQUEST_ID)) {
            return ResponseOrigin::Misdirected;
        }
        if is_other_answer {
            return ResponseOrigin::Stray;
        }
        if headers.contains_key("x-not-executed") {
            return ResponseOrigin::NotExecuted;
        }
        // These statuses imply that the request was not executed, which is unknown unless the runner says so.
        if matches!(status, 408 | 429 | 503) {
            return ResponseOrigin::Stray;
        }
        let is_unsealed = !headers.contains_key("x-server-seal") || headers.contains_key("content-encoding");
        if (200..300).contains(&status) && is_unsealed {
            return ResponseOrigin::Stray;
        }
        ResponseOrigin::Own
    }

    fn may_answer(&self, sent: &HeaderMap, headers: &HeaderMap) -> bool {
        let mut ids = headers.get_all(REQUEST_ID).iter();
        match (sent.get(REQUEST_ID), ids.next()) {
            (Some(id), Some(echo)) => id == echo && ids.next().is_none(),
            (None, Some(echo)) => echo.is_empty(),
            (Some(_), None) => false,
            (None, None) => true,
        }
    }

    fn load(&self, headers: &HeaderMap) -> Option<Load> {
        let row = headers.get("x-server-load")?.to_str().ok()?;
        let mut n = row.split(',').map(|part| part.trim().parse::<u64>().ok());
        Some(Load { running: n.next()??, waiting: n.next()??, slots: n.next()?? })
    }

    /// The platform guarantees at which event a run continues, not that two runs produce the same content.
    fn run_contract(&self) -> RunContract {
        RunContract::SameIds
    }

    fn plain_services_report(&self) -> bool {
        false
    }

    fn report(&self, runner: &Runner) -> Call {
        runner_call("GET", "/spindledock/report", runner, String::new())
    }

    fn read_report(&self, runner: &Runner, body: &[u8]) -> Option<RunnerReport> {
        let tree = Tree::parse(std::str::from_utf8(body).ok()?).ok()?;
        Some(RunnerReport {
            instance: runner.instance.clone(),
            leaving: tree.text("OperState") == Some("draining") || tree.get("RemainingMs").is_some(),
            holds: held_names(&tree),
            running: tree.num("Active")?,
            waiting: tree.num("Queued")?,
            orders: tree.num("Sequence").unwrap_or(0),
            tokens: tree.num("KvInUse").unwrap_or(0),
            busy: tree.flag("Utilization").unwrap_or(false),
            ..RunnerReport::default()
        })
    }

    fn order_request(&self, order: &RunnerOrder) -> Call {
        let opcode = if order.load { "install" } else { "uninstall" };
        let (model, adapter) = match order.name.0.split_once('/') {
            Some((model, a)) if order.adapter => (model, Some(a)),
            _ => (order.name.0.as_str(), None),
        };
        let mut rows = vec![("Opcode", opcode.into()), ("Model", model.into())];
        if let Some(a) = adapter {
            rows.push(("Adapter", a.into()));
        }
        rows.push(("Owner", self.node.as_str().into()));
        rows.push(("FenceToken", order.term.0.into()));
        rows.push(("ExpectedCount", order.expected.into()));
        runner_call("POST", "/spindledock/order", &order.runner, map(&rows).to_string())
    }
}
