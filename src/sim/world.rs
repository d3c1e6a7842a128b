use super::front::Requests;
use super::listing::SimList;
use super::nodes::SimNode;
use super::record::{Fact, Record};
use super::runners::SimRunner;
use crate::fleet::holdings::UnmetDemand;
use crate::forwarding::FlowEvent;
use crate::gate::{Balancer, RoutingDecision};
use crate::kernel::ids::*;
use crate::kernel::rand::{Rand, SeededRandom};
use crate::kernel::time::{Span, Time};
use crate::launch::deployment::Deployment;
use crate::msg::{Answer, Envelope};
use crate::runner_list::messages::RunnerListing;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// A plan for a request that waits, on its way to it.
pub struct Woken {
    pub place: usize,
    pub life: u64,
    pub request: u64,
    pub balancer: Arc<Mutex<Balancer>>,
    pub model: String,
    pub plan: RoutingDecision,
}

pub type Sought = (usize, u64, UnmetDemand);
pub type Deed = Box<dyn FnOnce(&mut World)>;

pub enum Event {
    Tick {
        place: usize,
        life: u64,
    },
    Work {
        place: usize,
        life: u64,
    },
    Envelope {
        to: SocketAddr,
        letter: Box<Envelope>,
    },
    Looked {
        place: usize,
        life: u64,
        runner: Name,
    },
    Synced {
        place: usize,
        life: u64,
        upto: u64,
    },
    Reported {
        place: usize,
        life: u64,
        runner: Name,
        report: Option<Box<crate::fleet::runner::RunnerReport>>,
    },
    Tell {
        place: usize,
        life: u64,
    },
    Driven {
        place: usize,
        life: u64,
        order: OrderId,
        status: u16,
    },
    RequestFlow {
        place: usize,
        life: u64,
        request: u64,
        ev: Box<FlowEvent>,
    },
    Send {
        place: usize,
        life: u64,
        request: u64,
        attempt: u64,
        last: Option<String>,
    },
    Run {
        runner: usize,
        life: u64,
        run: u64,
    },
    Loaded {
        runner: usize,
        life: u64,
        name: Name,
    },
    Flow {
        flow: usize,
    },
    ListPoll {
        place: usize,
        life: u64,
    },
    ListAnswer {
        place: usize,
        life: u64,
        listing: Box<RunnerListing>,
    },
    Do(Deed),
}

pub struct World {
    pub now: Time,
    pub rand: SeededRandom,
    queue: BTreeMap<(Time, u64), Event>,
    next: u64,
    pub plan: Deployment,
    pub nodes: Vec<SimNode>,
    pub runners: Vec<SimRunner>,
    pub requests: Requests,
    pub record: Record,
    pub cuts: BTreeSet<(usize, usize)>,
    pub loss: u64,
    pub slow_net: u64,
    pub slow_open: u64,
    pub slow_poll: u64,
    /// The longest that one in four orders to runners is held up on its way, in microseconds.
    pub slow_order: u64,
    pub answers: BTreeMap<ChangeId, Answer>,
    pub woken: Arc<Mutex<VecDeque<Woken>>>,
    pub sought: Arc<Mutex<VecDeque<Sought>>>,
    pub quota: super::quota::SimQuota,
    pub flows: Vec<super::callers::SimFlow>,
    /// The keys that callers use in turn; without any they send none.
    pub caller_keys: Vec<String>,
    pub calls: u64,
    pub turn: Option<u64>,
    pub marks: Option<Vec<(Time, &'static str)>>,
    pub shows: BTreeMap<ChangeId, (usize, Time)>,
    pub cost: Option<Box<super::cost::Cost>>,
    /// The platform's list of runners, if it has one.
    pub list: Option<SimList>,
}

impl World {
    pub fn new(plan: Deployment, seed: u64) -> World {
        World {
            now: Time(0),
            rand: SeededRandom(seed),
            queue: BTreeMap::new(),
            next: 0,
            plan,
            nodes: Vec::new(),
            runners: Vec::new(),
            requests: Requests::default(),
            record: Record::default(),
            cuts: BTreeSet::new(),
            loss: 0,
            slow_net: 0,
            slow_open: 0,
            slow_poll: 0,
            slow_order: 0,
            answers: BTreeMap::new(),
            woken: Arc::default(),
            sought: Arc::default(),
            quota: Default::default(),
            flows: Vec::new(),
            caller_keys: Vec::new(),
            calls: 0,
            turn: None,
            marks: None,
            shows: BTreeMap::new(),
            cost: None,
            list: None,
        }
    }

