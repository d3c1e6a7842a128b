use super::input::Input;
use super::keep::{letter, log_step_times, show, status};
use super::links::Links;
use super::ticks::Ticks;
use super::writer::Writer;
use crate::json::Tree;
use crate::json::tree::map;
use crate::kernel::fault::Kind;
use crate::kernel::hold::Hold;
use crate::kernel::ids::*;
use crate::kernel::node::Node;
use crate::kernel::step_times::StepTimes;
use crate::kernel::time::{Clock, Span, Time};
use crate::msg::*;
use crate::wire;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;
use tokio::sync::oneshot;

const TICK: Span = Span::ms(20);
const ROUTER_TICK: Span = Span::ms(50);
const BATCH: usize = 256;

pub type Act = Box<dyn Fn(Effect) + Send>;
pub type Build = Box<dyn Fn(Vec<Record>) -> (Node, Vec<Record>) + Send>;

pub struct Driver {
    pub clock: Arc<dyn Clock>,
    pub links: Arc<Links>,
    pub disk: Option<Writer>,
    pub build: Build,
    pub act: Act,
}

struct Run {
    node: Node,
    asks: BTreeMap<ChangeId, Vec<oneshot::Sender<Answer>>>,
    own: VecDeque<Event>,
    shown: u64,
    hold: Hold,
    /// Damaged files that were kept under other names when this life of the node began.
    set_aside: Option<String>,
}

impl Run {
    fn status(&self, now: Time) -> Tree {
        let mut all = status(&self.node, now);
        if let Some(kept) = &self.set_aside {
            all.merge(map(&[("disk", map(&[("damaged_log_kept_as", kept.as_str().into())]))]));
        }
        all
    }
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

    pub fn run(self, rx: Receiver<Input>) {
        let mut run: Option<Run> = None;
        let mut ticks = Ticks::new(if self.disk.is_some() { TICK } else { ROUTER_TICK });
        loop {
            let Some(r) = &mut run else {
                match self.fresh() {
                    Ok((mut node, set_aside)) => {
                        let out = node.feed(self.clock.now(), Event::Start);
                        let (asks, own) = (BTreeMap::new(), VecDeque::new());
                        let mut r = Run { node, asks, own, shown: 0, hold: Hold::default(), set_aside };
                        if self.carry(&mut r, out) {
                            run = Some(r);
                        }
                    }
                    Err(why) => log::error!(event = "node-not-started", fault = why; ""),
                }
                if run.is_none() {
                    std::thread::sleep(Duration::from_millis(500));
                    while let Ok(input) = rx.try_recv() {
                        if let Input::Stop = input {
                            return;
                        }
                    }
                }
                continue;
            };
            let wait = ticks.wait(self.clock.now());
            let first = if r.own.is_empty() { rx.recv_timeout(wait) } else { Err(RecvTimeoutError::Timeout) };
            let mut inputs = Vec::new();
            match first {
                Ok(input) => inputs.push(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            while inputs.len() < BATCH
                && let Ok(input) = rx.try_recv()
            {
                inputs.push(input);
            }
            let now = self.clock.now();
            if let Some(disk) = &self.disk {
                r.node.room = disk.room();
                r.node.slow = r.hold.slow(now);
                r.node.stuck = r.hold.stuck(now);
            }
            let events = inputs.len() + r.own.len();
            let mut done = Vec::new();
            let mut out = Vec::new();
            for ev in std::mem::take(&mut r.own) {
                out.extend(r.node.feed(now, ev));
            }
            for input in inputs {
                match input {
                    Input::Stop => return,
                    Input::Event(ev) => out.extend(r.node.feed(now, ev)),
                    Input::Envelope(l) => out.extend(letter(&mut r.node, now, *l)),
                    Input::Ask(id, ev, tx) => {
                        r.asks.entry(id).or_default().push(tx);
                        out.extend(r.node.feed(now, ev));
                    }
                    Input::Seeds(seeds) => {
                        let own = r.node.me.addr;
                        r.node.me.seed = seeds.contains(&own);
                        r.node.me.seeds = seeds.into_iter().filter(|s| *s != own).collect();
                    }
                    Input::Synced { life, upto } => {
                        if self.disk.as_ref().is_some_and(|d| d.life() == life) {
                            done.extend(r.hold.synced(now, upto));
                        }
                    }
                    Input::Status(tx) => drop(tx.send(r.status(now).to_string())),
                }
            }
            let now = self.clock.now();
            if ticks.is_due(now, events) {
                out.extend(r.node.feed(now, Event::Tick));
                out.extend(r.node.feed(now, Event::Work));
                log_step_times(&mut r.node, now);
            }
            if !self.act_all(r, done) || !self.carry(r, out) {
                run = None;
            }
        }
    }

    fn carry(&self, r: &mut Run, out: Vec<Effect>) -> bool {
        show(&r.node, &mut r.shown);
        let (out, job) = r.hold.take(self.clock.now(), out);
        if let (Some(disk), Some(job)) = (&self.disk, job) {
            disk.write(job);
        }
        self.act_all(r, out)
    }

    fn act_all(&self, r: &mut Run, out: Vec<Effect>) -> bool {
        for e in out {
            match e {
                Effect::Save(_) | Effect::Rewrite(_) => {}
                Effect::Reset(why) => {
                    log::error!(event = "node-reset", fault = why, remedy = "it joins again as new"; "");
                    if let Some(disk) = &self.disk {
                        let _ = disk.renew().set_aside();
                    }
                    return false;
                }
                Effect::Send { to, msg } if to == r.node.me.node => {
                    let fleet = r.node.views.fleet;
                    r.own.push_back(Event::Mail { from: to, fleet, msg });
                }
                Effect::Send { to, msg } => {
                    if let Some(addr) = r.node.views.member(to).map(|c| c.addr) {
                        self.post(&r.node, to, addr, msg);
                    }
                }
                Effect::SendAt { addr, msg } => self.post(&r.node, NodeId(0), addr, msg),
                Effect::Answer { id, answer } => {
                    for tx in r.asks.remove(&id).unwrap_or_default() {
                        let _ = tx.send(answer.clone());
                    }
                }
                other => (self.act)(other),
            }
        }
        true
    }

    fn post(&self, node: &Node, to: NodeId, addr: SocketAddr, msg: Msg) {
        let (from, fleet) = (node.me.node, node.views.fleet);
        let letter = Envelope { from, to, fleet, addr: node.me.addr, msg };
        self.links.send(addr, wire::pack(&letter));
    }
}
