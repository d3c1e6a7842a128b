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

const ID: &str = "x-request-id";
const TENANT: &str = "x-tenant";
/// The least urgent class that a runner knows.
const LAST_CLASS: u8 = 9;
/// How many classes of routes a rank of tenants takes.
const CLASSES_PER_RANK: u8 = 4;

pub struct RunnerWords {
    pub node: String,
}

fn put(heads: &mut HeaderMap, key: &'static str, value: &str) {
    if let Ok(v) = HeaderValue::from_str(value) {
        heads.insert(HeaderName::from_static(key), v);
    }
}

fn call(method: &str, path: &str, r: &Runner, body: String) -> Call {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", r.addr.to_string())
        .header("x-target-instance", r.instance.0.as_str())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .expect("a valid call")
}

/// The class of a request at its runner: by the rank of its tenant, then by the class of its route.
fn priority_class(order: &RequestSpec) -> u8 {
    let first = order.rank.0.saturating_mul(CLASSES_PER_RANK);
    first.saturating_add(order.class as u8).min(LAST_CLASS)
}

/// The models and adapters that `Models` of a report or list entry tells of.
pub fn holds(t: &Tree) -> Vec<Name> {
    let mut out = Vec::new();
    for m in t.list("Models") {
        let Some(name) = m.text("Name") else { continue };
        out.push(Name::from(name));
        out.extend(m.texts("Adapters").iter().map(|a| adapter_name(name, a)));
    }
    out
}

impl RunnerProtocol for RunnerWords {
    fn add_request_headers(
        &self,
        heads: &mut HeaderMap,
        runner: &Runner,
        order: &RequestSpec,
        last: Option<&str>,
        left: Span,
    ) {
        put(heads, "x-target-instance", &runner.instance.0);
        put(heads, "x-deadline-ms", &left.as_ms().max(1).to_string());
        if let Some(id) = last {
            put(heads, "last-event-id", id);
        }
        heads.remove(TENANT);
        if let Some(name) = tenant_value(order) {
            heads.insert(HeaderName::from_static(TENANT), name);
        }
        if !order.model.is_empty() {
            put(heads, "x-priority-class", &priority_class(order).to_string());
        }
    }

    fn classify_response(&self, sent: &HeaderMap, status: u16, heads: &HeaderMap) -> ResponseOrigin {
        let other = !self.may_answer(sent, heads);
        if status == 421 && !(other && heads.contains_key(ID)) {
            return ResponseOrigin::Misdirected;
        }
        if other {
            return ResponseOrigin::Stray;
        }
        if heads.contains_key("x-not-executed") {
            return ResponseOrigin::NotExecuted;
        }
        // Without the runner's word these statuses would promise what isn't known.
        if matches!(status, 408 | 429 | 503) {
            return ResponseOrigin::Stray;
        }
        let bare = !heads.contains_key("x-server-seal") || heads.contains_key("content-encoding");
        if (200..300).contains(&status) && bare {
            return ResponseOrigin::Stray;
        }
        ResponseOrigin::Own
    }

    fn may_answer(&self, sent: &HeaderMap, heads: &HeaderMap) -> bool {
        let mut ids = heads.get_all(ID).iter();
        match (sent.get(ID), ids.next()) {
            (Some(id), Some(echo)) => id == echo && ids.next().is_none(),
            (None, Some(echo)) => echo.is_empty(),
            (Some(_), None) => false,
            (None, None) => true,
        }
    }

    fn load(&self, heads: &HeaderMap) -> Option<Load> {
        let row = heads.get("x-server-load")?.to_str().ok()?;
        let mut n = row.split(',').map(|t| t.trim().parse::<u64>().ok());
        Some(Load { running: n.next()??, waiting: n.next()??, slots: n.next()?? })
    }

    /// The platform says where a run goes on, not that it gives what another run would have given.
    fn run_contract(&self) -> RunContract {
        RunContract::SameIds
    }

    fn plain_services_report(&self) -> bool {
        false
    }

    fn report(&self, runner: &Runner) -> Call {
        call("GET", "/spindledock/report", runner, String::new())
    }

    fn read_report(&self, runner: &Runner, body: &[u8]) -> Option<RunnerReport> {
        let t = Tree::parse(std::str::from_utf8(body).ok()?).ok()?;
        Some(RunnerReport {
            instance: runner.instance.clone(),
            leaving: t.text("OperState") == Some("draining") || t.get("RemainingMs").is_some(),
            holds: holds(&t),
            running: t.num("Active")?,
            waiting: t.num("Queued")?,
            orders: t.num("Sequence").unwrap_or(0),
            tokens: t.num("KvInUse").unwrap_or(0),
            busy: t.flag("Utilization").unwrap_or(false),
            ..RunnerReport::default()
        })
    }

    fn order_request(&self, o: &RunnerOrder) -> Call {
        let opcode = if o.load { "install" } else { "uninstall" };
        let (model, adapter) = match o.name.0.split_once('/') {
            Some((m, a)) if o.adapter => (m, Some(a)),
            _ => (o.name.0.as_str(), None),
        };
        let mut rows = vec![("Opcode", opcode.into()), ("Model", model.into())];
        if let Some(a) = adapter {
            rows.push(("Adapter", a.into()));
        }
        rows.push(("Owner", self.node.as_str().into()));
        rows.push(("FenceToken", o.term.0.into()));
        rows.push(("ExpectedCount", o.expected.into()));
        call("POST", "/spindledock/order", &o.runner, map(&rows).to_string())
    }
}
