//! Receives the body of a request: joins its pieces as they arrive, within the limit of its size, a time limit, and the
//! memory of the process.

use super::memory_account::{MemoryAccount, NoRoom, Reservation};
use super::request_body::RequestBody;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use std::sync::Arc;
use std::time::Duration;

/// A body of which nothing arrives for this long is given up.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The smallest buffer for a body of unknown length.
const MIN_BUFFER_BYTES: usize = 4 << 10;
/// Up to this length a buffer is made as large as announced.
const MAX_ANNOUNCED_BUFFER_BYTES: u64 = 64 << 10;

/// The limits on one body.
#[derive(Clone, Copy, Debug)]
pub struct ReceiveLimits {
    /// The largest body, in bytes.
    pub max_bytes: usize,
    /// How long the whole body may take.
    pub time: Duration,
    /// How many times the body is held in memory while it is worked on.
    pub copies: usize,
}

/// Why a body was not received.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReceiveError {
    /// It is over the limit of its size.
    TooLarge,
    /// It did not arrive in time.
    TooSlow,
    /// The memory of the process has no room for it.
    NoRoom,
    /// The connection ended before it was whole, or it is malformed.
    Broken,
}

impl From<NoRoom> for ReceiveError {
    fn from(_: NoRoom) -> ReceiveError {
        ReceiveError::NoRoom
    }
}

/// A whole body and the memory reserved for it.
pub struct ReceivedBody {
    /// The bytes of the body.
    pub bytes: Bytes,
    /// Their part of the account; an empty body has none.
    pub reservation: Option<Reservation>,
}

/// Receives a body as a whole.
pub async fn receive(
    body: RequestBody,
    limits: ReceiveLimits,
    account: &Arc<MemoryAccount>,
) -> Result<ReceivedBody, ReceiveError> {
    if body.is_end_stream() {
        return Ok(ReceivedBody { bytes: Bytes::new(), reservation: None });
    }
    if body.size_hint().lower() > limits.max_bytes as u64 {
        return Err(ReceiveError::TooLarge);
    }
    let reservation = account.open();
    let buffer = BodyBuffer { bytes: Vec::new(), limits, reservation: &reservation };
    let bytes = tokio::select! {
        received = tokio::time::timeout(limits.time, buffer.fill(body)) => {
            received.map_err(|_| ReceiveError::TooSlow)??
        }
        _ = reservation.evicted() => return Err(ReceiveError::NoRoom),
    };
    reservation.complete()?;
    Ok(ReceivedBody { bytes: bytes.into(), reservation: Some(reservation) })
}

/// The part of a body that has arrived.
struct BodyBuffer<'a> {
    bytes: Vec<u8>,
    limits: ReceiveLimits,
    reservation: &'a Reservation,
}

impl BodyBuffer<'_> {
    /// Reads a body to its end.
    async fn fill(mut self, mut body: RequestBody) -> Result<Vec<u8>, ReceiveError> {
        loop {
            let frame = tokio::time::timeout(IDLE_TIMEOUT, body.frame()).await;
            let Some(frame) = frame.map_err(|_| ReceiveError::TooSlow)? else { return Ok(self.bytes) };
            let Ok(piece) = frame.map_err(|_| ReceiveError::Broken)?.into_data() else { continue };
            let remaining = body.size_hint().exact();
            self.append(piece, remaining).await?;
        }
    }

    /// Adds a piece; `remaining` is how many bytes follow it, if that was announced.
    async fn append(&mut self, piece: Bytes, remaining: Option<u64>) -> Result<(), ReceiveError> {
        let length = self.bytes.len() + piece.len();
        if length > self.limits.max_bytes {
            return Err(ReceiveError::TooLarge);
        }
        if length > self.bytes.capacity() {
            let capacity = self.next_capacity(length, remaining);
            self.reservation.charge(capacity * self.limits.copies).await?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(&piece);
        self.reservation.progress(piece.len());
        Ok(())
    }

    /// The next capacity of the buffer, which has to hold `length` bytes now.
    fn next_capacity(&self, length: usize, remaining: Option<u64>) -> usize {
        let whole = remaining.map(|remaining| length as u64 + remaining);
        if let Some(whole) = whole.filter(|whole| *whole <= MAX_ANNOUNCED_BUFFER_BYTES) {
            return whole as usize;
        }
        let most = whole.map_or(self.limits.max_bytes, |whole| self.limits.max_bytes.min(whole as usize));
        let grown = self.bytes.capacity() + self.bytes.capacity() / 4;
        grown.max(MIN_BUFFER_BYTES).clamp(length, most.max(length))
    }
}
