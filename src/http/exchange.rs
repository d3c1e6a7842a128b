//! A request in flight on a connection, and its answer once that was found to belong to the request.

use super::connection::{IdleConnection, Transport};
use crate::forwarding::AnswerEnd;
use crate::protocol::ResponseOrigin;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};

/// The body of an answer ended before its framed end, or is longer than the caller accepts.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct BodyBroken;

/// A request that was sent and an answer head that is not yet known to belong to it.
pub struct Exchange {
    transport: Transport,
    response: Response<Incoming>,
}

/// An answer, classified by its head.
pub enum Classified {
    /// The runner's own answer to this request.
    Own(RunnerAnswer),
    /// The runner states that it did not execute the request.
    NotExecuted(RunnerAnswer),
    /// A different instance is at this address; it did not execute the request.
    Misdirected(RunnerAnswer),
    /// Not an answer to this request; the connection is given up.
    Stray,
}

impl Exchange {
    pub(super) fn new(transport: Transport, response: Response<Incoming>) -> Exchange {
        Exchange { transport, response }
    }

    /// The status of the answer.
    pub fn status(&self) -> u16 {
        self.response.status().as_u16()
    }

    /// The headers of the answer.
    pub fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }

    /// Keeps the answer only if `judge` finds that it belongs to the request. An answer with a 1xx status never does.
    pub fn judge(self, judge: impl FnOnce(u16, &HeaderMap) -> ResponseOrigin) -> Classified {
        if self.response.status().is_informational() {
            return Classified::Stray;
        }
        let verdict = judge(self.status(), self.headers());
        let end = end_marking(&self.response);
        let answer =
            RunnerAnswer { transport: self.transport, response: self.response, end, is_read_to_end: false };
        match verdict {
            ResponseOrigin::Own => Classified::Own(answer),
            ResponseOrigin::NotExecuted => Classified::NotExecuted(answer),
            ResponseOrigin::Misdirected => Classified::Misdirected(answer),
            ResponseOrigin::Stray => Classified::Stray,
        }
    }
}

/// How the end of an unread answer is marked. hyper itself reports the end of one that can have no body.
fn end_marking(response: &Response<Incoming>) -> AnswerEnd {
    let headers = response.headers();
    let framed = headers.contains_key(TRANSFER_ENCODING) || headers.contains_key(CONTENT_LENGTH);
    match framed || response.body().is_end_stream() {
        true => AnswerEnd::Framed,
        false => AnswerEnd::Closed,
    }
}

/// An answer that belongs to the request of its connection.
pub struct RunnerAnswer {
    transport: Transport,
    response: Response<Incoming>,
    end: AnswerEnd,
    is_read_to_end: bool,
}

impl RunnerAnswer {
    /// The status of the answer.
    pub fn status(&self) -> u16 {
        self.response.status().as_u16()
    }

    /// The headers of the answer.
    pub fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }

    /// How the end of the body is marked: by its framing or by the close of the connection.
    pub fn end(&self) -> AnswerEnd {
        self.end
    }

    /// The next bytes of the body; `None` after its end.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BodyBroken> {
        loop {
            match self.response.body_mut().frame().await {
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
                Some(Err(_)) => return Err(BodyBroken),
                None => {
                    self.is_read_to_end = true;
                    return Ok(None);
                }
            }
        }
    }

    /// The whole body. Fails if it breaks off or has more than `limit` bytes.
    pub async fn collect(&mut self, limit: usize) -> Result<Bytes, BodyBroken> {
        if self.response.body().size_hint().lower() > limit as u64 {
            return Err(BodyBroken);
        }
        let mut all = BytesMut::new();
        while let Some(part) = self.next().await? {
            if all.len() + part.len() > limit {
                return Err(BodyBroken);
            }
            if all.is_empty() && self.response.body().is_end_stream() {
                all = part.into();
                continue;
            }
            all.extend_from_slice(&part);
        }
        Ok(all.freeze())
    }

    /// The connection for reuse, if the answer was read to its end and the peer keeps the connection open.
    pub fn into_idle_connection(self) -> Option<IdleConnection> {
        if !self.is_read_to_end {
            return None;
        }
        self.transport.into_idle(self.response.headers())
    }
}
