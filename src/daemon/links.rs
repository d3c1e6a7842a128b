use super::traffic::Traffic;
use crate::kernel::input_queue::InputQueue;
use crate::kernel::lanes::Class;
use crate::kernel::registry::Service;
use crate::kernel::time::{BootClock, Clock, Span, Time};
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
use tokio::sync::{Notify, Semaphore};

const REACH: Duration = Duration::from_millis(500);
const WRITE: Duration = Duration::from_secs(2);
const AGAIN: Duration = Duration::from_millis(100);
const AGAIN_MOST: Duration = Duration::from_millis(800);
const IDLE: Duration = Duration::from_secs(60);
const UNHEARD: Duration = Duration::from_secs(90);
const SILENT_MS: libc::c_int = 2000;
const OLD: Span = Span::ms(2000);
const INBOX: usize = 256;
/// The longest that a turn of the runtime is waited for.
const LONGEST_TURN: Duration = Duration::from_millis(50);
const REACHES: usize = 32;

/// The messages that wait for one peer: the most urgent first, the same way as before a node.
pub struct Queue {
    rows: Mutex<InputQueue<Vec<u8>>>,
    bell: Notify,
}

impl Default for Queue {
    fn default() -> Queue {
        Queue { rows: Mutex::new(InputQueue::limited(INBOX)), bell: Notify::default() }
    }
}

impl Queue {
    /// Queues a message; how many were dropped for it. A peer may be away for long, so any message may be.
    pub fn add(&self, now: Time, class: Class, raw: Vec<u8>) -> u64 {
        let mut rows = self.rows.lock().unwrap();
        let before = rows.dropped();
        rows.add(now, Class { droppable: true, ..class }, raw);
        self.bell.notify_one();
        rows.dropped() - before
    }

    /// The next message that is not too old, and how many were.
    pub fn next(&self, now: Time) -> (Option<Vec<u8>>, u64) {
        let mut rows = self.rows.lock().unwrap();
        let mut old = 0;
        while let Some(next) = rows.pop(now) {
            if next.waited <= OLD {
                return (Some(next.item), old);
            }
            old += 1;
        }
        (None, old)
    }

    fn is_empty(&self) -> bool {
        self.rows.lock().unwrap().is_empty()
    }
}

pub struct Links {
    rt: tokio::runtime::Handle,
    outs: Mutex<BTreeMap<SocketAddr, Arc<Queue>>>,
    reaches: Semaphore,
    pub bad: AtomicU64,
    pub lost: AtomicU64,
    pub traffic: Traffic,
}

impl Service for Links {
    fn name(&self) -> &'static str {
        "links"
    }
}

pub type Take = Arc<dyn Fn(Envelope) + Send + Sync>;

impl Links {
    pub fn new(rt: tokio::runtime::Handle) -> Arc<Links> {
        Arc::new(Links {
            rt,
            outs: Mutex::default(),
            reaches: Semaphore::new(REACHES),
            bad: AtomicU64::new(0),
            lost: AtomicU64::new(0),
            traffic: Traffic::default(),
        })
    }

    pub fn send(self: &Arc<Links>, addr: SocketAddr, class: Class, kind: &'static str, raw: Vec<u8>) {
        self.traffic.sent(kind, raw.len());
        let mut outs = self.outs.lock().unwrap();
        let queue = outs.entry(addr).or_insert_with(|| {
            let queue = Arc::new(Queue::default());
            self.rt.spawn(self.clone().write(addr, queue.clone()));
            queue
        });
        let lost = queue.add(BootClock.now(), class, raw);
        self.lost.fetch_add(lost, Ordering::Relaxed);
    }

    /// Waits until the runtime has carried out what it was given so far.
    pub fn give_turn(&self) {
        let (done, turn) = std::sync::mpsc::sync_channel(1);
        self.rt.spawn(async move {
            let _ = done.send(());
        });
        let _ = turn.recv_timeout(LONGEST_TURN);
    }

