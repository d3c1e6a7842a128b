//! One connection to a peer, as a chain of states that only a clean exchange leads round:
//! [`Ready`] sends one request and becomes an [`Exchange`]; an exchange whose answer was judged to belong to its
//! request becomes an [`Answer`](super::exchange::Answer); an answer that was read to its framed end becomes
//! [`Resting`]; a resting connection on which nothing was left over becomes [`Ready`] again. Any other end gives the
//! connection up: nothing of the request reaches the peer later, and no late byte reaches another request.

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

/// How long a connection attempt may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// A connection whose peer acknowledges nothing for so long is dropped.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a connection rests whose peer names no time.
const DEFAULT_REST: Duration = Duration::from_secs(4);
/// How much earlier than the peer a resting connection is given up.
const REST_MARGIN_MS: u64 = 400;

/// Why a request has no answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SendError {
    /// No byte of the request left this process.
    NotSent,
    /// The check refused the request before its first byte.
    Barred,
    /// A byte may have left: the request may run.
    Unsure,
}

/// The parts that every state owns. Dropping them ends the connection.
pub(super) struct Link {
    sender: http1::SendRequest<Full<Bytes>>,
    guard: Arc<Guard>,
    task: AbortHandle,
    used: bool,
    clean: bool,
}

impl Link {
    /// The connection at rest after an answer with these headers, if the peer keeps it.
    pub(super) fn rest(self, headers: &HeaderMap) -> Option<Resting> {
        let rest = rest_time(headers);
        if rest == Duration::ZERO || self.sender.is_closed() {
            return None;
        }
        Some(Resting { link: self, until: Instant::now() + rest })
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        if !self.clean {
            self.guard.give_up();
        }
        self.task.abort();
    }
}

/// A connection on which nothing is under way.
pub struct Ready {
    link: Link,
}

impl Ready {
    /// Connects to `addr`.
    pub async fn connect(addr: SocketAddr) -> Option<Ready> {
        Ready::over(tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await.ok()?.ok()?).await
    }

    /// A connection over a socket that is connected already.
    pub async fn over(tcp: TcpStream) -> Option<Ready> {
        let _ = tcp.set_nodelay(true);
        crate::daemon::links::watch(&tcp, SILENCE_TIMEOUT);
        let guard = Arc::new(Guard::default());
        let io = TokioIo::new(GuardedStream::new(tcp, guard.clone()));
        let (mut sender, connection) = http1::handshake(io).await.ok()?;
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        let task = task.abort_handle();
        sender.ready().await.ok()?;
        Some(Ready { link: Link { sender, guard, task, used: false, clean: true } })
    }

    /// Whether an earlier request went over this connection.
    pub fn is_used(&self) -> bool {
        self.link.used
    }

    /// Sends the request, unless `check` refuses as its first byte is about to be written.
    pub async fn send(mut self, request: Request<Full<Bytes>>, check: Check) -> Result<Exchange, SendError> {
        self.link.clean = false;
        self.link.used = true;
        self.link.guard.arm(check);
        match self.link.sender.send_request(request).await {
            Ok(response) => Ok(Exchange::new(self.link, response)),
            Err(_) if self.link.guard.barred() => Err(SendError::Barred),
            Err(_) if self.link.guard.wrote() => Err(SendError::Unsure),
            Err(_) => Err(SendError::NotSent),
        }
    }
}

/// A connection whose last answer was read to its end; what else came or is still to be sent is not yet known.
pub struct Resting {
    link: Link,
    until: Instant,
}

impl Resting {
    /// Whether the peer may close the connection at any moment now.
    pub fn is_expired(&self, now: Instant) -> bool {
        now >= self.until || self.link.sender.is_closed()
    }

    /// The connection, if the whole of the last request was written, the peer keeps it open, and not a byte came
    /// after the last answer.
    pub fn wake(mut self, now: Instant) -> Option<Ready> {
        let link = &self.link;
        let written = link.sender.is_ready() && link.guard.is_flushed();
        if !written || self.is_expired(now) || !self.link.guard.is_quiet() {
            return None;
        }
        self.link.clean = true;
        Some(Ready { link: self.link })
    }

    /// Ends a connection that is not needed any more.
    pub fn close(mut self) {
        self.link.clean = self.link.sender.is_ready() && self.link.guard.is_flushed();
    }
}

/// How long a connection may rest, by the words of the answer; zero if the peer closes it.
fn rest_time(headers: &HeaderMap) -> Duration {
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
        None => DEFAULT_REST,
        Some(Ok(seconds)) => {
            Duration::from_millis(seconds.saturating_mul(1000).saturating_sub(REST_MARGIN_MS))
        }
        Some(Err(_)) => Duration::ZERO,
    }
}
