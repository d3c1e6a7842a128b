//! The clients of a soak. Each uses one connection for as long as it lasts, and stays with its router until that is
//! gone.

use super::operator::Journal;
use super::slow_socket;
use crate::http::connection::{IdleConnection, ReadyConnection};
use crate::kernel::time::{BootClock, Clock, Time};
use crate::launch::deployment::Deployment;
use crate::sim::record::Fact;
use crate::standin::caller::{Call, Called, assistant, call_over, tile};
use crate::standin::tally::{End, Tally};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a client waits for the whole of an answer.
const PATIENCE: Duration = Duration::from_secs(30);
/// The code of a request whose client had no more patience.
pub const GAVE_UP: &str = "gave-up";
/// The pause of a slow client after each piece that it reads.
const SLOW_PAUSE: Duration = Duration::from_millis(60);
/// The lines of an answer that a slow client asks for.
const LONG_LINES: u64 = 70_000;
/// How many lines more there may be, so that answers end anywhere in the buffers on their way.
const LONG_LINES_SPREAD: u64 = 16_384;
/// How often a client tries a router that takes no connection before it goes on to another.
const CONNECT_TRIES: u32 = 3;

/// What a client asks for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Kind {
    /// Streams that may be resumed.
    Resumable,
    /// Streams that may not.
    Single,
    /// Plain answers.
    Plain,
    /// Long plain answers, read slowly.
    Slow,
}

/// The clients of one router.
pub const KINDS: [Kind; 7] =
    [Kind::Resumable, Kind::Resumable, Kind::Single, Kind::Plain, Kind::Slow, Kind::Slow, Kind::Slow];

/// One request as its client saw it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The id of the request.
    pub id: u64,
    /// The router it was sent to.
    pub router: usize,
    /// What was asked for.
    pub kind: Kind,
    /// When it was sent.
    pub began: Time,
    /// When its answer ended.
    pub ended: Time,
    /// How its answer ended.
    pub end: End,
    /// The code of an answer that the router made itself, or [`GAVE_UP`].
    pub code: String,
}

/// What all clients share.
pub struct Clients {
    /// The fleet.
    pub plan: Deployment,
    /// The routers' addresses for clients.
    pub routers: Vec<SocketAddr>,
    /// Knows the models that are offered.
    pub journal: Arc<Mutex<Journal>>,
    /// What the clients wrote down.
    pub seen: Mutex<(Vec<CallRecord>, Tally)>,
    /// Whether the clients are to end.
    pub over: AtomicBool,
}

struct Client {
    shared: Arc<Clients>,
    kind: Kind,
    router: usize,
    random: ChaCha8Rng,
    resting: Option<IdleConnection>,
    refused_connections: u32,
}

/// Starts the clients of all routers; they end soon after `over` is set.
pub fn start(shared: &Arc<Clients>, seed: u64) -> tokio::task::JoinSet<()> {
    let mut tasks = tokio::task::JoinSet::new();
    for router in 0..shared.routers.len() {
        for (n, kind) in KINDS.into_iter().enumerate() {
            let stream = (router * KINDS.len() + n) as u64;
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            random.set_stream(stream + 1);
            let (shared, resting) = (shared.clone(), None);
            tasks.spawn(Client { shared, kind, router, random, resting, refused_connections: 0 }.work());
        }
    }
    tasks
}

impl Client {
    async fn work(mut self) {
        while !self.shared.over.load(Ordering::SeqCst) {
            let what = self.request();
            self.call(&what).await;
            let pause = self.random.random_range(20..250);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    fn request(&mut self) -> Call {
        let salt = self.random.random_range(0..u64::MAX >> 12);
        let service = self.shared.plan.plain_service;
        match self.kind {
            Kind::Plain => tile(service, salt),
            Kind::Slow => {
                let lines = LONG_LINES + salt % LONG_LINES_SPREAD;
                Call { path: format!("/{service}/{salt}/lines-{lines}"), ..tile(service, salt) }
            }
            Kind::Resumable => assistant(&format!("/chat/{salt}"), &self.model(), 40, salt),
            Kind::Single => {
                let path = format!("/counter/{salt}");
                Call { resumable: false, ..assistant(&path, &self.model(), 20, salt) }
            }
        }
    }

    /// A model that is offered; a few are asked for more often.
    fn model(&mut self) -> String {
        let offered = self.shared.journal.lock().unwrap().offered.clone();
        let one = self.random.random_range(0..offered.len());
        let other = self.random.random_range(0..offered.len());
        offered[one.min(other)].clone()
    }

    async fn connection(&mut self) -> Option<ReadyConnection> {
        let kept = self.resting.take().and_then(|resting| resting.into_ready(Instant::now()));
        if kept.is_some() {
            return kept;
        }
        let addr = self.shared.routers[self.router];
        if self.kind != Kind::Slow {
            return ReadyConnection::connect(addr).await;
        }
        ReadyConnection::over(slow_socket::connect(addr).await.ok()?).await
    }

    async fn call(&mut self, what: &Call) {
        let (router, addr) = (self.router, self.shared.routers[self.router]);
        let pause = if self.kind == Kind::Slow { SLOW_PAUSE } else { Duration::ZERO };
        let Some(ready) = self.connection().await else { return self.not_connected().await };
        self.refused_connections = 0;
        let called = Called::now(what);
        let work = call_over(called.clone(), ready, addr, what, pause);
        let tally = match tokio::time::timeout(PATIENCE, work).await {
            Ok((tally, resting)) => {
                self.resting = resting;
                tally
            }
            Err(_) => {
                let mut tally = Tally::default();
                tally.add(End::Failed);
                called.ended(tally, GAVE_UP)
            }
        };
        self.record(router, tally);
    }

    /// No connection could be had: the client stays for a while, then goes on to another router.
    async fn not_connected(&mut self) {
        self.refused_connections += 1;
        if self.refused_connections >= CONNECT_TRIES {
            self.refused_connections = 0;
            self.router = (self.router + 1) % self.shared.routers.len();
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }

    fn record(&self, router: usize, tally: Tally) {
        let mut seen = self.shared.seen.lock().unwrap();
        if let Some(row) = record_of(router, self.kind, &tally) {
            seen.0.push(row);
        }
        seen.1.merge(tally);
    }
}

fn record_of(router: usize, kind: Kind, tally: &Tally) -> Option<CallRecord> {
    let [(began, Fact::Called { call, .. }), (ended, Fact::Ended { end, code, .. })] = &tally.facts[..]
    else {
        return None;
    };
    let (began, ended, end, code) = (*began, *ended, *end, code.clone());
    Some(CallRecord { id: *call, router, kind, began, ended, end, code })
}

/// Now, by the clock that runners write their records by.
pub fn now() -> Time {
    BootClock.now()
}
