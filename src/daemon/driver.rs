//! The main loop of a node: queues inputs, feeds them to the node by urgency, ticks on time, and carries out effects.

use super::disk_writer::DiskWriter;
use super::effects::NodeRun;
use super::input::Input;
use super::links::Links;
use super::node_io::{deliver, lanes_line, log_step_times, status};
use super::ticks::Ticks;
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

/// The tick period of a controller without inputs.
const CONTROLLER_TICK_PERIOD: Span = Span::ms(20);
/// The tick period of a router without inputs.
const ROUTER_TICK_PERIOD: Span = Span::ms(50);
/// How many urgent inputs are handled before their effects are carried out.
const BATCH: usize = 256;
/// The pause before a node that could not be started is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// How long a node works before the runtime gets a turn to send and receive.
pub const WORK_BETWEEN_TURNS: Span = Span::ms(10);

/// Carries out the effects that concern the rest of the process.
pub type EffectHandler = Box<dyn Fn(Effect) + Send>;
/// Waits until the runtime has carried out what it was given so far.
pub type RuntimeTurn = Box<dyn Fn() + Send>;
/// Builds a node from its records on disk; returns also the records that are to be written first.
pub type NodeBuilder = Box<dyn Fn(Vec<Record>) -> (Node, Vec<Record>) + Send>;

/// Runs one node, and starts it again after a reset.
pub struct Driver {
    /// The clock of the node.
    pub clock: Arc<dyn Clock>,
    /// The links to other nodes.
    pub links: Arc<Links>,
    /// The node's disk; only controllers have one.
    pub disk: Option<DiskWriter>,
    /// Builds the node.
    pub build: NodeBuilder,
    /// Carries out what the driver does not.
    pub act: EffectHandler,
    /// Gives the runtime a turn. Where all threads share one core, a node that is never idle would otherwise keep its own
    /// messages from being sent.
    pub turn: RuntimeTurn,
}

