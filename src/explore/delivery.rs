//! How messages arrive, and how a replica's effects are carried out: on the network, on the disk, on itself.

use super::cluster::{CLIENT, Cluster};
use super::flight::{Flight, carries_state};
use super::replica::Unsynced;
use crate::chain::leaving::Departure;
use crate::kernel::ids::*;
use crate::msg::{Effect, Event, Msg};
use std::collections::VecDeque;
use std::sync::Arc;

const ACKNOWLEDGED: u16 = 200;

impl Cluster {
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
        (!foreign).then_some((place, Event::Message { from: flight.from, fleet: flight.fleet, msg }))
    }

    pub(super) fn feed(&mut self, place: usize, event: Event) {
        let (now, members) = (self.now, self.members.clone());
        if !self.is_up(place) || self.violation.is_some() {
            return;
        }
        let effects = self.replica(place).feed(now, event, &members);
        self.settle(place, effects);
    }

    /// Carries out effects, syncs the disk and feeds the replica's messages to itself until all is quiet.
    pub(super) fn settle(&mut self, place: usize, effects: Vec<Effect>) {
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
                Effect::Send { to, msg } if to == me => own.push(Event::Message { from: me, fleet, msg }),
                Effect::Send { to, msg: Msg::CallAnswer { id, answer, .. } } if to == CLIENT => {
                    self.answered(id, answer.status);
                }
                Effect::Send { to, msg } => self.post(me, to, fleet, msg),
                Effect::Reset(_) => {
                    let replica = self.replica(place);
                    replica.wipe();
                    self.restart(place);
                    return vec![];
                }
                Effect::Leaving(departure) if departure.is_done => {
                    self.left(place, departure);
                    return vec![];
                }
                _ => {}
            }
        }
        own
    }

    fn post(&mut self, from: NodeId, to: NodeId, fleet: FleetId, msg: Msg) {
        if carries_state(&msg, self.leases_count) {
            self.counts.messages += 1;
        }
        let flight = Flight::new(self.next_flight, from, to, fleet, msg);
        self.next_flight += 1;
        self.flights.retain(|older| !flight.supersedes(older));
        self.flights.push(Arc::new(flight));
    }

    fn answered(&mut self, id: ChangeId, status: u16) {
        if status == ACKNOWLEDGED {
            Arc::make_mut(&mut self.history).acknowledged.insert(id);
        }
    }

    /// A member that has left ends. If it said that the others can go on without it, its disk goes with it.
    fn left(&mut self, place: usize, departure: Departure) {
        let suffices = departure.copies >= departure.required_copies && departure.votes >= departure.majority;
        self.crash(place, Unsynced::Kept);
        if suffices {
            self.replica(place).wipe();
        }
    }
}
