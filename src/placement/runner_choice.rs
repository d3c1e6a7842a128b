//! Chooses the runner that loads a wanted name, and what is unloaded there for it.
//!
//! Each runner is scored by the estimated time until the name is held, to which the waiting that the unloads
//! cause is added. The runner with the lowest sum is chosen.

use super::decision_state::DecisionState;
use super::free_room::{adapters_free, free_mb};
use super::pending_orders::{RunnerState, is_adapter};
use crate::kernel::ids::Name;
use crate::kernel::time::Span;

/// A model with more running requests than this is not unloaded.
const MAX_RUNS_TO_UNLOAD: u64 = 3;
/// The cost of each request that runs on an unloaded model.
const INTERRUPTED_RUN_MS: f64 = 1500.0;
/// The cost of unloading a name from its last holder.
const LAST_HOLDER_MS: f64 = 100.0;
/// How far ahead the use of an unloaded name is estimated from its rate.
const REUSE_WINDOW_S: f64 = 5.0;
/// The cost of loading an unloaded name again, weighted by how likely that is.
const RELOAD_MS: f64 = 2000.0;
/// The time an unload takes.
const UNLOAD_MS: f64 = 40.0;
/// The cost of a runner that already has as many requests under way as it serves well.
const FULL_LOAD_MS: f64 = 800.0;
/// How long a name stays where it was just loaded.
pub const MIN_RESIDENCE: Span = Span::ms(2000);

/// The parts of a load's cost at one runner that don't depend on what is loaded.
pub struct RunnerCosts<'a> {
    free_mb: u64,
    free_adapter_places: u64,
    held_adapters: u64,
    adapter_churn_ms: f64,
    /// What may be unloaded, with the cost of its absence in ms of waiting; the cheapest first.
    unloadable: Vec<(f64, &'a Name)>,
}

/// Where a name is loaded, what is unloaded for it, and the estimated time and loss.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The runner.
    pub runner: Name,
    /// What is unloaded, in this order.
    pub unloads: Vec<Name>,
    /// The estimated time until the name is held, in ms, with all losses added as time.
    pub estimated_ms: u64,
    /// The part of `estimated_ms` that the unloads cost.
    pub loss_ms: u64,
}

/// A runner's score for a load.
struct ScoredRunner<'a> {
    index: usize,
    unloads: Vec<&'a Name>,
    estimated_ms: u64,
    loss_ms: u64,
}

impl<'a> DecisionState<'a> {
    /// The requests per second for adapters of `base` that the runner holds.
    fn adapter_request_rate(&self, runner_state: &RunnerState, base: &Name) -> f64 {
        let on = runner_state
            .report
            .holds
            .iter()
            .filter(|n| self.config().adapter(n).is_some_and(|a| a.model == *base));
        on.filter_map(|n| self.usage.by_name.get(n)).map(|u| u.requests_per_s).sum()
    }

    /// Whether a name may not be unloaded, as it was just loaded or an order for it is pending.
    fn must_stay(&self, runner: &Name, name: &Name) -> bool {
        let new = self.placement.resident_since.get(runner).and_then(|names| names.get(name));
        new.is_some_and(|t| self.now.since(*t) < MIN_RESIDENCE) || self.is_in_flight(runner, name)
    }

    fn is_in_flight(&self, runner: &Name, name: &Name) -> bool {
        self.pending.contains(runner, name)
    }

    /// The cost, in ms of waiting, of unloading `name` from this runner; none if it must stay.
    fn unload_loss(&self, runner_state: &RunnerState, name: &Name) -> Option<f64> {
        let runner = &runner_state.runner.instance;
        if self.must_stay(runner, name) {
            return None;
        }
        let runs = match self.config().base_of(name) {
            Some(_) => 0,
            None => runner_state.report.runs_of(name).max(self.usage.active_requests(runner, name)),
        };
        if runs > MAX_RUNS_TO_UNLOAD {
            return None;
        }
        let total = self.usage.by_name.get(name).copied().unwrap_or_default();
        let here = u64::from(!runner_state.runner.leaving);
        let others = self.holder_counts.get(name).copied().unwrap_or(0).saturating_sub(here);
        let mut loss =
            runs as f64 * INTERRUPTED_RUN_MS + self.adapter_request_rate(runner_state, name) * 100.0;
        if others == 0 {
            loss += LAST_HOLDER_MS;
            let fresh = 1.0 / (1.0 + total.idle_for.0 as f64 / 4e6);
            loss += RELOAD_MS * ((total.requests_per_s * REUSE_WINDOW_S).min(1.0) * 0.7 + fresh * 0.3);
            loss += if self.placement.waiting_requests(name) > 0 { RELOAD_MS } else { 0.0 };
        } else {
            loss += total.requests_per_s * 50.0 / others as f64;
            let demand = total.active_requests + self.placement.waiting_requests(name);
            let service = self.config().service(&runner_state.runner.service);
            if service.is_some_and(|s| self.replicas().needs_every_holder(name, demand, s)) {
                loss += RELOAD_MS;
            }
        }
        Some(loss)
    }

    /// What the runner may unload, with its cost, the cheapest first.
    fn unloadable(&self, runner_state: &'a RunnerState) -> Vec<(f64, &'a Name)> {
        let rows =
            runner_state.report.holds.iter().filter_map(|n| Some((self.unload_loss(runner_state, n)?, n)));
        let mut rows: Vec<(f64, &Name)> = rows.collect();
        rows.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
        rows
    }

