//! The state of client connections and the limits on them: how long a request head may take after its first byte, and
//! how long a connection may stay idle between requests. A connection over a limit reads as end of file, so that a
//! request already in progress on it is never cut.

use super::guard::unacknowledged_bytes;
use crate::fleet::config::Limits;
use crate::kernel::time::{Clock, Span, Time};
use std::os::fd::RawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::task::{Context, Waker};

/// The smallest read buffer that hyper accepts.
const MIN_HEAD_BUFFER: usize = 8192;
/// Buffer space beyond the longest head, so that the exact limit is checked on the parsed head.
const HEAD_BUFFER_SLACK: usize = 4096;

/// The longest rest of a refused body after which a connection may still serve another request.
const MAX_SKIPPED_BODY_BYTES: u64 = 64 << 10;

/// What a client's connection is doing.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Phase {
    /// Between requests; may stay idle for `limit`.
    Idle { since: Time, limit: Span },
    /// Part of a request head has arrived.
    ReadingHead { since: Time },
    /// A request is being served.
    Serving,
    /// The answer is complete; part of it is not yet written to the socket.
    Flushing,
    /// Over a limit: nothing more is read.
    Expired,
}

struct State {
    phase: Phase,
    reader: Option<Waker>,
}

/// The connection of one client.
pub struct ClientConnection {
    state: Mutex<State>,
    connections: Arc<ClientConnections>,
    max_head_bytes: u64,
    socket: Mutex<Option<RawFd>>,
    ended_by_close: AtomicBool,
    is_broken: AtomicBool,
    /// Part of the body of the last request was left unread.
    has_unread_body: AtomicBool,
    /// That part is too long to be skipped, so that the connection can't serve another request.
    closes_after_answer: AtomicBool,
}

/// All client connections and the limits in force.
pub struct ClientConnections {
    clock: Arc<dyn Clock>,
    limits: Mutex<Limits>,
    open: Mutex<Vec<Weak<ClientConnection>>>,
    /// The process is shutting down: a connection closes only once its client has all of its answer.
    stopping: AtomicBool,
}

impl ClientConnections {
    /// Creates an empty set with the default limits, which hold until a configuration is known.
    pub fn new(clock: Arc<dyn Clock>) -> Arc<ClientConnections> {
        let (limits, open) = (Mutex::new(Limits::default()), Mutex::default());
        Arc::new(ClientConnections { clock, limits, open, stopping: AtomicBool::new(false) })
    }

    /// Starts the shutdown: from now on a connection closes only once its client has all of its answer.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// The limits in force.
    pub fn limits(&self) -> Limits {
        self.limits.lock().unwrap().clone()
    }

    /// How many connections are serving a request or have an answer that the client has not fully acknowledged.
    pub fn count_serving(&self) -> usize {
        self.count(|c| matches!(c.phase(), Phase::Serving | Phase::Flushing) || c.unacknowledged_bytes() > 0)
    }

    /// How many connections have sent an incomplete request head.
    pub fn count_reading_head(&self) -> usize {
        self.count(|c| matches!(c.phase(), Phase::ReadingHead { .. }))
    }

    fn count(&self, holds: impl Fn(&ClientConnection) -> bool) -> usize {
        let open = self.open.lock().unwrap();
        open.iter().filter_map(Weak::upgrade).filter(|c| holds(c)).count()
    }

    /// Registers a new connection.
    pub fn add(self: &Arc<ClientConnections>) -> Arc<ClientConnection> {
        let limits = self.limits();
        let phase = Phase::Idle { since: self.clock.now(), limit: Span::ms(limits.idle_ms) };
        let state = Mutex::new(State { phase, reader: None });
        let max_head_bytes = limits.head_bytes;
        let (ended_by_close, is_broken) = (AtomicBool::new(false), AtomicBool::new(false));
        let connections = self.clone();
        let socket = Mutex::default();
        let connection = Arc::new(ClientConnection {
            state,
            connections,
            max_head_bytes,
            socket,
            ended_by_close,
            is_broken,
            has_unread_body: AtomicBool::new(false),
            closes_after_answer: AtomicBool::new(false),
        });
        self.open.lock().unwrap().push(Arc::downgrade(&connection));
        connection
    }

    /// Sets the limits in force and expires the connections that are over them.
    pub fn sweep(&self, limits: Limits) {
        *self.limits.lock().unwrap() = limits.clone();
        let now = self.clock.now();
        let mut open = self.open.lock().unwrap();
        open.retain(|row| {
            let Some(connection) = row.upgrade() else { return false };
            connection.expire_if_over(now, &limits);
            true
        });
    }
}

impl ClientConnection {
    /// The size of the read buffer for a request head on this connection, in bytes.
    pub fn head_buffer(&self) -> usize {
        (self.max_head_bytes as usize).max(MIN_HEAD_BUFFER) + HEAD_BUFFER_SLACK
    }