    pub fn later(&mut self, wait: Span, ev: Event) {
        self.next += 1;
        self.queue.insert((self.now + wait, self.next), ev);
    }

    pub fn at(&mut self, when: Time, deed: impl FnOnce(&mut World) + 'static) {
        let wait = when.since(self.now);
        self.later(wait, Event::Do(Box::new(deed)));
    }

    pub fn note(&mut self, fact: Fact) {
        self.record.add(self.now, fact);
    }

    pub fn run_for(&mut self, span: Span) {
        let end = self.now + span;
        self.run_to(end);
    }

    pub fn run_to(&mut self, end: Time) {
        while let Some((&key, _)) = self.queue.first_key_value() {
            if key.0 > end {
                break;
            }
            let Some(ev) = self.queue.remove(&key) else { break };
            self.now = self.now.max(key.0);
            self.step(ev);
            self.wake();
            self.check_leaks();
        }
        self.now = end;
    }

    pub fn until(&mut self, most: Span, test: impl Fn(&mut World) -> bool) -> Option<Span> {
        let began = self.now;
        while self.now.since(began) < most {
            if test(self) {
                return Some(self.now.since(began));
            }
            self.run_for(Span::ms(20));
        }
        None
    }

    fn wake(&mut self) {
        self.pass_quota_words();
        loop {
            let Some((place, life, want)) = self.sought.lock().unwrap().pop_front() else { break };
            if self.fits(place, life) {
                self.feed(place, crate::msg::Event::NameWanted(want));
            }
        }
        loop {
            let Some(woken) = self.woken.lock().unwrap().pop_front() else { return };
            self.deliver_plan(woken);
        }
    }

    pub(super) fn step(&mut self, ev: Event) {
        let Some(place) = place_of(self, &ev) else { return self.act(ev) };
        let n = &mut self.nodes[place];
        let free = n.frozen_until;
        if n.alive && free > self.now {
            n.held.push_back(ev);
            return;
        }
        let Some(ev) = self.queue_input(place, ev) else { return };
        self.act(ev);
    }

    pub fn act(&mut self, ev: Event) {
        match ev {
            Event::Tick { place, life } => self.tick(place, life),
            Event::Work { place, life } => self.work(place, life),
            Event::Envelope { to, letter } => {
                let place = self.nodes.iter().position(|n| n.place.addr == to).unwrap_or(0);
                self.timed(place, |w| w.letter(to, *letter));
            }
            Event::Looked { place, life, runner } => self.look(place, life, &runner),
            Event::Synced { place, life, upto } => self.synced(place, life, upto),
            Event::Reported { place, life, runner, report } => self.reported(place, life, runner, report),
            Event::Tell { place, life } => self.tell(place, life),
            Event::Driven { place, life, order, status } => self.driven(place, life, order, status),
            Event::RequestFlow { place, life, request, ev } => self.request(place, life, request, *ev),
            Event::Send { place, life, request, attempt, last } => {
                self.send_attempt(place, life, request, attempt, last)
            }
            Event::Run { runner, life, run } => self.run_step(runner, life, run),
            Event::Loaded { runner, life, name } => self.loaded(runner, life, &name),
            Event::Flow { flow } => self.flow(flow),
            Event::ListPoll { place, life } => self.list_poll(place, life),
            Event::ListAnswer { place, life, listing } => self.list_answered(place, life, *listing),
            Event::Do(deed) => deed(self),
        }
    }

    pub fn chance(&mut self, per_mille: u64) -> bool {
        self.rand.below(1000) < per_mille
    }

    pub fn plus(&mut self, most: u64) -> Span {
        if most > 0 { Span(self.rand.below(most)) } else { Span(0) }
    }

    pub fn delay(&mut self) -> Span {
        let base = 200 + self.rand.below(800);
        let slow = if self.slow_net > 0 { self.rand.below(self.slow_net) } else { 0 };
        Span(base + slow)
    }
}

fn place_of(w: &World, ev: &Event) -> Option<usize> {
    match ev {
        Event::Envelope { to, .. } => w.nodes.iter().position(|n| n.place.addr == *to),
        Event::Tick { place, .. }
        | Event::Work { place, .. }
        | Event::Looked { place, .. }
        | Event::Synced { place, .. }
        | Event::Reported { place, .. }
        | Event::Tell { place, .. }
        | Event::Driven { place, .. }
        | Event::ListPoll { place, .. }
        | Event::ListAnswer { place, .. }
        | Event::RequestFlow { place, .. }
        | Event::Send { place, .. } => Some(*place),
        _ => None,
    }
}
