//! One controller under exploration: the real chain and change queue behind the real disk gate.

use super::memory_disk::MemoryDisk;
use crate::chain::Chain;
use crate::chain::change_queue::ChangeQueue;
use crate::chain::serving_leases::ServingLeases;
use crate::kernel::component::{Component, Context, LocalNode, Views};
use crate::kernel::disk::Disk;
use crate::kernel::hold::{SyncGate, WriteBatch, write_batch};
use crate::kernel::ids::*;
use crate::kernel::node::Node;
use crate::kernel::rand::{Rand, SeededRandom};
use crate::kernel::time::{Span, Time};
use crate::msg::{Effect, Event, Member, MemberRow, Record, Role};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// How far apart the clocks of neighbouring places stand: no replica may compare its time with another's.
const CLOCK_APART_US: u64 = 7_000_000_000;
/// Where every clock begins, far from zero so that "never" stays in the past.
const CLOCK_START_US: u64 = 1_000_000_000;
const IDENTS_PER_PLACE: u64 = 100;
/// Short, as no router is explored: a new tail soon releases changes.
const SERVING_LEASE: Span = Span::ms(500);
const PROOF: Span = Span::ms(2000);
const FIRST_PORT: u16 = 7000;

/// The state of a running process, as far as the agreement depends on it.
#[derive(Clone)]
pub struct Process {
    pub chain: Chain,
    pub queue: ChangeQueue,
    pub serving: ServingLeases,
    pub views: Views,
    pub gate: SyncGate,
    pub jobs: VecDeque<WriteBatch>,
    /// Changes that an operator handed to this process.
    pub handed: Vec<(ChangeId, Time)>,
    random: u64,
}

/// A machine: its disk, and the process on it while it runs.
#[derive(Clone)]
pub struct Replica {
    pub me: LocalNode,
    pub place: usize,
    pub generation: u64,
    pub starts: u64,
    pub disk: MemoryDisk,
    pub process: Option<Process>,
    /// A stalled disk takes writes and syncs none of them.
    pub stalled: bool,
    /// Its disk was lost and it is not yet a ready member of the newest view again.
    pub damaged: bool,
}

/// What a crash does to writes that were not yet synced.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Unsynced {
    Lost,
    Kept,
}

/// A component behind a lock, so that it can be taken back out of the node that ran it.
struct Lent<C>(Arc<Mutex<C>>);

impl<C: Component> Component for Lent<C> {
    fn name(&self) -> &'static str {
        self.0.lock().expect("one thread drives a replica").name()
    }

    fn on(&mut self, event: &Event, ctx: &mut Context) {
        self.0.lock().expect("one thread drives a replica").on(event, ctx);
    }
}

struct LentRandom(Arc<Mutex<SeededRandom>>);

impl Rand for LentRandom {
    fn next(&mut self) -> u64 {
        self.0.lock().expect("one thread drives a replica").next()
    }
}

fn lend<C>(component: C) -> (Arc<Mutex<C>>, Lent<C>) {
    let shared = Arc::new(Mutex::new(component));
    (shared.clone(), Lent(shared))
}

fn take_back<C>(shared: Arc<Mutex<C>>) -> C {
    let lock = Arc::try_unwrap(shared).ok().expect("the node is gone");
    lock.into_inner().expect("one thread drives a replica")
}

impl Replica {
    pub fn new(place: usize, seeds: &[SocketAddr], bear: usize) -> Replica {
        let addr = address(place);
        let me = LocalNode {
            node: NodeId(0),
            role: Role::Controller,
            domain: Name(format!("z{place}")),
            addr,
            admin: addr,
            seeds: seeds.iter().copied().filter(|s| *s != addr).collect(),
            is_seed: seeds.contains(&addr),
            core_size: 0,
            tolerated_failures: bear,
            may_found: true,
            freshness_limit: PROOF,
            serving_lease: SERVING_LEASE,
            started: Time(0),
        };
        let disk = MemoryDisk::default();
        Replica { me, place, generation: 0, starts: 0, disk, process: None, stalled: false, damaged: false }
    }

    /// This machine's clock at the explorer's time.
    pub fn clock(&self, now: Time) -> Time {
        Time(now.0 + CLOCK_START_US + CLOCK_APART_US * self.place as u64)
    }

