//! The state of a client connection: what it is doing and since when. A connection over a limit reads as end of file, so
//! that a request already in progress on it is never cut.

use super::client_connections::ClientConnections;
use super::connection_state::{ConnectionState, Phase};
use super::guard::unacknowledged_bytes;
use crate::fleet::config::Limits;
use crate::kernel::time::{Span, Time};
use std::os::fd::RawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::Context;

/// The smallest read buffer that hyper accepts.
pub(super) const MIN_HEAD_BUFFER: usize = 8192;
/// Buffer space beyond the longest head, so that the exact limit is checked on the parsed head.
const HEAD_BUFFER_SLACK: usize = 4096;

/// The longest rest of a refused body after which a connection may still serve another request.
const MAX_SKIPPED_BODY_BYTES: u64 = 64 << 10;

/// The connection of one client.
pub struct ClientConnection {
    state: Mutex<ConnectionState>,
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

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.connections.connection_closed();
    }
}

impl ClientConnection {
    /// A connection that is idle as of `since`, under the limits in force.
    pub(super) fn new(connections: Arc<ClientConnections>, since: Time, limits: &Limits) -> ClientConnection {
        let state = ConnectionState::idle(since, Span::ms(limits.idle_ms));
        ClientConnection {
            state: Mutex::new(state),
            connections,
            max_head_bytes: limits.head_bytes,
            socket: Mutex::default(),
            ended_by_close: AtomicBool::new(false),
            is_broken: AtomicBool::new(false),
            has_unread_body: AtomicBool::new(false),
            closes_after_answer: AtomicBool::new(false),
        }
    }

    /// Whether the connection has sent an incomplete request head.
    pub(super) fn is_reading_head(&self) -> bool {
        matches!(self.state.lock().unwrap().phase, Phase::ReadingHead { .. })
    }

    /// Whether it is serving a request or has an answer that the client has not fully acknowledged.
    pub(super) fn is_serving(&self) -> bool {
        let phase = self.state.lock().unwrap().phase;
        let serving = matches!(phase, Phase::ReceivingBody { .. } | Phase::Serving | Phase::Flushing);
        serving || self.unacknowledged_bytes() > 0
    }

    /// Since when the client has sent nothing that is due from it, or taken nothing that is due to it.
    pub(super) fn stalled_since(&self) -> Option<Time> {
        self.state.lock().unwrap().stalled_since()
    }

    /// Closes the connection: nothing more is read or written.
    pub(super) fn cut(&self) {
        self.state.lock().unwrap().cut();
    }

    /// Whether the connection was closed for its limits in the midst of a request.
    pub fn is_cut(&self) -> bool {
        self.state.lock().unwrap().is_cut
    }

    /// Records that the body of a request has begun to arrive, or that more of it has arrived.
    pub(super) fn body_received(&self) {
        let now = self.connections.now();
        let mut state = self.state.lock().unwrap();
        if matches!(state.phase, Phase::Serving | Phase::ReceivingBody { .. }) {
            state.phase = Phase::ReceivingBody { since: now };
        }
    }

    /// Records that the body of a request has arrived or is not wanted any more.
    pub(super) fn body_ended(&self) {
        let mut state = self.state.lock().unwrap();
        if matches!(state.phase, Phase::ReceivingBody { .. }) {
            state.phase = Phase::Serving;
        }
    }

    /// True if nothing may be written because the connection was cut while its client took nothing; otherwise records
    /// whether it `is_blocked` and, if so, wakes `cx` when it is cut.
    pub(super) fn poll_cut_while_writing(&self, cx: &Context, is_blocked: bool) -> bool {
        let now = self.connections.now();
        self.state.lock().unwrap().poll_cut_while_writing(cx, now, is_blocked)
    }

    /// The size of the read buffer for a request head on this connection, in bytes.
    pub fn head_buffer(&self) -> usize {
        (self.max_head_bytes as usize).max(MIN_HEAD_BUFFER) + HEAD_BUFFER_SLACK
    }

    /// Whether the limit on heads has grown beyond this connection's read buffer.
    pub fn is_outgrown(&self) -> bool {
        self.connections.limits().head_bytes > self.max_head_bytes
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
        let limit = Span::ms(self.connections.limits().idle_ms);
        let since = self.connections.now();
        let mut state = self.state.lock().unwrap();
        if state.phase == Phase::Flushing {
            state.phase = Phase::Idle { since, limit };
        }
    }

    /// Sets the connection's socket; `None` once it is closed.
    pub(super) fn set_socket(&self, socket: Option<RawFd>) {
        *self.socket.lock().unwrap() = socket;
    }

    /// Whether the close has to wait for the client's acknowledgement: if a socket is closed with unread input, the
    /// kernel resets the connection and the client loses the bytes it has not received yet.
    pub(super) fn must_linger(&self) -> bool {
        self.connections.is_stopping() && !self.is_broken_off() && self.unacknowledged_bytes() > 0
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
            state.phase = Phase::ReadingHead { since: self.connections.now() };
        }
    }

    /// Expires the connection if it is over a limit.
    pub(super) fn expire_if_over(&self, now: Time, limits: &Limits) {
        self.state.lock().unwrap().expire_if_over(now, limits);
    }

    /// True if the connection is over a limit and nothing more may be read; otherwise `cx` is woken when that changes.
    pub(super) fn poll_expired(&self, cx: &Context) -> bool {
        self.state.lock().unwrap().poll_expired(cx)
    }
}
