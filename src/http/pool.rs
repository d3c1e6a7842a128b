//! Connections at rest, by the address of their peer.

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

/// The most connections kept at rest for one address.
const IDLE_PER_ADDRESS_MAX: usize = 64;
/// The most bytes that are read of an answer nobody wants, to keep its connection.
const DRAIN_MAX_BYTES: usize = 64 << 10;
/// The most bytes of an answer that is read as a whole.
const ANSWER_MAX_BYTES: usize = 16 << 20;
/// How often connections that have rested too long are closed.
const PRUNE_PERIOD: Duration = Duration::from_secs(1);

/// Connections at rest.
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
    /// Takes out the connections that have rested too long.
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

    /// A connection to `addr`: one that rested, or a new one.
    pub async fn connect(&self, addr: SocketAddr) -> Result<ReadyConnection, SendError> {
        if let Some(ready) = self.reuse(addr) {
            return Ok(ready);
        }
        ReadyConnection::connect(addr).await.ok_or(SendError::NotSent)
    }

    /// Keeps the connection of an answer for later, if the answer was read to its end.
    pub fn keep_connection_of(&self, addr: SocketAddr, answer: RunnerAnswer) {
        if let Some(idle) = answer.into_idle_connection() {
            self.keep_idle(addr, idle);
        }
    }

    /// Keeps a connection at rest for later.
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

    /// Reads what is left of an answer that nobody wants, so that its connection serves again.
    pub async fn drain(&self, addr: SocketAddr, mut answer: RunnerAnswer) {
        if answer.collect(DRAIN_MAX_BYTES).await.is_ok() {
            self.keep_connection_of(addr, answer);
        }
    }

    /// Sends a request and reads its answer as a whole, within `limit`. The answer must be one to this request
    /// by the word of `own`.
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

    /// As [`Pool::ask`], where every answer counts.
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

/// A check that lets every request pass.
pub fn always_allowed() -> Check {
    Arc::new(|| true)
}
