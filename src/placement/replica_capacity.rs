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
const COMFORTABLE_REQUESTS: u64 = 10;

/// What is known of a model over all its holders.
#[derive(Clone, Copy, Default, Debug)]
struct ModelReplicas {
    holders: u64,
    requests: u64,
    tokens: u64,
    /// How many requests of this model its holders can carry with ease.
    capacity: f64,
}

/// How many of so many slots are an easy load.
fn comfortable_share(slots: u64) -> u64 {
    (slots / 4).max((slots * 3 / 4).min(COMFORTABLE_REQUESTS)).max(1)
}

/// The models held, and how many of their requests the holders carry.
#[derive(Default)]
pub struct ReplicaCapacity<'a> {
    models: BTreeMap<&'a Name, ModelReplicas>,
    /// What each runner has under way of its easy load, if each model is spread evenly; by place.
    load_ratios: Vec<f64>,
    /// Adapters in use, by their model.
    used_adapters: BTreeMap<&'a Name, u64>,
}

impl<'a> ReplicaCapacity<'a> {
    /// Counts over the reports of runners that stay.
    pub fn of(
        runners: &'a [RunnerState],
        uses: &UsageByName,
        config: &'a FleetConfig,
    ) -> ReplicaCapacity<'a> {
        let mut copies = ReplicaCapacity::default();
        let models = |o: &'a RunnerState| o.report.holds.iter().filter(|n| config.model(n).is_some());
        for runner_state in runners.iter().filter(|o| !o.runner.leaving) {
            for name in models(runner_state) {
                let held = copies.models.entry(name).or_default();
                held.holders += 1;
                held.requests += runner_state.report.running;
                held.tokens += runner_state.report.tokens;
            }
        }
        copies.load_ratios = vec![0.0; runners.len()];
        for (index, runner_state) in runners.iter().enumerate().filter(|o| !o.1.runner.leaving) {
            let Some(service) = config.service(&runner_state.runner.service) else { continue };
            let expected: f64 = models(runner_state).map(|name| copies.share_per_holder(name, uses)).sum();
            copies.load_ratios[index] = expected / comfortable_share(service.slots) as f64;
            for name in models(runner_state) {
                let others = expected - copies.share_per_holder(name, uses);
                let carries = (copies.comfortable_load(name, service) as f64 - others).max(0.0);
                if let Some(held) = copies.models.get_mut(name) {
                    held.capacity += carries;
                }
            }
        }
        for name in uses.iter().filter(|u| u.1.requests_per_s > 0.0).map(|u| u.0) {
            if let Some(adapter) = config.adapter(name) {
                *copies.used_adapters.entry(&adapter.model).or_default() += 1;
            }
        }
        copies
    }

    /// The requests of a model that run at each of its holders, if they are spread evenly.
    fn share_per_holder(&self, name: &Name, uses: &UsageByName) -> f64 {
        let holders = self.models.get(name).map_or(0, |held| held.holders).max(1);
        uses.get(name).map_or(0, |u| u.active_requests) as f64 / holders as f64
    }

    /// How many requests of a model one runner carries without slowing much.
    fn comfortable_load(&self, name: &Name, service: &Service) -> u64 {
        let held = self.models.get(name).copied().unwrap_or_default();
        let each = held.tokens.checked_div(held.requests).unwrap_or(0);
        let by_tokens = if each > 0 && service.tokens > 0 { service.tokens / each } else { u64::MAX };
        comfortable_share(service.slots.min(by_tokens))
    }

    /// The part of its easy load that the runner at a place has under way; it may be over 1.
    pub fn load_ratio(&self, index: usize) -> f64 {
        self.load_ratios.get(index).copied().unwrap_or(0.0)
    }

    /// How many runners it takes to hold all adapters of a model that are in use.
    fn holders_for_adapters(&self, name: &Name, service: &Service) -> u64 {
        match service.places {
            0 => 0,
            places => self.used_adapters.get(name).copied().unwrap_or(0).div_ceil(places),
        }
    }

    /// How many more runners should hold a model that so many requests run or wait for, besides those `coming`.
    pub fn missing_replicas(&self, name: &Name, demand: u64, coming: u64, service: &Service) -> u64 {
        let held = self.models.get(name).copied().unwrap_or_default();
        let comfortable_share = self.comfortable_load(name, service);
        let unmet = (demand as f64 - held.capacity - (coming * comfortable_share) as f64).max(0.0);
        let by_load = (unmet / comfortable_share as f64).ceil() as u64;
        let by_places = self.holders_for_adapters(name, service);
        by_load.max(by_places.saturating_sub(held.holders + coming))
    }

    /// Whether the model would be short of runners without one of them.
    pub fn needs_every_holder(&self, name: &Name, demand: u64, service: &Service) -> bool {
        let held = self.models.get(name).copied().unwrap_or_default();
        let left = held.capacity * held.holders.saturating_sub(1) as f64 / held.holders.max(1) as f64;
        let by_places = self.holders_for_adapters(name, service);
        held.holders <= by_places.max(1) || left < demand as f64
    }

    /// A runner is about to give the model up.
    pub fn remove_holder(&mut self, name: &Name) {
        if let Some(held) = self.models.get_mut(name) {
            held.capacity -= held.capacity / held.holders.max(1) as f64;
            held.holders = held.holders.saturating_sub(1);
        }
    }
}
