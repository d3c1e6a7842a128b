//! A fleet in simulated time: the queue of events, and what nodes, runners and callers share.
//! The module `event` defines the events; the other modules of `sim` add to [`World`] what each event does.

use super::front::Requests;
use super::listing::SimList;
use super::nodes::SimNode;
use super::record::{Fact, Record};
use super::runners::SimRunner;
use crate::kernel::ids::*;
use crate::kernel::rand::{Rand, SeededRandom};
use crate::kernel::time::{Span, Time};
use crate::launch::deployment::Deployment;
use crate::msg::Answer;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex};

pub use super::event::{Deed, Event, Sought, Woken};

/// A simulated fleet with its clock, its network and the record of a run.
pub struct World {
    /// The simulated time; each node's own clock differs from it.
    pub now: Time,
    /// The source of all random choices, so that a seed always gives the same run.
    pub rand: SeededRandom,
    queue: BTreeMap<(Time, u64), Event>,
    /// The number of the latest event; events of the same time run in the order of their numbers.
    next: u64,
    /// The deployment that is simulated.
    pub plan: Deployment,
    /// The routers and controllers, also those that are down.
    pub nodes: Vec<SimNode>,
    /// The runners, also those that are down.
    pub runners: Vec<SimRunner>,
    /// The requests at the routers.
    pub requests: Requests,
    /// The facts that the checks judge a run by.
    pub record: Record,
    /// The pairs of nodes (sender, receiver) whose messages are dropped.
    pub cuts: BTreeSet<(usize, usize)>,
    /// How many of a thousand messages between nodes are lost.
    pub loss: u64,
    /// The longest that a message is delayed beyond the usual, in microseconds.
    pub slow_net: u64,
    /// The longest that opening an attempt at a runner is delayed beyond the usual, in microseconds.
    pub slow_open: u64,
    /// The longest that a runner's report is delayed beyond the usual, in microseconds.
    pub slow_poll: u64,
    /// The longest that one in four orders to runners is held up on its way, in microseconds.
    pub slow_order: u64,
    /// The answers to operators' calls, except those to the reads in `shows`.
    pub answers: BTreeMap<ChangeId, Answer>,
    /// Plans for waiting requests, not yet delivered.
    pub woken: Arc<Mutex<VecDeque<Woken>>>,
    /// Unmet demands that routers noticed and that are not yet delivered to those routers' nodes.
    pub sought: Arc<Mutex<VecDeque<Sought>>>,
    /// The tenants of the calls, and what is on its way between requests and quotas.
    pub quota: super::quota::SimQuota,
    /// The flows of calls, also those that are over.
    pub flows: Vec<super::callers::SimFlow>,
    /// The keys that callers use in turn; without any they send none.
    pub caller_keys: Vec<String>,
    /// How many calls were made; also the number of the latest.
    pub calls: u64,
    /// The mark of the route `/x{mark}` that the latest random change added; the next change drops it.
    pub turn: Option<u64>,
    /// The kinds of effects of all nodes with their times, if they are collected.
    pub marks: Option<Vec<(Time, &'static str)>>,
    /// Open reads of the configuration: the node asked and the time.
    pub shows: BTreeMap<ChangeId, (usize, Time)>,
    /// The count of the messages sent, if they are counted.
    pub cost: Option<Box<super::cost::Cost>>,
    /// The platform's list of runners, if it has one.
    pub list: Option<SimList>,
}

impl World {
    /// A world at time 0 without nodes, runners or faults.
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

    /// Queues an event, due after `wait`.
    pub fn later(&mut self, wait: Span, ev: Event) {
        self.next += 1;
        self.queue.insert((self.now + wait, self.next), ev);
    }

    /// Runs an action at the time `when`, or as soon as possible if that has passed.
    pub fn at(&mut self, when: Time, deed: impl FnOnce(&mut World) + 'static) {
        let wait = when.since(self.now);
        self.later(wait, Event::Do(Box::new(deed)));
    }

    /// Adds a fact to the record.
    pub fn note(&mut self, fact: Fact) {
        self.record.add(self.now, fact);
    }

    /// Runs all events of the next `span`.
    pub fn run_for(&mut self, span: Span) {
        let end = self.now + span;
        self.run_to(end);
    }

    /// Runs all events that are due by `end`.
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

    /// Runs until `test` holds, tried every 20 ms; gives the time it took, `None` if it took `most` or more.
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

    /// Hands an event to its node: held back while the node is frozen, queued if its inputs take time.
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

    /// Carries out an event at once, whether or not its node is frozen or busy.
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

    /// Is true in `per_mille` of a thousand cases, at random.
    pub fn chance(&mut self, per_mille: u64) -> bool {
        self.rand.below(1000) < per_mille
    }

    /// A random span below `most` microseconds; zero if `most` is 0.
    pub fn plus(&mut self, most: u64) -> Span {
        if most > 0 { Span(self.rand.below(most)) } else { Span(0) }
    }

    /// A random delay of a message, 200 to 999 microseconds, plus less than `slow_net`.
    pub fn delay(&mut self) -> Span {
        let base = 200 + self.rand.below(800);
        let slow = if self.slow_net > 0 { self.rand.below(self.slow_net) } else { 0 };
        Span(base + slow)
    }
}

/// The node that an event is an input of; none for events of runners, flows and actions.
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