    pub async fn listen(self: Arc<Links>, socket: TcpListener, take: Take) {
        loop {
            let Ok((tcp, from)) = socket.accept().await else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            drop_when_silent(&tcp);
            let (me, take) = (self.clone(), take.clone());
            tokio::spawn(async move {
                if let Err(f) = read(tcp, &take, &me.traffic).await {
                    me.bad.fetch_add(1, Ordering::Relaxed);
                    log::warn!(event = "link-closed", from = from.to_string(), fault = f.to_string(); "");
                }
            });
        }
    }

    fn ends(&self, addr: &SocketAddr, queue: &Queue) -> bool {
        let mut outs = self.outs.lock().unwrap();
        queue.is_empty() && outs.remove(addr).is_some()
    }

    async fn reach(&self, addr: SocketAddr) -> Option<TcpStream> {
        let _permit = self.reaches.acquire().await.ok()?;
        let tcp = tokio::time::timeout(REACH, TcpStream::connect(addr)).await.ok()?.ok()?;
        let _ = tcp.set_nodelay(true);
        drop_when_silent(&tcp);
        Some(tcp)
    }

    async fn write(self: Arc<Links>, addr: SocketAddr, queue: Arc<Queue>) {
        let (mut tcp, mut again): (Option<TcpStream>, Duration) = (None, AGAIN);
        loop {
            if queue.is_empty() {
                let idle = tokio::time::timeout(IDLE, queue.bell.notified()).await.is_err();
                if idle && self.ends(&addr, &queue) {
                    return;
                }
                continue;
            }
            if tcp.as_ref().is_some_and(closed) {
                tcp = None;
            }
            if tcp.is_none() {
                tcp = self.reach(addr).await;
            }
            let Some(t) = &mut tcp else {
                tokio::time::sleep(again).await;
                again = (again * 2).min(AGAIN_MOST);
                continue;
            };
            again = AGAIN;
            let (next, old) = queue.next(BootClock.now());
            self.lost.fetch_add(old, Ordering::Relaxed);
            let Some(raw) = next else { continue };
            if !matches!(tokio::time::timeout(WRITE, t.write_all(&raw)).await, Ok(Ok(()))) {
                self.lost.fetch_add(1, Ordering::Relaxed);
                tcp = None;
            }
        }
    }
}

fn drop_when_silent(tcp: &TcpStream) {
    let ms = SILENT_MS;
    let size = std::mem::size_of_val(&ms) as libc::socklen_t;
    let at = (&raw const ms).cast();
    let rc =
        unsafe { libc::setsockopt(tcp.as_raw_fd(), libc::IPPROTO_TCP, libc::TCP_USER_TIMEOUT, at, size) };
    if rc != 0 {
        log::warn!(event = "no-user-timeout", fault = std::io::Error::last_os_error().to_string(); "");
    }
}

async fn read(mut tcp: TcpStream, take: &Take, traffic: &Traffic) -> Result<(), crate::kernel::fault::Fault> {
    loop {
        let mut head = [0u8; wire::FRAME_HEADER_LEN];
        let came = tokio::time::timeout(UNHEARD, tcp.read_exact(&mut head)).await;
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
        take(envelope);
    }
}

/// Drops a link whose peer has been silent for `span` with bytes under way.
pub fn watch(tcp: &TcpStream, span: Duration) {
    use std::os::fd::AsRawFd;
    let ms = span.as_millis() as libc::c_uint;
    let (at, len) = ((&raw const ms).cast(), std::mem::size_of_val(&ms) as libc::socklen_t);
    unsafe { libc::setsockopt(tcp.as_raw_fd(), libc::IPPROTO_TCP, libc::TCP_USER_TIMEOUT, at, len) };
}

fn closed(tcp: &TcpStream) -> bool {
    let mut one = [0u8; 1];
    matches!(tcp.try_read(&mut one), Ok(0))
}
