//! The explored system: replicas, the messages between them, the time, and what was seen so far.

use super::flight::Flight;
use super::history::History;
use super::invariants::{self, Violation};
use super::replica::{Replica, Unsynced, address};
use super::scope::Spent;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::{Event, JournalEvent, MemberRow, Msg, OperatorCall};
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
    /// Whether single messages about leases are worth being disturbed.
    pub leases_count: bool,
    pub spent: Spent,
    pub(super) members: Arc<Vec<MemberRow>>,
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
            leases_count: false,
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

    pub(super) fn place_of(&self, node: NodeId) -> Option<usize> {
        self.replicas.iter().position(|r| r.is_up() && r.me.node == node)
    }

    /// What membership tells every replica: all machines that ever started, and which of them live.
    fn refresh_members(&mut self) {
        let started = self.replicas.iter().filter(|r| r.starts > 0 && r.me.node != NodeId(0));
        let row = |r: &Arc<Replica>| MemberRow {
            who: r.member(),
            silence: if r.is_up() { Span(0) } else { NOT_LIVE },
        };
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
        let clock = self.replicas[place].clock(self.now);
        let attempt = self.history.submitted;
        let document = DocumentDigest::of(&[&attempt.to_le_bytes()]);
        let id = ChangeId::named(u128::from(FIRST_CHANGE + attempt), document);
        let Some(process) = &mut self.replica(place).process else { return };
        process.handed.push((id, clock));
        let fleet = process.views.fleet;
        Arc::make_mut(&mut self.history).submitted += 1;
        let msg = Msg::OperatorCall { id, attempt, op: OperatorCall::SetRunners(vec![]) };
        self.feed(place, Event::Message { from: CLIENT, fleet, msg });
    }

    /// The process is told to stop: it leaves the chain before it ends.
    pub fn warn(&mut self, place: usize) {
        self.feed(place, Event::StopAnnounced);
    }

    /// Membership tells `to` what `from` knows: whether there is a fleet, and the newest view.
    pub fn gossip(&mut self, from: usize, to: usize) {
        let Some(source) = &self.replicas[from].process else { return };
        let (node, fleet, view) =
            (self.replicas[from].me.node, source.views.fleet, source.views.view.clone());
        let empty = fleet == FleetId(0);
        self.feed(to, Event::Message { from: node, fleet, msg: Msg::Welcome { empty, gossip: None } });
        let Some(view) = view else { return };
        let Some(target) = &mut self.replica(to).process else { return };
        if target.views.fleet == fleet && target.views.older(&view) {
            let event = JournalEvent::ViewHeard(view);
            target.views.apply(&event);
            self.feed(to, Event::Journal(event));
        }
    }

    pub(super) fn observe(&mut self, place: usize) {
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
            let whole = replica.chain().is_some_and(|c| {
                c.in_chain() && c.is_ready && c.view.as_ref().is_some_and(|v| v.no == newest)
            });
            if replica.damaged && whole && !replica.has_unsynced() {
                self.replica(place).damaged = false;
            }
        }
    }

    pub fn damaged(&self) -> usize {
        self.replicas.iter().filter(|r| r.damaged).count()
    }

    pub fn members(&self) -> &Arc<Vec<MemberRow>> {
        &self.members
    }
}
