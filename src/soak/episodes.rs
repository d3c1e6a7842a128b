//! The episodes that a schedule is made of, each with its own processes, so that episodes may overlap.

use super::change_draw::ChangeDraw;
use super::schedule::{DRAIN_TIMEOUT, GRACE, HOLD_TIME, SYNC_TIME, Style};
use super::step::{RunnerFault, Signal, Step};
use crate::launch::deployment::Deployment;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The runs of a runner that is marked as leaving are over so long after requests stop to reach it.
const LAST_RUNS: Duration = Duration::from_secs(6);

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Draws episodes.
pub struct Draw {
    random: ChaCha8Rng,
    /// When the last episode of a process is over.
    busy_until: BTreeMap<String, Duration>,
    controllers: Vec<String>,
    routers: Vec<String>,
    runners: Vec<String>,
    next_assistant: usize,
    /// Runners that may still be replaced.
    replacements: usize,
    changes: ChangeDraw,
    /// The steps drawn so far, in no order.
    pub steps: Vec<(Duration, Step)>,
}

impl Draw {
    /// Draws for this fleet from this seed.
    pub fn new(seed: u64, plan: &Deployment) -> Draw {
        let named = |kind: &str, count: usize| (1..=count).map(|n| format!("{kind}{n}")).collect::<Vec<_>>();
        Draw {
            random: ChaCha8Rng::seed_from_u64(seed),
            busy_until: BTreeMap::new(),
            controllers: named("c", plan.core),
            routers: named("r", plan.routers),
            runners: named("a", plan.assistants),
            next_assistant: plan.assistants + 1,
            replacements: plan.assistants,
            changes: ChangeDraw::new(plan),
            steps: Vec::new(),
        }
    }

    /// The runners whose streams end with their connection: half of them or so.
    pub fn unframed(&mut self) -> BTreeSet<String> {
        let random = &mut self.random;
        self.runners.iter().filter(|_| random.random_ratio(1, 2)).cloned().collect()
    }

    /// The time until the next episode begins; larger fleets have more of them.
    pub fn pause(&mut self) -> Duration {
        let most = 1600 / (1 + self.routers.len() as u64 / 8);
        ms(self.random.random_range(100..=most.max(200)))
    }

    /// Draws one episode that begins at `at`.
    pub fn episode(&mut self, at: Duration, style: Style) {
        let most = if style == Style::Planned { 7 } else { 16 };
        match self.random.random_range(0..most) {
            0 | 1 => self.rolling_restart(at),
            2 => self.hang_ups(at),
            3 => self.controller_stop(at),
            4 | 5 => self.change(at),
            6 => self.replace_runner(at),
            7 => self.crash(at, true),
            8 => self.crash(at, false),
            9 => self.freeze(at, true),
            10 => self.freeze(at, false),
            11 | 12 => self.runner_crash(at),
            _ => self.runner_faults(at),
        }
    }

    fn step(&mut self, at: Duration, step: Step) {
        self.steps.push((at, step));
    }

    fn signal(&mut self, at: Duration, process: &str, signal: Signal) {
        self.step(at, Step::Signal { process: process.into(), signal });
    }

    fn restart(&mut self, at: Duration, process: &str) {
        self.step(at, Step::Restart { process: process.into() });
    }

    /// A process of `group` that is free at `at`, unless as many as `most` of the group are not.
    fn pick(&mut self, group: &[String], at: Duration, most: usize) -> Option<String> {
        let is_free = |name: &&String| self.busy_until.get(*name).is_none_or(|until| *until <= at);
        let free: Vec<&String> = group.iter().filter(is_free).collect();
        if group.len() - free.len() >= most {
            return None;
        }
        free.choose(&mut self.random).map(|name| name.to_string())
    }

    fn pick_router(&mut self, at: Duration) -> Option<String> {
        let group = self.routers.clone();
        self.pick(&group, at, group.len() / 2)
    }

    /// Of the controllers no more than the fleet bears to lose are in trouble at once.
    fn pick_controller(&mut self, at: Duration) -> Option<String> {
        let group = self.controllers.clone();
        self.pick(&group, at, (group.len() - 1) / 2)
    }

    fn pick_runner(&mut self, at: Duration) -> Option<String> {
        let group = self.runners.clone();
        self.pick(&group, at, group.len().div_ceil(3))
    }

    /// One to three routers are stopped in order and come back; some get another signal while they stop.
    fn rolling_restart(&mut self, at: Duration) {
        let mut at = at;
        for _ in 0..self.random.random_range(1..=3) {
            let Some(router) = self.pick_router(at) else { return };
            self.busy_until.insert(router.clone(), at + GRACE + HOLD_TIME);
            self.signal(at, &router, Signal::Terminate);
            for signal in [Signal::Terminate, Signal::HangUp] {
                if self.random.random_ratio(1, 3) {
                    let later = at + ms(self.random.random_range(0..1500));
                    self.signal(later, &router, signal);
                }
            }
            at += ms(self.random.random_range(100..1500));
        }
    }

