use crate::fleet::FleetConfig;
use crate::fleet::runner::RunnerReport;
use crate::kernel::ids::Name;
use std::collections::{BTreeMap, BTreeSet};

pub struct Stock {
    pub instance: Name,
    pub catalog: FleetConfig,
    pub room_mb: u64,
    pub adapter_room: u64,
    pub slots: u64,
    pub holds: BTreeSet<Name>,
    pub loading: BTreeSet<Name>,
    pub runs: BTreeMap<Name, u64>,
    pub waiting: u64,
    pub term: u64,
    pub seen: BTreeMap<String, u16>,
    pub leaving: bool,
    pub prefixes: Vec<String>,
    pub lines: Vec<String>,
    /// One order at a time: 202 when it is taken, 409 while another is under way.
    pub single: bool,
    pub under_way: Option<(Name, bool)>,
    pub orders: u64,
    pub had: BTreeSet<Name>,
    /// Reports tell no more than what is held and whether an order is under way, as the users' runners do.
    pub terse: bool,
    /// How many times as long as stated a load takes.
    pub load_factor: u64,
}

impl Stock {
    pub fn new(instance: Name, catalog: FleetConfig, room_mb: u64, adapter_room: u64, slots: u64) -> Stock {
        Stock {
            instance,
            catalog,
            room_mb,
            adapter_room,
            slots,
            holds: BTreeSet::new(),
            loading: BTreeSet::new(),
            runs: BTreeMap::new(),
            waiting: 0,
            term: 0,
            seen: BTreeMap::new(),
            leaving: false,
            prefixes: Vec::new(),
            lines: Vec::new(),
            single: false,
            under_way: None,
            orders: 0,
            had: BTreeSet::new(),
            terse: false,
            load_factor: 1,
        }
    }

    pub fn used(&self) -> u64 {
        self.holds.iter().chain(&self.loading).filter_map(|n| self.catalog.weight(n)).sum()
    }

    pub fn adapters(&self) -> u64 {
        let is = |n: &&Name| self.catalog.adapter(n).is_some();
        self.holds.iter().chain(&self.loading).filter(is).count() as u64
    }

    pub fn running(&self) -> u64 {
        self.runs.values().sum()
    }

    pub fn report(&self) -> RunnerReport {
        if self.terse {
            return RunnerReport {
                instance: self.instance.clone(),
                leaving: self.leaving,
                holds: self.holds.iter().cloned().collect(),
                running: self.running(),
                waiting: self.waiting,
                orders: self.orders,
                busy: self.under_way.is_some(),
                ..RunnerReport::default()
            };
        }
        RunnerReport {
            instance: self.instance.clone(),
            leaving: self.leaving,
            room_mb: self.room_mb,
            used_mb: self.used(),
            adapter_room: self.adapter_room,
            holds: self.holds.iter().cloned().collect(),
            loading: self.loading.iter().cloned().collect(),
            prefixes: self.prefixes.clone(),
            running: self.running(),
            waiting: self.waiting,
            runs: self.runs.iter().filter(|r| *r.1 > 0).map(|(m, n)| (m.clone(), *n)).collect(),
            slots: self.slots,
            term: self.term,
            orders: self.orders,
            tokens: 0,
            busy: self.under_way.is_some(),
        }
    }

    /// `expected`: how many orders its sender takes this runner to have taken, if it says so.
    pub fn order(
        &mut self,
        id: &str,
        term: u64,
        name: &Name,
        load: bool,
        expected: Option<u64>,
    ) -> (u16, &'static str) {
        if term < self.term {
            self.lines.push(format!("order-old term={term} seen={}", self.term));
            return (412, "the term is old");
        }
        if let Some(status) = self.seen.get(id) {
            return (*status, "repeated");
        }
        self.term = term;
        if expected.is_some_and(|n| n != self.orders) {
            return (409, "other orders were taken since");
        }
        if load && self.is_over(name) {
            self.lines.push(format!("overfull name={name} used={} room={}", self.used(), self.room_mb));
        }
        if self.under_way.is_some() {
            return (409, "another order is under way");
        }
        let what = if load { "load" } else { "unload" };
        self.lines.push(format!("order id={id} term={term} what={what} name={name}"));
        let (status, text) = match (load, self.single) {
            (true, _) => self.load(name),
            (false, false) => self.unload(name),
            (false, true) => self.begin_unload(name),
        };
        self.orders += u64::from(status < 300);
        self.seen.insert(id.to_string(), status);
        (status, text)
    }

