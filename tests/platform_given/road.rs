#![allow(dead_code)]

use crate::platform_given::whole;
use spindledock::daemon::listener::{AnswerFuture, serve_clients};
use spindledock::fleet::runner::Runner;
use spindledock::fleet::slice::{RoutesSlice, Slice, service_slice};
use spindledock::fleet::state::Scope;
use spindledock::gate::BalancerTable;
use spindledock::http::client::ClientConnections;
use spindledock::http::request_service::RequestService;
use spindledock::kernel::ids::{Name, Version};
use spindledock::kernel::time::{Clock, Span, Time};
use spindledock::platform::caller::PlatformCaller;
use spindledock::platform::runner::PlatformRunner;
use spindledock::protocol::Protocols;
use spindledock::standin::raw::{Heard, RawRunners, Script, Step, own_loopback};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

pub const LONG: Duration = Duration::from_secs(30);

/// Time goes on only as the story says.
pub struct Hours(AtomicU64);

impl Hours {
    /// Time goes on by `ms`, and nothing is proven anew.
    pub fn skip(&self, ms: u64) {
        self.0.fetch_add(Span::ms(ms).0, Ordering::SeqCst);
    }
}

impl Clock for Hours {
    fn now(&self) -> Time {
        Time(self.0.load(Ordering::SeqCst))
    }
}

pub struct Road {
    pub runners: RawRunners,
    pub front: Arc<RequestService>,
    pub addr: SocketAddr,
    pub clock: Arc<Hours>,
    pub config: String,
    pub version: Version,
}

pub fn config(tries: u64) -> String {
    let route = |name: &str, more: &str| {
        format!(
            r#"{{"Name":"{name}","Vhost":"a.example","PathPrefix":"/{name}/","TimeoutMs":8000,"TargetLatencyMs":200,
            "Backend":"s","MaxRetries":{tries},"RouteType":{more}}}"#
        )
    };
    let rows = [
        route("idem", "\"idempotent\""),
        route("once", "\"non_idempotent\""),
        route("flow", "\"streaming\",\"Resumable\":true,\"TargetGapMs\":300"),
        route("rare", "\"streaming\",\"TargetGapMs\":300"),
    ];
    format!(r#"{{"Revision":1,"RouteMap":[{}],"Backends":[{{"Name":"s"}}]}}"#, rows.join(","))
}

impl Road {
    pub async fn start(runners: usize, tries: u64, script: Script) -> Road {
        let runners = RawRunners::start(runners, script).await;
        let clock = Arc::new(Hours(AtomicU64::new(1_000_000_000)));
        let caller = Arc::new(PlatformCaller);
        let words = Arc::new(PlatformRunner { node: "n".into() });
        let front = Arc::new(RequestService {
            table: Arc::new(BalancerTable::with_unpolled_plain_runners(
                Name::from("hall-a"),
                spindledock::distribution::reader::FRESHNESS_LIMIT,
            )),
            pool: Default::default(),
            clock: clock.clone(),
            is_leaving: AtomicBool::new(false),
            is_stopping: AtomicBool::new(false),
            next_id: AtomicU64::new(1),
            open_requests: AtomicU64::new(0),
            recent: Default::default(),
            clients: ClientConnections::new(clock.clone()),
            protocols: Protocols { caller, runner: words, list: None, operator: None },
        });
        let socket = TcpListener::bind((own_loopback(), 0)).await.expect("a free port");
        let addr = socket.local_addr().expect("an address");
        let work = front.clone();
        let clients = front.clients.clone();
        let work = Arc::new(move |order| Box::pin(work.clone().answer(order)) as AnswerFuture);
        tokio::spawn(serve_clients(socket, work, clients));
        Road { runners, front, addr, clock, config: config(tries), version: Version(1) }
    }

    /// A road whose router knows its routes and runners and has `n` further tries saved.
    pub async fn open(runners: usize, tries: u64, saved: u64, script: Script) -> Road {
        let road = Road::start(runners, tries, script).await;
        road.learn();
        let gate = road.front.table.get(&Name::from("s")).expect("a gate");
        (0..saved * 5).for_each(|_| gate.lock().expect("a gate").retry_budget.record_first_send());
        road
    }

    /// The router learns a newer configuration.
    pub fn take(&mut self, config: String) {
        self.config = config;
        self.version = Version(self.version.0 + 1);
        self.learn();
    }

