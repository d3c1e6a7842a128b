//! Runners on real sockets that answer with the very bytes that a script gives.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

/// A loopback address that other processes don't listen at: connections that were closed a moment ago, theirs or ours,
/// leave its ports free.
pub fn own_loopback() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high.saturating_add(1), middle, low.max(1))
}

/// One order as its bytes came.
#[derive(Clone, Debug)]
pub struct Heard {
    pub runner: usize,
    pub link: u64,
    pub line: String,
    pub heads: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Heard {
    pub fn head(&self, key: &str) -> &str {
        self.heads.iter().find(|h| h.0.eq_ignore_ascii_case(key)).map_or("", |h| h.1.as_str())
    }
}

/// One step of what a runner does about a request.
pub enum Step {
    /// Writes these bytes.
    Say(Vec<u8>),
    /// Waits until it is notified.
    Wait(Arc<Notify>),
    /// Reads until the peer has closed or reset the connection, then ends it.
    AwaitClose,
    /// Ends the connection.
    Close,
    /// Ends the connection with a reset.
    Reset,
}

/// What is done about the order that is the n-th of all, from 0.
pub type Script = Arc<dyn Fn(usize, &Heard) -> Vec<Step> + Send + Sync>;

/// What is done about a request as soon as its head is there; none: its body is read first.
pub type HeadScript = Arc<dyn Fn(&Heard) -> Vec<Step> + Send + Sync>;

/// Runners on real sockets.
pub struct RawRunners {
    pub addrs: Vec<SocketAddr>,
    all: Arc<All>,
    count: watch::Receiver<usize>,
    ended: watch::Receiver<usize>,
}

struct All {
    heard: Mutex<Vec<Heard>>,
    odd: Mutex<Vec<Vec<u8>>>,
    head: Option<HeadScript>,
    script: Script,
    told: watch::Sender<usize>,
    ends: watch::Sender<usize>,
    links: AtomicU64,
}

impl RawRunners {
    /// `n` runners that read each request as a whole before they answer.
    pub async fn start(n: usize, script: Script) -> RawRunners {
        RawRunners::start_early(n, None, script).await
    }

    /// `n` runners that may act on the head of a request before its body is read.
    pub async fn start_early(n: usize, head: Option<HeadScript>, script: Script) -> RawRunners {
        let ((told, count), (ends, ended)) = (watch::channel(0), watch::channel(0));
        let (heard, odd, links) = (Mutex::default(), Mutex::default(), AtomicU64::new(0));
        let all = Arc::new(All { heard, odd, head, script, told, ends, links });
        let mut addrs = Vec::new();
        for runner in 0..n {
            let socket = TcpListener::bind((own_loopback(), 0)).await.expect("a free port");
            addrs.push(socket.local_addr().expect("an address"));
            tokio::spawn(listen(socket, runner, all.clone()));
        }
        RawRunners { addrs, all, count, ended }
    }

    /// Bytes that began no request, or broke one off.
    pub fn odd(&self) -> Vec<Vec<u8>> {
        self.all.odd.lock().unwrap().clone()
    }

    /// Ends as soon as `n` connections have ended.
    pub async fn until_ended(&self, n: usize) {
        let _ = self.ended.clone().wait_for(|c| *c >= n).await;
    }

    pub fn heard(&self) -> Vec<Heard> {
        self.all.heard.lock().unwrap().clone()
    }

    /// Ends as soon as `n` orders were heard.
    pub async fn until(&self, n: usize) {
        let _ = self.count.clone().wait_for(|c| *c >= n).await;
    }
}

async fn listen(socket: TcpListener, runner: usize, all: Arc<All>) {
    while let Ok((tcp, _)) = socket.accept().await {
        let link = all.links.fetch_add(1, Ordering::SeqCst);
        tokio::spawn(serve(tcp, runner, link, all.clone()));
    }
}

async fn serve(tcp: TcpStream, runner: usize, link: u64, all: Arc<All>) {
    let mut connection = Connection { tcp, rest: Vec::new() };
    let reset = connection.serve(runner, link, &all).await;
    if reset {
        let _ = connection.tcp.set_zero_linger();
    }
    if !connection.rest.is_empty() {
        all.odd.lock().unwrap().push(std::mem::take(&mut connection.rest));
    }
    drop(connection);
    all.ends.send_modify(|n| *n += 1);
}

/// How a list of steps ended.
enum Went {
    On,
    Ended { reset: bool },
}

struct Connection {
    tcp: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    /// Serves requests until the connection ends; true if it is to end with a reset.
    async fn serve(&mut self, runner: usize, link: u64, all: &All) -> bool {
        loop {
            let Some(mut heard) = self.head(runner, link).await else { return false };
            if let Some(script) = &all.head
                && let Went::Ended { reset } = self.act(script(&heard)).await
            {
                return reset;
            }
            let Some(body) = self.body(&heard).await else { return false };
            heard.body = body;
            let n = {
                let mut rows = all.heard.lock().unwrap();
                rows.push(heard.clone());
                rows.len()
            };
            all.told.send_replace(n);
            if let Went::Ended { reset } = self.act((all.script)(n - 1, &heard)).await {
                return reset;
            }
        }
    }

    async fn act(&mut self, steps: Vec<Step>) -> Went {
        for step in steps {
            match step {
                Step::Say(raw) => {
                    if self.tcp.write_all(&raw).await.is_err() {
                        return Went::Ended { reset: false };
                    }
                }
                Step::Wait(go) => go.notified().await,
                Step::AwaitClose => {
                    while self.more().await.is_some() {}
                    return Went::Ended { reset: false };
                }
                Step::Close => return Went::Ended { reset: false },
                Step::Reset => return Went::Ended { reset: true },
            }
        }
        Went::On
    }

    async fn more(&mut self) -> Option<()> {
        let n = self.tcp.read_buf(&mut self.rest).await.ok()?;
        (n > 0).then_some(())
    }

    async fn line(&mut self) -> Option<String> {
        loop {
            if let Some(at) = self.rest.windows(2).position(|w| w == b"\r\n") {
                let raw: Vec<u8> = self.rest.drain(..at + 2).collect();
                return Some(String::from_utf8_lossy(&raw[..at]).into_owned());
            }
            self.more().await?;
        }
    }

    async fn bytes(&mut self, n: usize) -> Option<Vec<u8>> {
        while self.rest.len() < n {
            self.more().await?;
        }
        Some(self.rest.drain(..n).collect())
    }

    async fn head(&mut self, runner: usize, link: u64) -> Option<Heard> {
        let line = self.line().await?;
        let mut heard = Heard { runner, link, line, heads: Vec::new(), body: Vec::new() };
        loop {
            let row = self.line().await?;
            if row.is_empty() {
                return Some(heard);
            }
            let (key, value) = row.split_once(':')?;
            heard.heads.push((key.to_string(), value.trim().to_string()));
        }
    }

    async fn body(&mut self, heard: &Heard) -> Option<Vec<u8>> {
        if let Ok(n) = heard.head("content-length").parse() {
            return self.bytes(n).await;
        }
        let mut body = Vec::new();
        if heard.head("transfer-encoding").is_empty() {
            return Some(body);
        }
        loop {
            let n = usize::from_str_radix(self.line().await?.trim(), 16).ok()?;
            let part = self.bytes(n + 2).await?;
            body.extend_from_slice(&part[..n]);
            if n == 0 {
                return Some(body);
            }
        }
    }
}
