//! Carrying a schedule out: signals, restarts and faults, and a look after the processes meanwhile.

use super::checks::{Finding, Rule};
use super::clients;
use super::operator::Job;
use super::schedule::{GRACE, Schedule};
use super::step::{RunnerFault, Signal, Step};
use super::trouble::Troubles;
use crate::cli::run::{Ask, ask};
use crate::kernel::time::Time;
use crate::launch::trial::Trial;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// How often ended processes are looked for.
const LOOK_PAUSE: Duration = Duration::from_millis(25);
/// How much longer than its grace a process may take until it is seen to be gone.
const STOP_SLACK: Duration = Duration::from_millis(1500);
/// How long a runner may take to hear of its fault.
const FAULT_TIMEOUT: Duration = Duration::from_millis(500);

/// Carries the steps of a schedule out.
pub struct Director {
    /// The fleet.
    pub trial: Trial,
    /// When which process was in trouble that was not planned.
    pub unplanned: Troubles,
    /// The processes that were told to stop, and when each was last told or thawed.
    stopping: BTreeMap<String, Instant>,
    /// The processes that are to start as soon as they are gone.
    restarts: BTreeSet<String>,
    frozen: BTreeSet<String>,
    /// When which process was told to stop.
    pub stops: Vec<(String, Time)>,
    /// All runners that ever ran.
    pub runners: Vec<String>,
    /// What was done, and when.
    pub done: Vec<(Time, String)>,
    /// What was broken, as far as the processes themselves show it.
    pub findings: Vec<Finding>,
}

impl Director {
    /// For a fleet that serves.
    pub fn new(trial: Trial) -> Director {
        let runners = trial.fleet.runners();
        Director {
            trial,
            unplanned: Troubles::default(),
            stopping: BTreeMap::new(),
            restarts: BTreeSet::new(),
            frozen: BTreeSet::new(),
            stops: Vec::new(),
            runners,
            done: Vec::new(),
            findings: Vec::new(),
        }
    }

    /// The controllers and the routers.
    pub fn nodes(&self) -> Vec<String> {
        let fleet = &self.trial.fleet;
        fleet.controllers().into_iter().chain(fleet.routers()).collect()
    }

