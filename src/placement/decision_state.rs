//! The snapshot from which small decisions are made, updated with each decision.

use super::Placement;
use super::pending_orders::{PendingOrders, RunnerState};
use super::replica_capacity::ReplicaCapacity;
use super::runner_choice::{Choice, RunnerCosts};
use super::usage::Usage;
use crate::fleet::config::{FleetConfig, Service};
use crate::fleet::slice::DutySlice;
use crate::kernel::ids::Name;
use crate::kernel::time::Time;
use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What decisions are made from, including the decisions made so far.
pub struct DecisionState<'a> {
    pub(super) placement: &'a Placement,
    pub(super) slice: &'a DutySlice,
    pub(super) runners: &'a [RunnerState],
    pub(super) usage: Arc<Usage>,
    pub(super) pending: PendingOrders,
    /// The names of which a load is ordered, planned or decided.
    being_loaded: BTreeSet<Name>,
    pub(super) now: Time,
    /// Runners that may not be sent an order.
    pub(super) unavailable: BTreeSet<Name>,
    /// Of them, those that a plan, a move or a job needs.
    pub(super) reserved: BTreeSet<Name>,
    /// How many staying runners hold a name, the decisions so far included.
    pub(super) holder_counts: BTreeMap<&'a Name, u64>,
    /// The indexes of the staying runners that hold a name.
    holder_indexes: BTreeMap<&'a Name, Vec<usize>>,
    /// The models that have adapters.
    pub(super) models_with_adapters: OnceCell<BTreeSet<&'a Name>>,
    /// How many requests the holders of each model can serve.
    pub(super) replicas: OnceCell<ReplicaCapacity<'a>>,
    /// By runner, the parts of a load's cost that don't depend on what is loaded.
    pub(super) runner_costs: Vec<OnceCell<RunnerCosts<'a>>>,
    /// The indexes of the runners that may be sent an order.
    pub(super) available: Vec<usize>,
    /// Of them, by model, those that load it from their own disk.
    pub(super) cached_indexes: OnceCell<BTreeMap<&'a Name, Vec<usize>>>,
}

impl Placement {
    /// A snapshot of this moment. `runners` are the runners with fresh reports.
    pub fn decision_state<'a>(
        &'a self,
        slice: &'a DutySlice,
        runners: &'a [RunnerState],
        now: Time,
    ) -> DecisionState<'a> {
        let reserved: BTreeSet<Name> = self.busy_runners(slice, now).into_iter().collect();
        let mut unavailable = reserved.clone();
        let is_closed = |o: &&RunnerState| {
            self.pending.is_blocked(&o.runner.instance) || self.pending.has_foreign_order(&o.report)
        };
        unavailable.extend(runners.iter().filter(is_closed).map(|o| o.runner.instance.clone()));
        let mut holder_indexes: BTreeMap<&Name, Vec<usize>> = BTreeMap::new();
        for (index, runner_state) in runners.iter().enumerate().filter(|o| !o.1.runner.leaving) {
            for name in &runner_state.report.holds {
                holder_indexes.entry(name).or_default().push(index);
            }
        }
        let holder_counts =
            holder_indexes.iter().map(|(name, indexes)| (*name, indexes.len() as u64)).collect();
        let may_take = |o: &RunnerState| !o.runner.leaving && !unavailable.contains(&o.runner.instance);
        let available = (0..runners.len()).filter(|index| may_take(&runners[*index])).collect();
        let pending = self.orders_with_planned(slice, now);
        DecisionState {
            placement: self,
            slice,
            runners,
            usage: self.usage.clone(),
            being_loaded: self.names_being_loaded(slice),
            pending,
            now,
            unavailable,
            reserved,
            holder_counts,
            holder_indexes,
            models_with_adapters: OnceCell::new(),
            replicas: OnceCell::new(),
            runner_costs: runners.iter().map(|_| OnceCell::new()).collect(),
            available,
            cached_indexes: OnceCell::new(),
        }
    }
}

