//! The picture that small decisions are made from.

use super::runner_choice::{Choice, RunnerCosts};
use super::replica_capacity::ReplicaCapacity;
use super::component::Placement;
use super::pending_orders::{PendingOrders, RunnerState};
use super::usage::Usage;
use crate::fleet::config::{FleetConfig, Service};
use crate::fleet::slice::DutySlice;
use crate::kernel::ids::Name;
use crate::kernel::time::Time;
use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What decisions are made from until the next one is taken.
pub struct DecisionState<'a> {
    pub(super) placement: &'a Placement,
    pub(super) fleet: &'a DutySlice,
    pub(super) offers: &'a [RunnerState],
    pub(super) usage: Arc<Usage>,
    pub(super) flights: PendingOrders,
    /// The names of which a load is ordered, planned or decided.
    coming: BTreeSet<Name>,
    pub(super) now: Time,
    pub(super) busy: BTreeSet<Name>,
    /// Of them, those with something planned.
    pub(super) planned: BTreeSet<Name>,
    /// How many staying runners hold a name, and will after the decisions so far.
    pub(super) holders: BTreeMap<&'a Name, u64>,
    /// The places of the staying runners that hold a name.
    held_at: BTreeMap<&'a Name, Vec<usize>>,
    /// The models that have adapters.
    pub(super) bases: OnceCell<BTreeSet<&'a Name>>,
    pub(super) copies: OnceCell<ReplicaCapacity<'a>>,
    pub(super) costs: Vec<OnceCell<RunnerCosts<'a>>>,
    /// The places of the offers that may take an order.
    pub(super) open: Vec<usize>,
    /// Of them, by model, those that load it from their own disk.
    pub(super) keepers: OnceCell<BTreeMap<&'a Name, Vec<usize>>>,
}

impl Placement {
    /// What decisions of this moment are made from.
    pub fn board<'a>(&'a self, s: &'a DutySlice, offers: &'a [RunnerState], now: Time) -> DecisionState<'a> {
        let planned: BTreeSet<Name> = self.busy(s, now).into_iter().collect();
        let mut busy = planned.clone();
        let closed = |o: &&RunnerState| self.flights.open(&o.runner.instance) || self.flights.is_foreign(&o.report);
        busy.extend(offers.iter().filter(closed).map(|o| o.runner.instance.clone()));
        let mut held_at: BTreeMap<&Name, Vec<usize>> = BTreeMap::new();
        for (place, offer) in offers.iter().enumerate().filter(|o| !o.1.runner.leaving) {
            for name in &offer.report.holds {
                held_at.entry(name).or_default().push(place);
            }
        }
        let holders = held_at.iter().map(|(name, places)| (*name, places.len() as u64)).collect();
        let may_take = |o: &RunnerState| !o.runner.leaving && !busy.contains(&o.runner.instance);
        let open = (0..offers.len()).filter(|place| may_take(&offers[*place])).collect();
        let flights = self.counted(s, now);
        DecisionState {
            placement: self,
            fleet: s,
            offers,
            usage: self.usage.clone(),
            coming: self.all_coming(s),
            flights,
            now,
            busy,
            planned,
            holders,
            held_at,
            bases: OnceCell::new(),
            copies: OnceCell::new(),
            costs: offers.iter().map(|_| OnceCell::new()).collect(),
            open,
            keepers: OnceCell::new(),
        }
    }
}

impl<'a> DecisionState<'a> {
    pub(super) fn config(&self) -> &'a FleetConfig {
        &self.fleet.config
    }

    /// The runners whose reports are known.
    pub fn offers(&self) -> &'a [RunnerState] {
        self.offers
    }

    /// What is under way, with the loads of plans that were not yet ordered.
    pub fn flights(&self) -> &PendingOrders {
        &self.flights
    }

    /// Whether a load of `name` was ordered, planned or decided when the board was made.
    pub fn is_coming(&self, name: &Name) -> bool {
        self.coming.contains(name)
    }

    /// Whether no order may be sent to the runner.
    pub fn is_busy(&self, runner: &Name) -> bool {
        self.busy.contains(runner)
    }

    /// Whether a plan, a move or a decision under way needs the runner.
    pub fn is_planned(&self, runner: &Name) -> bool {
        self.planned.contains(runner)
    }

    /// The moment of these decisions.
    pub fn now(&self) -> Time {
        self.now
    }

    /// What the holders of each model carry.
    pub(super) fn copies(&self) -> &ReplicaCapacity<'a> {
        self.copies.get_or_init(|| ReplicaCapacity::of(self.offers, &self.usage.names, self.config()))
    }

    /// How many more runners should hold a model, besides those `coming`.
    pub fn short_by(&self, name: &Name, demand: u64, coming: u64, service: &Service) -> u64 {
        self.copies().short_by(name, demand, coming, service)
    }

    /// The places of open runners that load a model from their own disk.
    pub(super) fn keepers(&self, name: &Name) -> &[usize] {
        let keepers = self.keepers.get_or_init(|| {
            let mut keepers: BTreeMap<&Name, Vec<usize>> = BTreeMap::new();
            for place in &self.open {
                let kept = self.placement.kept_at(self.fleet, &self.offers[*place].runner.instance);
                kept.into_iter().flatten().for_each(|name| keepers.entry(name).or_default().push(*place));
            }
            keepers
        });
        keepers.get(name).map_or(&[], |places| places)
    }

    /// Whether a load of `name` at this runner takes of the store's allowance.
    pub fn asks_store(&self, runner: &Name, name: &Name) -> bool {
        self.placement.asks_store(self.fleet, runner, name)
    }

    /// Takes note of a decision: its runner is in use, and what gives way there is held by one runner less.
    pub fn take(&mut self, choice: &Choice) {
        self.busy.insert(choice.runner.clone());
        self.planned.insert(choice.runner.clone());
        self.open.retain(|place| self.offers[*place].runner.instance != choice.runner);
        for name in &choice.unloads {
            if let Some(holders) = self.holders.get_mut(name) {
                *holders = holders.saturating_sub(1);
            }
            if let Some(copies) = self.copies.get_mut() {
                copies.dropped(name);
            }
            for (place, offer) in self.offers.iter().enumerate() {
                if offer.report.has(name) {
                    self.costs[place] = OnceCell::new();
                }
            }
        }
    }

    /// The places of the staying runners that report that they hold `name`.
    pub fn held_at(&self, name: &Name) -> &[usize] {
        self.held_at.get(name).map_or(&[], |places| places)
    }

    /// The service whose runners hold `name`.
    pub fn service_of(&self, name: &Name) -> Option<&'a Service> {
        let place = self.held_at(name).first()?;
        self.config().service(&self.offers[*place].runner.service)
    }

    /// Whether a staying runner holds `name`.
    pub fn is_held(&self, name: &Name) -> bool {
        self.holders.get(name).is_some_and(|holders| *holders > 0)
    }
}
