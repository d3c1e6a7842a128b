//! One connection to a peer, as a cycle of states that only a clean exchange completes:
//! [`ReadyConnection`] sends one request and becomes an [`Exchange`]; an exchange whose answer belongs to its request
//! becomes a [`RunnerAnswer`](super::exchange::RunnerAnswer); an answer that was read to its framed end becomes an
//! [`IdleConnection`]; an idle connection without leftover bytes becomes a [`ReadyConnection`] again. Any other end
//! drops the connection: nothing of the request reaches the peer later, and no late byte reaches another request.

use super::exchange::Exchange;
use super::guard::{Check, Guard, GuardedStream};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http1;
use hyper::header::HeaderMap;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// A connection is dropped if written bytes stay unacknowledged for this long.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// The read buffer of a connection in bytes, which bounds the head of an answer and each piece of its body.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// How long a connection may stay idle if the peer names no time.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// How much earlier than the peer an idle connection is given up, so that no request meets the peer's close.
const KEEP_ALIVE_MARGIN_MS: u64 = 400;

/// Why a request got no answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SendError {
    /// No byte of the request left this process.
    NotSent,
    /// The check refused the request before its first byte.
    RefusedByCheck,
    /// A byte may have left this process: the request may have been executed.
    MaybeSent,
}

/// What every state of a connection owns. Dropping it ends the connection.
pub(super) struct Transport {
    sender: http1::SendRequest<Full<Bytes>>,
    guard: Arc<Guard>,
    task: AbortHandle,
    is_used: bool,
    is_clean: bool,
}

impl Transport {
    /// The idle connection after an answer with these headers; `None` if the peer closes it.
    pub(super) fn into_idle(self, headers: &HeaderMap) -> Option<IdleConnection> {
        let keep_alive = keep_alive_time(headers);
        if keep_alive == Duration::ZERO || self.sender.is_closed() {
            return None;
        }
        Some(IdleConnection { transport: self, expires_at: Instant::now() + keep_alive })
    }
}

impl Drop for Transport {
    fn drop(&mut self) {
        if !self.is_clean {
            self.guard.reset_if_unacknowledged();
        }
        self.task.abort();
    }
}

/// A connection that can send a request.
pub struct ReadyConnection {
    transport: Transport,
}

impl ReadyConnection {
    /// Connects to `addr`; `None` if that fails or takes too long.
    pub async fn connect(addr: SocketAddr) -> Option<ReadyConnection> {
        ReadyConnection::over(
            tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await.ok()?.ok()?,
        )
        .await
    }

    /// A connection over a connected socket; `None` if the HTTP handshake fails.
    pub async fn over(tcp: TcpStream) -> Option<ReadyConnection> {
        let _ = tcp.set_nodelay(true);
        crate::daemon::links::limit_unacknowledged_time(&tcp, UNACKNOWLEDGED_TIMEOUT);
        let guard = Arc::new(Guard::default());
        let io = TokioIo::new(GuardedStream::new(tcp, guard.clone()));
        let mut http = http1::Builder::new();
        http.max_buf_size(READ_BUFFER_BYTES);
        let (mut sender, connection) = http.handshake(io).await.ok()?;
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        let task = task.abort_handle();
        sender.ready().await.ok()?;
        Some(ReadyConnection { transport: Transport { sender, guard, task, is_used: false, is_clean: true } })
    }

    /// Whether an earlier request was sent on this connection.
    pub fn is_used(&self) -> bool {
        self.transport.is_used
    }

    /// Sends the request, unless `check` refuses it right before the first byte is written; returns once the head of an
    /// answer has arrived.
    pub async fn send(mut self, request: Request<Full<Bytes>>, check: Check) -> Result<Exchange, SendError> {
        self.transport.is_clean = false;
        self.transport.is_used = true;
        self.transport.guard.arm(check);
        match self.transport.sender.send_request(request).await {
            Ok(response) => Ok(Exchange::new(self.transport, response)),
            Err(_) if self.transport.guard.refused() => Err(SendError::RefusedByCheck),
            Err(_) if self.transport.guard.has_written() => Err(SendError::MaybeSent),
            Err(_) => Err(SendError::NotSent),
        }
    }
}

/// A connection whose last answer was read to its end. Whether the last request was fully written and whether further
/// bytes arrived is only checked by [`IdleConnection::into_ready`].
pub struct IdleConnection {
    transport: Transport,
    expires_at: Instant,
}

impl IdleConnection {
    /// Whether the peer has closed the connection or may do so at any moment.
    pub fn is_expired(&self, now: Instant) -> bool {
        now >= self.expires_at || self.transport.sender.is_closed()
    }

    /// The connection for a new request, if the last request was fully written, the peer keeps the connection open, and
    /// no byte arrived after the last answer.
    pub fn into_ready(mut self, now: Instant) -> Option<ReadyConnection> {
        let transport = &self.transport;
        let written = transport.sender.is_ready() && transport.guard.is_flushed();
        if !written || self.is_expired(now) || !self.transport.guard.has_no_pending_input() {
            return None;
        }
        self.transport.is_clean = true;
        Some(ReadyConnection { transport: self.transport })
    }

    /// Closes a connection that is not needed any more.
    pub fn close(mut self) {
        self.transport.is_clean = self.transport.sender.is_ready() && self.transport.guard.is_flushed();
    }
}

/// How long a connection may stay idle by the headers of its last answer; zero if the peer closes it.
fn keep_alive_time(headers: &HeaderMap) -> Duration {
    let closes = headers
        .get_all("connection")
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .any(|word| word.trim().eq_ignore_ascii_case("close"));
    if closes {
        return Duration::ZERO;
    }
    let named = headers
        .get("keep-alive")
        .and_then(|v| v.to_str().ok())
        .and_then(|text| text.split(',').find_map(|word| word.trim().strip_prefix("timeout=")));
    match named.map(|seconds| seconds.parse::<u64>()) {
        None => DEFAULT_KEEP_ALIVE,
        Some(Ok(seconds)) => {
            Duration::from_millis(seconds.saturating_mul(1000).saturating_sub(KEEP_ALIVE_MARGIN_MS))
        }
        Some(Err(_)) => Duration::ZERO,
    }
}
