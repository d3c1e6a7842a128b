//! Drives a node: queues what comes in, feeds it by urgency, ticks in time, and carries out what it asks for.

use super::effects::Run;
use super::input::Input;
use super::keep::{lanes_line, letter, log_step_times, status};
use super::links::Links;
use super::ticks::Ticks;
use super::writer::Writer;
use crate::kernel::fault::Kind;
use crate::kernel::hold::SyncGate;
use crate::kernel::input_queue::InputQueue;
use crate::kernel::lanes::Lane;
use crate::kernel::node::Node;
use crate::kernel::step_times::StepTimes;
use crate::kernel::time::{Clock, Span, Time};
use crate::msg::*;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

const TICK: Span = Span::ms(20);
const ROUTER_TICK: Span = Span::ms(50);
/// How many urgent inputs are served before their effects are carried out.
const BATCH: usize = 256;
/// How long a node that could not be started waits before it is tried again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// For so long a node is at work before the runtime gets a turn to send and receive.
pub const WORK_BETWEEN_TURNS: Span = Span::ms(10);

pub type Act = Box<dyn Fn(Effect) + Send>;
/// Waits until the runtime has carried out what it was given so far.
pub type Turn = Box<dyn Fn() + Send>;
pub type Build = Box<dyn Fn(Vec<Record>) -> (Node, Vec<Record>) + Send>;

pub struct Driver {
    pub clock: Arc<dyn Clock>,
    pub links: Arc<Links>,
    pub disk: Option<Writer>,
    pub build: Build,
    pub act: Act,
    /// Threads may share one core: a node that is never idle would keep its own messages from leaving without it.
    pub turn: Turn,
}

impl Driver {
    /// A node as its disk tells, and the damaged files that were set aside.
    fn fresh(&self) -> Result<(Node, Option<String>), String> {
        let (mut records, mut set_aside) = (Vec::new(), None);
        let mut disk = self.disk.as_ref().map(Writer::renew);
        if let Some(disk) = &mut disk {
            records = match disk.load() {
                Ok(rows) => rows,
                Err(fault) if fault.kind == Kind::Damage => {
                    let kept = disk.set_aside().map_err(|f| f.to_string())?;
                    log::error!(event = "log-damaged", fault = fault.to_string(), kept_as = kept.clone(); "");
                    set_aside = Some(kept);
                    Vec::new()
                }
                Err(fault) => return Err(fault.to_string()),
            };
        }
        let (mut node, first) = (self.build)(records);
        node.step_times = Some(StepTimes::new(self.clock.clone()));
        if let (Some(disk), false) = (&mut disk, first.is_empty()) {
            disk.add(&first).map_err(|f| f.to_string())?;
        }
        Ok((node, set_aside))
    }

    /// Runs the node until it is told to stop.
    pub fn run(self, rx: Receiver<Input>) {
        let mut run: Option<Run> = None;
        let mut queue = InputQueue::default();
        let mut ticks = Ticks::new(if self.disk.is_some() { TICK } else { ROUTER_TICK });
        let mut turn_due = self.clock.now() + WORK_BETWEEN_TURNS;
        loop {
            let Some(r) = &mut run else {
                run = self.begin();
                if run.is_none() && !pause(&rx) {
                    return;
                }
                continue;
            };
            let idle = queue.is_empty() && r.own.is_empty();
            let wait = if idle { ticks.wait(self.clock.now()) } else { Duration::ZERO };
            if !self.receive(&rx, wait, &mut queue) {
                return;
            }
            if !wait.is_zero() {
                turn_due = self.clock.now() + WORK_BETWEEN_TURNS;
            }
            if !self.step(r, &mut queue, &mut ticks, turn_due) {
                run = None;
            }
            if self.clock.now() >= turn_due {
                (self.turn)();
                turn_due = self.clock.now() + WORK_BETWEEN_TURNS;
            }
        }
    }

    fn begin(&self) -> Option<Run> {
        let (mut node, set_aside) = match self.fresh() {
            Ok(fresh) => fresh,
            Err(why) => {
                log::error!(event = "node-not-started", fault = why; "");
                return None;
            }
        };
        let out = node.feed(self.clock.now(), Event::Start);
        let (asks, own) = (BTreeMap::new(), VecDeque::new());
        let mut r = Run { node, asks, own, shown: 0, hold: SyncGate::default(), set_aside };
        self.carry(&mut r, out).then_some(r)
    }

