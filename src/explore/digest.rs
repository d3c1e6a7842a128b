//! A canonical digest of a state, by which states that were already seen are recognized.
//!
//! Times are taken as ages, so that the same situation at another moment is the same state.

use super::cluster::Cluster;
use super::flight::Flight;
use super::history::History;
use super::replica::{Process, Replica};
use crate::chain::Chain;
use crate::chain::acceptor::AcceptedView;
use crate::chain::view::View;
use crate::fleet::FleetState;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use std::collections::BTreeMap;
use std::fmt::{Debug, Write};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Older than any time limit of the agreement except those of founding.
const OLD: Span = Span::ms(12_000);

/// The digest of a whole state.
pub fn digest(cluster: &Cluster) -> u64 {
    let mut hasher = DefaultHasher::new();
    for replica in &cluster.replicas {
        hash_replica(replica, cluster.now, &mut hasher);
    }
    let flights = cluster.flights.iter().map(|f| hash_flight(f, cluster));
    flights.fold(0u64, u64::wrapping_add).hash(&mut hasher);
    hash_history(&cluster.history, &mut hasher);
    cluster.spent.hash(&mut hasher);
    hasher.finish()
}

/// A digest of anything that can be printed.
pub fn digest_of(value: &impl Debug) -> u64 {
    let mut text = Digester(DefaultHasher::new());
    write!(text, "{value:?}").expect("hashing takes any text");
    text.0.finish()
}

struct Digester(DefaultHasher);

impl Write for Digester {
    fn write_str(&mut self, text: &str) -> std::fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

struct Clock(Time);

impl Clock {
    /// How long ago, or how far ahead; "never" and "long ago" are the same.
    fn of(&self, time: Time) -> i64 {
        if time > self.0 {
            return -(time.since(self.0).min(OLD).0 as i64);
        }
        self.0.since(time).min(OLD).0 as i64
    }

