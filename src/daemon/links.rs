use crate::kernel::registry::Service;
use crate::msg::Letter;
use crate::wire;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

const REACH: Duration = Duration::from_millis(500);
const WRITE: Duration = Duration::from_secs(2);
const INBOX: usize = 1024;

pub struct Links {
    rt: tokio::runtime::Handle,
    outs: Mutex<BTreeMap<SocketAddr, mpsc::Sender<Vec<u8>>>>,
    pub bad: AtomicU64,
    pub lost: AtomicU64,
}

impl Service for Links {
    fn name(&self) -> &'static str {
        "links"
    }
}

pub type Take = Arc<dyn Fn(Letter) + Send + Sync>;

impl Links {
    pub fn new(rt: tokio::runtime::Handle) -> Arc<Links> {
        Arc::new(Links { rt, outs: Mutex::default(), bad: AtomicU64::new(0), lost: AtomicU64::new(0) })
    }

    pub fn send(&self, addr: SocketAddr, raw: Vec<u8>) {
        let mut outs = self.outs.lock().unwrap();
        let tx = outs.entry(addr).or_insert_with(|| {
            let (tx, rx) = mpsc::channel(INBOX);
            self.rt.spawn(write(addr, rx));
            tx
        });
        match tx.try_send(raw) {
            Ok(()) => {}
            Err(mpsc::error::TrySendError::Full(_)) => {
                self.lost.fetch_add(1, Ordering::Relaxed);
            }
            Err(mpsc::error::TrySendError::Closed(raw)) => {
                let (tx, rx) = mpsc::channel(INBOX);
                let _ = tx.try_send(raw);
                self.rt.spawn(write(addr, rx));
                outs.insert(addr, tx);
            }
        }
    }

    pub async fn listen(self: Arc<Links>, socket: TcpListener, take: Take) {
        loop {
            let Ok((tcp, from)) = socket.accept().await else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            let (me, take) = (self.clone(), take.clone());
            tokio::spawn(async move {
                if let Err(f) = read(tcp, &take).await {
                    me.bad.fetch_add(1, Ordering::Relaxed);
                    log::warn!(event = "link-closed", from = from.to_string(), fault = f.to_string(); "");
                }
            });
        }
    }
}

async fn read(mut tcp: TcpStream, take: &Take) -> Result<(), crate::kernel::fault::Fault> {
    loop {
        let mut head = [0u8; wire::HEAD];
        if tcp.read_exact(&mut head).await.is_err() {
            return Ok(());
        }
        let len = wire::size(&head, wire::NET_MAX)?;
        let mut body = vec![0u8; len];
        if tcp.read_exact(&mut body).await.is_err() {
            return Ok(());
        }
        take(wire::unpack(wire::body(&head, &body)?)?);
    }
}

async fn write(addr: SocketAddr, mut rx: mpsc::Receiver<Vec<u8>>) {
    let mut tcp: Option<TcpStream> = None;
    while let Some(raw) = rx.recv().await {
        if tcp.as_ref().is_some_and(closed) {
            tcp = None;
        }
        if tcp.is_none() {
            let Ok(Ok(new)) = tokio::time::timeout(REACH, TcpStream::connect(addr)).await else {
                while rx.try_recv().is_ok() {}
                continue;
            };
            let _ = new.set_nodelay(true);
            tcp = Some(new);
        }
        let Some(t) = &mut tcp else { continue };
        if !matches!(tokio::time::timeout(WRITE, t.write_all(&raw)).await, Ok(Ok(()))) {
            tcp = None;
        }
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