    /// Whether a load of `name` is more than there is room for, once the unload under way is done.
    fn is_over(&self, name: &Name) -> bool {
        if self.holds.contains(name) || self.loading.contains(name) {
            return false;
        }
        let going = self.under_way.as_ref().filter(|u| !u.1).map(|u| &u.0);
        let goes = |n: &&Name| {
            let base = self.catalog.adapter(n).map(|a| &a.model);
            going.is_some_and(|g| *n == g || base == Some(g))
        };
        let stays: Vec<&Name> = self.holds.iter().chain(&self.loading).filter(|n| !goes(n)).collect();
        let used: u64 = stays.iter().filter_map(|n| self.catalog.weight(n)).sum();
        let adapters = stays.iter().filter(|n| self.catalog.adapter(n).is_some()).count() as u64;
        let Some(mb) = self.catalog.weight(name) else { return false };
        let places = self.catalog.adapter(name).is_some() && adapters >= self.adapter_room;
        used + mb > self.room_mb || places
    }

    fn load(&mut self, name: &Name) -> (u16, &'static str) {
        if self.holds.contains(name) || self.loading.contains(name) {
            return (200, "held already");
        }
        let Some(mb) = self.catalog.weight(name) else { return (404, "unknown name") };
        let adapter = self.catalog.adapter(name).is_some();
        if self.used() + mb > self.room_mb || (adapter && self.adapters() >= self.adapter_room) {
            return (409, "no room");
        }
        self.loading.insert(name.clone());
        self.lines.push(format!("store-load name={name}"));
        if self.single {
            self.under_way = Some((name.clone(), true));
            return (202, "loading");
        }
        (200, "loading")
    }

    fn begin_unload(&mut self, name: &Name) -> (u16, &'static str) {
        if !self.holds.contains(name) {
            return (200, "not held");
        }
        self.under_way = Some((name.clone(), false));
        (202, "unloading")
    }

    /// Whether the unload under way is done; it waits for the runs of its model.
    pub fn try_unload(&mut self) -> bool {
        let Some((name, false)) = self.under_way.clone() else { return true };
        let busy = self.catalog.model(&name).is_some() && self.runs.get(&name).is_some_and(|n| *n > 0);
        if busy {
            return false;
        }
        self.under_way = None;
        self.unload(&name);
        true
    }

    pub fn closed(&self, name: &Name) -> bool {
        self.under_way.as_ref().is_some_and(|u| u.0 == *name && !u.1)
    }

    /// How long a load takes here, and whether the store is asked for it.
    pub fn load_cost(&self, name: &Name) -> (u64, bool) {
        let rule = &self.catalog.store;
        let adapter = self.catalog.adapter(name).is_some();
        if rule.kept_ms > 0 && !adapter && self.had.contains(name) {
            return (rule.kept_ms, false);
        }
        (self.catalog.load_ms(name) * self.load_factor, !adapter || rule.adapters)
    }

    fn unload(&mut self, name: &Name) -> (u16, &'static str) {
        let base = self.catalog.adapter(name).map(|a| a.model.clone());
        let busy = self.runs.get(base.as_ref().unwrap_or(name)).copied().unwrap_or(0);
        if busy > 0 && !self.single {
            return (409, "a run of it goes on");
        }
        self.holds.remove(name);
        let gone: Vec<Name> = self
            .holds
            .iter()
            .filter(|n| self.catalog.adapter(n).is_some_and(|a| a.model == *name))
            .cloned()
            .collect();
        for n in gone {
            self.holds.remove(&n);
        }
        (200, "unloaded")
    }

    pub fn loaded(&mut self, name: &Name) {
        if self.loading.remove(name) {
            self.under_way = None;
            self.had.insert(name.clone());
            self.holds.insert(name.clone());
        }
    }

    pub fn warm(&mut self, prefix: &str) {
        if prefix.is_empty() {
            return;
        }
        self.prefixes.retain(|p| p != prefix);
        self.prefixes.push(prefix.to_string());
        if self.prefixes.len() > 32 {
            self.prefixes.remove(0);
        }
    }
}
