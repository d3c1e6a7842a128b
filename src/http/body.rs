//! The body of an answer on its way from the forwarding of its request to the client's connection.
//!
//! A body is complete only by the forwarding's own word, [`BodyWriter::finish`]. A writer that is dropped without it,
//! by a panic, at the end of a time or by an early return, breaks the answer off, so that the client can tell.
#![deny(missing_docs)]

use super::answer::BodyError;
use bytes::Bytes;
use hyper::body::{Body, Frame};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// The most pieces that wait for the client's connection.
const PIECES_MAX: usize = 32;

enum Piece {
    Data(Bytes),
    End,
}

/// The forwarding's end of a body.
pub struct BodyWriter {
    pieces: mpsc::Sender<Piece>,
    /// Room for the last piece, kept from the start: a full channel can't keep the end from being said.
    end: mpsc::OwnedPermit<Piece>,
}

/// The connection's end of a body.
pub struct StreamedBody {
    pieces: mpsc::Receiver<Piece>,
    ended: bool,
}

/// The client's connection takes no more.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ReaderGone;

/// Both ends of a body.
pub fn streamed() -> (BodyWriter, StreamedBody) {
    let (pieces, received) = mpsc::channel(PIECES_MAX + 1);
    let end = pieces.clone().try_reserve_owned().unwrap_or_else(|_| unreachable!("a new channel has room"));
    (BodyWriter { pieces, end }, StreamedBody { pieces: received, ended: false })
}

impl BodyWriter {
    /// Passes bytes on, as soon as there is room for them.
    pub async fn send(&self, bytes: Bytes) -> Result<(), ReaderGone> {
        self.pieces.send(Piece::Data(bytes)).await.map_err(|_| ReaderGone)
    }

    /// Says that the body is complete.
    pub fn finish(self) {
        self.end.send(Piece::End);
    }

    /// Returns when the client's connection takes no more.
    pub async fn closed(&self) {
        self.pieces.closed().await;
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let Poll::Ready(piece) = self.pieces.poll_recv(cx) else { return Poll::Pending };
        Poll::Ready(match piece {
            Some(Piece::Data(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(Piece::End) => {
                self.ended = true;
                None
            }
            None => {
                self.ended = true;
                Some(Err("the answer was broken off before its end".into()))
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }
}
