use super::heap;
use super::meter::{Spent, timed};
use super::size::Size;
use super::world::{Event, Hollow};
use crate::daemon::assemble::{controller, router};
use crate::daemon::node_io;
use crate::fleet::state::Scope;
use crate::kernel::disk::Disk;
use crate::kernel::ids::*;
use crate::kernel::node::Node;
use crate::kernel::rand::{Rand, SeededRandom};
use crate::kernel::time::{Span, Time};
use crate::msg::{self, Effect, Envelope, Msg, RehearsalResult, Role, RouterReport};
use crate::sim::disk::SimDisk;
use crate::wire;
use std::collections::{BTreeMap, VecDeque};

const SYNC: Span = Span::ms(5);

pub struct HollowNode {
    pub role: Role,
    pub node: Option<Node>,
    pub life: u64,
    pub disk: SimDisk,
    pub busy: Time,
    pub held: VecDeque<Event>,
    pub link: Time,
    pub spent: Spent,
    pub ready: bool,
    pub watch: bool,
    pub routes_version: Version,
    pub proven: BTreeMap<Scope, Time>,
    pub leased: BTreeMap<Scope, Time>,
    pub trial: ChangeId,
    pub demand: Vec<(Name, Time)>,
    pub up: Time,
}

impl HollowNode {
    pub fn new(role: Role) -> HollowNode {
        HollowNode {
            role,
            node: None,
            life: 0,
            disk: SimDisk::default(),
            busy: Time(0),
            held: VecDeque::new(),
            link: Time(0),
            spent: Spent::default(),
            ready: false,
            watch: false,
            routes_version: Version(0),
            proven: BTreeMap::new(),
            leased: BTreeMap::new(),
            trial: ChangeId::default(),
            demand: vec![],
            up: Time(0),
        }
    }

    pub fn start(&mut self, size: &Size, place: usize, now: Time, seed: u64) {
        let at = size.place(place);
        let rand = Box::new(SeededRandom(seed));
        let life = self.life + 1;
        let (role, disk) = (self.role, self.disk.clone());
        *self = HollowNode { life, disk, up: now, ..HollowNode::new(role) };
        let (disk, spent) = (&mut self.disk, &mut self.spent);
        let (node, _) = timed(spent, || match role {
            Role::Router => router(&at, now, rand),
            Role::Controller => {
                let records = disk.load().unwrap_or_default();
                let (node, first) = controller(&at, now, rand, records);
                if !first.is_empty() && disk.add(&first).is_ok() {
                    disk.synced();
                }
                node
            }
        });
        self.node = Some(node);
    }

    pub fn tell(&mut self, now: Time) -> RouterReport {
        self.demand.retain(|d| d.1 > now);
        let wants = self.demand.iter().map(|d| (Name::from("assistant"), d.0.clone(), 1));
        let row = RehearsalResult { id: self.trial, ..RehearsalResult::default() };
        RouterReport {
            candidate_seen: self.trial,
            routes_version: self.routes_version,
            rehearsal: (self.trial != ChangeId::default()).then_some(row),
            demand: wants.collect(),
            tries: vec![(Name::from("assistant"), 0, 0, 50)],
            ..RouterReport::default()
        }
    }
}

impl Hollow {
    pub fn feed(&mut self, place: usize, what: &'static str, ev: msg::Event) {
        self.work(place, what, move |node, now| node.feed(now, ev));
    }

    /// An event made outside of the node that takes it: its bytes are the node's from here on.
    pub fn feed_made(&mut self, place: usize, what: &'static str, make: &dyn Fn(&mut Hollow) -> msg::Event) {
        let from = heap::begin();
        let ev = make(self);
        self.nodes[place].spent.state += heap::end(from).net;
        self.feed(place, what, ev);
    }

    pub fn letter(&mut self, place: usize, raw: Vec<u8>) {
        let n = &mut self.nodes[place];
        if n.node.is_none() {
            return;
        }
        n.spent.got += 1;
        n.spent.got_bytes += raw.len() as u64;
        n.spent.state += raw.capacity() as i64;
        self.work(place, "letter", move |node, now| {
            let open = wire::decode_frame(&raw, wire::MAX_NETWORK_BODY)
                .and_then(|(body, _)| wire::decode_envelope(body));
            open.map_or(vec![], |l| node_io::deliver(node, now, l))
        });
    }

