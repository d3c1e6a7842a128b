//! The explored system: replicas, the messages between them, the time, and what was seen so far.

use super::flight::{Flight, carries_state};
use super::history::History;
use super::invariants::{self, Violation};
use super::replica::{Replica, Unsynced, address};
use super::scope::Spent;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::{Effect, Event, JournalEvent, Msg, Op, Row};
use std::collections::VecDeque;
use std::sync::Arc;

/// The sender of operators' changes and reads.
pub const CLIENT: NodeId = NodeId(999_999);
const FIRST_CHANGE: u64 = 0xc0;
const NOT_LIVE: Span = Span::ms(60_000);
const START: Time = Time(60_000_000);

/// What happened in one step, by which its disturbed variants are numbered.
#[derive(Clone, Default)]
pub struct Counts {
    pub messages: usize,
    pub saves: Vec<usize>,
}

/// A state of the explored system.
#[derive(Clone)]
pub struct Cluster {
    pub now: Time,
    pub replicas: Vec<Arc<Replica>>,
    pub flights: Vec<Arc<Flight>>,
    pub history: Arc<History>,
    pub violation: Option<Violation>,
    pub counts: Counts,
    pub bear: usize,
    pub next_flight: u64,
    pub spent: Spent,
    members: Arc<Vec<Row>>,
    /// The place whose save with this number brings it down, in the present step.
    pub crash_at: Option<(usize, usize, Unsynced)>,
}

impl Cluster {
    /// Machines with empty disks, none started; the first `seeds` of them are seeds.
    pub fn new(places: usize, seeds: usize, bear: usize) -> Cluster {
        let seeds: Vec<_> = (0..seeds).map(address).collect();
        Cluster {
            now: START,
            replicas: (0..places).map(|p| Arc::new(Replica::new(p, &seeds, bear))).collect(),
            flights: Vec::new(),
            history: Arc::default(),
            violation: None,
            counts: Counts::default(),
            bear,
            next_flight: 0,
            spent: Spent::default(),
            members: Arc::default(),
            crash_at: None,
        }
    }

    pub fn replica(&mut self, place: usize) -> &mut Replica {
        Arc::make_mut(&mut self.replicas[place])
    }

    pub fn is_up(&self, place: usize) -> bool {
        self.replicas[place].is_up()
    }

    fn place_of(&self, node: NodeId) -> Option<usize> {
        self.replicas.iter().position(|r| r.is_up() && r.me.node == node)
    }

    /// What membership tells every replica: all machines that ever started, and which of them live.
    fn refresh_members(&mut self) {
        let started = self.replicas.iter().filter(|r| r.starts > 0 && r.me.node != NodeId(0));
        let row =
            |r: &Arc<Replica>| Row { who: r.member(), quiet: if r.is_up() { Span(0) } else { NOT_LIVE } };
        self.members = Arc::new(started.map(row).collect());
    }

    pub fn restart(&mut self, place: usize) {
        let (now, members) = (self.now, self.members.clone());
        let effects = self.replica(place).start(now, &members);
        self.refresh_members();
        self.settle(place, effects);
    }

    pub fn crash(&mut self, place: usize, unsynced: Unsynced) {
        self.replica(place).crash(unsynced);
        self.refresh_members();
    }

    pub fn wipe(&mut self, place: usize) {
        let replica = self.replica(place);
        replica.wipe();
        replica.damaged = true;
        self.refresh_members();
    }

    pub fn stall(&mut self, place: usize) {
        self.replica(place).stalled = true;
    }

    pub fn sync(&mut self, place: usize) {
        let now = self.now;
        self.replica(place).stalled = false;
        let released = self.replica(place).sync(now);
        self.settle(place, released);
    }

    pub fn tick(&mut self, place: usize) {
        self.feed(place, Event::Tick);
    }

    /// Hands an operator's next change to a replica.
    pub fn submit(&mut self, place: usize) {
        let Some(process) = &mut self.replica(place).process else { return };
        let fleet = process.views.fleet;
        let history = Arc::make_mut(&mut self.history);
        let id = ChangeId(FIRST_CHANGE + history.submitted);
        history.submitted += 1;
        if let Some(process) = &mut self.replica(place).process {
            process.handed.push(id);
        }
        let msg = Msg::Op { id, op: Op::Runners(vec![]) };
        self.feed(place, Event::Mail { from: CLIENT, fleet, msg });
    }

    /// Membership tells `to` what `from` knows: whether there is a fleet, and the newest view.
    pub fn gossip(&mut self, from: usize, to: usize) {
        let Some(source) = &self.replicas[from].process else { return };
        let (node, fleet, view) =
            (self.replicas[from].me.node, source.views.fleet, source.views.view.clone());
        let empty = fleet == FleetId(0);
        self.feed(to, Event::Mail { from: node, fleet, msg: Msg::Welcome { empty, gossip: None } });
        let Some(view) = view else { return };
        let Some(target) = &mut self.replica(to).process else { return };
        if target.views.fleet == fleet && target.views.older(&view) {
            let event = JournalEvent::ViewHeard(view);
            target.views.apply(&event);
            self.feed(to, Event::Journal(event));
        }
    }

    pub fn take_flight(&mut self, number: u64) -> Option<Arc<Flight>> {
        let at = self.flights.iter().position(|f| f.number == number)?;
        Some(self.flights.remove(at))
    }

