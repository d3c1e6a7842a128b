//! The pool of idle connections, by the address of their peer.

use super::connection::{IdleConnection, ReadyConnection, SendError};
use super::exchange::{BodyBroken, Classified, RunnerAnswer};
use super::guard::Check;
use crate::protocol::ResponseOrigin;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HeaderMap;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The most idle connections kept for one address.
const IDLE_PER_ADDRESS_MAX: usize = 64;
/// The most bytes that are read of an unwanted answer in order to reuse its connection.
const DRAIN_MAX_BYTES: usize = 64 << 10;
/// The largest answer that is read as a whole.
const ANSWER_MAX_BYTES: usize = 16 << 20;
/// How often expired idle connections are closed.
const PRUNE_PERIOD: Duration = Duration::from_secs(1);

/// A pool of idle connections.
#[derive(Default)]
pub struct Pool {
    rows: Mutex<IdleConnections>,
}

#[derive(Default)]
struct IdleConnections {
    idle: BTreeMap<SocketAddr, Vec<IdleConnection>>,
    pruned: Option<Instant>,
}

impl IdleConnections {
    /// Removes and returns the expired connections, at most once in `PRUNE_PERIOD`.
    fn prune(&mut self, now: Instant) -> Vec<IdleConnection> {
        if self.pruned.is_some_and(|at| now.duration_since(at) < PRUNE_PERIOD) {
            return Vec::new();
        }
        self.pruned = Some(now);
        let mut old = Vec::new();
        for rows in self.idle.values_mut() {
            old.extend(rows.extract_if(.., |r| r.is_expired(now)));
        }
        self.idle.retain(|_, rows| !rows.is_empty());
        old
    }
}

impl Pool {
    fn reuse(&self, addr: SocketAddr) -> Option<ReadyConnection> {
        loop {
            let idle = self.rows.lock().unwrap().idle.get_mut(&addr)?.pop()?;
            if let Some(ready) = idle.into_ready(Instant::now()) {
                return Some(ready);
            }
        }
    }

    /// A connection to `addr`: an idle one, or a new one. Fails with `NotSent` if none can be opened.
    pub async fn connect(&self, addr: SocketAddr) -> Result<ReadyConnection, SendError> {
        if let Some(ready) = self.reuse(addr) {
            return Ok(ready);
        }
        ReadyConnection::connect(addr).await.ok_or(SendError::NotSent)
    }

    /// Keeps the connection of an answer for reuse, if the answer was read to its end.
    pub fn keep_connection_of(&self, addr: SocketAddr, answer: RunnerAnswer) {
        if let Some(idle) = answer.into_idle_connection() {
            self.keep_idle(addr, idle);
        }
    }

    /// Keeps an idle connection for reuse, unless there are enough for its address.
    pub fn keep_idle(&self, addr: SocketAddr, idle: IdleConnection) {
        let mut rows = self.rows.lock().unwrap();
        let old = rows.prune(Instant::now());
        let here = rows.idle.entry(addr).or_default();
        if here.len() < IDLE_PER_ADDRESS_MAX {
            here.push(idle);
        }
        drop(rows);
        old.into_iter().for_each(IdleConnection::close);
    }

    /// Reads the rest of an unwanted answer, up to `DRAIN_MAX_BYTES`, so that its connection can be reused.
    pub async fn drain(&self, addr: SocketAddr, mut answer: RunnerAnswer) {
        if answer.collect(DRAIN_MAX_BYTES).await.is_ok() {
            self.keep_connection_of(addr, answer);
        }
    }

    /// Sends a request and reads its whole answer within `limit`; returns status and body. `is_own` decides by the
    /// headers whether the answer belongs to this request. Fails with `MaybeSent` if there is no such answer in time.
    pub async fn fetch_matching(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
        check: Check,
        is_own: impl Fn(&HeaderMap) -> bool,
    ) -> Result<(u16, Bytes), SendError> {
        let work = async {
            let sent = self.connect(addr).await?.send(request, check).await?;
            let origin = |_, headers: &HeaderMap| {
                if is_own(headers) { ResponseOrigin::Own } else { ResponseOrigin::Stray }
            };
            let Classified::Own(mut answer) = sent.judge(origin) else { return Err(SendError::MaybeSent) };
            let status = answer.status();
            let body = answer.collect(ANSWER_MAX_BYTES).await.map_err(|BodyBroken| SendError::MaybeSent)?;
            self.keep_connection_of(addr, answer);
            Ok((status, body))
        };
        tokio::time::timeout(limit, work).await.unwrap_or(Err(SendError::MaybeSent))
    }

    /// As [`Pool::fetch_matching`], but accepts any answer.
    pub async fn fetch(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
        check: Check,
    ) -> Result<(u16, Bytes), SendError> {
        self.fetch_matching(addr, request, limit, check, |_| true).await
    }
}

/// A check that never refuses a request.
pub fn always_allowed() -> Check {
    Arc::new(|| true)
}