    /// The runner's costs, computed once.
    fn costs_at(&self, index: usize) -> &RunnerCosts<'a> {
        self.runner_costs[index].get_or_init(|| {
            let (runner_state, config) = (&self.runners[index], self.config());
            RunnerCosts {
                free_mb: free_mb(config, runner_state, &self.pending),
                free_adapter_places: adapters_free(config, runner_state, &self.pending),
                held_adapters: runner_state.report.holds.iter().filter(|n| is_adapter(config, n)).count()
                    as u64,
                adapter_churn_ms: self.adapter_churn(runner_state),
                unloadable: self.unloadable(runner_state),
            }
        })
    }

    /// The cheapest names to unload so that `want` fits, and their total cost; none if it can't be made to
    /// fit.
    fn unloads_for<'c>(
        &self,
        runner_state: &RunnerState,
        costs: &'c RunnerCosts<'a>,
        want: &Name,
        need: u64,
    ) -> Option<(Vec<&'a Name>, f64)> {
        let is_adapter_wanted = is_adapter(self.config(), want);
        let base = self.config().adapter(want).map(|a| &a.model);
        let rows = || costs.unloadable.iter().filter(|r| Some(r.1) != base);
        let (mut free, mut names, mut loss) = (costs.free_mb, Vec::new(), 0.0);
        let mut drop = |cost: f64, name: &'a Name| {
            loss += cost + UNLOAD_MS;
            names.push(name);
            self.freed_mb(runner_state, name)
        };
        if is_adapter_wanted && costs.free_adapter_places == 0 {
            let (cost, name) = rows().find(|r| is_adapter(self.config(), r.1))?;
            free += drop(*cost, name);
        }
        for (cost, name) in rows().filter(|r| !is_adapter(self.config(), r.1)) {
            if free >= need {
                break;
            }
            free += drop(*cost, name);
        }
        (free >= need).then_some((names, loss))
    }

    /// The memory, in MB, that unloading a model frees, its adapters included.
    fn freed_mb(&self, runner_state: &RunnerState, name: &Name) -> u64 {
        let config = self.config();
        let mine = |n: &&Name| *n == name || config.base_of(n) == Some(name);
        runner_state.report.holds.iter().filter(mine).filter_map(|n| config.min_mb(n)).sum()
    }

    /// Scores one runner for loading `want`; none if it can't.
    fn score(&self, index: usize, want: &Name) -> Option<ScoredRunner<'a>> {
        let (runner_state, config) = (&self.runners[index], self.config());
        let runner = &runner_state.runner.instance;
        if self.is_unavailable(runner) || runner_state.report.has(want) {
            return None;
        }
        if self.is_in_flight(runner, want) || self.pending.was_refused(self.now, runner, want) {
            return None;
        }
        if let Some(adapter) = config.adapter(want)
            && (!runner_state.report.has(&adapter.model)
                || self.pending.is_unloading(&runner_state.report, &adapter.model))
        {
            return None;
        }
        self.placement.search.evaluated.set(self.placement.search.evaluated.get() + 1);
        let costs = self.costs_at(index);
        let (need, is_adapter_wanted) = (config.weight(want)?, is_adapter(config, want));
        let fits = costs.free_mb >= need && (!is_adapter_wanted || costs.free_adapter_places > 0);
        let (unloads, loss) =
            if fits { (vec![], 0.0) } else { self.unloads_for(runner_state, costs, want, need)? };
        let is_cached = !is_adapter_wanted && self.placement.is_cached(self.slice, runner, want);
        let load = if is_cached { config.store.kept_ms } else { config.load_ms(want) };
        let crowd = runner_state.report.running * 5
            + if is_adapter_wanted {
                costs.held_adapters * 10
            } else {
                (self.replicas().load_ratio(index).min(1.0) * FULL_LOAD_MS) as u64
            };
        let churn = if is_adapter_wanted { 0.0 } else { costs.adapter_churn_ms };
        let ms = load + crowd + loss as u64 + churn as u64;
        Some(ScoredRunner { index, unloads, estimated_ms: ms, loss_ms: loss as u64 })
    }

    /// The cost of blocking loads of adapters while a model is loaded, from the use of the models here that
    /// have adapters.
    fn adapter_churn(&self, runner_state: &RunnerState) -> f64 {
        let all = self
            .models_with_adapters
            .get_or_init(|| self.config().adapters.iter().map(|a| &a.model).collect());
        let bases = runner_state.report.holds.iter().filter(|n| all.contains(n));
        let rates = bases.filter_map(|n| self.usage.by_name.get(n)).map(|u| u.requests_per_s);
        (rates.sum::<f64>() * 100.0).min(800.0)
    }

    /// The runner of the service where `want` is held soonest with the least loss. Without `from_store` only
    /// runners that load it from their own disk are considered, unless such loads don't count against the
    /// store's limit.
    pub fn choose(&self, service: &Name, want: &Name, from_store: bool) -> Option<Choice> {
        let ignores_store = is_adapter(self.config(), want) && !self.config().store.adapters;
        let indexes = match self.config().adapter(want) {
            Some(adapter) if from_store || ignores_store => self.holder_indexes(&adapter.model),
            None if from_store => &self.available,
            _ => self.cached_indexes(want),
        };
        let of_service = indexes.iter().filter(|k| self.runners[**k].runner.service == *service);
        let scored = of_service.filter_map(|k| self.score(*k, want));
        let runner = |row: &ScoredRunner| &self.runners[row.index].runner.instance;
        let best = scored.min_by(|a, b| (a.estimated_ms, runner(a)).cmp(&(b.estimated_ms, runner(b))))?;
        Some(Choice {
            runner: runner(&best).clone(),
            unloads: best.unloads.into_iter().cloned().collect(),
            estimated_ms: best.estimated_ms,
            loss_ms: best.loss_ms,
        })
    }
}
