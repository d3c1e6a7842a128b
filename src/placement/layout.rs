//! The rooms of all runners while a whole plan is laid out, ordered by what is free and by what is held.
#![deny(missing_docs)]

use super::free_room::{adapters_free, free_mb, idle_names};
use super::pending_orders::{RunnerState, is_adapter};
use super::plan_input::PlanInput;
use crate::fleet::config::{FleetConfig, PlacementStrategy};
use crate::kernel::ids::Name;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// The room of one runner while a plan is laid out.
pub struct RunnerRoom {
    /// Whose it is.
    pub runner: Name,
    service: Name,
    free_mb: u64,
    free_adapter_places: u64,
    /// What is unloaded to make room.
    pub unload: Vec<Name>,
    /// What is loaded, in this order.
    pub load: Vec<Name>,
}

/// A room by what is free in it; of equals the one whose runner comes first is the greatest.
type ByFree = BTreeSet<(u64, Reverse<Name>, usize)>;

/// The rooms of the runners that stay.
pub struct Layout {
    rooms: Vec<RunnerRoom>,
    index_of: BTreeMap<Name, usize>,
    by_free: BTreeMap<Name, ByFree>,
    /// The places of the rooms that hold a name.
    holders: BTreeMap<Name, BTreeSet<usize>>,
    /// How many rooms were weighed.
    evaluated: u64,
}

impl Layout {
    /// What is free at the runners that stay.
    pub fn of(picture: &PlanInput) -> Layout {
        let mut layout = Layout {
            rooms: vec![],
            index_of: BTreeMap::new(),
            by_free: BTreeMap::new(),
            holders: BTreeMap::new(),
            evaluated: 0,
        };
        for runner_state in picture.runners.iter().filter(|o| !o.runner.leaving) {
            layout.add(runner_state, picture);
        }
        layout
    }

    fn add(&mut self, runner_state: &RunnerState, picture: &PlanInput) {
        let runner = runner_state.runner.instance.clone();
        let busy = picture.busy_runners.contains(&runner);
        let config = picture.config;
        let mut room = RunnerRoom {
            runner: runner.clone(),
            service: runner_state.runner.service.clone(),
            free_mb: if busy { 0 } else { free_mb(config, runner_state, picture.pending) },
            free_adapter_places: if busy { 0 } else { adapters_free(config, runner_state, picture.pending) },
            unload: vec![],
            load: vec![],
        };
        if config.placement.way == PlacementStrategy::Greedy && !busy {
            let idle = idle_names(config, runner_state, &|_| false);
            room.unload = idle.into_iter().filter(|name| config.model(name).is_some()).collect();
            room.free_mb += room.unload.iter().filter_map(|name| config.min_mb(name)).sum::<u64>();
        }
        let index = self.rooms.len();
        let held = runner_state.report.holds.iter().chain(&runner_state.report.loading);
        for name in held.filter(|name| !room.unload.contains(name)) {
            self.holders.entry(name.clone()).or_default().insert(index);
        }
        let by_free = self.by_free.entry(room.service.clone()).or_default();
        by_free.insert((room.free_mb, Reverse(runner.clone()), index));
        self.index_of.insert(runner, index);
        self.rooms.push(room);
    }

    /// The rooms, in the order of the fleet's runners.
    pub fn rooms(&self) -> &[RunnerRoom] {
        &self.rooms
    }

    /// How many rooms were weighed for names so far.
    pub fn evaluated(&self) -> u64 {
        self.evaluated
    }

    /// Whether so much is free at a runner.
    pub fn has_free(&self, runner: &Name, mb: u64) -> bool {
        self.index_of.get(runner).is_some_and(|index| self.rooms[*index].free_mb >= mb)
    }

    /// Notes that a model comes to a runner, beside what is laid out here.
    pub fn reserve(&mut self, runner: &Name, model: &Name, mb: u64) {
        let Some(index) = self.index_of.get(runner).copied() else { return };
        self.take(index, mb);
        self.holders.entry(model.clone()).or_default().insert(index);
    }

    fn take(&mut self, index: usize, mb: u64) {
        let room = &mut self.rooms[index];
        let Some(by_free) = self.by_free.get_mut(&room.service) else { return };
        by_free.remove(&(room.free_mb, Reverse(room.runner.clone()), index));
        room.free_mb = room.free_mb.saturating_sub(mb);
        by_free.insert((room.free_mb, Reverse(room.runner.clone()), index));
    }

    fn is_placed(&self, service: &Name, name: &Name) -> bool {
        let holders = self.holders.get(name).into_iter().flatten();
        holders.into_iter().any(|index| self.rooms[*index].service == *service)
    }

    /// Finds a room for a name of a service; whether it has one.
    pub fn place(&mut self, service: &Name, name: &Name, config: &FleetConfig) -> bool {
        if self.is_placed(service, name) {
            return true;
        }
        let Some(mb) = config.weight(name) else { return false };
        let found = match config.base_of(name) {
            Some(base) => self.runner_with_base(service, base, mb),
            None => self.freest_runner(service, mb),
        };
        let Some(index) = found else { return false };
        self.take(index, mb);
        let room = &mut self.rooms[index];
        if is_adapter(config, name) {
            room.free_adapter_places -= 1;
        }
        if room.unload.contains(name) {
            room.unload.retain(|gone| gone != name);
        } else {
            room.load.push(name.clone());
        }
        self.holders.entry(name.clone()).or_default().insert(index);
        true
    }

    fn freest_runner(&mut self, service: &Name, mb: u64) -> Option<usize> {
        self.evaluated += 1;
        let (free_mb, _, index) = self.by_free.get(service)?.last()?;
        (*free_mb >= mb).then_some(*index)
    }

    /// A room for an adapter, at a runner that holds its model.
    fn runner_with_base(&mut self, service: &Name, base: &Name, mb: u64) -> Option<usize> {
        let holders = self.holders.get(base)?;
        self.evaluated += holders.len() as u64;
        let fits = |index: &&usize| {
            let room = &self.rooms[**index];
            let loads = room.load.contains(base);
            room.service == *service && room.free_adapter_places > 0 && room.free_mb >= mb && !loads
        };
        let freest = |index: &&usize| (self.rooms[**index].free_mb, Reverse(&self.rooms[**index].runner));
        holders.iter().filter(fits).max_by(|a, b| freest(a).cmp(&freest(b))).copied()
    }
}
