//! A fleet of real processes: configuration by the command line, a move during streams, and the loss of the chain's head.

use spindledock::cli::run::Ask;
use spindledock::json::Tree;
use spindledock::launch::deployment::small;
use spindledock::launch::procs::{Fleet, free_base};
use spindledock::launch::trial::Trial;
use spindledock::standin::caller::{assistant, call};
use spindledock::standin::tally::{End, Tally};
use std::process::Command;
use std::time::Duration;

const LONG: Duration = Duration::from_secs(60);

fn cli(trial: &Trial, node: &str, args: &[&str]) -> (i32, Tree) {
    let admin = trial.fleet.admin(node).to_string();
    let out = Command::new(env!("CARGO_BIN_EXE_spindledock"))
        .args(["--node", &admin, "--json"])
        .args(args)
        .output()
        .expect("the command line starts");
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    (out.status.code().unwrap_or(-1), Tree::parse(text.trim()).unwrap_or(Tree::Null))
}

async fn streams(trial: &Trial, n: u64, tokens: u64) -> Vec<tokio::task::JoinHandle<Tally>> {
    let routers = trial.fleet.routers();
    let mut out = Vec::new();
    for k in 0..n {
        let router = trial.fleet.http(&routers[k as usize % routers.len()]);
        let (pool, what) = (trial.pool.clone(), assistant("/chat/x", "m00", tokens, k));
        out.push(tokio::spawn(async move { call(&pool, router, &what).await }));
    }
    out
}

async fn sum(rows: Vec<tokio::task::JoinHandle<Tally>>) -> Tally {
    let mut all = Tally::default();
    for row in rows {
        all.merge(row.await.expect("a caller ends"));
    }
    all
}

const ASSISTANTS: [&str; 3] = ["a1", "a2", "a3"];

async fn runs(trial: &Trial, runner: &str) -> u64 {
    let report =
        spindledock::cli::run::ask(&trial.pool, &[trial.fleet.links(runner)], &Ask::get("/spindle/report"))
            .await;
    let tree = report.ok().and_then(|s| Tree::parse(&s.body).ok());
    tree.and_then(|trial| trial.num("running")).unwrap_or(0)
}

async fn run_all(dir: &std::path::Path) -> Result<(), String> {
    let mut trial = Trial::new(Fleet::new(small(), dir, free_base())?);
    trial.fleet.start_all()?;
    trial.ready(&trial.fleet.controllers()).await?;
    trial.ready(&trial.fleet.routers()).await?;
    let file = dir.join("fleet.json").display().to_string();
    assert_eq!(cli(&trial, "r2", &["check", &file]).0, 0);
    let (code, end) = cli(&trial, "r2", &["apply", &file]);
    assert_eq!((code, end.text("code")), (0, Some("ok")), "{end}");
    assert_eq!(end.list("stages").len(), 3, "{end}");
    let list = dir.join("list.json");
    std::fs::write(&list, trial.fleet.runner_list()).map_err(|e| e.to_string())?;
    assert_eq!(cli(&trial, "c1", &["list", &list.display().to_string()]).0, 0);
    trial.held(4, LONG).await?;

    for _ in 0..20 {
        let all = sum(streams(&trial, 6, 4).await).await;
        assert_eq!(all.get(End::Whole), 6, "{all} {:?}", all.wrongs);
    }

    let part = dir.join("part.json");
    std::fs::write(&part, r#"{"models":[{"name":"late","weight_mb":10}]}"#).map_err(|e| e.to_string())?;
    let part = part.display().to_string();
    let stale = cli(&trial, "r1", &["patch", &part, "--base", "v0"]);
    assert_eq!((stale.0, stale.1.text("code")), (1, Some("stale-base")), "{}", stale.1);
    assert_eq!(cli(&trial, "r1", &["patch", &part]).0, 0);
    let shown: Vec<Tree> = ["c1", "r1", "r3"].iter().map(|n| cli(&trial, n, &["show"]).1).collect();
    assert!(shown.iter().all(|s| *s == shown[0] && s.to_string().contains("late")));

    let flow = streams(&trial, 4, 250).await;
    trial
        .until("the streams run", LONG, async |trial: &Trial| {
            let mut all = 0;
            for r in ASSISTANTS {
                all += runs(trial, r).await;
            }
            all == 4
        })
        .await?;
    let (mut from, mut to) = (None, None);
    for r in ASSISTANTS {
        match runs(&trial, r).await {
            0 => to = Some(r),
            _ => from = Some(r),
        }
    }
    let from = from.ok_or("m00 runs nowhere")?.to_string();
    let to = to.ok_or("no other runner")?;
    let moved = ["move", "--service", "assistant", "--model", "m00", "--from", &from, "--to", to];
    let (code, end) = cli(&trial, "r3", &moved);
    assert_eq!(code, 0, "{end}");
    trial
        .until("the streams moved", LONG, async |trial: &Trial| {
            runs(trial, to).await > 0 && runs(trial, &from).await == 0
        })
        .await?;
    let all = sum(flow).await;
    assert_eq!(all.get(End::Whole), 4, "{all} {:?}", all.wrongs);

    let nodes = cli(&trial, "r1", &["nodes"]).1;
    let Tree::List(rows) = nodes else { return Err("nodes is no list".into()) };
    let head = rows.iter().find(|r| r.text("place") == Some("head")).and_then(|r| r.text("admin"));
    let head = head.ok_or("no head is shown")?.to_string();
    let name = trial.fleet.controllers().into_iter().find(|c| trial.fleet.admin(c).to_string() == head);
    let name = name.ok_or("the head is no controller")?;
    trial.fleet.kill(&name);
    let other = trial.fleet.controllers().into_iter().find(|c| *c != name).ok_or("no other")?;
    std::fs::write(dir.join("part.json"), r#"{"models":[{"name":"later","weight_mb":10}]}"#)
        .map_err(|e| e.to_string())?;
    let (code, end) = cli(&trial, &other, &["patch", &part]);
    assert_eq!(code, 0, "{end}");
    let text = cli(&trial, "r2", &["show"]).1.to_string();
    assert!(text.contains("\"late\"") && text.contains("\"later\""));
    let all = sum(streams(&trial, 6, 20).await).await;
    assert_eq!(all.get(End::Whole), 6, "{all} {:?}", all.wrongs);
    trial.fleet.start(&name)?;
    trial.ready(std::slice::from_ref(&name)).await?;

    trial.fleet.signal("r1", libc::SIGTERM);
    trial.fleet.wait_end("r1");
    assert_eq!(cli(&trial, "r1", &["status"]).0, 3);
    Ok(())
}

#[test]
fn given_real_processes_when_changed_moved_and_hurt_then_callers_get_whole_answers() {
    let dir = std::env::temp_dir().join(format!("spindledock-{}", std::process::id()));
    let rt = tokio::runtime::Runtime::new().expect("threads");
    let done = rt.block_on(run_all(&dir));
    drop(rt);
    if done.is_ok() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    done.unwrap_or_else(|why| panic!("{why}; logs are in {}", dir.display()));
}
