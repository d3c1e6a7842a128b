#![allow(dead_code)]
//! One component of a node in a fleet of the large laboratory's size, driven event by event.

use spindledock::chain::view::View;
use spindledock::distribution::history::UpdateBody;
use spindledock::fleet::holdings::HoldingsUpdate;
use spindledock::fleet::read::read_text;
use spindledock::fleet::runner::RunnerReport;
use spindledock::fleet::slice::{DutySlice, Slice};
use spindledock::fleet::state::{Duty, Scope};
use spindledock::hollow::Size;
use spindledock::kernel::component::{Component, Context, LocalNode, Views};
use spindledock::kernel::ids::*;
use spindledock::kernel::journal::Journal;
use spindledock::kernel::rand::SeededRandom;
use spindledock::kernel::time::{Span, Time};
use spindledock::membership::messages::{Member, MemberRow};
use spindledock::msg::*;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

pub const BEGIN: Time = Time(500_000_000);
pub const TICK: Span = Span::ms(20);
pub const CONTROLLERS: u64 = 7;
pub const ZONES: u64 = 7;
/// The holder of the placement duty, in the middle of the chain.
pub const HOLDER: NodeId = NodeId(4);
pub const FLEET: FleetId = FleetId(1);

pub fn address(node: u64) -> SocketAddr {
    SocketAddr::from(([10, 0, (node / 250) as u8, (node % 250) as u8], 7000))
}

pub fn router(n: u64) -> NodeId {
    NodeId(1000 + n)
}

pub fn size() -> Size {
    Size { core: CONTROLLERS as usize, zones: 7, runners: 263, models: 858, adapters: 1230, ..Size::of(300) }
}

pub fn zone(node: u64) -> Name {
    Name(format!("z{}", node % ZONES))
}

fn member(node: u64, role: Role) -> Member {
    Member { node: NodeId(node), role, domain: zone(node), addr: address(node), admin: address(node) }
}

/// A node with one component under test.
pub struct Bench<C> {
    pub component: C,
    pub now: Time,
    pub views: Views,
    me: LocalNode,
    journal: Journal,
    rand: SeededRandom,
}

impl<C: Component> Bench<C> {
    pub fn new(component: C, me: NodeId, role: Role, routers: u64) -> Bench<C> {
        let controllers = (1..=CONTROLLERS).map(|n| member(n, Role::Controller));
        let members = controllers.chain((0..routers).map(|n| member(router(n).0, Role::Router)));
        let rows = members.map(|who| MemberRow { who, silence: Span(0) }).collect();
        let chain: Vec<NodeId> = (1..=CONTROLLERS).map(NodeId).collect();
        let view = View { no: ViewNo(1), voters: chain[..5].to_vec(), chain };
        let views = Views { members: Arc::new(rows), view: Some(view), ..Views::default() };
        let me = LocalNode {
            node: me,
            role,
            domain: zone(me.0),
            addr: address(me.0),
            admin: address(me.0),
            seeds: vec![],
            is_seed: false,
            core_size: CONTROLLERS as usize,
            tolerated_failures: 2,
            may_found: true,
            freshness_limit: Span::ms(2000),
            serving_lease: Span::ms(5000),
            started: BEGIN,
        };
        Bench { component, now: BEGIN, views, me, journal: Journal::default(), rand: SeededRandom(7) }
    }

    fn play(&mut self, event: Event) -> (Vec<Effect>, VecDeque<JournalEvent>) {
        let (mut out, mut events) = (vec![], VecDeque::new());
        let mut ctx = Context {
            now: self.now,
            me: &self.me,
            free_disk_bytes: u64::MAX,
            is_disk_slow: false,
            is_write_stuck: false,
            rand: &mut self.rand,
            views: &mut self.views,
            journal: &mut self.journal,
            events: &mut events,
            effects: &mut out,
        };
        self.component.on(&event, &mut ctx);
        (out, events)
    }

    pub fn feed(&mut self, event: Event) -> Vec<Effect> {
        self.play(event).0
    }

    /// The journal events that the component publishes to the other components of its node.
    pub fn published(&mut self, event: Event) -> VecDeque<JournalEvent> {
        self.play(event).1
    }

    pub fn mail(&mut self, from: NodeId, msg: Msg) -> Vec<Effect> {
        self.feed(Event::Message { from, fleet: FLEET, msg })
    }

    pub fn figure(&self, key: &str) -> u64 {
        let status = self.component.status(self.now);
        let row = status.iter().find(|row| row.0 == key);
        row.and_then(|row| row.1.parse().ok()).expect("the component tells this figure")
    }
}

pub fn sent(out: &[Effect]) -> impl Iterator<Item = (NodeId, &Msg)> {
    out.iter().filter_map(|effect| match effect {
        Effect::Send { to, msg } => Some((*to, msg)),
        _ => None,
    })
}

pub fn held(out: &[Effect]) -> impl Iterator<Item = (NodeId, &HoldingsUpdate)> {
    sent(out).filter_map(|(to, msg)| match msg {
        Msg::Holdings(tell) => Some((to, &**tell)),
        _ => None,
    })
}

pub fn polled(out: &[Effect]) -> Vec<Name> {
    let looks = out.iter().filter_map(|effect| match effect {
        Effect::PollRunner(name) => Some(name.clone()),
        _ => None,
    });
    looks.collect()
}

/// The slice of the fleet's state that the duty holder reads.
pub fn duty_slice(size: &Size) -> DutySlice {
    let config = read_text(&size.config()).expect("a configuration");
    DutySlice {
        config,
        config_version: Version(1),
        plans: vec![],
        plan_ask: None,
        duty: Some(Duty { holder: HOLDER, term: Term(1), begun: true }),
        runners: (0..size.runners).map(|n| size.runner(n)).collect(),
        moves: vec![],
    }
}

/// The report of a runner that is full of models with running requests.
pub fn full_report(size: &Size, n: usize) -> RunnerReport {
    let holds: Vec<Name> = (0..3).map(|k| size.held(((n * 3 + k) % 400) as u64)).collect();
    RunnerReport {
        instance: size.runner(n).instance,
        room_mb: 230_000,
        used_mb: 195_000,
        adapter_room: 8,
        runs: holds.iter().map(|name| (name.clone(), 9)).collect(),
        running: 27,
        slots: 64,
        holds,
        ..RunnerReport::default()
    }
}

impl<C: Component> Bench<C> {
    /// The next tick. A request for the fleet's state is answered at once, as by the tail.
    pub fn tick(&mut self, slice: &Arc<Slice>) -> Vec<Effect> {
        self.now = self.now + TICK;
        let mut out = self.feed(Event::Tick);
        out.extend(self.feed(Event::DutyTick));
        let asked = sent(&out).find_map(|(_, msg)| match msg {
            Msg::UpdateRequest { nonce, have, .. } => Some((*nonce, have[0].1)),
            _ => None,
        });
        if let Some((nonce, have)) = asked {
            let body = if have == Version(1) { UpdateBody::Same } else { UpdateBody::Whole(slice.clone()) };
            let item = TopicUpdate { scope: Scope::Duty, at: Version(1), age: Span(0), body };
            out.extend(self.mail(NodeId(CONTROLLERS), Msg::UpdateReply { nonce, items: vec![item] }));
        }
        out
    }
}
