//! Ties the body of an answer to its client connection, which is told when the body breaks off or is fully taken.

use super::answer::{AnswerBody, BodyError};
use super::client::ClientConnection;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// The body of an answer. hyper drops it once it has taken the whole of it; the connection then only has to be flushed.
pub struct ServedBody {
    body: AnswerBody,
    connection: Arc<ClientConnection>,
}

impl ServedBody {
    /// Sends `body` as the answer on `connection`.
    pub fn new(body: AnswerBody, connection: Arc<ClientConnection>) -> ServedBody {
        ServedBody { body, connection }
    }
}

impl Drop for ServedBody {
    fn drop(&mut self) {
        self.connection.body_taken();
    }
}

impl Body for ServedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(Some(Err(_))) = &frame {
            self.connection.mark_broken_off();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
