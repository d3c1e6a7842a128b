//! What must hold in every state, judged on the real state of the replicas.

use super::cluster::{CLIENT, Cluster};
use super::replica::Replica;
use crate::fleet::state::Change;
use crate::kernel::ids::*;
use crate::kernel::time::Time;
use crate::msg::{Effect, Event, Msg, Record};
use std::fmt;
use std::sync::Arc;

const PROBE: u64 = 7;
const PROBE_PATH: &str = "nodes";

/// A broken invariant.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Violation {
    TwoViews { no: ViewNo, one: String, other: String },
    TwoFleets { one: FleetId, other: FleetId },
    TwoLeases { one: usize, other: usize },
    AcknowledgedChangeMissing { place: usize, change: ChangeId },
    CommittedDiffers { at: Version, one: ChangeId, other: ChangeId },
    ReadyMemberLacks { place: usize, change: ChangeId },
    TooFewCopies { change: ChangeId, copies: usize, damaged: usize, need: usize },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::TwoViews { no, one, other } => {
                write!(f, "two views were decided under {no}: {one} and {other}")
            }
            Violation::TwoFleets { one, other } => write!(f, "two fleets were founded: {one} and {other}"),
            Violation::TwoLeases { one, other } => {
                write!(f, "replicas {one} and {other} would answer reads at the same moment")
            }
            Violation::AcknowledgedChangeMissing { place, change } => {
                write!(f, "replica {place} would answer reads without the acknowledged change {change}")
            }
            Violation::CommittedDiffers { at, one, other } => {
                write!(f, "{at} was committed as {one} and as {other}")
            }
            Violation::ReadyMemberLacks { place, change } => {
                write!(
                    f,
                    "replica {place} is a ready member of the newest view without the acknowledged change {change}"
                )
            }
            Violation::TooFewCopies { change, copies, damaged, need } => write!(
                f,
                "the acknowledged change {change} is on {copies} disks with {damaged} disks under repair; {need} were promised"
            ),
        }
    }
}

/// The checks after each event of a replica: cheap ones, on its own state and all leases.
pub fn after_event(cluster: &mut Cluster, place: usize) -> Option<Violation> {
    record_view(cluster, place)
        .or_else(|| record_committed(cluster, place))
        .or_else(|| one_fleet(cluster))
        .or_else(|| leases(cluster))
}

/// The checks after each step: real reads asked of every replica, and the copies on all disks.
pub fn after_step(cluster: &Cluster) -> Option<Violation> {
    leases(cluster)
        .or_else(|| readers(cluster))
        .or_else(|| ready_members(cluster))
        .or_else(|| copies(cluster))
}

fn record_view(cluster: &mut Cluster, place: usize) -> Option<Violation> {
    let replica = &cluster.replicas[place];
    let chain = replica.chain()?;
    let view = chain.view.as_ref()?;
    let key = (chain.fleet, view.no);
    match cluster.history.decided.get(&key) {
        Some(old) if old == view => None,
        Some(old) => Some(Violation::TwoViews { no: view.no, one: old.to_string(), other: view.to_string() }),
        None => {
            let view = view.clone();
            Arc::make_mut(&mut cluster.history).decided.insert(key, view);
            None
        }
    }
}

/// Commits count once what they rest on is synced; until then the disk gate lets no word of them out.
fn record_committed(cluster: &mut Cluster, place: usize) -> Option<Violation> {
    let replica = cluster.replicas[place].clone();
    let process = replica.process.as_ref().filter(|p| p.jobs.is_empty())?;
    for outcome in &process.views.state.outcomes {
        match cluster.history.committed.get(&outcome.at) {
            Some(old) if *old == outcome.id => {}
            Some(old) => {
                return Some(Violation::CommittedDiffers { at: outcome.at, one: *old, other: outcome.id });
            }
            None => {
                let history = Arc::make_mut(&mut cluster.history);
                history.committed.insert(outcome.at, outcome.id);
            }
        }
    }
    None
}