    fn work(&mut self, place: usize, what: &'static str, f: impl FnOnce(&mut Node, Time) -> Vec<Effect>) {
        let now = self.now;
        self.doing.begin(place, what);
        let n = &mut self.nodes[place];
        let Some(node) = &mut n.node else { return };
        let disk = &mut n.disk;
        let kept = disk.held();
        let ((out, posts, saves), ns) = timed(&mut n.spent, || {
            let out = f(node, now);
            let saves = keep_all(&mut disk.clone(), &out);
            let posts: Vec<_> = out.iter().filter_map(|e| pack(node, e)).collect();
            (out, posts, saves)
        });
        self.doing.end(ns);
        let row = std::mem::size_of::<(std::net::SocketAddr, Vec<u8>)>() * posts.capacity();
        let gone = row + posts.iter().map(|p| p.1.capacity()).sum::<usize>();
        n.spent.state -= gone as i64 + n.disk.held() - kept;
        let took = Span((ns / 10).checked_div(self.size.share).unwrap_or(0));
        let wait = took + if saves { SYNC } else { Span(0) };
        if wait > Span(0) {
            self.nodes[place].busy = now + wait;
        }
        for (to, raw) in posts {
            self.post(place, to, raw, wait);
        }
        for e in &out {
            self.effect(place, e);
        }
        timed(&mut self.nodes[place].spent, || drop(out));
    }

    fn post(&mut self, place: usize, to: std::net::SocketAddr, raw: Vec<u8>, wait: Span) {
        let Some(dest) = self.at.get(&to).copied() else { return };
        let n = &mut self.nodes[place];
        n.spent.sent += 1;
        n.spent.sent_bytes += raw.len() as u64;
        if raw.len() > wire::MAX_NETWORK_BODY {
            self.too_long += 1;
            return;
        }
        if self.is_cut(place, dest) {
            return;
        }
        let span = Span(raw.len() as u64 * 8 / self.size.link_mbit.max(1));
        let n = &mut self.nodes[place];
        n.link = n.link.max(self.now + wait) + span;
        let base = if dest == place { Span(10) } else { self.size.latency(place, dest) };
        let more = Span(self.rand.below(base.0 / 5 + 1));
        let due = self.nodes[place].link + base + more;
        let life = self.nodes[dest].life;
        self.later(due.since(self.now), Event::Envelope { place: dest, life, raw });
    }

    fn effect(&mut self, place: usize, e: &Effect) {
        let now = self.now;
        match e {
            Effect::ServingLease { scopes, until } => self.nodes[place].lease(scopes, *until),
            Effect::Topic { scope, at, slice, proven } => {
                self.nodes[place].learn(scope, *at, slice.as_ref(), *proven);
            }
            Effect::Answer { id, answer } => {
                self.answers.insert(*id, (now, answer.status));
            }
            Effect::Reset(_) => {
                self.resets += 1;
                self.nodes[place].disk.wipe();
                self.start(place);
            }
            Effect::Ready(r) => self.nodes[place].ready = *r,
            Effect::PollRunners(list) => self.nodes[place].watch = !list.is_empty(),
            Effect::OrderRunner(o) => self.drive(place, o.clone()),
            _ => {}
        }
    }
}

fn pack(node: &Node, e: &Effect) -> Option<(std::net::SocketAddr, Vec<u8>)> {
    let (to, addr, msg): (NodeId, _, &Msg) = match e {
        Effect::Send { to, msg } if *to == node.me.node => (*to, node.me.addr, msg),
        Effect::Send { to, msg } => (*to, node.views.member(*to)?.addr, msg),
        Effect::SendAt { addr, msg } => (NodeId(0), *addr, msg),
        _ => return None,
    };
    let letter =
        Envelope { from: node.me.node, to, fleet: node.views.fleet, addr: node.me.addr, msg: msg.clone() };
    Some((addr, wire::encode_envelope(&letter)))
}

fn keep_all(disk: &mut dyn Disk, out: &[Effect]) -> bool {
    let mut rows = Vec::new();
    let mut saves = false;
    for e in out {
        match e {
            Effect::Save(r) => rows.push(r.clone()),
            Effect::Rewrite(all) => {
                rows.clear();
                let _ = disk.rewrite(all);
                saves = true;
            }
            _ => {}
        }
    }
    if !rows.is_empty() {
        let _ = disk.add(&rows);
        saves = true;
    }
    saves
}
