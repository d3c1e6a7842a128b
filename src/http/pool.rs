use super::guard::{Check, Guard, GuardedLink};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HeaderMap;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

const IDLE: Duration = Duration::from_secs(4);
const REACH: Duration = Duration::from_millis(800);
const KEEP: usize = 64;
const MARGIN: u64 = 400;
const SILENT: Duration = Duration::from_secs(3);
const REST: usize = 64 << 10;

pub struct Link {
    sender: http1::SendRequest<Full<Bytes>>,
    guard: Arc<Guard>,
    until: Instant,
}

#[derive(Default)]
pub struct Pool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<Link>>>,
}

#[derive(Debug)]
pub enum Miss {
    NotSent,
    Barred,
    Unsure,
}

pub struct Reply {
    pub response: Response<Incoming>,
    pub link: Link,
}

impl Pool {
    fn take(&self, addr: SocketAddr) -> Option<Link> {
        let mut idle = self.idle.lock().unwrap();
        let rows = idle.get_mut(&addr)?;
        while let Some(link) = rows.pop() {
            if Instant::now() < link.until && link.sender.is_ready() {
                return Some(link);
            }
        }
        None
    }

    pub fn give(&self, addr: SocketAddr, mut link: Link, keep: Option<Duration>) {
        if link.sender.is_closed() || keep == Some(Duration::ZERO) {
            return;
        }
        link.until = Instant::now() + keep.unwrap_or(IDLE);
        let mut idle = self.idle.lock().unwrap();
        let rows = idle.entry(addr).or_default();
        if rows.len() < KEEP {
            rows.push(link);
        }
    }

    async fn reach(&self, addr: SocketAddr) -> Option<Link> {
        let tcp = tokio::time::timeout(REACH, TcpStream::connect(addr)).await.ok()?.ok()?;
        let _ = tcp.set_nodelay(true);
        crate::daemon::links::watch(&tcp, SILENT);
        let guard = Arc::new(Guard::default());
        let io = TokioIo::new(GuardedLink::new(tcp, guard.clone()));
        let (sender, conn) = http1::handshake(io).await.ok()?;
        tokio::spawn(async move {
            let _ = conn.await;
        });
        Some(Link { sender, guard, until: Instant::now() })
    }

    pub async fn send(
        &self,
        addr: SocketAddr,
        order: Request<Full<Bytes>>,
        check: Check,
    ) -> Result<Reply, Miss> {
        let link = match self.take(addr) {
            Some(link) => Some(link),
            None => self.reach(addr).await,
        };
        let Some(mut link) = link else { return Err(Miss::NotSent) };
        if link.sender.ready().await.is_err() {
            return Err(Miss::NotSent);
        }
        link.guard.arm(check);
        match link.sender.send_request(order).await {
            Ok(response) => Ok(Reply { response, link }),
            Err(_) if link.guard.barred() => Err(Miss::Barred),
            Err(_) if link.guard.wrote() => Err(Miss::Unsure),
            Err(_) => Err(Miss::NotSent),
        }
    }

    /// Reads what is left of an answer that nobody wants, so that the link serves again.
    pub async fn finish(&self, addr: SocketAddr, reply: Reply) {
        let keep = kept(reply.response.headers());
        if Limited::new(reply.response.into_body(), REST).collect().await.is_ok() {
            self.give(addr, reply.link, keep);
        }
    }

    pub async fn whole(
        &self,
        addr: SocketAddr,
        order: Request<Full<Bytes>>,
        due: Duration,
        check: Check,
    ) -> Result<(u16, Bytes), Miss> {
        let work = async {
            let reply = self.send(addr, order, check).await?;
            let status = reply.response.status().as_u16();
            let keep = kept(reply.response.headers());
            let body = Limited::new(reply.response.into_body(), 16 << 20);
            let body = body.collect().await.map_err(|_| Miss::Unsure)?;
            self.give(addr, reply.link, keep);
            Ok((status, body.to_bytes()))
        };
        tokio::time::timeout(due, work).await.unwrap_or(Err(Miss::Unsure))
    }
}

/// How long a link may lie idle, by the words of the answer; zero if it closes.
pub fn kept(heads: &HeaderMap) -> Option<Duration> {
    let text = |k: &str| heads.get(k).and_then(|v| v.to_str().ok());
    if text("connection").is_some_and(|t| t.split(',').any(|w| w.trim().eq_ignore_ascii_case("close"))) {
        return Some(Duration::ZERO);
    }
    let row = text("keep-alive")?.split(',').find_map(|w| w.trim().strip_prefix("timeout="))?;
    let s: u64 = row.parse().ok()?;
    Some(Duration::from_millis((s * 1000).saturating_sub(MARGIN)))
}

pub fn open() -> Check {
    Box::new(|| true)
}
