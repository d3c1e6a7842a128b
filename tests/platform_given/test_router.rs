//! A router on a real socket with scripted runners, for tests of requests from end to end.

#![allow(dead_code)]

mod http_client;

use crate::platform_given::read_document;
use spindledock::daemon::listener::{AnswerFuture, serve_clients};
use spindledock::fleet::runner::Runner;
use spindledock::fleet::slice::{RoutesSlice, Slice, service_slice};
use spindledock::fleet::state::Scope;
use spindledock::gate::BalancerTable;
use spindledock::http::client_connections::ClientConnections;
use spindledock::http::memory_account::MemoryAccount;
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
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

pub use http_client::*;

/// The memory that the bodies of all clients may take together.
const BODY_MEMORY_BYTES: usize = 64 << 20;
/// The time limit of any wait.
pub const LONG: Duration = Duration::from_secs(30);

/// A clock that only the test advances.
pub struct ManualClock(AtomicU64);

impl ManualClock {
    /// Advances time by `ms` without renewing the proof that the configuration is current.
    pub fn advance_without_proof(&self, ms: u64) {
        self.0.fetch_add(Span::ms(ms).0, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Time {
        Time(self.0.load(Ordering::SeqCst))
    }
}

/// A router's client side on a real socket, with scripted runners behind it.
pub struct TestRouter {
    pub runners: RawRunners,
    pub front: Arc<RequestService>,
    pub addr: SocketAddr,
    pub clock: Arc<ManualClock>,
    pub config: String,
    pub version: Version,
}

/// A configuration with one service and a route of each kind: `/idem/`, `/once/`, `/flow/` (a resumable stream) and
/// `/rare/` (a stream that can't be resumed). `tries` is the most attempts per request.
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

impl TestRouter {
    /// Starts a router that knows no configuration yet.
    pub async fn start(runners: usize, tries: u64, script: Script) -> TestRouter {
        let caller = Arc::new(PlatformCaller);
        let runner = Arc::new(PlatformRunner { node: "n".into() });
        let protocols = Protocols { caller, runner, list: None, operator: None };
        TestRouter::start_speaking(protocols, runners, tries, script).await
    }

    /// Starts a router that speaks `protocols` and knows no configuration yet.
    pub async fn start_speaking(
        protocols: Protocols,
        runners: usize,
        tries: u64,
        script: Script,
    ) -> TestRouter {
        let runners = RawRunners::start(runners, script).await;
        let clock = Arc::new(ManualClock(AtomicU64::new(1_000_000_000)));
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
            unknown_routes: AtomicU64::new(0),
            open_requests: AtomicU64::new(0),
            recent: Default::default(),
            clients: ClientConnections::new(clock.clone()),
            memory: MemoryAccount::new(clock.clone(), BODY_MEMORY_BYTES),
            answer_memory: MemoryAccount::new(clock.clone(), BODY_MEMORY_BYTES),
            protocols,
        });
        let socket = TcpListener::bind((own_loopback(), 0)).await.expect("a free port");
        let addr = socket.local_addr().expect("an address");
        let work = front.clone();
        let clients = front.clients.clone();
        let work = Arc::new(move |order| Box::pin(work.clone().answer(order)) as AnswerFuture);
        tokio::spawn(serve_clients(socket, work, clients));
        TestRouter { runners, front, addr, clock, config: config(tries), version: Version(1) }
    }

    /// Starts a router that knows its routes and runners, with a retry budget of `saved` retries.
    pub async fn open(runners: usize, tries: u64, saved: u64, script: Script) -> TestRouter {
        let router = TestRouter::start(runners, tries, script).await;
        router.publish_config();
        let gate = router.front.table.get(&Name::from("s")).expect("a gate");
        (0..saved * 5).for_each(|_| gate.lock().expect("a gate").retry_budget.record_first_send());
        router
    }

    /// Gives the router a newer configuration.
    pub fn reconfigure(&mut self, config: String) {
        self.config = config;
        self.version = Version(self.version.0 + 1);
        self.publish_config();
    }

    /// Gives the router its routes and runners, proven current as of now.
    pub fn publish_config(&self) {
        let c = read_document(&self.config).expect("good");
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

    /// Advances time by `ms` and renews the proof that the configuration is current.
    pub fn advance(&self, ms: u64) {
        self.clock.0.fetch_add(Span::ms(ms).0, Ordering::SeqCst);
        self.publish_config();
        self.front.table.tick(self.clock.now(), 1);
    }

    /// Opens a client connection.
    pub async fn connect(&self) -> TcpStream {
        let link = TcpStream::connect(self.addr).await.expect("the front listens");
        link.set_nodelay(true).expect("an open link");
        link
    }

    /// Sends bytes on a new connection and reads until the router closes it.
    pub async fn exchange(&self, raw: &[u8]) -> String {
        let mut link = self.connect().await;
        let _ = link.write_all(raw).await;
        read_to_end(&mut link).await
    }

    /// Sends a GET request on a new connection and returns the whole answer.
    pub async fn get(&self, id: &str, path: &str) -> String {
        self.exchange(request_text(id, path, "connection: close\r\n").as_bytes()).await
    }

    /// The requests that have reached a runner.
    pub fn received(&self) -> Vec<Heard> {
        self.runners.heard()
    }
}

/// A step in which a runner writes this text.
pub fn write_text(text: impl Into<String>) -> Step {
    Step::Say(text.into().into_bytes())
}

/// A step in which a runner writes one chunk of a chunked body.
pub fn chunk(text: &str) -> Step {
    write_text(format!("{:x}\r\n{text}\r\n", text.len()))
}

/// A runner's complete answer to `h`, with the header that marks it as its own.
pub fn sealed_answer(h: &Heard, text: &str) -> Step {
    answer(200, h.head("x-request-id"), "x-server-seal: 3e1b\r\n", text)
}

/// A runner's complete answer to the request `id`; `more` are further header lines.
pub fn answer(status: u16, id: &str, more: &str, text: &str) -> Step {
    let n = text.len();
    write_text(format!(
        "HTTP/1.1 {status} X\r\nx-request-id: {id}\r\n{more}content-length: {n}\r\n\r\n{text}"
    ))
}

/// A runner's statement that it did not execute the request.
pub fn not_executed(status: u16, h: &Heard) -> Step {
    answer(status, h.head("x-request-id"), "x-not-executed: 1\r\n", "full")
}
