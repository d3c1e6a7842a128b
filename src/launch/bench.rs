use super::trial::Trial;
use crate::http::pool::{Pool, always_allowed};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

fn order(path: &str, runner: &str) -> Request<Full<Bytes>> {
    let b = Request::builder().uri(path).header("host", "bench").header("x-target-instance", runner);
    b.body(Full::new(Bytes::new())).expect("a valid order")
}

async fn one(pool: &Pool, addr: SocketAddr, path: &str, runner: &str) -> Option<u64> {
    let began = Instant::now();
    let done = pool.fetch(addr, order(path, runner), Duration::from_secs(5), always_allowed()).await.ok()?;
    (done.0 == 200).then(|| began.elapsed().as_micros() as u64)
}

fn part(rows: &mut [u64], hundredths: usize) -> u64 {
    rows.sort();
    rows.get(rows.len().saturating_sub(1) * hundredths / 100).copied().unwrap_or(0)
}

pub async fn latency(t: &Trial, n: u64) -> Result<String, String> {
    let (path, runner) = (format!("/{}/7", t.fleet.plan.plain_service), "p1");
    let (direct, router) = (t.fleet.links(runner), t.fleet.http("r1"));
    let (mut a, mut b, mut d) = (Vec::new(), Vec::new(), Vec::new());
    for k in 0..n {
        let pair = if k % 2 == 0 {
            let x = one(&t.pool, direct, &path, runner).await;
            (x, one(&t.pool, router, &path, runner).await)
        } else {
            let y = one(&t.pool, router, &path, runner).await;
            (one(&t.pool, direct, &path, runner).await, y)
        };
        if let (Some(x), Some(y)) = pair
            && k > n / 10
        {
            a.push(x);
            b.push(y);
            d.push(y.saturating_sub(x));
        }
    }
    Ok(format!(
        "pairs={} direct_us p50={} p99={} routed_us p50={} p99={} added_us p25={} p50={} p75={}",
        a.len(),
        part(&mut a, 50),
        part(&mut a, 99),
        part(&mut b, 50),
        part(&mut b, 99),
        part(&mut d, 25),
        part(&mut d, 50),
        part(&mut d, 75)
    ))
}

pub async fn load(t: &Trial, routed: bool, wide: usize, lasting: Duration) -> u64 {
    let (path, runner) = (format!("/{}/7", t.fleet.plan.plain_service), "p1");
    let addr = if routed { t.fleet.http("r1") } else { t.fleet.links(runner) };
    let pool = Arc::new(Pool::default());
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..wide {
        let (pool, path) = (pool.clone(), path.clone());
        tasks.spawn(async move {
            let (began, mut n) = (Instant::now(), 0u64);
            while began.elapsed() < lasting {
                n += u64::from(one(&pool, addr, &path, "p1").await.is_some());
            }
            n
        });
    }
    let mut sum = 0;
    while let Some(n) = tasks.join_next().await {
        sum += n.unwrap_or(0);
    }
    sum * 1000 / lasting.as_millis() as u64
}
