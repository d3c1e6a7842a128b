use super::world::{Event, Hollow};
use crate::fleet::runner::RunnerReport;
use crate::kernel::ids::Name;
use crate::kernel::rand::Rand;
use crate::kernel::time::Span;
use crate::msg::{Role, RunnerOrder};

pub struct HollowRunner {
    pub name: Name,
    pub room_mb: u64,
    pub used_mb: u64,
    pub holds: Vec<Name>,
    pub loading: Vec<(Name, u64)>,
    pub term: u64,
}

impl HollowRunner {
    pub fn new(name: Name) -> HollowRunner {
        HollowRunner { name, room_mb: 230_000, used_mb: 0, holds: vec![], loading: vec![], term: 0 }
    }

    pub fn report(&self) -> RunnerReport {
        RunnerReport {
            instance: self.name.clone(),
            room_mb: self.room_mb,
            used_mb: self.used_mb,
            adapter_room: 8,
            holds: self.holds.clone(),
            loading: self.loading.iter().map(|r| r.0.clone()).collect(),
            slots: 64,
            term: self.term,
            ..RunnerReport::default()
        }
    }

    pub fn order(&mut self, term: u64, name: &Name, load: bool, mb: u64) -> u16 {
        if term < self.term {
            return 412;
        }
        self.term = term;
        if !load {
            let before = self.holds.len();
            self.holds.retain(|n| n != name);
            if self.holds.len() < before {
                self.used_mb -= mb;
            }
            return 200;
        }
        if self.holds.contains(name) || self.loading.iter().any(|r| r.0 == *name) {
            return 200;
        }
        if self.used_mb + mb > self.room_mb {
            return 507;
        }
        self.used_mb += mb;
        self.loading.push((name.clone(), mb));
        200
    }

    pub fn loaded(&mut self, name: &Name) {
        let before = self.loading.len();
        self.loading.retain(|r| r.0 != *name);
        if self.loading.len() < before {
            self.holds.push(name.clone());
        }
    }
}

impl Hollow {
    pub fn drive(&mut self, place: usize, o: RunnerOrder) {
        let Some(k) = self.runners.iter().position(|r| r.name == o.runner.instance) else { return };
        let tuned = o.name.0.starts_with('a');
        let mb = if tuned { 200 } else { 65_000 };
        let status = self.runners[k].order(o.term.0, &o.name, o.load, mb);
        if o.load && status == 200 {
            let ms = Span::ms(if tuned { 200 } else { 1500 });
            self.later(ms, Event::Loaded { runner: k, name: o.name });
        }
        let (life, order) = (self.nodes[place].life, o.order);
        self.later(Span::ms(2), Event::Driven { place, life, order, status });
    }

    pub fn demand(&mut self) {
        let name = self.size.held(self.rand.next());
        let live: Vec<usize> = self.live(Role::Router);
        if let Some(k) = live.get(self.rand.below(live.len().max(1) as u64) as usize) {
            let until = self.now + Span::ms(10_000);
            self.nodes[*k].demand.extend(self.size.base(&name).map(|m| (m, until)));
            self.nodes[*k].demand.push((name.clone(), until));
            self.judge.wants.push((name, self.now));
        }
        self.later(Span::ms(3_600_000 / self.size.loads.max(1)), Event::Demand);
    }
}
