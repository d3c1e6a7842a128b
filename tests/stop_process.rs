//! Orderly shutdown of real router processes during repeated signals, a move, and the loss of a runner.

use spindledock::cli::run::{Ask, ask};
use spindledock::json::Tree;
use spindledock::json::tree::map;
use spindledock::launch::deployment::small;
use spindledock::launch::procs::{Fleet, free_base};
use spindledock::launch::trial::Trial;
use spindledock::standin::caller::{assistant, call};
use spindledock::standin::tally::{End, Tally};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// How long the shutdown of a router may take.
const GRACE: Duration = Duration::from_secs(8);
const SLACK: Duration = Duration::from_millis(1500);
const LONG: Duration = Duration::from_secs(60);
/// The length of a stream: about two seconds.
const TOKENS: u64 = 100;
const STREAMS: u64 = 4;
const RUNNERS: [&str; 3] = ["a1", "a2", "a3"];

async fn runs(trial: &Trial, runner: &str) -> u64 {
    let report = ask(&trial.pool, &[trial.fleet.links(runner)], &Ask::get("/spindle/report")).await;
    let tree = report.ok().and_then(|sent| Tree::parse(&sent.body).ok());
    tree.and_then(|tree| tree.num("running")).unwrap_or(0)
}

async fn all_runs(trial: &Trial) -> u64 {
    let mut all = 0;
    for runner in RUNNERS {
        all += runs(trial, runner).await;
    }
    all
}

/// The runner that serves the streams, and one that serves none.
async fn busy_and_idle(trial: &Trial) -> (&'static str, &'static str) {
    let (mut busy, mut idle) = ("", "");
    for runner in RUNNERS {
        match runs(trial, runner).await {
            0 => idle = runner,
            _ => busy = runner,
        }
    }
    (busy, idle)
}

async fn streams(trial: &Trial, router: &str) -> Result<Vec<JoinHandle<Tally>>, String> {
    let addr = trial.fleet.http(router);
    let open = |n: u64| {
        let (pool, what) = (trial.pool.clone(), assistant("/chat/x", "m00", TOKENS, n));
        tokio::spawn(async move { call(&pool, addr, &what).await })
    };
    let all = (0..STREAMS).map(open).collect();
    trial.until("the streams run", LONG, async |trial: &Trial| all_runs(trial).await == STREAMS).await?;
    Ok(all)
}

async fn sum(streams: Vec<JoinHandle<Tally>>) -> Tally {
    let mut all = Tally::default();
    for stream in streams {
        all.merge(stream.await.expect("a client ends"));
    }
    all
}

/// Waits until a router that was told to stop has ended, and starts it again.
async fn wait_and_restart(trial: &mut Trial, router: &str, told: Instant) -> Result<(), String> {
    while trial.fleet.exit_of(router).is_none() {
        assert!(
            told.elapsed() < GRACE + SLACK,
            "{router} still runs {:?} after it was told to stop",
            told.elapsed()
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(trial.fleet.exit_of(router).is_some_and(|status| status.success()), "{router} ended badly");
    trial.fleet.wait_end(router);
    trial.fleet.start(router)?;
    trial.ready(&[router.to_string()]).await?;
    Ok(())
}

async fn stop_with_repeated_signals(trial: &mut Trial) -> Result<(), String> {
    let under_way = streams(trial, "r1").await?;
    let told = Instant::now();
    for signal in [libc::SIGHUP, libc::SIGTERM, libc::SIGHUP, libc::SIGTERM, libc::SIGHUP, libc::SIGTERM] {
        trial.fleet.signal("r1", signal);
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    let all = sum(under_way).await;
    assert_eq!(all.get(End::Whole), STREAMS, "beside other signals: {all} {:?}", all.wrongs);
    wait_and_restart(trial, "r1", told).await
}

async fn stop_during_a_move(trial: &mut Trial) -> Result<(), String> {
    let under_way = streams(trial, "r2").await?;
    let (from, to) = busy_and_idle(trial).await;
    let plan = map(&[
        ("service", "assistant".into()),
        ("model", "m00".into()),
        ("from", from.into()),
        ("to", to.into()),
    ]);
    let (node, call) = (trial.fleet.admin("c1"), Ask::send("POST", "/v1/moves", plan.to_string()));
    let pool = trial.pool.clone();
    let asked = tokio::spawn(async move { ask(&pool, &[node], &call).await.map(|sent| sent.status) });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let told = Instant::now();
    trial.fleet.signal("r2", libc::SIGTERM);
    let all = sum(under_way).await;
    assert_eq!(all.get(End::Whole), STREAMS, "beside a move: {all} {:?}", all.wrongs);
    wait_and_restart(trial, "r2", told).await?;
    let _ = asked.await;
    Ok(())
}

async fn stop_and_lose_a_runner(trial: &mut Trial) -> Result<(), String> {
    let under_way = streams(trial, "r3").await?;
    let (busy, _) = busy_and_idle(trial).await;
    let told = Instant::now();
    trial.fleet.signal("r3", libc::SIGTERM);
    trial.fleet.kill(busy);
    let all = sum(under_way).await;
    // A request whose answer has not begun may get the answer that its outcome is unknown.
    let clear = all.get(End::Whole) + all.get(End::Broken) + all.get(End::Unknown);
    assert_eq!(clear, STREAMS, "beside a lost runner: {all} {:?}", all.wrongs);
    trial.fleet.start(busy)?;
    wait_and_restart(trial, "r3", told).await
}

async fn run_all(dir: &std::path::Path) -> Result<(), String> {
    let mut trial = Trial::new(Fleet::new(small(), dir, free_base())?);
    trial.fleet.options.drain_ms = GRACE.as_millis() as u64;
    trial.fleet.start_all()?;
    trial.ready(&trial.fleet.controllers()).await?;
    trial.ready(&trial.fleet.routers()).await?;
    assert_eq!(trial.apply("r1").await?.status, 200);
    trial.list("c1").await?;
    trial.held(4, LONG).await?;
    stop_with_repeated_signals(&mut trial).await?;
    stop_during_a_move(&mut trial).await?;
    stop_and_lose_a_runner(&mut trial).await
}

// Guards against: another signal, a move or the loss of a runner makes an orderly shutdown lose answers or hang.
#[test]
fn given_streams_under_way_when_their_router_stops_beside_other_trouble_then_it_hands_them_over_and_ends() {
    let dir = std::env::temp_dir().join(format!("spindledock-stop-{}", std::process::id()));
    let runtime = tokio::runtime::Runtime::new().expect("threads");
    let done = runtime.block_on(run_all(&dir));
    drop(runtime);
    if done.is_ok() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    done.unwrap_or_else(|why| panic!("{why}; logs are in {}", dir.display()));
}
