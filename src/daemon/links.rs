//! Links to other nodes: one TCP connection per peer and direction, with a bounded queue of messages by urgency. Messages
//! may be lost; the protocols above repeat what they need.

use super::peer_queue::PeerQueue;
use super::traffic::Traffic;
use crate::kernel::lanes::Class;
use crate::kernel::registry::Service;
use crate::kernel::time::{BootClock, Clock};
use crate::msg::Envelope;
use crate::wire;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The time limit of writing one message; after it the connection is replaced.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause after the first failed connection attempt; it doubles with each further one.
const RECONNECT_DELAY_MIN: Duration = Duration::from_millis(100);
/// The longest pause between connection attempts.
const RECONNECT_DELAY_MAX: Duration = Duration::from_millis(800);
/// A link without messages is closed after this long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// An incoming link without messages is closed after this long.
const READ_TIMEOUT: Duration = Duration::from_secs(90);
/// A link is dropped if written bytes stay unacknowledged for this long.
const UNACKNOWLEDGED_TIMEOUT_MS: libc::c_int = 2000;
/// The longest wait for a turn of the runtime.
const TURN_WAIT_MAX: Duration = Duration::from_millis(50);
/// The most connection attempts at a time.
const CONCURRENT_CONNECTS_MAX: usize = 32;

/// The links of one node.
pub struct Links {
    runtime: tokio::runtime::Handle,
    queues: Mutex<BTreeMap<SocketAddr, Arc<PeerQueue>>>,
    connect_permits: Semaphore,
    /// How many incoming links were closed because of a malformed frame.
    pub bad_frames: AtomicU64,
    /// How many messages were dropped instead of sent.
    pub dropped_messages: AtomicU64,
    /// Messages and bytes by kind.
    pub traffic: Traffic,
}

impl Service for Links {
    fn name(&self) -> &'static str {
        "links"
    }
}

/// Takes the messages that arrive.
pub type MessageHandler = Arc<dyn Fn(Envelope) + Send + Sync>;

impl Links {
    /// Creates the links; their tasks run on `runtime`.
    pub fn new(runtime: tokio::runtime::Handle) -> Arc<Links> {
        Arc::new(Links {
            runtime,
            queues: Mutex::default(),
            connect_permits: Semaphore::new(CONCURRENT_CONNECTS_MAX),
            bad_frames: AtomicU64::new(0),
            dropped_messages: AtomicU64::new(0),
            traffic: Traffic::default(),
        })
    }

    /// Queues an encoded message for `addr`. The link is opened when needed; a message may be lost without notice.
    pub fn send(self: &Arc<Links>, addr: SocketAddr, class: Class, kind: &'static str, raw: Vec<u8>) {
        self.traffic.sent(kind, raw.len());
        let mut queues = self.queues.lock().unwrap();
        let queue = queues.entry(addr).or_insert_with(|| {
            let queue = Arc::new(PeerQueue::default());
            self.runtime.spawn(self.clone().run_writer(addr, queue.clone()));
            queue
        });
        let dropped = queue.add(BootClock.now(), class, raw);
        self.dropped_messages.fetch_add(dropped, Ordering::Relaxed);
    }

    /// Waits until the runtime has run the tasks that it was given so far, at most `TURN_WAIT_MAX`.
    pub fn wait_for_runtime(&self) {
        let (done, turn) = std::sync::mpsc::sync_channel(1);
        self.runtime.spawn(async move {
            let _ = done.send(());
        });
        let _ = turn.recv_timeout(TURN_WAIT_MAX);
    }

    /// Accepts links from other nodes and passes their messages to `handler`.
    pub async fn listen(self: Arc<Links>, socket: TcpListener, handler: MessageHandler) {
        loop {
            let Ok((tcp, from)) = socket.accept().await else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            set_unacknowledged_timeout(&tcp);
            let (me, handler) = (self.clone(), handler.clone());
            tokio::spawn(async move {
                if let Err(f) = read(tcp, &handler, &me.traffic).await {
                    me.bad_frames.fetch_add(1, Ordering::Relaxed);
                    log::warn!(event = "link-closed", from = from.to_string(), fault = f.to_string(); "");
                }
            });
        }
    }

    /// Removes an idle link's queue, unless a message was added meanwhile; returns whether it did.
    fn remove_if_empty(&self, addr: &SocketAddr, queue: &PeerQueue) -> bool {
        let mut queues = self.queues.lock().unwrap();
        queue.is_empty() && queues.remove(addr).is_some()
    }

