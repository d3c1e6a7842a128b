use super::doing::Doing;
use super::node::HollowNode;
use super::runners::HollowRunner;
use super::size::Size;
use crate::kernel::ids::*;
use crate::kernel::rand::{Rand, SeededRandom};
use crate::kernel::time::{Span, Time};
use crate::msg::{self, Role};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const TICK: Span = Span::ms(20);
const POLL: Span = Span::ms(300);
const TELL: Span = Span::ms(250);
pub const SAMPLE: Span = Span::ms(100);

pub enum Event {
    Tick { place: usize, life: u64 },
    Tell { place: usize, life: u64 },
    Poll { place: usize, life: u64 },
    Envelope { place: usize, life: u64, raw: Vec<u8> },
    Report { place: usize, life: u64, runner: usize },
    Driven { place: usize, life: u64, order: OrderId, status: u16 },
    Loaded { runner: usize, name: Name },
    Wake { place: usize, life: u64 },
    Start { place: usize },
    Sample,
    Demand,
}

pub struct Hollow {
    pub size: Size,
    pub now: Time,
    pub rand: SeededRandom,
    queue: BTreeMap<(Time, u64), Event>,
    next: u64,
    pub nodes: Vec<HollowNode>,
    pub runners: Vec<HollowRunner>,
    pub at: HashMap<SocketAddr, usize>,
    pub cut: BTreeSet<usize>,
    pub answers: BTreeMap<ChangeId, (Time, u16)>,
    pub judge: super::judge::Judge,
    pub doing: Doing,
    pub began: Instant,
    pub over: Option<String>,
    pub too_long: u64,
    pub resets: u64,
    pub rest: Vec<super::meter::Line>,
    steps: u64,
}

impl Hollow {
    pub fn new(size: Size) -> Hollow {
        let role = |n: usize| if n < size.core { Role::Controller } else { Role::Router };
        let mut w = Hollow {
            now: Time(1_000_000_000),
            rand: SeededRandom(size.seed),
            queue: BTreeMap::new(),
            next: 0,
            nodes: (0..size.nodes).map(|n| HollowNode::new(role(n))).collect(),
            runners: (0..size.runners).map(|n| HollowRunner::new(size.runner(n).instance)).collect(),
            at: (0..size.nodes).map(|n| (size.addr(n), n)).collect(),
            cut: BTreeSet::new(),
            answers: BTreeMap::new(),
            judge: Default::default(),
            doing: Doing::default(),
            began: Instant::now(),
            over: None,
            too_long: 0,
            resets: 0,
            rest: vec![],
            steps: 0,
            size,
        };
        for place in 0..w.nodes.len() {
            let wait = Span(w.rand.below(300_000));
            w.later(wait, Event::Start { place });
        }
        w.later(SAMPLE, Event::Sample);
        w
    }

    pub fn later(&mut self, wait: Span, ev: Event) {
        self.next += 1;
        self.queue.insert((self.now + wait, self.next), ev);
    }

    pub fn is_cut(&self, a: usize, b: usize) -> bool {
        let region = |n: usize| self.size.region(self.size.zone(n));
        self.cut.contains(&region(a)) != self.cut.contains(&region(b))
    }

    pub fn start(&mut self, place: usize) {
        let seed = self.rand.next();
        let now = self.now;
        self.nodes[place].start(&self.size, place, now, seed);
        let life = self.nodes[place].life;
        self.feed(place, "start", msg::Event::Start);
        let wait = Span(self.rand.below(TICK.0));
        self.later(wait, Event::Tick { place, life });
        let wait = Span(self.rand.below(TELL.0));
        let ev = match self.nodes[place].role {
            Role::Router => Event::Tell { place, life },
            Role::Controller => Event::Poll { place, life },
        };
        self.later(wait, ev);
    }

    pub fn stop(&mut self, place: usize) {
        let n = &mut self.nodes[place];
        n.life += 1;
        n.node = None;
        n.held.clear();
        n.ready = false;
    }