    pub fn learn(&self) {
        let c = whole(&self.config).expect("good");
        let (now, table) = (self.clock.now(), &self.front.table);
        let mut s = service_slice(&c, &c.services[0]);
        let all = self.runners.addrs.iter().enumerate();
        s.runners = all
            .map(|(n, addr)| Runner {
                instance: Name(format!("i-{n}")),
                service: Name::from("s"),
                domain: Name::from("hall-a"),
                addr: *addr,
                leaving: false,
            })
            .collect();
        table.apply_slice(now, &Scope::Routes, self.version, Some(Slice::Routes(RoutesSlice::of(&c))), now);
        table.apply_slice(
            now,
            &Scope::Service(Name::from("s")),
            self.version,
            Some(Slice::Service(Box::new(s))),
            now,
        );
    }

    /// Time goes on by `ms`, and the router's view is proven anew.
    pub fn pass(&self, ms: u64) {
        self.clock.0.fetch_add(Span::ms(ms).0, Ordering::SeqCst);
        self.learn();
        self.front.table.tick(self.clock.now(), 1);
    }

    pub async fn link(&self) -> TcpStream {
        let link = TcpStream::connect(self.addr).await.expect("the front listens");
        link.set_nodelay(true).expect("an open link");
        link
    }

    /// Sends the bytes on a link of their own and reads until the link closes.
    pub async fn raw(&self, raw: &[u8]) -> String {
        let mut link = self.link().await;
        let _ = link.write_all(raw).await;
        rest(&mut link).await
    }

    pub async fn ask(&self, id: &str, path: &str) -> String {
        self.raw(order(id, path, "connection: close\r\n").as_bytes()).await
    }

    pub fn heard(&self) -> Vec<Heard> {
        self.runners.heard()
    }
}

pub fn order(id: &str, path: &str, more: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a.example\r\nx-request-id: {id}\r\n{more}\r\n")
}

pub async fn rest(link: &mut TcpStream) -> String {
    let mut out = Vec::new();
    let read = tokio::time::timeout(LONG, link.read_to_end(&mut out)).await;
    assert!(read.is_ok(), "no end after {:?}", String::from_utf8_lossy(&out));
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads one answer with a length from a link that stays open.
pub async fn one(link: &mut TcpStream) -> String {
    let mut out = Vec::new();
    let work = async {
        loop {
            let text = String::from_utf8_lossy(&out).into_owned();
            if let Some((head, body)) = text.split_once("\r\n\r\n")
                && value(head, "content-length").is_some_and(|n| n.parse() == Ok(body.len()))
            {
                return text;
            }
            if link.read_buf(&mut out).await.unwrap_or(0) == 0 {
                return text;
            }
        }
    };
    tokio::time::timeout(LONG, work).await.expect("an answer")
}

pub fn value<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let head = text.split("\r\n\r\n").next()?;
    let rows = head.lines().skip(1).filter_map(|l| l.split_once(':'));
    rows.filter(|(k, _)| k.eq_ignore_ascii_case(key)).map(|(_, v)| v.trim()).next()
}

pub fn status(text: &str) -> u16 {
    text.split(' ').nth(1).and_then(|t| t.parse().ok()).unwrap_or(0)
}

/// The body, if the answer is whole by its own words.
pub fn body(text: &str) -> Option<String> {
    let (head, mut raw) = text.split_once("\r\n\r\n")?;
    if let Some(n) = value(head, "content-length") {
        return (n.parse() == Ok(raw.len())).then(|| raw.to_string());
    }
    value(head, "transfer-encoding")?;
    let mut out = String::new();
    loop {
        let (size, more) = raw.split_once("\r\n")?;
        let n = usize::from_str_radix(size, 16).ok()?;
        if n == 0 {
            return (more == "\r\n").then_some(out);
        }
        out.push_str(more.get(..n)?);
        raw = more.get(n..)?.strip_prefix("\r\n")?;
    }
}

pub fn say(text: impl Into<String>) -> Step {
    Step::Say(text.into().into_bytes())
}

/// One chunk of a body in chunks.
pub fn chunk(text: &str) -> Step {
    say(format!("{:x}\r\n{text}\r\n", text.len()))
}

/// A runner's whole answer to `h`, with its stamp.
pub fn good(h: &Heard, text: &str) -> Step {
    answer(200, h.head("x-request-id"), "x-server-seal: 3e1b\r\n", text)
}

pub fn answer(status: u16, id: &str, more: &str, text: &str) -> Step {
    let n = text.len();
    say(format!("HTTP/1.1 {status} X\r\nx-request-id: {id}\r\n{more}content-length: {n}\r\n\r\n{text}"))
}

pub fn not_run(status: u16, h: &Heard) -> Step {
    answer(status, h.head("x-request-id"), "x-not-executed: 1\r\n", "full")
}