    /// Whether the limit on heads has grown beyond this connection's read buffer.
    pub fn is_outgrown(&self) -> bool {
        self.connections.limits.lock().unwrap().head_bytes > self.max_head_bytes
    }

    /// Records that a request head was read. False if the connection is over a limit and must not serve it.
    pub fn begin_request(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.phase == Phase::Expired {
            return false;
        }
        state.phase = Phase::Serving;
        self.has_unread_body.store(false, Ordering::SeqCst);
        true
    }

    /// Records that the body of the request is left unread, of which at least `announced` bytes are to come.
    pub(super) fn leave_unread(&self, announced: u64) {
        self.has_unread_body.store(true, Ordering::SeqCst);
        if announced > MAX_SKIPPED_BODY_BYTES {
            self.closes_after_answer.store(true, Ordering::SeqCst);
        }
    }

    /// Whether part of the body of the last request was left unread.
    pub(super) fn has_unread_body(&self) -> bool {
        self.has_unread_body.load(Ordering::SeqCst)
    }

    /// Whether the connection can't serve another request.
    pub fn closes_after_answer(&self) -> bool {
        self.closes_after_answer.load(Ordering::SeqCst)
    }

    /// Records that the client takes the close of the connection as the end of an answer (HTTP/1.0).
    pub fn set_ended_by_close(&self) {
        self.ended_by_close.store(true, Ordering::SeqCst);
    }

    /// Records that the answer in progress can't be completed.
    pub fn mark_broken_off(&self) {
        self.is_broken.store(true, Ordering::SeqCst);
    }

    /// Whether the client takes the close of the connection as the end of an answer.
    pub(super) fn is_ended_by_close(&self) -> bool {
        self.ended_by_close.load(Ordering::SeqCst)
    }

    /// Whether the answer in progress can't be completed.
    pub(super) fn is_broken_off(&self) -> bool {
        self.is_broken.load(Ordering::SeqCst)
    }

    /// Records that hyper has taken the whole answer for writing.
    pub fn body_taken(&self) {
        let mut state = self.state.lock().unwrap();
        if state.phase != Phase::Expired {
            state.phase = Phase::Flushing;
        }
    }

    /// Records that all written bytes have reached the socket. After an answer, the connection becomes idle.
    pub(super) fn socket_flushed(&self) {
        let limit = Span::ms(self.connections.limits.lock().unwrap().idle_ms);
        let since = self.connections.clock.now();
        let mut state = self.state.lock().unwrap();
        if state.phase == Phase::Flushing {
            state.phase = Phase::Idle { since, limit };
        }
    }

    /// Sets the connection's socket; `None` once it is closed.
    pub(super) fn set_socket(&self, socket: Option<RawFd>) {
        *self.socket.lock().unwrap() = socket;
    }

    fn phase(&self) -> Phase {
        self.state.lock().unwrap().phase
    }

    /// Whether the close has to wait for the client's acknowledgement: if a socket is closed with unread input, the
    /// kernel resets the connection and the client loses the bytes it has not received yet.
    pub(super) fn must_linger(&self) -> bool {
        self.connections.stopping.load(Ordering::SeqCst)
            && !self.is_broken_off()
            && self.unacknowledged_bytes() > 0
    }

    /// How many bytes written to the socket the client has not acknowledged.
    fn unacknowledged_bytes(&self) -> u64 {
        let socket = self.socket.lock().unwrap();
        socket.and_then(unacknowledged_bytes).map_or(0, |bytes| bytes.max(0) as u64)
    }

    /// Records that bytes arrived: an idle connection begins to read a head.
    pub(super) fn bytes_received(&self) {
        let mut state = self.state.lock().unwrap();
        if let Phase::Idle { .. } = state.phase {
            state.phase = Phase::ReadingHead { since: self.connections.clock.now() };
        }
    }

    fn expire_if_over(&self, now: Time, limits: &Limits) {
        let mut state = self.state.lock().unwrap();
        let over = match state.phase {
            // The longer of the limits that held while it was idle: the client may know only the older one.
            Phase::Idle { since, limit } => now.since(since) > limit.max(Span::ms(limits.idle_ms)),
            Phase::ReadingHead { since } => now.since(since) > Span::ms(limits.head_ms),
            Phase::Serving | Phase::Flushing | Phase::Expired => false,
        };
        if over {
            state.phase = Phase::Expired;
            if let Some(reader) = state.reader.take() {
                reader.wake();
            }
        }
    }

    /// True if the connection is over a limit and nothing more may be read; otherwise `cx` is woken when that changes.
    pub(super) fn poll_expired(&self, cx: &Context) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.phase == Phase::Expired {
            return true;
        }
        if state.reader.as_ref().is_none_or(|w| !w.will_wake(cx.waker())) {
            state.reader = Some(cx.waker().clone());
        }
        false
    }
}