    /// Carries out the steps, each at its time, until the clients are to end.
    pub async fn steps(
        &mut self,
        schedule: &Schedule,
        jobs: &mpsc::UnboundedSender<Job>,
    ) -> Result<(), String> {
        let began = Instant::now();
        let mut steps = schedule.steps.iter().peekable();
        while began.elapsed() < schedule.length {
            while let Some((_, step)) = steps.next_if(|step| step.0 <= began.elapsed()) {
                self.done.push((clients::now(), step.to_string()));
                self.carry_out(step, jobs).await?;
            }
            self.look_after_processes()?;
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        Ok(())
    }

    /// Waits until every process that was to come back has been started.
    pub async fn settle(&mut self) -> Result<(), String> {
        let until = Instant::now() + GRACE + STOP_SLACK;
        while !self.restarts.is_empty() && Instant::now() < until {
            self.look_after_processes()?;
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        Ok(())
    }

    async fn carry_out(&mut self, step: &Step, jobs: &mpsc::UnboundedSender<Job>) -> Result<(), String> {
        let mut job = None;
        match step {
            Step::Signal { process, signal } => self.signal(process, *signal),
            Step::Restart { process } => drop(self.restarts.insert(process.clone())),
            Step::Wipe { process } => drop(std::fs::remove_dir_all(self.trial.fleet.data(process))),
            Step::Break { runner, fault } => self.set_fault(runner, Some(*fault)).await,
            Step::Mend { runner } => self.set_fault(runner, None).await,
            Step::Change(change) => job = Some(Job::Change(change.clone())),
            Step::Join { runner } => {
                self.runners.push(runner.clone());
                self.trial.fleet.roster.push(runner.clone());
                self.trial.fleet.start(runner)?;
                job = Some(Job::Runners(self.trial.fleet.runner_list()));
            }
            Step::MarkLeaving { runner } => job = Some(Job::Leaving(runner.clone())),
            Step::Retire { runner } => {
                self.unplanned.begin(runner, clients::now());
                self.trial.fleet.kill(runner);
                self.trial.fleet.roster.retain(|name| name != runner);
                job = Some(Job::Runners(self.trial.fleet.runner_list()));
            }
        }
        if let Some(job) = job {
            jobs.send(job).map_err(|_| "the operator is gone".to_string())?;
        }
        Ok(())
    }

    fn signal(&mut self, process: &str, signal: Signal) {
        if !self.trial.fleet.running(process) {
            return;
        }
        if signal == Signal::Freeze || signal == Signal::Kill {
            self.unplanned.begin(process, clients::now());
        }
        match signal {
            Signal::Kill => {
                self.trial.fleet.kill(process);
                self.stopping.remove(process);
            }
            Signal::Terminate => {
                self.stops.push((process.to_string(), clients::now()));
                self.stopping.entry(process.to_string()).or_insert_with(Instant::now);
                self.restarts.insert(process.to_string());
            }
            Signal::Freeze => drop(self.frozen.insert(process.to_string())),
            Signal::Thaw => {
                self.frozen.remove(process);
                if let Some(at) = self.stopping.get_mut(process) {
                    *at = Instant::now();
                }
            }
            Signal::HangUp => {}
        }
        self.trial.fleet.signal(process, signal.number());
        if signal == Signal::Thaw {
            self.unplanned.end(process, clients::now());
        }
    }

    async fn set_fault(&mut self, runner: &str, fault: Option<RunnerFault>) {
        if fault.is_some() {
            self.unplanned.begin(runner, clients::now());
        }
        let order = Ask::send("POST", "/fault", fault.map_or("none", RunnerFault::name).to_string());
        let nodes = [self.trial.fleet.links(runner)];
        let _ = tokio::time::timeout(FAULT_TIMEOUT, ask(&self.trial.pool, &nodes, &order)).await;
        if fault.is_none() {
            self.unplanned.end(runner, clients::now());
        }
    }

    /// Takes note of processes that have ended and starts those that are to come back.
    fn look_after_processes(&mut self) -> Result<(), String> {
        for process in self.trial.fleet.started() {
            if let Some(status) = self.trial.fleet.exit_of(&process) {
                self.trial.fleet.wait_end(&process);
                let told = self.stopping.remove(&process).is_some();
                self.done.push((clients::now(), format!("ended process={process} {status}")));
                if !told || !status.success() {
                    let text = format!("{process} ended by itself or badly: {status}");
                    self.findings.push(Finding::new(Rule::Gone, text));
                }
            } else if self.is_overdue(&process) {
                let text = format!("{process} still runs {:?} after it was told to stop", GRACE + STOP_SLACK);
                self.findings.push(Finding::new(Rule::Gone, text));
                self.unplanned.begin(&process, clients::now());
                self.trial.fleet.kill(&process);
                self.stopping.remove(&process);
            }
        }
        for process in std::mem::take(&mut self.restarts) {
            if self.trial.fleet.running(&process) {
                self.restarts.insert(process);
                continue;
            }
            self.trial.fleet.start(&process)?;
            self.done.push((clients::now(), format!("started process={process}")));
            self.unplanned.end(&process, clients::now());
        }
        Ok(())
    }

    fn is_overdue(&self, process: &str) -> bool {
        let told = self.stopping.get(process);
        !self.frozen.contains(process) && told.is_some_and(|told| told.elapsed() > GRACE + STOP_SLACK)
    }

    /// Panics that were logged.
    pub fn panics(&self) -> Vec<Finding> {
        let is_panic = |line: &&str| line.contains("event=panic") || line.contains("panicked at");
        let mut findings = Vec::new();
        for node in self.nodes() {
            let log = self.trial.fleet.dir.join(format!("{node}.log"));
            let log = std::fs::read_to_string(log).unwrap_or_default();
            let panics = log.lines().filter(is_panic);
            findings.extend(panics.map(|line| Finding::new(Rule::Gone, format!("{node}: {line}"))));
        }
        findings
    }
}
