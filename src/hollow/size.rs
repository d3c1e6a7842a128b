use crate::daemon::assemble::{NodeSettings, Policy};
use crate::distribution::reader::{FRESHNESS_LIMIT, SERVING_LEASE};
use crate::fleet::runner::Runner;
use crate::kernel::ids::Name;
use crate::kernel::time::Span;
use std::net::SocketAddr;

#[derive(Clone, Debug)]
pub struct Size {
    pub nodes: usize,
    pub core: usize,
    pub zones: usize,
    pub regions: usize,
    pub runners: usize,
    pub models: usize,
    pub adapters: usize,
    pub loads: u64,
    pub seed: u64,
    pub share: u64,
    pub link_mbit: u64,
    pub rest_s: u64,
    pub changes: u64,
    pub gap_s: u64,
    pub losses: usize,
    pub replaced: usize,
    pub pack_ms: u64,
    pub zone_s: u64,
    pub cut_s: u64,
    pub wall_s: u64,
    pub memory_mb: u64,
}

impl Size {
    pub fn of(nodes: usize) -> Size {
        Size {
            nodes,
            core: if nodes < 30 { 3 } else { 5 },
            zones: 10,
            regions: 3,
            runners: nodes * 600 / 410,
            models: 200,
            adapters: 86_000,
            loads: 1000,
            seed: 1,
            share: 0,
            link_mbit: 1000,
            rest_s: 10,
            changes: 2,
            gap_s: 10,
            losses: 8,
            replaced: 160,
            pack_ms: 250,
            zone_s: 10,
            cut_s: 20,
            wall_s: 240,
            memory_mb: 12_000,
        }
    }

    pub fn zone(&self, place: usize) -> usize {
        let k = if place < self.core { place } else { place - self.core };
        k % self.zones
    }

    pub fn region(&self, zone: usize) -> usize {
        zone % self.regions
    }

    pub fn addr(&self, place: usize) -> SocketAddr {
        SocketAddr::from(([10, 0, 0, 1], 1000 + place as u16))
    }

    pub fn place(&self, place: usize) -> NodeSettings {
        let seeds = (0..self.core).filter(|s| *s != place).take(3).map(|s| self.addr(s));
        NodeSettings {
            addr: self.addr(place),
            admin: SocketAddr::from(([10, 0, 0, 2], 1000 + place as u16)),
            domain: Name(format!("z{}", self.zone(place))),
            seeds: seeds.collect(),
            core_size: self.core,
            tolerated_failures: (self.core - 1) / 2,
            may_found: true,
            freshness_limit: FRESHNESS_LIMIT,
            serving_lease: SERVING_LEASE,
            policy: Policy::Move,
            list: None,
            protocols: Default::default(),
            quota: Default::default(),
        }
    }

    pub fn runner(&self, n: usize) -> Runner {
        Runner {
            instance: Name(format!("r{n}")),
            service: Name::from("assistant"),
            domain: Name(format!("z{}", n % self.zones)),
            addr: SocketAddr::from(([10, 0, 1, (n / 250) as u8], 3000 + n as u16)),
            leaving: false,
        }
    }

    pub fn held(&self, n: u64) -> Name {
        let all = (self.models + self.adapters) as u64;
        let k = (n % all.max(1)) as usize;
        if k < self.models { Name(format!("m{k:03}")) } else { Name(format!("a{:05}", k - self.models)) }
    }

    pub fn base(&self, name: &Name) -> Option<Name> {
        let n: usize = name.0.strip_prefix('a')?.parse().ok()?;
        Some(Name(format!("m{:03}", n % self.models)))
    }

    pub fn latency(&self, a: usize, b: usize) -> Span {
        let (a, b) = (self.zone(a), self.zone(b));
        match (a == b, self.region(a) == self.region(b)) {
            (true, _) => Span(300),
            (_, true) => Span(1000),
            _ => Span(20_000),
        }
    }

    pub fn config(&self) -> String {
        let model = |n: usize| {
            format!("{{\"name\":\"m{n:03}\",\"weight_mb\":65000,\"load_ms\":{}}}", 1400 + n % 5 * 50)
        };
        let tune = |n: usize| {
            let base = n % self.models;
            format!("{{\"name\":\"a{n:05}\",\"model\":\"m{base:03}\",\"weight_mb\":200,\"load_ms\":200}}")
        };
        let all = |n: usize, f: &dyn Fn(usize) -> String| (0..n).map(f).collect::<Vec<_>>().join(",");
        format!(
            "{{\"store\":{{\"loads_per_minute\":200,\"burst\":8}},\"budget\":{{\"percent\":20,\"allowance\":50}},\n\
             \"models\":[{}],\n\"adapters\":[{}],\n\
             \"services\":[{{\"name\":\"assistant\",\"sort\":\"assistant\",\"inbox\":256,\"slots\":64,\n\
             \"models\":[{}],\n\"adapters\":[{}],\n\
             \"routes\":[{{\"prefix\":\"/chat\",\"class\":\"chat\",\"resumable\":true,\"due_ms\":15000}}]}}]}}",
            all(self.models, &model),
            all(self.adapters, &tune),
            all(self.models, &|n| format!("\"m{n:03}\"")),
            all(self.adapters, &|n| format!("\"a{n:05}\""))
        )
    }

    pub fn part(&self, n: u64) -> String {
        format!("{{\"budget\":{{\"percent\":20,\"allowance\":{}}}}}", 60 + n)
    }
}