fn one_fleet(cluster: &Cluster) -> Option<Violation> {
    let fleets = cluster.replicas.iter().filter_map(|r| r.chain().map(|c| c.fleet));
    let mut founded = fleets.filter(|f| *f != FleetId(0));
    let one = founded.next()?;
    let other = founded.find(|f| *f != one)?;
    Some(Violation::TwoFleets { one, other })
}

fn holds_lease(replica: &Replica, now: Time) -> bool {
    let clock = replica.clock(now);
    replica.process.as_ref().is_some_and(|p| p.jobs.is_empty() && p.views.role.lease_until > clock)
}

fn leases(cluster: &Cluster) -> Option<Violation> {
    let holders = cluster.replicas.iter().filter(|r| holds_lease(r, cluster.now));
    one_reader(cluster, holders.map(|r| r.place).collect())
}

fn readers(cluster: &Cluster) -> Option<Violation> {
    let answering = cluster.replicas.iter().filter(|r| answers_reads(cluster, r));
    one_reader(cluster, answering.map(|r| r.place).collect())
}

fn one_reader(cluster: &Cluster, places: Vec<usize>) -> Option<Violation> {
    if let [one, other, ..] = places[..] {
        return Some(Violation::TwoLeases { one, other });
    }
    let place = *places.first()?;
    let state = &cluster.replicas[place].process.as_ref()?.views.state;
    let missing = cluster.history.acknowledged.iter().find(|id| state.outcome(**id).is_none());
    missing.map(|change| Violation::AcknowledgedChangeMissing { place, change: *change })
}

/// Asks a copy of the replica for a read, as an operator does.
fn answers_reads(cluster: &Cluster, replica: &Arc<Replica>) -> bool {
    if !replica.is_up() {
        return false;
    }
    let mut copy = Replica::clone(replica);
    let fleet = copy.process.as_ref().map_or(FleetId(0), |p| p.views.fleet);
    let msg = Msg::ReadCall { attempt: PROBE, path: PROBE_PATH.into() };
    let effects = copy.feed(cluster.now, Event::Message { from: CLIENT, fleet, msg }, cluster.members());
    let answered = |e: &Effect| matches!(e, Effect::Send { to: CLIENT, msg: Msg::ReadAnswer { attempt: PROBE, answer } } if answer.status == 200);
    effects.iter().any(answered)
}

/// An acknowledged change is on `need` disks, less one for each disk that was lost and isn't repaired yet.
fn copies(cluster: &Cluster) -> Option<Violation> {
    let need = cluster.bear + 1;
    let damaged = cluster.damaged();
    for change in &cluster.history.acknowledged {
        let copies = cluster.replicas.iter().filter(|r| keeps(r, *change)).count();
        if copies + damaged < need {
            return Some(Violation::TooFewCopies { change: *change, copies, damaged, need });
        }
    }
    None
}

/// A ready member of the newest view holds all that was acknowledged: so any of them can go on alone.
fn ready_members(cluster: &Cluster) -> Option<Violation> {
    let newest = cluster.history.newest_view()?.no;
    for replica in &cluster.replicas {
        let Some(process) = &replica.process else { continue };
        let chain = &process.chain;
        let counts =
            chain.is_ready && chain.in_chain() && chain.view.as_ref().is_some_and(|v| v.no == newest);
        let lacks = |change: &&ChangeId| {
            let logged = chain.log.iter().any(|e| is_change(&e.change, **change));
            !logged && process.views.state.outcome(**change).is_none()
        };
        if counts && let Some(change) = cluster.history.acknowledged.iter().find(lacks) {
            return Some(Violation::ReadyMemberLacks { place: replica.place, change: *change });
        }
    }
    None
}

fn is_change(change: &Change, wanted: ChangeId) -> bool {
    matches!(change, Change::Runners { id, .. } if *id == wanted)
}

fn keeps(replica: &Replica, change: ChangeId) -> bool {
    replica.disk.records.iter().any(|r| match r {
        Record::Entry { entry } => is_change(&entry.change, change),
        Record::Snapshot { state, .. } => state.outcome(change).is_some(),
        _ => false,
    })
}
