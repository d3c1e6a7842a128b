//! The body of a request as its client sends it; tells the connection if the rest of it is left unread.

use super::client::ClientConnection;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// The body of a request.
pub struct RequestBody {
    incoming: Incoming,
    is_read_to_end: bool,
    connection: Arc<ClientConnection>,
}

impl RequestBody {
    /// The body that arrives on `connection`.
    pub fn new(incoming: Incoming, connection: Arc<ClientConnection>) -> RequestBody {
        let is_read_to_end = incoming.is_end_stream();
        if !is_read_to_end {
            connection.body_received();
        }
        RequestBody { is_read_to_end, incoming, connection }
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        if !self.is_read_to_end {
            self.connection.body_ended();
            self.connection.leave_unread(self.incoming.size_hint().lower());
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = Pin::new(&mut self.incoming).poll_frame(cx);
        self.is_read_to_end |= matches!(frame, Poll::Ready(None)) || self.incoming.is_end_stream();
        match &frame {
            Poll::Ready(_) if self.is_read_to_end => self.connection.body_ended(),
            Poll::Ready(_) => self.connection.body_received(),
            Poll::Pending => {}
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