    fn of_all(&self, times: &BTreeMap<NodeId, Time>, hasher: &mut DefaultHasher) {
        for (node, time) in times {
            (node, self.of(*time)).hash(hasher);
        }
    }
}

fn hash_replica(replica: &Replica, now: Time, hasher: &mut DefaultHasher) {
    (replica.place, replica.generation, replica.damaged, replica.stalled).hash(hasher);
    replica.disk.digest.hash(hasher);
    let Some(process) = &replica.process else { return false.hash(hasher) };
    true.hash(hasher);
    hash_process(process, &Clock(replica.clock(now)), hasher);
}

fn hash_process(process: &Process, clock: &Clock, hasher: &mut DefaultHasher) {
    hash_chain(&process.chain, clock, hasher);
    for (change, since) in &process.handed {
        (change, clock.of(*since)).hash(hasher);
    }
    process.jobs.len().hash(hasher);
    process.views.fleet.hash(hasher);
    process.views.view.as_ref().map(|v| v.no).hash(hasher);
    clock.of(process.views.role.lease_until).hash(hasher);
    process.views.released.hash(hasher);
    clock.of(process.serving.unknown_until()).hash(hasher);
    hash_state(&process.views.state, hasher);
}

fn hash_chain(chain: &Chain, clock: &Clock, hasher: &mut DefaultHasher) {
    hash_view(chain.view.as_ref(), hasher);
    (chain.fleet, chain.log.last(), chain.log.base, chain.committed, chain.inherited_up_to).hash(hasher);
    for entry in chain.log.iter() {
        (entry.at, entry.view).hash(hasher);
    }
    (chain.is_ready, chain.ready_in_view, chain.successor_synced_to_tail, chain.is_isolated).hash(hasher);
    clock.of_all(&chain.last_alive_at, hasher);
    clock.of_all(&chain.last_reached_at, hasher);
    let (sent, waits_since) = chain.successor.under_way();
    (sent, clock.of(waits_since)).hash(hasher);
    let leaving = chain.peers.iter().filter(|p| p.1.is_leaving).map(|p| *p.0);
    leaving.collect::<Vec<_>>().hash(hasher);
    chain.departure.map(|d| (d.is_done, d.copies, d.votes)).hash(hasher);
    clock.of(chain.ready_since).hash(hasher);
    for time in [
        chain.heartbeat_sent_at,
        chain.ticked_at,
        chain.view_installed_at,
        chain.started_at,
        chain.lease.valid_until,
    ] {
        clock.of(time).hash(hasher);
    }
    clock.of(chain.lease.requested_at).hash(hasher);
    clock.of(chain.lease.returned_at).hash(hasher);
    clock.of_all(&chain.lease.grants, hasher);
    hash_acceptor(chain, clock, hasher);
    hash_proposal(chain, clock, hasher);
    hash_newcomer(chain, clock, hasher);
}

fn hash_ballot(ballot: &Ballot, hasher: &mut DefaultHasher) {
    (ballot.round, ballot.node).hash(hasher);
}

fn hash_view(view: Option<&View>, hasher: &mut DefaultHasher) {
    if let Some(view) = view {
        (view.no, &view.chain, &view.voters).hash(hasher);
    }
}

fn hash_accepted(accepted: Option<&AcceptedView>, hasher: &mut DefaultHasher) {
    if let Some(accepted) = accepted {
        hash_ballot(&accepted.ballot, hasher);
        hash_view(Some(&accepted.view), hasher);
    }
}

fn hash_acceptor(chain: &Chain, clock: &Clock, hasher: &mut DefaultHasher) {
    let acceptor = &chain.acceptor;
    hash_ballot(&acceptor.promised, hasher);
    hash_accepted(acceptor.accepted.as_ref(), hasher);
    for time in [
        acceptor.accepted_at,
        acceptor.lease_hold_until,
        acceptor.grants_paused_until,
        acceptor.backoff_until,
    ] {
        clock.of(time).hash(hasher);
    }
    acceptor.granted_lease.map(|(tail, sent)| (tail, clock.of(sent))).hash(hasher);
    acceptor.highest_round.hash(hasher);
    if let Some(deferred) = &acceptor.deferred {
        (deferred.from, clock.of(deferred.since)).hash(hasher);
        hash_accepted(Some(&deferred.proposal), hasher);
    }
}

fn hash_proposal(chain: &Chain, clock: &Clock, hasher: &mut DefaultHasher) {
    let Some(proposal) = &chain.proposal else { return };
    hash_ballot(&proposal.ballot, hasher);
    hash_view(Some(&proposal.proposed_view), hasher);
    hash_accepted(proposal.accepted.as_ref(), hasher);
    (&proposal.promises, &proposal.accepts, proposal.is_accept_sent, proposal.lost_member).hash(hasher);
    (clock.of(proposal.started_at), clock.of(proposal.prepare_sent_at)).hash(hasher);
}

fn hash_newcomer(chain: &Chain, clock: &Clock, hasher: &mut DefaultHasher) {
    let (joiner, founder) = (&chain.joiner, &chain.founder);
    (joiner.is_following, clock.of(joiner.asked_at)).hash(hasher);
    clock.of_all(&joiner.answered_at, hasher);
    founder.pledge.hash(hasher);
    clock.of_all(&founder.pledged_at, hasher);
    for (node, (empty, at)) in &founder.seed_answers {
        (node, empty, clock.of(*at)).hash(hasher);
    }
    for time in [founder.asked_at, founder.founder_heard_at, founder.began_at, founder.grown_at] {
        clock.of(time).hash(hasher);
    }
    founder.known_controllers.hash(hasher);
}

fn hash_state(state: &FleetState, hasher: &mut DefaultHasher) {
    state.at.hash(hasher);
    for outcome in &state.outcomes {
        (outcome.id, outcome.at).hash(hasher);
    }
}

fn hash_history(history: &History, hasher: &mut DefaultHasher) {
    (&history.acknowledged, &history.committed, history.submitted).hash(hasher);
    for (key, view) in &history.decided {
        key.hash(hasher);
        hash_view(Some(view), hasher);
    }
}

/// Messages under way are a set: their digests are added up, in whatever order they were sent.
fn hash_flight(flight: &Flight, cluster: &Cluster) -> u64 {
    let mut hasher = DefaultHasher::new();
    (flight.from, flight.to, flight.fleet, flight.content()).hash(&mut hasher);
    if let Some((owner, sent)) = flight.sent {
        let replica = cluster.replicas.iter().find(|r| r.me.node == owner);
        let age = replica.map(|r| Clock(r.clock(cluster.now)).of(sent));
        age.hash(&mut hasher);
    }
    hasher.finish()
}
