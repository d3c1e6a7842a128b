//! The native protocol of clients and runners, which is in force unless the settings name another one (see
//! [`crate::protocol`]).

use crate::fleet::config::Route;
use crate::fleet::runner::{Runner, RunnerReport};
use crate::fleet::tenants::KeyDigest;
use crate::gate::order::RequestSpec;
use crate::json::Tree;
use crate::json::tree::map;
use crate::kernel::time::Span;
use crate::msg::RunnerOrder;
use crate::protocol::{
    Call, CallerProtocol, Load, RequestParams, ResponseOrigin, RunnerProtocol, tenant_value,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};

/// The request header that carries a tenant's API key.
const KEY_HEADER: &str = "x-spindledock-key";
/// The header that names the tenant to a runner.
const TENANT_HEADER: &str = "x-spindledock-tenant";

/// The native protocol of clients: model, adapter and prefix are fields of a JSON body.
pub struct NativeCaller;
/// The native protocol of runners.
pub struct NativeRunner;

impl CallerProtocol for NativeCaller {
    fn take_api_key(&self, headers: &mut HeaderMap) -> Option<KeyDigest> {
        let key = headers.remove(KEY_HEADER)?;
        Some(KeyDigest::of(key.as_bytes()))
    }

    fn read_params(
        &self,
        headers: &HeaderMap,
        body: &[u8],
        assistant: bool,
    ) -> Result<RequestParams, &'static str> {
        let last = headers.get("last-event-id").and_then(|v| v.to_str().ok()).map(|s| s.to_string());
        let mut out = RequestParams { last, ..RequestParams::default() };
        if !assistant {
            return Ok(out);
        }
        let Ok(tree) = Tree::parse(std::str::from_utf8(body).unwrap_or("")) else {
            return Err("the body is not well-formed JSON; send an object with a model");
        };
        for (key, to) in
            [("model", &mut out.model), ("adapter", &mut out.adapter), ("prefix", &mut out.prefix)]
        {
            *to = match tree.get(key) {
                Some(Tree::Text(t)) => t.as_str().into(),
                None | Some(Tree::Null) => "".into(),
                Some(_) => return Err("model, adapter and prefix must be texts"),
            };
        }
        if out.model.is_empty() {
            return Err("model is missing; name one the service offers");
        }
        Ok(out)
    }

    fn retry_after(&self, wait: Span) -> String {
        wait.0.div_ceil(1_000_000).max(1).to_string()
    }

    fn max_wait(&self, left: Span, _route: &Route) -> Span {
        left
    }
}

/// A call to runner `r` with a JSON body.
pub fn runner_call(method: &str, path: &str, runner: &Runner, body: String) -> Call {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", runner.addr.to_string())
        .header("x-target-instance", runner.instance.0.as_str())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .expect("a valid order")
}

impl RunnerProtocol for NativeRunner {
    fn add_request_headers(
        &self,
        headers: &mut HeaderMap,
        runner: &Runner,
        order: &RequestSpec,
        last: Option<&str>,
        _left: Span,
    ) {
        if let Ok(target) = HeaderValue::from_str(&runner.instance.0) {
            headers.insert(HeaderName::from_static("x-target-instance"), target);
        }
        headers.remove(TENANT_HEADER);
        if let Some(name) = tenant_value(order) {
            headers.insert(HeaderName::from_static(TENANT_HEADER), name);
        }
        if let Some(id) = last.and_then(|id| HeaderValue::from_str(id).ok()) {
            headers.insert(HeaderName::from_static("last-event-id"), id);
        }
    }

    fn classify_response(&self, _sent: &HeaderMap, status: u16, _heads: &HeaderMap) -> ResponseOrigin {
        if status == 421 { ResponseOrigin::Misdirected } else { ResponseOrigin::Own }
    }

    fn load(&self, _heads: &HeaderMap) -> Option<Load> {
        None
    }

    fn plain_services_report(&self) -> bool {
        true
    }

    fn report(&self, runner: &Runner) -> Call {
        runner_call("GET", "/spindle/report", runner, String::new())
    }

    fn read_report(&self, runner: &Runner, body: &[u8]) -> Option<RunnerReport> {
        let tree = Tree::parse(std::str::from_utf8(body).ok()?).ok()?;
        RunnerReport::read(&tree).filter(|rep| rep.instance == runner.instance)
    }

    fn order_request(&self, order: &RunnerOrder) -> Call {
        let kind = if order.adapter { "adapter" } else { "model" };
        let body = map(&[
            ("order", order.order.to_string().into()),
            ("term", order.term.0.into()),
            ("name", order.name.0.as_str().into()),
            ("kind", kind.into()),
            ("expected", order.expected.into()),
        ]);
        let path = if order.load { "/spindle/load" } else { "/spindle/unload" };
        runner_call("POST", path, &order.runner, body.to_string())
    }
}