    /// Opens a connection; `None` if that fails or takes too long.
    async fn connect(&self, addr: SocketAddr) -> Option<TcpStream> {
        let _permit = self.connect_permits.acquire().await.ok()?;
        let tcp = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await.ok()?.ok()?;
        let _ = tcp.set_nodelay(true);
        set_unacknowledged_timeout(&tcp);
        Some(tcp)
    }

    /// Sends the messages of one queue until the link has been idle for `IDLE_TIMEOUT`.
    async fn run_writer(self: Arc<Links>, addr: SocketAddr, queue: Arc<PeerQueue>) {
        let (mut tcp, mut reconnect_delay): (Option<TcpStream>, Duration) = (None, RECONNECT_DELAY_MIN);
        loop {
            if queue.is_empty() {
                let idle = tokio::time::timeout(IDLE_TIMEOUT, queue.message_added.notified()).await.is_err();
                if idle && self.remove_if_empty(&addr, &queue) {
                    return;
                }
                continue;
            }
            if tcp.as_ref().is_some_and(is_closed) {
                tcp = None;
            }
            if tcp.is_none() {
                tcp = self.connect(addr).await;
            }
            let Some(t) = &mut tcp else {
                tokio::time::sleep(reconnect_delay).await;
                reconnect_delay = (reconnect_delay * 2).min(RECONNECT_DELAY_MAX);
                continue;
            };
            reconnect_delay = RECONNECT_DELAY_MIN;
            let (next, old) = queue.next(BootClock.now());
            self.dropped_messages.fetch_add(old, Ordering::Relaxed);
            let Some(raw) = next else { continue };
            if !matches!(tokio::time::timeout(WRITE_TIMEOUT, t.write_all(&raw)).await, Ok(Ok(()))) {
                self.dropped_messages.fetch_add(1, Ordering::Relaxed);
                tcp = None;
            }
        }
    }
}

/// Applies `UNACKNOWLEDGED_TIMEOUT_MS` to a link; logs a warning if the kernel refuses.
fn set_unacknowledged_timeout(tcp: &TcpStream) {
    let ms = UNACKNOWLEDGED_TIMEOUT_MS;
    let size = std::mem::size_of_val(&ms) as libc::socklen_t;
    let at = (&raw const ms).cast();
    let rc =
        unsafe { libc::setsockopt(tcp.as_raw_fd(), libc::IPPROTO_TCP, libc::TCP_USER_TIMEOUT, at, size) };
    if rc != 0 {
        log::warn!(event = "no-user-timeout", fault = std::io::Error::last_os_error().to_string(); "");
    }
}

/// Reads messages until the link ends or is idle for `READ_TIMEOUT`. Fails on a malformed frame.
async fn read(
    mut tcp: TcpStream,
    handler: &MessageHandler,
    traffic: &Traffic,
) -> Result<(), crate::kernel::fault::Fault> {
    loop {
        let mut head = [0u8; wire::FRAME_HEADER_LEN];
        let came = tokio::time::timeout(READ_TIMEOUT, tcp.read_exact(&mut head)).await;
        if !matches!(came, Ok(Ok(_))) {
            return Ok(());
        }
        let len = wire::body_len(&head, wire::MAX_NETWORK_BODY)?;
        let mut body = vec![0u8; len];
        if tcp.read_exact(&mut body).await.is_err() {
            return Ok(());
        }
        let envelope: Envelope = wire::decode_envelope(wire::checked_body(&head, &body)?)?;
        traffic.got(envelope.msg.kind(), len);
        handler(envelope);
    }
}

/// Makes the kernel drop a connection whose peer has not acknowledged written bytes for `span`.
pub fn limit_unacknowledged_time(tcp: &TcpStream, span: Duration) {
    use std::os::fd::AsRawFd;
    let ms = span.as_millis() as libc::c_uint;
    let (at, len) = ((&raw const ms).cast(), std::mem::size_of_val(&ms) as libc::socklen_t);
    unsafe { libc::setsockopt(tcp.as_raw_fd(), libc::IPPROTO_TCP, libc::TCP_USER_TIMEOUT, at, len) };
}

/// Whether the peer has closed the link. Peers send nothing on it, so a byte that is read here is not missed.
fn is_closed(tcp: &TcpStream) -> bool {
    let mut one = [0u8; 1];
    matches!(tcp.try_read(&mut one), Ok(0))
}