    /// A series of signals to read the settings again.
    fn hang_ups(&mut self, at: Duration) {
        let picked = match self.random.random_ratio(1, 3) {
            true => self.pick_controller(at),
            false => self.pick_router(at),
        };
        let Some(process) = picked else { return };
        let mut at = at;
        for _ in 0..self.random.random_range(1..=5) {
            self.signal(at, &process, Signal::HangUp);
            at += ms(self.random.random_range(0..300));
        }
        self.busy_until.insert(process, at);
    }

    fn controller_stop(&mut self, at: Duration) {
        let Some(controller) = self.pick_controller(at) else { return };
        self.busy_until.insert(controller.clone(), at + GRACE + SYNC_TIME);
        self.signal(at, &controller, Signal::Terminate);
    }

    /// A series of one to three changes.
    fn change(&mut self, at: Duration) {
        let mut at = at;
        for _ in 0..self.random.random_range(1..=3) {
            let change = self.changes.next(&mut self.random);
            self.step(at, Step::Change(change));
            at += ms(self.random.random_range(0..600));
        }
    }

    /// A runner joins, another one is marked as leaving and ends once its runs are over.
    fn replace_runner(&mut self, at: Duration) {
        if self.replacements == 0 {
            return;
        }
        let Some(old) = self.pick_runner(at) else { return };
        self.replacements -= 1;
        let new = format!("a{}", self.next_assistant);
        self.next_assistant += 1;
        let marked = at + ms(self.random.random_range(200..1000));
        self.step(at, Step::Join { runner: new.clone() });
        self.step(marked, Step::MarkLeaving { runner: old.clone() });
        self.step(marked + DRAIN_TIMEOUT + LAST_RUNS, Step::Retire { runner: old.clone() });
        self.runners.retain(|name| *name != old);
        self.busy_until.insert(new.clone(), at + SYNC_TIME);
        self.runners.push(new);
    }

    /// A router or a controller is killed; a controller may lose its disk.
    fn crash(&mut self, at: Duration, router: bool) {
        let picked = if router { self.pick_router(at) } else { self.pick_controller(at) };
        let Some(process) = picked else { return };
        let back = at + ms(self.random.random_range(200..2500));
        self.busy_until.insert(process.clone(), back + SYNC_TIME + HOLD_TIME);
        self.signal(at, &process, Signal::Kill);
        if !router && self.random.random_ratio(1, 3) {
            self.step(at + ms(1), Step::Wipe { process: process.clone() });
        }
        self.restart(back, &process);
    }

    /// A router or a controller stands still for a while; a router may be told to stop meanwhile.
    fn freeze(&mut self, at: Duration, router: bool) {
        let picked = if router { self.pick_router(at) } else { self.pick_controller(at) };
        let Some(process) = picked else { return };
        let thawed = at + ms(self.random.random_range(300..4000));
        self.signal(at, &process, Signal::Freeze);
        let stops = router && self.random.random_ratio(1, 4);
        if stops {
            self.signal(at + ms(100), &process, Signal::Terminate);
        }
        self.signal(thawed, &process, Signal::Thaw);
        let over = if stops { thawed + GRACE + HOLD_TIME } else { thawed + SYNC_TIME };
        self.busy_until.insert(process, over);
    }

    /// A runner dies with all that it runs, in the midst of their events.
    fn runner_crash(&mut self, at: Duration) {
        let Some(runner) = self.pick_runner(at) else { return };
        let back = at + ms(self.random.random_range(100..2000));
        self.busy_until.insert(runner.clone(), back + HOLD_TIME);
        self.signal(at, &runner, Signal::Kill);
        self.restart(back, &runner);
    }

    /// One or two runners misbehave, each in its way, both at about the same time.
    fn runner_faults(&mut self, at: Duration) {
        for _ in 0..self.random.random_range(1..=2) {
            let begins = at + ms(self.random.random_range(0..1000));
            self.runner_fault(begins);
        }
    }

    fn runner_fault(&mut self, at: Duration) {
        let Some(runner) = self.pick_runner(at) else { return };
        let all = [RunnerFault::Silent, RunnerFault::Truncate, RunnerFault::LateRefusal];
        let fault = *all.choose(&mut self.random).unwrap_or(&RunnerFault::Silent);
        let mended = at + ms(self.random.random_range(500..5000));
        self.busy_until.insert(runner.clone(), mended + HOLD_TIME);
        self.step(at, Step::Break { runner: runner.clone(), fault });
        self.step(mended, Step::Mend { runner });
    }
}
