use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

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

pub enum Step {
    Say(Vec<u8>),
    Wait(Arc<Notify>),
    Close,
}

/// What is done about the order that is the n-th of all, from 0.
pub type Script = Arc<dyn Fn(usize, &Heard) -> Vec<Step> + Send + Sync>;

/// Runners on real sockets that answer with the very bytes that a script gives.
pub struct RawRunners {
    pub addrs: Vec<SocketAddr>,
    all: Arc<All>,
    count: watch::Receiver<usize>,
}

struct All {
    heard: Mutex<Vec<Heard>>,
    script: Script,
    told: watch::Sender<usize>,
    links: AtomicU64,
}

impl RawRunners {
    pub async fn start(n: usize, script: Script) -> RawRunners {
        let (told, count) = watch::channel(0);
        let all = Arc::new(All { heard: Mutex::default(), script, told, links: AtomicU64::new(0) });
        let mut addrs = Vec::new();
        for runner in 0..n {
            let socket = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            addrs.push(socket.local_addr().expect("an address"));
            tokio::spawn(listen(socket, runner, all.clone()));
        }
        RawRunners { addrs, all, count }
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

async fn serve(mut tcp: TcpStream, runner: usize, link: u64, all: Arc<All>) {
    let mut rest = Vec::new();
    while let Some(heard) = read(&mut tcp, &mut rest, runner, link).await {
        let n = {
            let mut rows = all.heard.lock().unwrap();
            rows.push(heard.clone());
            rows.len()
        };
        all.told.send_replace(n);
        for step in (all.script)(n - 1, &heard) {
            match step {
                Step::Say(raw) => {
                    if tcp.write_all(&raw).await.is_err() {
                        return;
                    }
                }
                Step::Wait(go) => go.notified().await,
                Step::Close => return,
            }
        }
    }
}

async fn more(tcp: &mut TcpStream, rest: &mut Vec<u8>) -> Option<()> {
    let n = tcp.read_buf(rest).await.ok()?;
    (n > 0).then_some(())
}

async fn line(tcp: &mut TcpStream, rest: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(at) = rest.windows(2).position(|w| w == b"\r\n") {
            let raw: Vec<u8> = rest.drain(..at + 2).collect();
            return Some(String::from_utf8_lossy(&raw[..at]).into_owned());
        }
        more(tcp, rest).await?;
    }
}

async fn bytes(tcp: &mut TcpStream, rest: &mut Vec<u8>, n: usize) -> Option<Vec<u8>> {
    while rest.len() < n {
        more(tcp, rest).await?;
    }
    Some(rest.drain(..n).collect())
}

async fn read(tcp: &mut TcpStream, rest: &mut Vec<u8>, runner: usize, link: u64) -> Option<Heard> {
    let first = line(tcp, rest).await?;
    let mut h = Heard { runner, link, line: first, heads: Vec::new(), body: Vec::new() };
    loop {
        let row = line(tcp, rest).await?;
        if row.is_empty() {
            break;
        }
        let (key, value) = row.split_once(':')?;
        h.heads.push((key.to_string(), value.trim().to_string()));
    }
    if let Ok(n) = h.head("content-length").parse() {
        h.body = bytes(tcp, rest, n).await?;
        return Some(h);
    }
    if h.head("transfer-encoding").is_empty() {
        return Some(h);
    }
    loop {
        let n = usize::from_str_radix(line(tcp, rest).await?.trim(), 16).ok()?;
        let part = bytes(tcp, rest, n + 2).await?;
        h.body.extend_from_slice(&part[..n]);
        if n == 0 {
            return Some(h);
        }
    }
}
