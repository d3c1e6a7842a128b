//! Carries out one step of the scheduler on a copy of a state.

use super::cluster::{Cluster, Counts};
use super::flight::{Flight, carries_state};
use super::step::{Disturbance, Group, Step};
use crate::kernel::ids::*;
use crate::kernel::time::Span;
use std::sync::Arc;

/// How often replicas tick in an exchange.
pub const ROUND: Span = Span::ms(50);
/// How many rounds pass between two words of membership to a replica that needs them.
const GOSSIP_ROUNDS: u64 = 6;
/// An exchange in which replicas never come to rest within a round is a fault of the explorer.
const MOST_DELIVERIES: usize = 20_000;

impl Cluster {
    /// The state after `step`. A step that doesn't fit the state changes nothing.
    pub fn after(&self, step: Step) -> Cluster {
        let mut next = self.clone();
        next.counts = Counts::default();
        next.spent.count(step);
        next.carry_out(step);
        next.crash_at = None;
        next.observe_step();
        next
    }

    fn carry_out(&mut self, step: Step) {
        match step {
            Step::Exchange { group, span, disturbance } => self.exchange(group, span, disturbance),
            Step::Advance { span } => self.now = self.now + span,
            Step::Tick { place } => self.tick(place),
            Step::Deliver { flight } => {
                if let Some(flight) = self.take_flight(flight) {
                    self.deliver(&flight);
                }
            }
            Step::Duplicate { flight } => {
                if let Some(flight) = self.copy_of_flight(flight) {
                    self.deliver(&flight);
                }
            }
            Step::DeliverAndCrash { flight, unsynced } => {
                if let Some(flight) = self.take_flight(flight) {
                    self.deliver_and_crash(&flight, unsynced);
                }
            }
            Step::Drop { flight } => drop(self.take_flight(flight)),
            Step::Crash { place, unsynced } => self.crash(place, unsynced),
            Step::Restart { place } if !self.is_up(place) => self.restart(place),
            Step::Restart { .. } => {}
            Step::Wipe { place } => self.wipe(place),
            Step::Stall { place } => self.stall(place),
            Step::Sync { place } => self.sync(place),
            Step::Warn { place } => self.warn(place),
            Step::Submit { place } => self.submit(place),
            Step::Gossip { from, to } => self.gossip(from, to),
        }
    }

    fn exchange(&mut self, group: Group, span: Span, disturbance: Option<Disturbance>) {
        if let Some(Disturbance::Crash { place, save, unsynced }) = disturbance {
            self.crash_at = Some((place, save, unsynced));
        }
        let mut carrier = Carrier { first: self.next_flight, seen: 0, disturbance };
        let places = self.replicas.len();
        for round in 0..span.0 / ROUND.0 {
            self.now = self.now + ROUND;
            for place in group.places().filter(|p| *p < places) {
                if round % GOSSIP_ROUNDS == 0 {
                    self.tell_newcomer(place, group);
                }
                self.tick(place);
                carrier.carry_all(self, group);
            }
            if self.violation.is_some() {
                return;
            }
        }
    }

    /// Membership's words to a replica outside the chain: the fleet, and the newest view in the group.
    fn tell_newcomer(&mut self, place: usize, group: Group) {
        let outside = self.replicas[place].chain().is_some_and(|c| !c.in_chain());
        if !outside {
            return;
        }
        let places = self.replicas.len();
        for other in group.places().filter(|p| *p < places && *p != place) {
            self.gossip(other, place);
        }
    }
}

/// Carries the messages of one exchange in the order in which they were sent, but for one disturbance.
struct Carrier {
    first: u64,
    seen: usize,
    disturbance: Option<Disturbance>,
}

impl Carrier {
    fn carry_all(&mut self, cluster: &mut Cluster, group: Group) {
        for _ in 0..MOST_DELIVERIES {
            let Some(flight) = cluster.flights.iter().find(|f| f.number >= self.first).cloned() else {
                return;
            };
            self.first = flight.number + 1;
            self.carry(cluster, &flight, group);
        }
        panic!("the replicas of {group} never come to rest");
    }

    fn carry(&mut self, cluster: &mut Cluster, flight: &Arc<Flight>, group: Group) {
        let number = self.seen;
        if carries_state(&flight.msg) {
            self.seen += 1;
            match self.disturbance {
                Some(Disturbance::Delay { message }) if message == number => return,
                Some(Disturbance::Duplicate { message }) if message == number => {
                    return deliver_within(cluster, flight, group);
                }
                _ => {}
            }
        }
        cluster.take_flight(flight.number);
        deliver_within(cluster, flight, group);
    }
}

/// A message to a replica outside the group is lost.
fn deliver_within(cluster: &mut Cluster, flight: &Arc<Flight>, group: Group) {
    let to: Option<usize> = cluster.replicas.iter().position(|r| is_at(r, flight.to));
    if to.is_some_and(|p| group.has(p)) {
        cluster.deliver(flight);
    }
}

fn is_at(replica: &super::replica::Replica, node: NodeId) -> bool {
    replica.is_up() && replica.me.node == node
}
