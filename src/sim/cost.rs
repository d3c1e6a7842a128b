use super::world::World;
use crate::kernel::time::{BootClock, Clock, Span};
use crate::launch::deployment::{Deployment, quebec};
use crate::msg::{Envelope, Role};
use crate::wire;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Default, Debug)]
pub struct Spent {
    pub letters: u64,
    pub bytes: u64,
    pub busy_us: u64,
}

#[derive(Default)]
pub struct Cost {
    pub nodes: BTreeMap<usize, Spent>,
    pub kinds: BTreeMap<&'static str, Spent>,
}

impl Cost {
    pub fn sent(&mut self, place: usize, letter: &Envelope) {
        let bytes = wire::encode_envelope(letter).len() as u64;
        let kind = self.kinds.entry(letter.msg.kind()).or_default();
        for row in [self.nodes.entry(place).or_default(), kind] {
            row.letters += 1;
            row.bytes += bytes;
        }
    }

    pub fn busy(&mut self, place: usize, us: u64) {
        self.nodes.entry(place).or_default().busy_us += us;
    }
}

impl World {
    pub fn timed<T>(&mut self, place: usize, work: impl FnOnce(&mut World) -> T) -> T {
        if self.cost.is_none() {
            return work(self);
        }
        let from = BootClock.now();
        let out = work(self);
        let us = BootClock.now().since(from).0;
        if let Some(c) = &mut self.cost {
            c.busy(place, us);
        }
        out
    }
}

pub fn fleet_of(nodes: usize) -> Deployment {
    let core = if nodes < 30 { 3 } else { 5 };
    Deployment { name: "grown", zones: 5, routers: nodes - core, core, ..quebec() }
}

pub fn measure(nodes: usize, seconds: u64, seed: u64) -> String {
    let mut w = World::boot(fleet_of(nodes), seed);
    w.run_for(Span::ms(6000));
    w.cost = Some(Box::default());
    w.run_for(Span::ms(seconds * 1000));
    let Some(cost) = w.cost.take() else { return String::new() };
    let mut out = format!("{nodes} nodes, {seconds} s, a node a second\n");
    for role in [Role::Router, Role::Controller] {
        let has = |p: &&usize| w.nodes[**p].role == role;
        let rows: Vec<Spent> = cost.nodes.keys().filter(has).map(|p| cost.nodes[p]).collect();
        let name = if role == Role::Router { "router" } else { "controller" };
        for (what, get) in [
            ("letters", (|s: &Spent| s.letters) as fn(&Spent) -> u64),
            ("bytes", |s| s.bytes),
            ("busy_us", |s| s.busy_us),
        ] {
            let sum: u64 = rows.iter().map(get).sum();
            let most = rows.iter().map(get).max().unwrap_or(0);
            let mean = sum / rows.len().max(1) as u64 / seconds;
            out.push_str(&format!("  {name:10} {what:8} mean {mean} most {}\n", most / seconds));
        }
    }
    for (kind, s) in &cost.kinds {
        let per = |n: u64| n / nodes as u64 / seconds;
        out.push_str(&format!("  {kind:10} letters {} bytes {}\n", per(s.letters), per(s.bytes)));
    }
    out
}
