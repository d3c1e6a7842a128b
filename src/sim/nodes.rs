use super::disk::SimDisk;
use super::listing::PAUSE;
use super::processor::Processor;
use super::record::Fact;
use super::world::{Event, World};
use crate::chain::leaving::Departure;
use crate::daemon::assemble::{NodeSettings, controller, router};
use crate::daemon::node_io;
use crate::gate::BalancerTable;
use crate::http::recent_requests::RecentRequests;
use crate::kernel::disk::Disk;
use crate::kernel::hold::{SyncGate, WriteBatch};
use crate::kernel::ids::*;
use crate::kernel::node::Node;
use crate::kernel::rand::{Rand, SeededRandom};
use crate::kernel::time::{Span, Time};
use crate::msg::{self, Envelope, Role};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

pub struct SimNode {
    pub place: NodeSettings,
    pub role: Role,
    pub node: Option<Node>,
    pub alive: bool,
    pub retired: bool,
    pub life: u64,
    pub disk: SimDisk,
    pub sync: Span,
    pub frozen_until: Time,
    pub hold: SyncGate,
    pub jobs: VecDeque<WriteBatch>,
    pub writing: bool,
    pub held: VecDeque<Event>,
    pub offset: u64,
    pub ppm: u64,
    pub table: Arc<BalancerTable>,
    pub seen: Arc<RecentRequests>,
    pub routers: u64,
    pub watch: Vec<crate::fleet::runner::Runner>,
    pub ready: bool,
    /// Whether it keeps reading the list of runners.
    pub reads_list: bool,
    pub departure: Option<Departure>,
    pub rehearsed: Option<(Version, msg::RehearsalResult)>,
    /// Whether inputs take time.
    pub processor: Option<Processor>,
}

pub const TICK: Span = Span::ms(20);
pub const TELL: Span = Span::ms(250);

impl SimNode {
    pub fn new(place: NodeSettings, role: Role, rand: &mut SeededRandom) -> SimNode {
        let table = Arc::new(BalancerTable::new(place.domain.clone(), place.freshness_limit));
        SimNode {
            place,
            role,
            node: None,
            alive: false,
            retired: false,
            life: 0,
            disk: SimDisk::default(),
            sync: Span::ms(2),
            frozen_until: Time(0),
            hold: SyncGate::default(),
            jobs: VecDeque::new(),
            writing: false,
            held: VecDeque::new(),
            offset: 1_000_000_000 + rand.below(1_000_000_000_000),
            ppm: rand.below(400),
            table,
            seen: Arc::default(),
            routers: 1,
            watch: Vec::new(),
            ready: false,
            reads_list: false,
            departure: None,
            rehearsed: None,
            processor: None,
        }
    }

    pub fn local(&self, now: Time) -> Time {
        Time(now.0 + now.0 / 1_000_000 * self.ppm + self.offset)
    }
}

impl World {
    pub fn local(&self, place: usize) -> Time {
        self.nodes[place].local(self.now)
    }

    pub fn fits(&self, place: usize, life: u64) -> bool {
        let n = &self.nodes[place];
        n.alive && n.life == life
    }

    pub fn start_node(&mut self, place: usize) {
        if self.nodes[place].retired {
            return;
        }
        let now = self.local(place);
        let rand = Box::new(SeededRandom(self.rand.next()));
        let n = &mut self.nodes[place];
        n.life += 1;
        n.alive = true;
        n.frozen_until = Time(0);
        n.hold = SyncGate::default();
        n.jobs.clear();
        n.writing = false;
        n.held.clear();
        n.ready = false;
        n.reads_list = false;
        n.departure = None;
        n.rehearsed = None;
        n.table = Arc::new(BalancerTable::new(n.place.domain.clone(), n.place.freshness_limit));
        n.seen = Arc::default();
        let node = match n.role {
            Role::Router => router(&n.place, now, rand),
            Role::Controller => {
                let records = n.disk.load().unwrap_or_else(|_| {
                    n.disk.wipe();
                    Vec::new()
                });
                let (node, first) = controller(&n.place, now, rand, records);
                if !first.is_empty() && n.disk.add(&first).is_ok() {
                    n.disk.synced();
                }
                node
            }
        };
        n.node = Some(node);
        let life = n.life;
        self.note(Fact::Up { place });
        self.feed(place, msg::Event::Start);
        self.later(TICK, Event::Tick { place, life });
        let sought = self.sought.clone();
        let asker = move |want| sought.lock().unwrap().push_back((place, life, want));
        self.nodes[place].table.set_load_requester(Arc::new(asker));
        self.connect_shares(place, life);
        self.later(TELL, Event::Tell { place, life });
        if self.list.is_some() && self.nodes[place].role == Role::Controller {
            self.later(PAUSE, Event::ListPoll { place, life });
        }
    }

