//! A request under way on a connection, and its answer once that was judged to belong to it.

use super::connection::{Link, Resting};
use crate::forwarding::AnswerEnd;
use crate::protocol::ResponseOrigin;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};

/// The body of an answer ended before its framing said so, or is too long.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct BodyBroken;

/// A request that was sent and whose answer has a head, not yet known to belong to it.
pub struct Exchange {
    link: Link,
    response: Response<Incoming>,
}

/// An answer as its head was judged.
pub enum Judged {
    /// The runner's own answer to this request.
    Own(Answer),
    /// The runner's word that it did not run the request.
    NotRun(Answer),
    /// The word that another runner, or none of this kind, is there; it did not run the request.
    NotMine(Answer),
    /// No answer to this request; the connection is gone.
    Stray,
}

impl Exchange {
    pub(super) fn new(link: Link, response: Response<Incoming>) -> Exchange {
        Exchange { link, response }
    }

    /// The status of the answer.
    pub fn status(&self) -> u16 {
        self.response.status().as_u16()
    }

    /// The headers of the answer.
    pub fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }

    /// Keeps the answer only if `judge` finds that it belongs to the request. An interim status never does.
    pub fn judge(self, judge: impl FnOnce(u16, &HeaderMap) -> ResponseOrigin) -> Judged {
        if self.response.status().is_informational() {
            return Judged::Stray;
        }
        let verdict = judge(self.status(), self.headers());
        let end = end_of(&self.response);
        let answer = Answer { link: self.link, response: self.response, end, whole: false };
        match verdict {
            ResponseOrigin::Own => Judged::Own(answer),
            ResponseOrigin::NotExecuted => Judged::NotRun(answer),
            ResponseOrigin::Misdirected => Judged::NotMine(answer),
            ResponseOrigin::Stray => Judged::Stray,
        }
    }
}

/// How the end of an answer is said that has not been read yet. One that can have no body is known to the library.
fn end_of(response: &Response<Incoming>) -> AnswerEnd {
    let headers = response.headers();
    let framed = headers.contains_key(TRANSFER_ENCODING) || headers.contains_key(CONTENT_LENGTH);
    match framed || response.body().is_end_stream() {
        true => AnswerEnd::Framed,
        false => AnswerEnd::Closed,
    }
}

/// An answer that belongs to the request of its connection.
pub struct Answer {
    link: Link,
    response: Response<Incoming>,
    end: AnswerEnd,
    whole: bool,
}

impl Answer {
    /// The status of the answer.
    pub fn status(&self) -> u16 {
        self.response.status().as_u16()
    }

    /// The headers of the answer.
    pub fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }

    /// How the end of the body is said.
    pub fn end(&self) -> AnswerEnd {
        self.end
    }

    /// The next bytes of the body; none after its framed end.
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
                    self.whole = true;
                    return Ok(None);
                }
            }
        }
    }

    /// The whole body, if it has no more than `limit` bytes.
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

    /// The connection at rest, if the answer was read to its end and the peer keeps the connection.
    pub fn finish(self) -> Option<Resting> {
        if !self.whole {
            return None;
        }
        self.link.rest(self.response.headers())
    }
}
