use crate::gate::Refusal;
use crate::json::tree::map;
use crate::msg::Answer;
use crate::protocol::CallerProtocol;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::Response;

pub const OUTCOME: &str = "x-spindledock-outcome";

pub type Broken = Box<dyn std::error::Error + Send + Sync>;
pub type OutBody = UnsyncBoxBody<Bytes, Broken>;

pub fn whole(raw: impl Into<Bytes>) -> OutBody {
    Full::new(raw.into()).map_err(|e| match e {}).boxed_unsync()
}

pub fn own(status: u16, code: &str, text: &str, retry_s: u64, outcome: &str) -> Response<OutBody> {
    let body = map(&[("code", code.into()), ("text", text.into()), ("outcome", outcome.into())]);
    let mut b = Response::builder().status(status).header("content-type", "application/json");
    b = b.header(OUTCOME, outcome);
    if retry_s > 0 || status == 429 || status == 503 {
        b = b.header("retry-after", retry_s.max(1).to_string());
    }
    b.body(whole(body.to_string())).expect("a valid answer")
}

/// The answer to a request that took longer than the limits allow; it has reached no runner.
pub fn too_slow() -> Response<OutBody> {
    own(408, "too-slow", "the request did not arrive within its time; send it again", 0, "refused")
}

pub fn refused(side: &dyn CallerProtocol, r: &Refusal) -> Response<OutBody> {
    let mut out = own(r.status(), r.code(), r.text(), r.retry_after.0.div_ceil(1_000_000), "refused");
    if out.headers().contains_key("retry-after")
        && let Ok(v) = side.retry_after(r.retry_after).parse()
    {
        out.headers_mut().insert("retry-after", v);
    }
    out
}

pub fn operator(a: &Answer) -> Response<OutBody> {
    let mut b = Response::builder().status(a.status).header("content-type", "application/json");
    if a.retry_s > 0 {
        b = b.header("retry-after", a.retry_s.to_string());
    }
    b.body(whole(a.body.clone())).expect("a valid answer")
}
