//! How much of a model's demand the runners that hold it can carry.
//!
//! A runner serves all that it holds from the same slots. What each model has under way is counted as spread evenly
//! over its holders; a holder then carries of one model what its easy load leaves beside the others.
#![deny(missing_docs)]

use super::pending_orders::RunnerState;
use super::usage::UsageByName;
use crate::fleet::config::{FleetConfig, Service};
use crate::kernel::ids::Name;
use std::collections::BTreeMap;

/// Up to so many requests at once a runner is at ease, if that is at most three quarters of its slots.
const EASY: u64 = 10;

/// What is known of a model over all its holders.
#[derive(Clone, Copy, Default, Debug)]
struct ModelReplicas {
    holders: u64,
    runs: u64,
    tokens: u64,
    /// How many requests of this model its holders can carry with ease.
    supply: f64,
}

/// How many of so many slots are an easy load.
fn easy(slots: u64) -> u64 {
    (slots / 4).max((slots * 3 / 4).min(EASY)).max(1)
}

/// The models held, and how many of their requests the holders carry.
#[derive(Default)]
pub struct ReplicaCapacity<'a> {
    rows: BTreeMap<&'a Name, ModelReplicas>,
    /// What each runner has under way of its easy load, if each model is spread evenly; by place.
    busy: Vec<f64>,
    /// Adapters in use, by their model.
    adapters: BTreeMap<&'a Name, u64>,
}

impl<'a> ReplicaCapacity<'a> {
    /// Counts over the reports of runners that stay.
    pub fn of(offers: &'a [RunnerState], uses: &UsageByName, config: &'a FleetConfig) -> ReplicaCapacity<'a> {
        let mut copies = ReplicaCapacity::default();
        let models = |o: &'a RunnerState| o.report.holds.iter().filter(|n| config.model(n).is_some());
        for offer in offers.iter().filter(|o| !o.runner.leaving) {
            for name in models(offer) {
                let held = copies.rows.entry(name).or_default();
                held.holders += 1;
                held.runs += offer.report.running;
                held.tokens += offer.report.tokens;
            }
        }
        copies.busy = vec![0.0; offers.len()];
        for (place, offer) in offers.iter().enumerate().filter(|o| !o.1.runner.leaving) {
            let Some(service) = config.service(&offer.runner.service) else { continue };
            let expected: f64 = models(offer).map(|name| copies.share(name, uses)).sum();
            copies.busy[place] = expected / easy(service.slots) as f64;
            for name in models(offer) {
                let others = expected - copies.share(name, uses);
                let carries = (copies.easy_load(name, service) as f64 - others).max(0.0);
                if let Some(held) = copies.rows.get_mut(name) {
                    held.supply += carries;
                }
            }
        }
        for name in uses.iter().filter(|u| u.1.per_s > 0.0).map(|u| u.0) {
            if let Some(adapter) = config.adapter(name) {
                *copies.adapters.entry(&adapter.model).or_default() += 1;
            }
        }
        copies
    }

    /// The requests of a model that run at each of its holders, if they are spread evenly.
    fn share(&self, name: &Name, uses: &UsageByName) -> f64 {
        let holders = self.rows.get(name).map_or(0, |held| held.holders).max(1);
        uses.get(name).map_or(0, |u| u.runs) as f64 / holders as f64
    }

    /// How many requests of a model one runner carries without slowing much.
    fn easy_load(&self, name: &Name, service: &Service) -> u64 {
        let held = self.rows.get(name).copied().unwrap_or_default();
        let each = held.tokens.checked_div(held.runs).unwrap_or(0);
        let by_tokens = if each > 0 && service.tokens > 0 { service.tokens / each } else { u64::MAX };
        easy(service.slots.min(by_tokens))
    }

    /// The part of its easy load that the runner at a place has under way; it may be over 1.
    pub fn busy(&self, place: usize) -> f64 {
        self.busy.get(place).copied().unwrap_or(0.0)
    }

    /// How many runners it takes to hold all adapters of a model that are in use.
    fn holders_for_adapters(&self, name: &Name, service: &Service) -> u64 {
        match service.places {
            0 => 0,
            places => self.adapters.get(name).copied().unwrap_or(0).div_ceil(places),
        }
    }

    /// How many more runners should hold a model that so many requests run or wait for, besides those `coming`.
    pub fn short_by(&self, name: &Name, demand: u64, coming: u64, service: &Service) -> u64 {
        let held = self.rows.get(name).copied().unwrap_or_default();
        let easy = self.easy_load(name, service);
        let unmet = (demand as f64 - held.supply - (coming * easy) as f64).max(0.0);
        let by_load = (unmet / easy as f64).ceil() as u64;
        let by_places = self.holders_for_adapters(name, service);
        by_load.max(by_places.saturating_sub(held.holders + coming))
    }

    /// Whether the model would be short of runners without one of them.
    pub fn misses_one(&self, name: &Name, demand: u64, service: &Service) -> bool {
        let held = self.rows.get(name).copied().unwrap_or_default();
        let left = held.supply * held.holders.saturating_sub(1) as f64 / held.holders.max(1) as f64;
        let by_places = self.holders_for_adapters(name, service);
        held.holders <= by_places.max(1) || left < demand as f64
    }

    /// A runner is about to give the model up.
    pub fn dropped(&mut self, name: &Name) {
        if let Some(held) = self.rows.get_mut(name) {
            held.supply -= held.supply / held.holders.max(1) as f64;
            held.holders = held.holders.saturating_sub(1);
        }
    }
}
