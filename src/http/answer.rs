//! Answers that a node produces itself: refusals and errors for clients, and answers to operators.

use super::receive::ReceiveError;
use crate::gate::Refusal;
use crate::json::tree::map;
use crate::msg::Answer;
use crate::protocol::CallerProtocol;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::Response;

/// The header that says whether the request was executed: `answered`, `refused` or `unknown`.
pub const OUTCOME_HEADER: &str = "x-spindledock-outcome";

/// Why a body broke off.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// The body of an answer to a client or an operator.
pub type AnswerBody = UnsyncBoxBody<Bytes, BodyError>;

/// A body that is complete from the start.
pub fn full_body(raw: impl Into<Bytes>) -> AnswerBody {
    Full::new(raw.into()).map_err(|e| match e {}).boxed_unsync()
}

/// A JSON answer with `code`, `text` and `outcome`. A `Retry-After` of at least one second is added for the statuses 429
/// and 503, and where `retry_s` is above 0.
pub fn coded_answer(
    status: u16,
    code: &str,
    text: &str,
    retry_s: u64,
    outcome: &str,
) -> Response<AnswerBody> {
    let body = map(&[("code", code.into()), ("text", text.into()), ("outcome", outcome.into())]);
    let mut b = Response::builder().status(status).header("content-type", "application/json");
    b = b.header(OUTCOME_HEADER, outcome);
    if retry_s > 0 || status == 429 || status == 503 {
        b = b.header("retry-after", retry_s.max(1).to_string());
    }
    b.body(full_body(body.to_string())).expect("a valid answer")
}

/// The answer to a request that took longer to arrive than the limits allow; no runner has seen it.
pub fn timeout_answer() -> Response<AnswerBody> {
    coded_answer(408, "too-slow", "the request did not arrive within its time; send it again", 0, "refused")
}

/// The answer to a request whose body was not received; no runner has seen it. `too_large` is the text for a body over
/// its limit.
pub fn unreceived_answer(why: ReceiveError, too_large: &str) -> Response<AnswerBody> {
    match why {
        ReceiveError::TooLarge => coded_answer(413, "body-too-large", too_large, 0, "refused"),
        ReceiveError::TooSlow => timeout_answer(),
        ReceiveError::NoRoom => {
            let text = "the bodies of other requests fill this node's memory; ask again after Retry-After";
            coded_answer(503, "memory-full", text, 1, "refused")
        }
        ReceiveError::Broken => {
            let text = "the body did not arrive whole; send it again";
            coded_answer(400, "body-unread", text, 0, "refused")
        }
    }
}

/// The answer to a request that the balancer refused, with `Retry-After` in the form of the client's protocol.
pub fn refusal_answer(side: &dyn CallerProtocol, r: &Refusal) -> Response<AnswerBody> {
    let mut out =
        coded_answer(r.status(), r.code(), r.text(), r.retry_after.0.div_ceil(1_000_000), "refused");
    if out.headers().contains_key("retry-after")
        && let Ok(v) = side.retry_after(r.retry_after).parse()
    {
        out.headers_mut().insert("retry-after", v);
    }
    out
}

/// The node's answer to an operator as an HTTP answer with this body.
pub fn operator_answer(answer: &Answer, body: Bytes) -> Response<AnswerBody> {
    let mut builder = Response::builder().status(answer.status).header("content-type", "application/json");
    if answer.retry_s > 0 {
        builder = builder.header("retry-after", answer.retry_s.to_string());
    }
    builder.body(full_body(body)).expect("a valid answer")
}