    pub fn copy_of_flight(&self, number: u64) -> Option<Arc<Flight>> {
        self.flights.iter().find(|f| f.number == number).cloned()
    }

    pub fn deliver(&mut self, flight: &Flight) {
        if let Some((place, event)) = self.arrival(flight) {
            self.feed(place, event);
        }
    }

    pub fn deliver_and_crash(&mut self, flight: &Flight, unsynced: Unsynced) {
        let Some((place, event)) = self.arrival(flight) else { return };
        let (now, members) = (self.now, self.members.clone());
        let effects = self.replica(place).feed(now, event, &members);
        self.post_all(place, effects);
        self.crash(place, unsynced);
    }

    /// Where and as what a message arrives, under the same conditions as in the daemon.
    fn arrival(&self, flight: &Flight) -> Option<(usize, Event)> {
        let place = self.place_of(flight.to)?;
        let mine = self.replicas[place].process.as_ref()?.views.fleet;
        let foreign = mine.0 != 0 && flight.fleet.0 != 0 && mine != flight.fleet;
        let msg = Msg::clone(&flight.msg);
        (!foreign).then_some((place, Event::Mail { from: flight.from, fleet: flight.fleet, msg }))
    }

    fn feed(&mut self, place: usize, event: Event) {
        let (now, members) = (self.now, self.members.clone());
        if !self.is_up(place) || self.violation.is_some() {
            return;
        }
        let effects = self.replica(place).feed(now, event, &members);
        self.settle(place, effects);
    }

    /// Carries out effects, syncs the disk and feeds the replica's messages to itself until all is quiet.
    fn settle(&mut self, place: usize, effects: Vec<Effect>) {
        let mut own: VecDeque<Event> = self.post_all(place, effects).into();
        loop {
            if !self.sync_unless_stalled(place, &mut own) {
                return;
            }
            let Some(event) = own.pop_front() else { break };
            let (now, members) = (self.now, self.members.clone());
            let effects = self.replica(place).feed(now, event, &members);
            own.extend(self.post_all(place, effects));
            if !self.is_up(place) {
                return;
            }
        }
        self.observe(place);
    }

    /// False if the replica goes down on the way.
    fn sync_unless_stalled(&mut self, place: usize, own: &mut VecDeque<Event>) -> bool {
        while self.replicas[place].has_unsynced() && !self.replicas[place].stalled {
            let save = self.counts.saves.get(place).copied().unwrap_or_default();
            self.counts.saves.resize(self.replicas.len(), 0);
            self.counts.saves[place] = save + 1;
            if let Some((at, number, unsynced)) = self.crash_at
                && at == place
                && number == save
            {
                self.crash(place, unsynced);
                return false;
            }
            let now = self.now;
            let released = self.replica(place).sync(now);
            own.extend(self.post_all(place, released));
        }
        self.is_up(place)
    }

    /// Sends what is for others; returns what the replica sent to itself.
    fn post_all(&mut self, place: usize, effects: Vec<Effect>) -> Vec<Event> {
        let me = self.replicas[place].me.node;
        let fleet = self.replicas[place].process.as_ref().map_or(FleetId(0), |p| p.views.fleet);
        let mut own = Vec::new();
        for effect in effects {
            match effect {
                Effect::Send { to, msg } if to == me => own.push(Event::Mail { from: me, fleet, msg }),
                Effect::Send { to, msg: Msg::OpEnd { id, answer } } if to == CLIENT => {
                    if answer.status == 200 {
                        Arc::make_mut(&mut self.history).acknowledged.insert(id);
                    }
                }
                Effect::Send { to, msg } => self.post(me, to, fleet, msg),
                Effect::Reset(_) => {
                    let replica = self.replica(place);
                    replica.wipe();
                    self.restart(place);
                    return vec![];
                }
                _ => {}
            }
        }
        own
    }

    fn post(&mut self, from: NodeId, to: NodeId, fleet: FleetId, msg: Msg) {
        if carries_state(&msg) {
            self.counts.messages += 1;
        }
        let flight = Flight::new(self.next_flight, from, to, fleet, msg);
        self.next_flight += 1;
        self.flights.retain(|older| !flight.supersedes(older));
        self.flights.push(Arc::new(flight));
    }

    fn observe(&mut self, place: usize) {
        if self.violation.is_some() {
            return;
        }
        self.violation = invariants::after_event(self, place);
    }

    /// The checks that look at all disks and ask every replica for a read; once at the end of a step.
    pub fn observe_step(&mut self) {
        if self.violation.is_none() {
            self.clear_repaired();
            self.violation = invariants::after_step(self);
        }
    }

    fn clear_repaired(&mut self) {
        let Some(newest) = self.history.newest_view().map(|v| v.no) else { return };
        for place in 0..self.replicas.len() {
            let replica = &self.replicas[place];
            let whole = replica
                .chain()
                .is_some_and(|c| c.in_chain() && c.ready && c.view.as_ref().is_some_and(|v| v.no == newest));
            if replica.damaged && whole && !replica.has_unsynced() {
                self.replica(place).damaged = false;
            }
        }
    }

    pub fn damaged(&self) -> usize {
        self.replicas.iter().filter(|r| r.damaged).count()
    }

    pub fn members(&self) -> &Arc<Vec<Row>> {
        &self.members
    }
}
