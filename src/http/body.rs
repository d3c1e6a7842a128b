//! The channel that carries the body of an answer from the forwarding of a request to the client's connection.
//!
//! A body is complete only after an explicit [`BodyWriter::finish`]. Dropping the writer without it, on a panic, a
//! timeout or an early return, breaks the answer off in a way that the client can detect.
#![deny(missing_docs)]

use super::answer::BodyError;
use bytes::Bytes;
use hyper::body::{Body, Frame};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::sync::{Semaphore, mpsc};

/// The most pieces that may be queued for the client's connection.
const MAX_PIECES: usize = 32;

/// The most bytes that may be queued; a larger piece is queued alone.
const MAX_QUEUED_BYTES: usize = 32 << 10;

enum Piece {
    Data(Bytes),
    End,
}

/// The writing end of a body, held by the forwarding.
pub struct BodyWriter {
    pieces: mpsc::Sender<Piece>,
    /// A slot reserved from the start, so that the end can be marked even when the channel is full.
    end: mpsc::OwnedPermit<Piece>,
    /// One permit for each byte that may be queued.
    room: Arc<Semaphore>,
}

/// The reading end of a body, held by the client's connection.
pub struct StreamedBody {
    pieces: mpsc::Receiver<Piece>,
    room: Arc<Semaphore>,
    ended: bool,
}

/// The reading end is gone: the client's connection accepts no more bytes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ReaderGone;

/// Creates a body and returns its two ends.
pub fn streamed() -> (BodyWriter, StreamedBody) {
    let (pieces, received) = mpsc::channel(MAX_PIECES + 1);
    let end = pieces.clone().try_reserve_owned().unwrap_or_else(|_| unreachable!("a new channel has room"));
    let room = Arc::new(Semaphore::new(MAX_QUEUED_BYTES));
    let reader = StreamedBody { pieces: received, room: room.clone(), ended: false };
    (BodyWriter { pieces, end, room }, reader)
}

/// How many permits a piece takes.
fn permits(bytes: &Bytes) -> usize {
    bytes.len().min(MAX_QUEUED_BYTES)
}

impl BodyWriter {
    /// Queues bytes, waiting until there is room. Fails once the reading end is gone.
    pub async fn send(&self, bytes: Bytes) -> Result<(), ReaderGone> {
        let room = self.room.acquire_many(permits(&bytes) as u32).await.map_err(|_| ReaderGone)?;
        room.forget();
        self.pieces.send(Piece::Data(bytes)).await.map_err(|_| ReaderGone)
    }

    /// Marks the body as complete.
    pub fn finish(self) {
        self.end.send(Piece::End);
    }

    /// Returns once the reading end is gone.
    pub async fn closed(&self) {
        self.pieces.closed().await;
    }
}

impl Drop for StreamedBody {
    fn drop(&mut self) {
        self.room.close();
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
            Some(Piece::Data(bytes)) => {
                self.room.add_permits(permits(&bytes));
                Some(Ok(Frame::data(bytes)))
            }
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
