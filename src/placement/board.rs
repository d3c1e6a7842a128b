//! The picture that small decisions are made from.

use super::choose::RunnerCosts;
use super::duty::Placement;
use super::flights::{Flights, Offer};
use super::quick::Holdings;
use super::uses::Usage;
use crate::fleet::config::FleetConfig;
use crate::fleet::slice::DutySlice;
use crate::kernel::ids::Name;
use crate::kernel::time::Time;
use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What decisions are made from until the next one is taken.
pub struct Board<'a> {
    pub(super) placement: &'a Placement,
    pub(super) fleet: &'a DutySlice,
    pub(super) offers: &'a [Offer],
    pub(super) usage: Arc<Usage>,
    pub(super) flights: Flights,
    pub(super) now: Time,
    pub(super) busy: BTreeSet<Name>,
    /// Of them, those with something planned.
    pub(super) planned: BTreeSet<Name>,
    /// The staying runners that hold a name.
    pub(super) holders: BTreeMap<&'a Name, u64>,
    /// The models that have adapters.
    pub(super) bases: OnceCell<BTreeSet<&'a Name>>,
    pub(super) holdings: OnceCell<Holdings<'a>>,
    pub(super) costs: Vec<OnceCell<RunnerCosts<'a>>>,
}

impl Placement {
    /// What decisions of this moment are made from.
    pub fn board<'a>(&'a self, s: &'a DutySlice, offers: &'a [Offer], now: Time) -> Board<'a> {
        let planned: BTreeSet<Name> = self.busy(s, now).into_iter().collect();
        let mut busy = planned.clone();
        let closed = |o: &&Offer| self.flights.open(&o.runner.instance) || self.flights.is_foreign(&o.report);
        busy.extend(offers.iter().filter(closed).map(|o| o.runner.instance.clone()));
        let mut holders: BTreeMap<&Name, u64> = BTreeMap::new();
        for name in offers.iter().filter(|o| !o.runner.leaving).flat_map(|o| &o.report.holds) {
            *holders.entry(name).or_default() += 1;
        }
        Board {
            placement: self,
            fleet: s,
            offers,
            usage: self.usage.clone(),
            flights: self.counted(s, now),
            now,
            busy,
            planned,
            holders,
            bases: OnceCell::new(),
            holdings: OnceCell::new(),
            costs: offers.iter().map(|_| OnceCell::new()).collect(),
        }
    }
}

impl<'a> Board<'a> {
    pub(super) fn config(&self) -> &'a FleetConfig {
        &self.fleet.config
    }

    /// The runners whose reports are known.
    pub fn offers(&self) -> &'a [Offer] {
        self.offers
    }

    /// What is under way, with the loads of plans that were not yet ordered.
    pub fn flights(&self) -> &Flights {
        &self.flights
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

    /// Whether a staying runner holds `name`.
    pub fn is_held(&self, name: &Name) -> bool {
        self.holders.contains_key(name)
    }
}