    pub fn is_up(&self) -> bool {
        self.process.is_some()
    }

    pub fn chain(&self) -> Option<&Chain> {
        self.process.as_ref().map(|p| &p.chain)
    }

    pub fn member(&self) -> Member {
        self.me.member()
    }

    /// Starts a process from what the disk holds, and returns the effects of its first event.
    pub fn start(&mut self, now: Time, members: &Arc<Vec<MemberRow>>) -> Vec<Effect> {
        let records = self.disk.records.clone();
        let known = records.iter().find_map(|r| match r {
            Record::Ident { node } => Some(*node),
            _ => None,
        });
        let fresh = NodeId((self.place as u64 + 1) + IDENTS_PER_PLACE * self.generation);
        let node = known.unwrap_or(fresh);
        if known.is_none() {
            self.disk.add(&[Record::Ident { node }]).expect("a disk in memory takes all");
        }
        self.starts += 1;
        let clock = self.clock(now);
        self.me.node = node;
        self.me.started = clock;
        self.process = Some(Process {
            chain: Chain::new(node, records, clock),
            queue: ChangeQueue::new(None),
            serving: ServingLeases::default(),
            views: Views::default(),
            gate: SyncGate::default(),
            jobs: VecDeque::new(),
            handed: Vec::new(),
            random: node.0 * IDENTS_PER_PLACE + self.starts,
        });
        self.feed(now, Event::Start, members)
    }

    pub fn crash(&mut self, unsynced: Unsynced) {
        let Some(process) = self.process.take() else { return };
        if unsynced == Unsynced::Kept {
            self.disk.write_all(&process.jobs);
        }
    }

    pub fn wipe(&mut self) {
        self.process = None;
        self.disk = MemoryDisk::default();
        self.generation += 1;
        self.me.may_found = false;
    }

    /// Feeds one event to the real node and returns what leaves at once; saves and what waits for them are kept.
    pub fn feed(&mut self, now: Time, event: Event, members: &Arc<Vec<MemberRow>>) -> Vec<Effect> {
        let clock = self.clock(now);
        let Some(process) = self.process.take() else { return vec![] };
        let Process { chain, queue, serving, mut views, mut gate, mut jobs, handed, random } = process;
        views.members = members.clone();
        let (chain, lent_chain) = lend(chain);
        let (queue, lent_queue) = lend(queue);
        let (serving, lent_serving) = lend(serving);
        let random = Arc::new(Mutex::new(SeededRandom(random)));
        let mut node = Node::new(self.me.clone(), Box::new(LentRandom(random.clone())));
        node.views = views;
        node.is_disk_slow = gate.is_slow(clock);
        node.add(Box::new(lent_chain));
        node.add(Box::new(lent_queue));
        node.add(Box::new(lent_serving));
        let effects = node.feed(clock, event);
        let views = std::mem::take(&mut node.views);
        drop(node);
        let (free, job) = gate.submit(clock, effects);
        jobs.extend(job);
        let random = random.lock().expect("one thread drives a replica").0;
        let (chain, queue, serving) = (take_back(chain), take_back(queue), take_back(serving));
        self.process = Some(Process { chain, queue, serving, views, gate, jobs, handed, random });
        free
    }

    /// Syncs all writes that wait, and returns the effects that waited for them.
    pub fn sync(&mut self, now: Time) -> Vec<Effect> {
        let clock = self.clock(now);
        let Some(process) = &mut self.process else { return vec![] };
        let Some(last) = process.jobs.back().map(|j| j.number) else { return vec![] };
        self.disk.write_all(&process.jobs);
        process.jobs.clear();
        process.gate.release_synced(clock, last)
    }

    pub fn has_unsynced(&self) -> bool {
        self.process.as_ref().is_some_and(|p| !p.jobs.is_empty())
    }
}

/// The address of the controller at a place.
pub fn address(place: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], FIRST_PORT + place as u16))
}

impl MemoryDisk {
    fn write_all(&mut self, jobs: &VecDeque<WriteBatch>) {
        for job in jobs {
            write_batch(self, &job.writes).expect("a disk in memory takes all");
        }
    }
}