    pub fn run_for(&mut self, span: Span) {
        let end = self.now + span;
        while self.over.is_none() {
            let Some((&key, _)) = self.queue.first_key_value() else { break };
            if key.0 > end {
                break;
            }
            let Some(ev) = self.queue.remove(&key) else { break };
            self.now = self.now.max(key.0);
            self.step(ev);
            self.bound();
        }
        if self.over.is_none() {
            self.now = self.now.max(end);
        }
    }

    pub fn until(&mut self, most: Span, test: &dyn Fn(&Hollow) -> bool) -> Option<Span> {
        let from = self.now;
        while self.now.since(from) < most && self.over.is_none() {
            if test(self) {
                return Some(self.now.since(from));
            }
            self.run_for(Span::ms(50));
        }
        None
    }

    fn bound(&mut self) {
        self.steps += 1;
        if !self.steps.is_multiple_of(512) {
            return;
        }
        if self.began.elapsed() > Duration::from_secs(self.size.wall_s) {
            self.over = Some(format!("the run's own time of {} s is used up", self.size.wall_s));
        }
        let mb = super::heap::resident_mb();
        if mb > self.size.memory_mb {
            self.over = Some(format!("{mb} MB are in use of {} allowed", self.size.memory_mb));
        }
    }

    fn step(&mut self, ev: Event) {
        let (place, life) = match &ev {
            Event::Tick { place, life }
            | Event::Tell { place, life }
            | Event::Poll { place, life }
            | Event::Envelope { place, life, .. }
            | Event::Report { place, life, .. }
            | Event::Driven { place, life, .. } => (*place, *life),
            Event::Wake { place, life } if self.nodes[*place].life == *life => return self.wake(*place),
            _ => return self.act(ev),
        };
        let n = &mut self.nodes[place];
        if n.life != life {
            return;
        }
        if n.busy > self.now || !n.held.is_empty() {
            if n.held.is_empty() {
                let wait = n.busy.since(self.now);
                self.later(wait, Event::Wake { place, life });
            }
            self.nodes[place].held.push_back(ev);
            return;
        }
        self.act(ev);
    }

    fn wake(&mut self, place: usize) {
        while self.nodes[place].busy <= self.now {
            let Some(ev) = self.nodes[place].held.pop_front() else { return };
            self.act(ev);
        }
        if !self.nodes[place].held.is_empty() {
            let (wait, life) = (self.nodes[place].busy.since(self.now), self.nodes[place].life);
            self.later(wait, Event::Wake { place, life });
        }
    }

    fn act(&mut self, ev: Event) {
        match ev {
            Event::Start { place } => self.start(place),
            Event::Tick { place, life } => {
                self.feed(place, "tick", msg::Event::Tick);
                self.feed(place, "work", msg::Event::DutyTick);
                self.later(TICK, Event::Tick { place, life });
            }
            Event::Tell { place, life } => {
                self.feed_made(place, "tell", &|w| {
                    msg::Event::RouterState(std::sync::Arc::new(w.nodes[place].tell(w.now)))
                });
                self.later(TELL, Event::Tell { place, life });
            }
            Event::Poll { place, life } => {
                self.later(POLL, Event::Poll { place, life });
                for runner in 0..if self.nodes[place].watch { self.runners.len() } else { 0 } {
                    let wait = Span(500 + self.rand.below(2000));
                    self.later(wait, Event::Report { place, life, runner });
                }
            }
            Event::Report { place, runner, .. } => {
                self.feed_made(place, "report", &|w| {
                    let r = &w.runners[runner];
                    msg::Event::RunnerReport { instance: r.name.clone(), report: Some(r.report()) }
                });
            }
            Event::Driven { place, order, status, .. } => {
                self.feed(place, "ordered", msg::Event::OrderAnswered { order, status });
            }
            Event::Envelope { place, raw, .. } => self.letter(place, raw),
            Event::Loaded { runner, name } => self.runners[runner].loaded(&name),
            Event::Sample => {
                self.sample();
                self.later(SAMPLE, Event::Sample);
            }
            Event::Demand => self.demand(),
            Event::Wake { .. } => {}
        }
    }

    pub fn live(&self, role: Role) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|n| self.nodes[*n].role == role && self.nodes[*n].node.is_some())
            .collect()
    }
}
