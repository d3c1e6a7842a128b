//! All client connections of one listener: the limits on them, and which of them give way when there are too many.
//!
//! The limits say how long a request head may take after its first byte, and how long a connection may stay idle between
//! requests. Beyond the greatest number of connections, those make room whose clients have been still for longest.

use super::client::{ClientConnection, MIN_HEAD_BUFFER};
use crate::fleet::config::Limits;
use crate::kernel::time::{Clock, Span, Time};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;
use tokio::sync::Notify;

/// A connection whose client has been still for less than this is not closed to make room.
const MIN_STALL_TIME: Span = Span::ms(100);
/// How long a new connection waits for room.
const ROOM_WAIT: Duration = Duration::from_millis(500);
/// How often it looks for a connection that may give way.
const RECHECK_PERIOD: Duration = Duration::from_millis(20);
/// One in this many connections is closed at a time to make room.
const CLOSED_SHARE: usize = 64;

/// How many connections there may be.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ConnectionLimit {
    /// The most connections.
    pub max: usize,
    /// The memory in bytes that the heads and answers on all connections may take.
    pub memory: usize,
}

impl ConnectionLimit {
    /// As many as come.
    pub const NONE: ConnectionLimit = ConnectionLimit { max: usize::MAX, memory: usize::MAX };

    /// The most connections if a request head may have so many bytes.
    fn max_connections(&self, head_bytes: u64) -> usize {
        let bytes_each = (head_bytes as usize).max(MIN_HEAD_BUFFER) + ANSWER_BYTES;
        self.max.min(self.memory / bytes_each).max(1)
    }
}

/// The bytes of an answer that wait for a client that does not read.
const ANSWER_BYTES: usize = 80 << 10;

/// All connections of a listener and the limits in force.
pub struct ClientConnections {
    clock: Arc<dyn Clock>,
    limits: Mutex<Limits>,
    limit: ConnectionLimit,
    open: Mutex<Vec<Weak<ClientConnection>>>,
    count: AtomicUsize,
    closed: Notify,
    /// The process is shutting down: a connection closes only once its client has all of its answer.
    stopping: AtomicBool,
}

impl ClientConnections {
    /// Creates an empty set of any size with the default limits, which hold until a configuration is known.
    pub fn new(clock: Arc<dyn Clock>) -> Arc<ClientConnections> {
        ClientConnections::with_limit(clock, ConnectionLimit::NONE)
    }

    /// Creates an empty set as [`ClientConnections::new`], with a limit on how many connections there are.
    pub fn with_limit(clock: Arc<dyn Clock>, limit: ConnectionLimit) -> Arc<ClientConnections> {
        Arc::new(ClientConnections {
            clock,
            limits: Mutex::new(Limits::default()),
            limit,
            open: Mutex::default(),
            count: AtomicUsize::new(0),
            closed: Notify::new(),
            stopping: AtomicBool::new(false),
        })
    }

    /// Starts the shutdown: from now on a connection closes only once its client has all of its answer.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Whether the shutdown has started.
    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// The present time.
    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

    /// The limits in force.
    pub fn limits(&self) -> Limits {
        self.limits.lock().unwrap().clone()
    }

    /// How many connections are serving a request or have an answer that the client has not fully acknowledged.
    pub fn count_serving(&self) -> usize {
        self.count_where(ClientConnection::is_serving)
    }

    /// How many connections have sent an incomplete request head.
    pub fn count_reading_head(&self) -> usize {
        self.count_where(ClientConnection::is_reading_head)
    }

    fn count_where(&self, holds: impl Fn(&ClientConnection) -> bool) -> usize {
        let open = self.open.lock().unwrap();
        open.iter().filter_map(Weak::upgrade).filter(|c| holds(c)).count()
    }

    /// How many connections are open.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }

    /// Registers a new connection. If there are too many, closes those whose clients have been still for longest; `None`
    /// if none of them is, so that the new one has to be closed.
    pub async fn admit(self: &Arc<ClientConnections>) -> Option<Arc<ClientConnection>> {
        if self.is_full() && tokio::time::timeout(ROOM_WAIT, self.make_room()).await.is_err() {
            return None;
        }
        Some(self.add())
    }

    fn is_full(&self) -> bool {
        self.count() >= self.limit.max_connections(self.limits.lock().unwrap().head_bytes)
    }

    async fn make_room(&self) {
        while self.is_full() {
            let closed = self.closed.notified();
            self.cut_stalled();
            let _ = tokio::time::timeout(RECHECK_PERIOD, closed).await;
        }
    }

    /// Cuts the connections whose clients have been still for longest.
    pub(super) fn cut_stalled(&self) {
        let now = self.now();
        let open: Vec<_> = self.open.lock().unwrap().iter().filter_map(Weak::upgrade).collect();
        let mut stalled: Vec<(Time, Arc<ClientConnection>)> = open
            .into_iter()
            .filter_map(|connection| Some((connection.stalled_since()?, connection)))
            .collect();
        stalled.retain(|(since, _)| now.since(*since) >= MIN_STALL_TIME);
        stalled.sort_by_key(|(since, _)| *since);
        let most = self.count().div_ceil(CLOSED_SHARE);
        stalled.iter().take(most).for_each(|(_, connection)| connection.cut());
    }

    /// Registers a new connection.
    fn add(self: &Arc<ClientConnections>) -> Arc<ClientConnection> {
        let connection = Arc::new(ClientConnection::new(self.clone(), self.now(), &self.limits()));
        self.count.fetch_add(1, Ordering::SeqCst);
        self.open.lock().unwrap().push(Arc::downgrade(&connection));
        connection
    }

    /// Records that a connection is closed.
    pub(super) fn connection_closed(&self) {
        self.count.fetch_sub(1, Ordering::SeqCst);
        self.closed.notify_one();
    }

    /// Sets the limits in force and expires the connections that are over them.
    pub fn sweep(&self, limits: Limits) {
        *self.limits.lock().unwrap() = limits.clone();
        let now = self.now();
        let mut open = self.open.lock().unwrap();
        open.retain(|row| {
            let Some(connection) = row.upgrade() else { return false };
            connection.expire_if_over(now, &limits);
            true
        });
    }
}
