//! Clients that stop short, send too much, or do not read; each keeps its connection open until the test ends.

use super::LONG;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// The most bytes that one client sends if nobody ends its connection.
const MAX_SENT_BYTES: usize = 64 << 20;
/// How long a client waits before it connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// How many bytes a client writes at a time.
const WRITE_BYTES: usize = 64 << 10;

/// How the bytes of a body are sent.
#[derive(Clone, Copy, Debug)]
pub enum Body {
    /// Announces `announced` bytes and sends `sent` of them.
    Length { announced: u64, sent: usize },
    /// Sends `count` chunks of `size` bytes, and the last chunk if it is to be `whole`.
    Chunks { size: usize, count: usize, whole: bool },
    /// Sends all of a JSON list of `bytes` bytes that repeats `item`.
    List { item: &'static str, bytes: usize },
}

/// What every client of a crowd sends.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method and path.
    pub line: &'static str,
    /// How the body is sent.
    pub body: Body,
}

impl Request {
    fn head(&self, number: usize) -> String {
        let framing = match self.body {
            Body::Length { announced, .. } => format!("content-length: {announced}"),
            Body::List { .. } => format!("content-length: {}", self.pieces().1),
            Body::Chunks { .. } => "transfer-encoding: chunked".to_string(),
        };
        let line = self.line;
        format!(
            "{line} HTTP/1.1\r\nhost: a.example\r\nx-request-id: crowd{number}\r\nx-deadline-ms: 60000\r\nif-match: \
             7\r\n{framing}\r\n\r\n"
        )
    }

    /// What is sent over and over, and how many bytes of such pieces in all.
    fn pieces(&self) -> (Vec<u8>, usize) {
        match self.body {
            Body::Length { sent, .. } => (vec![b'a'; WRITE_BYTES], sent),
            Body::List { item, bytes } => {
                let items = vec![item; bytes / (item.len() + 1)].join(",");
                let text = format!("[{items}]").into_bytes();
                let length = text.len();
                (text, length)
            }
            Body::Chunks { size, count, .. } => {
                let chunk = format!("{size:x}\r\n{}\r\n", "a".repeat(size));
                let per_write = (WRITE_BYTES / chunk.len()).max(1);
                (chunk.repeat(per_write).into_bytes(), chunk.len() * count)
            }
        }
    }
}

/// Sends one request; returns once all is sent or the connection was ended by its peer.
async fn send(tcp: &mut TcpStream, number: usize, request: &Request) -> std::io::Result<()> {
    tcp.write_all(request.head(number).as_bytes()).await?;
    let (piece, total) = request.pieces();
    let total = total.min(MAX_SENT_BYTES);
    let mut sent = 0;
    while sent < total {
        let n = piece.len().min(total - sent);
        tcp.write_all(&piece[..n]).await?;
        sent += n;
    }
    match request.body {
        Body::Chunks { whole: true, .. } => tcp.write_all(b"0\r\n\r\n").await,
        _ => Ok(()),
    }
}

/// The open connections of a crowd.
pub struct Crowd {
    /// The connections, open until the crowd is dropped.
    pub links: Vec<TcpStream>,
}

impl Crowd {
    /// Lets `count` clients send the request, all at once; returns once each has sent it or was cut off.
    pub async fn send(addr: SocketAddr, count: usize, request: Request) -> Crowd {
        let request = Arc::new(request);
        let mut clients = JoinSet::new();
        for number in 0..count {
            let request = request.clone();
            clients.spawn(async move {
                let mut tcp = TcpStream::connect(addr).await.ok()?;
                let _ = tokio::time::timeout(LONG, send(&mut tcp, number, &request)).await;
                Some(tcp)
            });
        }
        Crowd { links: clients.join_all().await.into_iter().flatten().collect() }
    }

    /// Lets `count` clients send `bytes` and wait, all at once.
    pub async fn ask(addr: SocketAddr, count: usize, bytes: &[u8]) -> Crowd {
        let mut links = Vec::new();
        for _ in 0..count {
            let connect = tokio::time::timeout(LONG, TcpStream::connect(addr)).await;
            let Ok(Ok(mut tcp)) = connect else { continue };
            let _ = tcp.write_all(bytes).await;
            links.push(tcp);
        }
        Crowd { links }
    }
}

/// Clients that hold connections open without ending their requests, and connect again whenever one is closed. They
/// leave when this is dropped.
pub struct Holders {
    clients: JoinSet<()>,
    /// How many connections were opened.
    opened: Arc<AtomicUsize>,
}

impl Holders {
    /// How many clients there are.
    pub fn count(&self) -> usize {
        self.clients.len()
    }

    /// Starts `count` clients that send `bytes` on each connection; returns once `count` connections were opened or, if
    /// no more are accepted, after `LONG / 10`.
    pub async fn start(addr: SocketAddr, count: usize, bytes: &[u8]) -> Holders {
        let mut holders = Holders { clients: JoinSet::new(), opened: Arc::default() };
        let bytes: Arc<[u8]> = bytes.into();
        for _ in 0..count {
            holders.clients.spawn(hold(addr, bytes.clone(), holders.opened.clone()));
        }
        let began = std::time::Instant::now();
        while holders.opened.load(Ordering::SeqCst) < count && began.elapsed() < LONG / 10 {
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
        holders
    }
}

async fn hold(addr: SocketAddr, bytes: Arc<[u8]>, opened: Arc<AtomicUsize>) {
    loop {
        if let Ok(mut tcp) = TcpStream::connect(addr).await {
            opened.fetch_add(1, Ordering::SeqCst);
            let _ = tcp.write_all(&bytes).await;
            let mut answer = [0; 1024];
            while tcp.read(&mut answer).await.is_ok_and(|n| n > 0) {}
        }
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
}