    pub fn kill_node(&mut self, place: usize) {
        let torn = self.rand.next();
        let n = &mut self.nodes[place];
        if !n.alive {
            return;
        }
        n.alive = false;
        n.node = None;
        n.held.clear();
        n.disk.lose_unsynced(torn);
        self.note(Fact::Down { place });
        self.drop_requests(place);
    }

    pub fn freeze(&mut self, place: usize, span: Span) {
        let until = self.now + span;
        self.nodes[place].frozen_until = until;
        self.at(until, move |w| w.thaw(place));
    }

    fn thaw(&mut self, place: usize) {
        let n = &mut self.nodes[place];
        if n.frozen_until > self.now {
            return;
        }
        let held = std::mem::take(&mut n.held);
        for ev in held {
            let n = &mut self.nodes[place];
            if n.alive && n.frozen_until > self.now {
                n.held.push_back(ev);
                continue;
            }
            self.act(ev);
        }
    }

    pub fn tick(&mut self, place: usize, life: u64) {
        if !self.fits(place, life) {
            return;
        }
        let now = self.local(place);
        if self.nodes[place].role == Role::Router {
            let (table, routers) = (self.nodes[place].table.clone(), self.nodes[place].routers);
            table.tick(now, routers);
            self.tick_requests(place, life);
        }
        self.timed(place, |w| w.feed(place, msg::Event::Tick));
        self.step(Event::Work { place, life });
        self.later(TICK, Event::Tick { place, life });
    }

    pub fn work(&mut self, place: usize, life: u64) {
        if self.fits(place, life) {
            self.timed(place, |w| w.feed(place, msg::Event::DutyTick));
        }
    }

    pub fn feed(&mut self, place: usize, ev: msg::Event) {
        let now = self.local(place);
        let n = &mut self.nodes[place];
        let Some(node) = &mut n.node else { return };
        node.free_disk_bytes = n.disk.room();
        node.is_disk_slow = n.hold.is_slow(now);
        node.is_write_stuck = n.hold.is_stuck(now);
        let from = node.journal.len();
        let out = node.feed(now, ev);
        let own = node.me.node;
        let told: Vec<Fact> = node.journal.since(from).filter_map(|r| Fact::of_journal(own, &r.2)).collect();
        for fact in told {
            self.note(fact);
        }
        self.carry(place, out);
    }

    pub fn letter(&mut self, to: SocketAddr, l: Envelope) {
        let Some(place) = self.nodes.iter().position(|n| n.place.addr == to && n.alive) else { return };
        let now = self.local(place);
        let n = &mut self.nodes[place];
        let Some(node) = &mut n.node else { return };
        node.free_disk_bytes = n.disk.room();
        node.is_disk_slow = n.hold.is_slow(now);
        node.is_write_stuck = n.hold.is_stuck(now);
        let (own, from) = (node.me.node, node.journal.len());
        let out = node_io::deliver(node, now, l);
        let agreed = node.journal.since(from).filter_map(|r| Fact::of_journal(own, &r.2));
        let agreed: Vec<Fact> = agreed.filter(|f| !matches!(f, Fact::Told { .. })).collect();
        for fact in agreed {
            self.note(fact);
        }
        self.carry(place, out);
    }
}