impl Driver {
    /// The node as recovered from its disk, and the path under which a damaged log was set aside.
    fn load_node(&self) -> Result<(Node, Option<String>), String> {
        let (mut records, mut set_aside) = (Vec::new(), None);
        let mut disk = self.disk.as_ref().map(DiskWriter::start_incarnation);
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

    /// Runs the node until `Input::Stop` arrives or all senders are gone.
    pub fn run(self, rx: Receiver<Input>) {
        let mut current: Option<NodeRun> = None;
        let mut queue = InputQueue::default();
        let mut ticks =
            Ticks::new(if self.disk.is_some() { CONTROLLER_TICK_PERIOD } else { ROUTER_TICK_PERIOD });
        let mut turn_due_at = self.clock.now() + WORK_BETWEEN_TURNS;
        loop {
            let Some(run) = &mut current else {
                current = self.start_node();
                if current.is_none() && !wait_for_restart(&rx) {
                    return;
                }
                continue;
            };
            let idle = queue.is_empty() && run.to_self.is_empty();
            let wait = if idle { ticks.wait(self.clock.now()) } else { Duration::ZERO };
            if !self.receive(&rx, wait, &mut queue) {
                return;
            }
            if !wait.is_zero() {
                turn_due_at = self.clock.now() + WORK_BETWEEN_TURNS;
            }
            if !self.step(run, &mut queue, &mut ticks, turn_due_at) {
                current = None;
            }
            if self.clock.now() >= turn_due_at {
                (self.turn)();
                turn_due_at = self.clock.now() + WORK_BETWEEN_TURNS;
            }
        }
    }

    /// Starts the node; `None` if its disk can't be read or its first effects end it.
    fn start_node(&self) -> Option<NodeRun> {
        let (mut node, set_aside) = match self.load_node() {
            Ok(loaded) => loaded,
            Err(why) => {
                log::error!(event = "node-not-started", fault = why; "");
                return None;
            }
        };
        let out = node.feed(self.clock.now(), Event::Start);
        let (waiting_callers, to_self) = (BTreeMap::new(), VecDeque::new());
        let mut run =
            NodeRun { node, waiting_callers, to_self, logged_up_to: 0, hold: SyncGate::default(), set_aside };
        self.apply_effects(&mut run, out).then_some(run)
    }

    /// Queues all inputs that have arrived, waiting up to `wait` for the first one; false once the node is to stop.
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

    /// Handles a batch of urgent inputs, which ends with the first input of a less urgent lane, and the tick if it is due.
    /// Returns whether the node continues.
    fn step(
        &self,
        run: &mut NodeRun,
        queue: &mut InputQueue<Input>,
        ticks: &mut Ticks,
        turn_due_at: Time,
    ) -> bool {
        self.update_disk_state(run);
        let mut out = Vec::new();
        let mut done = Vec::new();
        let mut events = run.to_self.len();
        for event in std::mem::take(&mut run.to_self) {
            out.extend(run.node.feed(self.clock.now(), event));
        }
        for _ in 0..BATCH {
            let now = self.clock.now();
            let Some(next) = queue.pop(now) else { break };
            events += 1;
            match next.item {
                Input::Synced { incarnation, up_to } => done.extend(self.synced(run, incarnation, up_to)),
                Input::Status(tx) => drop(tx.send(status(run, queue, now).to_string())),
                input => out.extend(handle_input(run, now, input)),
            }
            let now = self.clock.now();
            if next.lane >= Lane::Duty || ticks.is_overdue(now) || now >= turn_due_at {
                break;
            }
        }
        let now = self.clock.now();
        if ticks.is_due(now, events) {
            out.extend(run.node.feed(now, Event::Tick));
            let work = Input::Event(Event::DutyTick);
            queue.add(now, work.class(), work);
            ticks.done(self.clock.now());
            self.log_interval(run, queue, now);
        }
        let began = self.clock.now();
        let continues = self.carry_out(run, done) && self.apply_effects(run, out);
        if let Some(times) = &mut run.node.step_times {
            times.outside("effects", began);
        }
        continues
    }

    /// Tells the node how much space its disk has and how slow it is.
    fn update_disk_state(&self, run: &mut NodeRun) {
        let Some(disk) = &self.disk else { return };
        let now = self.clock.now();
        run.node.free_disk_bytes = disk.free_bytes();
        run.node.is_disk_slow = run.hold.is_slow(now);
        run.node.is_write_stuck = run.hold.is_stuck(now);
    }

    /// The effects that waited for the batches up to `up_to`; none if an earlier incarnation wrote them.
    fn synced(&self, run: &mut NodeRun, incarnation: u64, up_to: u64) -> Vec<Effect> {
        let is_current = self.disk.as_ref().is_some_and(|d| d.incarnation() == incarnation);
        if is_current { run.hold.release_synced(self.clock.now(), up_to) } else { vec![] }
    }

    /// Logs the figures of an interval that has ended.
    fn log_interval(&self, run: &mut NodeRun, queue: &mut InputQueue<Input>, now: Time) {
        if log_step_times(&mut run.node, now) {
            let lanes = lanes_line(queue, now);
            queue.new_interval();
            let (sent, got) = self.links.traffic.take();
            log::info!(event = "inputs", lanes = lanes, sent = sent, got = got; "");
        }
    }
}

/// Waits before the node is started again; inputs that arrive meanwhile are lost. False if the driver is to stop.
fn wait_for_restart(rx: &Receiver<Input>) -> bool {
    std::thread::sleep(RESTART_PAUSE);
    !rx.try_iter().any(|input| matches!(input, Input::Stop))
}

fn handle_input(run: &mut NodeRun, now: Time, input: Input) -> Vec<Effect> {
    match input {
        Input::Event(event) => run.node.feed(now, event),
        Input::Envelope(envelope) => deliver(&mut run.node, now, *envelope),
        Input::Ask(id, event, tx) => {
            run.waiting_callers.entry(id).or_default().push(tx);
            run.node.feed(now, event)
        }
        Input::Seeds(seeds) => {
            let own_addr = run.node.me.addr;
            run.node.me.is_seed = seeds.contains(&own_addr);
            run.node.me.seeds = seeds.into_iter().filter(|s| *s != own_addr).collect();
            vec![]
        }
        Input::Stop | Input::Synced { .. } | Input::Status(_) => vec![],
    }
}
