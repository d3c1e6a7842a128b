//! Connections at rest, by the address of their peer.

use super::connection::{Ready, Resting, SendError};
use super::exchange::{Answer, BodyBroken, Judged};
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
const MOST_AT_REST: usize = 64;
/// The most bytes that are read of an answer nobody wants, to keep its connection.
const DRAIN_LIMIT: usize = 64 << 10;
/// The most bytes of an answer that is read as a whole.
const WHOLE_LIMIT: usize = 16 << 20;
/// How often connections that have rested too long are closed.
const PRUNE_EVERY: Duration = Duration::from_secs(1);

/// Connections at rest.
#[derive(Default)]
pub struct Pool {
    rows: Mutex<Rows>,
}

#[derive(Default)]
struct Rows {
    resting: BTreeMap<SocketAddr, Vec<Resting>>,
    pruned: Option<Instant>,
}

impl Rows {
    /// Takes out the connections that have rested too long.
    fn prune(&mut self, now: Instant) -> Vec<Resting> {
        if self.pruned.is_some_and(|at| now.duration_since(at) < PRUNE_EVERY) {
            return Vec::new();
        }
        self.pruned = Some(now);
        let mut old = Vec::new();
        for rows in self.resting.values_mut() {
            old.extend(rows.extract_if(.., |r| r.is_expired(now)));
        }
        self.resting.retain(|_, rows| !rows.is_empty());
        old
    }
}

impl Pool {
    fn reuse(&self, addr: SocketAddr) -> Option<Ready> {
        loop {
            let resting = self.rows.lock().unwrap().resting.get_mut(&addr)?.pop()?;
            if let Some(ready) = resting.wake(Instant::now()) {
                return Some(ready);
            }
        }
    }

    /// A connection to `addr`: one that rested, or a new one.
    pub async fn connect(&self, addr: SocketAddr) -> Result<Ready, SendError> {
        if let Some(ready) = self.reuse(addr) {
            return Ok(ready);
        }
        Ready::connect(addr).await.ok_or(SendError::NotSent)
    }

    /// Keeps the connection of an answer for later, if the answer was read to its end.
    pub fn keep(&self, addr: SocketAddr, answer: Answer) {
        if let Some(resting) = answer.finish() {
            self.rest(addr, resting);
        }
    }

    /// Keeps a connection at rest for later.
    pub fn rest(&self, addr: SocketAddr, resting: Resting) {
        let mut rows = self.rows.lock().unwrap();
        let old = rows.prune(Instant::now());
        let here = rows.resting.entry(addr).or_default();
        if here.len() < MOST_AT_REST {
            here.push(resting);
        }
        drop(rows);
        old.into_iter().for_each(Resting::close);
    }

    /// Reads what is left of an answer that nobody wants, so that its connection serves again.
    pub async fn drain(&self, addr: SocketAddr, mut answer: Answer) {
        if answer.collect(DRAIN_LIMIT).await.is_ok() {
            self.keep(addr, answer);
        }
    }

    /// Sends a request and reads its answer as a whole, within `limit`. The answer must be one to this request
    /// by the word of `own`.
    pub async fn ask(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
        check: Check,
        own: impl Fn(&HeaderMap) -> bool,
    ) -> Result<(u16, Bytes), SendError> {
        let work = async {
            let exchange = self.connect(addr).await?.send(request, check).await?;
            let verdict = |_, headers: &HeaderMap| {
                if own(headers) { ResponseOrigin::Own } else { ResponseOrigin::Stray }
            };
            let Judged::Own(mut answer) = exchange.judge(verdict) else { return Err(SendError::Unsure) };
            let status = answer.status();
            let body = answer.collect(WHOLE_LIMIT).await.map_err(|BodyBroken| SendError::Unsure)?;
            self.keep(addr, answer);
            Ok((status, body))
        };
        tokio::time::timeout(limit, work).await.unwrap_or(Err(SendError::Unsure))
    }

    /// As [`Pool::ask`], where every answer counts.
    pub async fn whole(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
        check: Check,
    ) -> Result<(u16, Bytes), SendError> {
        self.ask(addr, request, limit, check, |_| true).await
    }
}

/// A check that lets every request pass.
pub fn open() -> Check {
    Arc::new(|| true)
}
