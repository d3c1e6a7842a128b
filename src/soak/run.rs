//! Playing a schedule on a fleet of processes.

use super::checks::{Evidence, findings};
use super::clients::{self, Clients};
use super::deployments;
use super::director::Director;
use super::final_state;
use super::operator::{Journal, Operator};
use super::options::SoakOptions;
use super::report::Report;
use super::schedule::{GRACE, Schedule};
use crate::launch::deployment::Deployment;
use crate::launch::ports::free_base_for;
use crate::launch::procs::Fleet;
use crate::launch::trial::Trial;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc;

/// The pause of runners in the midst of each event, in microseconds.
const SPLIT_US: u64 = 15_000;
/// How many models are held before the clients begin.
const HELD_FIRST: usize = 8;
/// How long the first models may take.
const FIRST_LOADS: Duration = Duration::from_secs(90);

/// Plays all seeds one after the other and prints what is told of each; how many of them failed.
pub async fn soak_seeds(options: &SoakOptions) -> Result<u64, String> {
    let mut failed = 0;
    for seed in options.from..options.to {
        let report = soak(options, seed).await?;
        print!("{report}");
        if !report.findings.is_empty() {
            failed += 1;
            println!(
                "kept in {}; again: {}",
                options.dir.join(format!("seed-{seed}")).display(),
                options.command(seed)
            );
        }
    }
    Ok(failed)
}

/// Plays the schedule of a seed and judges what was seen.
pub async fn soak(options: &SoakOptions, seed: u64) -> Result<Report, String> {
    let plan = options.deployment()?;
    let schedule = Schedule::draw(seed, &plan, options.length);
    let dir = options.dir.join(format!("seed-{seed}"));
    let _ = std::fs::remove_dir_all(&dir);
    let trial = started(plan, &dir, &schedule).await?;
    let report = play(Director::new(trial), schedule).await?;
    if report.findings.is_empty() {
        std::fs::remove_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    } else {
        report.keep(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    }
    Ok(report)
}

/// A fleet whose first models are held.
async fn started(plan: Deployment, dir: &Path, schedule: &Schedule) -> Result<Trial, String> {
    let base = free_base_for(&plan);
    let mut fleet = Fleet::new(plan, dir, base)?;
    std::fs::write(dir.join("fleet.json"), deployments::catalog(&fleet.plan)).map_err(|e| e.to_string())?;
    fleet.options.drain_ms = GRACE.as_millis() as u64;
    fleet.options.split_us = SPLIT_US;
    fleet.options.unframed = schedule.unframed.clone();
    fleet.options.slots = deployments::SLOTS;
    let mut trial = Trial::new(fleet);
    trial.fleet.start_all()?;
    trial.ready(&trial.fleet.controllers()).await?;
    trial.ready(&trial.fleet.routers()).await?;
    let first = trial.fleet.routers().remove(0);
    let applied = trial.apply(&first).await?;
    if applied.status != 200 {
        return Err(format!("the first configuration was answered {}: {}", applied.status, applied.body));
    }
    trial.list(&first).await?;
    trial.held(trial.fleet.plan.models.min(HELD_FIRST), FIRST_LOADS).await?;
    Ok(trial)
}

/// Plays a schedule beside clients and judges what was seen; the processes end with the director.
async fn play(mut director: Director, schedule: Schedule) -> Result<Report, String> {
    let plan = director.trial.fleet.plan.clone();
    let processes = director.trial.fleet.started().len();
    let offered = (0..plan.models).map(|n| plan.model(n)).collect();
    let journal = Arc::new(Mutex::new(Journal { offered, ..Journal::default() }));
    let shared = Arc::new(Clients {
        plan: plan.clone(),
        routers: director.trial.fleet.routers().iter().map(|r| director.trial.fleet.http(r)).collect(),
        journal: journal.clone(),
        seen: Mutex::default(),
        over: AtomicBool::new(false),
    });
    let (jobs, queue) = mpsc::unbounded_channel();
    let nodes = director.nodes().iter().map(|node| director.trial.fleet.admin(node)).collect();
    let operator = tokio::spawn(Operator::new(plan.clone(), nodes, journal.clone()).work(queue));
    let mut tasks = clients::start(&shared, schedule.seed);
    director.steps(&schedule, &jobs).await?;
    shared.over.store(true, Ordering::SeqCst);
    while tasks.join_next().await.is_some() {}
    drop(jobs);
    operator.await.map_err(|e| format!("the operator failed: {e}"))?;
    director.settle().await?;
    let journal = std::mem::take(&mut *journal.lock().unwrap());
    let mut found = std::mem::take(&mut director.findings);
    found.extend(final_state::look(&director.trial, &journal.changes).await);
    found.extend(director.panics());
    let (calls, tally) = std::mem::take(&mut *shared.seen.lock().unwrap());
    let evidence = Evidence {
        plan: &plan,
        dir: &director.trial.fleet.dir,
        runners: &director.runners,
        calls: &calls,
        tally: &tally,
        journal: &journal,
        unplanned: &director.unplanned,
        stops: &director.stops,
        unframed: &schedule.unframed,
    };
    found.extend(findings(&evidence));
    let done = std::mem::take(&mut director.done);
    Ok(Report { schedule, processes, tally, calls, changes: journal.changes, done, findings: found })
}