impl<'a> DecisionState<'a> {
    /// The configuration.
    pub(super) fn config(&self) -> &'a FleetConfig {
        &self.slice.config
    }

    /// The runners with fresh reports.
    pub fn runners(&self) -> &'a [RunnerState] {
        self.runners
    }

    /// The pending orders, with the loads of plans that were not ordered yet.
    pub fn pending(&self) -> &PendingOrders {
        &self.pending
    }

    /// Whether a load of `name` was ordered, planned or decided when the snapshot was made.
    pub fn is_being_loaded(&self, name: &Name) -> bool {
        self.being_loaded.contains(name)
    }

    /// Whether no order may be sent to the runner.
    pub fn is_unavailable(&self, runner: &Name) -> bool {
        self.unavailable.contains(runner)
    }

    /// Whether a plan, a move or a job needs the runner.
    pub fn is_reserved(&self, runner: &Name) -> bool {
        self.reserved.contains(runner)
    }

    /// The time of the snapshot.
    pub fn now(&self) -> Time {
        self.now
    }

    /// How many requests the holders of each model can serve.
    pub(super) fn replicas(&self) -> &ReplicaCapacity<'a> {
        self.replicas.get_or_init(|| ReplicaCapacity::of(self.runners, &self.usage.by_name, self.config()))
    }

    /// How many more runners should hold a model that `demand` requests run or wait for, besides `coming`
    /// loads under way.
    pub fn missing_replicas(&self, name: &Name, demand: u64, coming: u64, service: &Service) -> u64 {
        self.replicas().missing_replicas(name, demand, coming, service)
    }

    /// The indexes of the available runners that load a model from their own disk.
    pub(super) fn cached_indexes(&self, name: &Name) -> &[usize] {
        let keepers = self.cached_indexes.get_or_init(|| {
            let mut keepers: BTreeMap<&Name, Vec<usize>> = BTreeMap::new();
            for index in &self.available {
                let kept = self.placement.cached_at(self.slice, &self.runners[*index].runner.instance);
                kept.into_iter().flatten().for_each(|name| keepers.entry(name).or_default().push(*index));
            }
            keepers
        });
        keepers.get(name).map_or(&[], |indexes| indexes)
    }

    /// Whether a load of `name` at this runner counts against the store's limit.
    pub fn uses_store(&self, runner: &Name, name: &Name) -> bool {
        self.placement.uses_store(self.slice, runner, name)
    }

    /// Records a decision: its runner is no longer available, and the names it unloads have one holder less.
    pub fn apply(&mut self, choice: &Choice) {
        self.unavailable.insert(choice.runner.clone());
        self.reserved.insert(choice.runner.clone());
        self.available.retain(|index| self.runners[*index].runner.instance != choice.runner);
        for name in &choice.unloads {
            if let Some(holder_counts) = self.holder_counts.get_mut(name) {
                *holder_counts = holder_counts.saturating_sub(1);
            }
            if let Some(copies) = self.replicas.get_mut() {
                copies.remove_holder(name);
            }
            for (index, runner_state) in self.runners.iter().enumerate() {
                if runner_state.report.has(name) {
                    self.runner_costs[index] = OnceCell::new();
                }
            }
        }
    }

    /// The indexes of the staying runners that report that they hold `name`.
    pub fn holder_indexes(&self, name: &Name) -> &[usize] {
        self.holder_indexes.get(name).map_or(&[], |indexes| indexes)
    }

    /// The service whose runners hold `name`.
    pub fn service_of(&self, name: &Name) -> Option<&'a Service> {
        let index = self.holder_indexes(name).first()?;
        self.config().service(&self.runners[*index].runner.service)
    }

    /// Whether a staying runner holds `name`, the decisions so far included.
    pub fn is_held(&self, name: &Name) -> bool {
        self.holder_counts.get(name).is_some_and(|holder_counts| *holder_counts > 0)
    }
}