    /// Queues all that has come in, and waits for the first of it if need be; false once the node is to stop.
    fn receive(&self, rx: &Receiver<Input>, wait: Duration, queue: &mut InputQueue<Input>) -> bool {
        let first = match rx.recv_timeout(wait) {
            Ok(input) => Some(input),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return false,
        };
        let now = self.clock.now();
        for input in first.into_iter().chain(rx.try_iter()) {
            if let Input::Stop = input {
                return false;
            }
            queue.add(now, input.class(), input);
        }
        true
    }

    /// Serves urgent inputs, at most one of the duty's or the routers', and the tick if it is due; whether the node
    /// goes on.
    fn step(&self, r: &mut Run, queue: &mut InputQueue<Input>, ticks: &mut Ticks, turn_due: Time) -> bool {
        self.observe_disk(r);
        let mut out = Vec::new();
        let mut done = Vec::new();
        let mut events = r.own.len();
        for ev in std::mem::take(&mut r.own) {
            out.extend(r.node.feed(self.clock.now(), ev));
        }
        for _ in 0..BATCH {
            let now = self.clock.now();
            let Some(next) = queue.pop(now) else { break };
            events += 1;
            match next.item {
                Input::Synced { life, upto } => done.extend(self.synced(r, life, upto)),
                Input::Status(tx) => drop(tx.send(status(r, queue, now).to_string())),
                input => out.extend(serve(r, now, input)),
            }
            let now = self.clock.now();
            if next.lane >= Lane::Duty || ticks.is_overdue(now) || now >= turn_due {
                break;
            }
        }
        let now = self.clock.now();
        if ticks.is_due(now, events) {
            out.extend(r.node.feed(now, Event::Tick));
            let work = Input::Event(Event::DutyTick);
            queue.add(now, work.class(), work);
            ticks.done(self.clock.now());
            self.log_figures(r, queue, now);
        }
        let began = self.clock.now();
        let goes_on = self.act_all(r, done) && self.carry(r, out);
        if let Some(times) = &mut r.node.step_times {
            times.outside("effects", began);
        }
        goes_on
    }

    fn observe_disk(&self, r: &mut Run) {
        let Some(disk) = &self.disk else { return };
        let now = self.clock.now();
        r.node.free_disk_bytes = disk.room();
        r.node.is_disk_slow = r.hold.is_slow(now);
        r.node.is_write_stuck = r.hold.is_stuck(now);
    }

    fn synced(&self, r: &mut Run, life: u64, upto: u64) -> Vec<Effect> {
        let current = self.disk.as_ref().is_some_and(|d| d.life() == life);
        if current { r.hold.release_synced(self.clock.now(), upto) } else { vec![] }
    }

    fn log_figures(&self, r: &mut Run, queue: &mut InputQueue<Input>, now: Time) {
        if log_step_times(&mut r.node, now) {
            let lanes = lanes_line(queue, now);
            queue.new_interval();
            let (sent, got) = self.links.traffic.take();
            log::info!(event = "inputs", lanes = lanes, sent = sent, got = got; "");
        }
    }
}

/// Waits before the node is started again; inputs that came meanwhile are lost. False once it is to stop.
fn pause(rx: &Receiver<Input>) -> bool {
    std::thread::sleep(RESTART_PAUSE);
    !rx.try_iter().any(|input| matches!(input, Input::Stop))
}

fn serve(r: &mut Run, now: Time, input: Input) -> Vec<Effect> {
    match input {
        Input::Event(ev) => r.node.feed(now, ev),
        Input::Envelope(l) => letter(&mut r.node, now, *l),
        Input::Ask(id, ev, tx) => {
            r.asks.entry(id).or_default().push(tx);
            r.node.feed(now, ev)
        }
        Input::Seeds(seeds) => {
            let own = r.node.me.addr;
            r.node.me.is_seed = seeds.contains(&own);
            r.node.me.seeds = seeds.into_iter().filter(|s| *s != own).collect();
            vec![]
        }
        Input::Stop | Input::Synced { .. } | Input::Status(_) => vec![],
    }
}
