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
    adapter_places: u64,
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
    place_of: BTreeMap<Name, usize>,
    by_free: BTreeMap<Name, ByFree>,
    /// The places of the rooms that hold a name.
    holders: BTreeMap<Name, BTreeSet<usize>>,
    /// How many rooms were weighed.
    weighed: u64,
}

impl Layout {
    /// What is free at the runners that stay.
    pub fn of(picture: &PlanInput) -> Layout {
        let mut layout = Layout {
            rooms: vec![],
            place_of: BTreeMap::new(),
            by_free: BTreeMap::new(),
            holders: BTreeMap::new(),
            weighed: 0,
        };
        for offer in picture.offers.iter().filter(|o| !o.runner.leaving) {
            layout.add(offer, picture);
        }
        layout
    }

    fn add(&mut self, offer: &RunnerState, picture: &PlanInput) {
        let runner = offer.runner.instance.clone();
        let busy = picture.busy.contains(&runner);
        let config = picture.config;
        let mut room = RunnerRoom {
            runner: runner.clone(),
            service: offer.runner.service.clone(),
            free_mb: if busy { 0 } else { free_mb(config, offer, picture.flights) },
            adapter_places: if busy { 0 } else { adapters_free(config, offer, picture.flights) },
            unload: vec![],
            load: vec![],
        };
        if config.placement.way == PlacementStrategy::Greedy && !busy {
            let idle = idle_names(config, offer, &|_| false);
            room.unload = idle.into_iter().filter(|name| config.model(name).is_some()).collect();
            room.free_mb += room.unload.iter().filter_map(|name| config.min_mb(name)).sum::<u64>();
        }
        let place = self.rooms.len();
        let held = offer.report.holds.iter().chain(&offer.report.loading);
        for name in held.filter(|name| !room.unload.contains(name)) {
            self.holders.entry(name.clone()).or_default().insert(place);
        }
        let by_free = self.by_free.entry(room.service.clone()).or_default();
        by_free.insert((room.free_mb, Reverse(runner.clone()), place));
        self.place_of.insert(runner, place);
        self.rooms.push(room);
    }

    /// The rooms, in the order of the fleet's runners.
    pub fn rooms(&self) -> &[RunnerRoom] {
        &self.rooms
    }

    /// How many rooms were weighed for names so far.
    pub fn weighed(&self) -> u64 {
        self.weighed
    }

    /// Whether so much is free at a runner.
    pub fn has_free(&self, runner: &Name, mb: u64) -> bool {
        self.place_of.get(runner).is_some_and(|place| self.rooms[*place].free_mb >= mb)
    }

    /// Notes that a model comes to a runner, beside what is laid out here.
    pub fn reserve(&mut self, runner: &Name, model: &Name, mb: u64) {
        let Some(place) = self.place_of.get(runner).copied() else { return };
        self.take(place, mb);
        self.holders.entry(model.clone()).or_default().insert(place);
    }

    fn take(&mut self, place: usize, mb: u64) {
        let room = &mut self.rooms[place];
        let Some(by_free) = self.by_free.get_mut(&room.service) else { return };
        by_free.remove(&(room.free_mb, Reverse(room.runner.clone()), place));
        room.free_mb = room.free_mb.saturating_sub(mb);
        by_free.insert((room.free_mb, Reverse(room.runner.clone()), place));
    }

    fn is_placed(&self, service: &Name, name: &Name) -> bool {
        let holders = self.holders.get(name).into_iter().flatten();
        holders.into_iter().any(|place| self.rooms[*place].service == *service)
    }

    /// Finds a room for a name of a service; whether it has one.
    pub fn place(&mut self, service: &Name, name: &Name, config: &FleetConfig) -> bool {
        if self.is_placed(service, name) {
            return true;
        }
        let Some(mb) = config.weight(name) else { return false };
        let found = match config.base_of(name) {
            Some(base) => self.room_beside(service, base, mb),
            None => self.freest_room(service, mb),
        };
        let Some(place) = found else { return false };
        self.take(place, mb);
        let room = &mut self.rooms[place];
        if is_adapter(config, name) {
            room.adapter_places -= 1;
        }
        if room.unload.contains(name) {
            room.unload.retain(|gone| gone != name);
        } else {
            room.load.push(name.clone());
        }
        self.holders.entry(name.clone()).or_default().insert(place);
        true
    }

    fn freest_room(&mut self, service: &Name, mb: u64) -> Option<usize> {
        self.weighed += 1;
        let (free_mb, _, place) = self.by_free.get(service)?.last()?;
        (*free_mb >= mb).then_some(*place)
    }

    /// A room for an adapter, at a runner that holds its model.
    fn room_beside(&mut self, service: &Name, base: &Name, mb: u64) -> Option<usize> {
        let holders = self.holders.get(base)?;
        self.weighed += holders.len() as u64;
        let fits = |place: &&usize| {
            let room = &self.rooms[**place];
            let loads = room.load.contains(base);
            room.service == *service && room.adapter_places > 0 && room.free_mb >= mb && !loads
        };
        let freest = |place: &&usize| (self.rooms[**place].free_mb, Reverse(&self.rooms[**place].runner));
        holders.iter().filter(fits).max_by(|a, b| freest(a).cmp(&freest(b))).copied()
    }
}
