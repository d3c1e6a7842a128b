//! Where a wanted model or adapter is loaded, and what gives way to it.

use super::decision_state::DecisionState;
use super::free_room::{adapters_free, free_mb};
use super::pending_orders::{RunnerState, is_adapter};
use crate::kernel::ids::Name;
use crate::kernel::time::Span;

const MAX_RUNS_TO_UNLOAD: u64 = 3;
const INTERRUPTED_RUN_MS: f64 = 1500.0;
const LAST_HOLDER_MS: f64 = 100.0;
const REUSE_WINDOW_S: f64 = 5.0;
const RELOAD_MS: f64 = 2000.0;
const UNLOAD_MS: f64 = 40.0;
/// What it costs to load a model where the others have all of the runner's easy load under way.
const FULL_LOAD_MS: f64 = 800.0;
/// How long a name stays where it was just loaded.
pub const MIN_RESIDENCE: Span = Span::ms(2000);

/// What a load costs at one runner, whatever is loaded.
pub struct RunnerCosts<'a> {
    free_mb: u64,
    free_adapter_places: u64,
    held_adapters: u64,
    adapter_churn_ms: f64,
    /// What may give way, with the waiting that its absence costs in ms; the cheapest first.
    unloadable: Vec<(f64, &'a Name)>,
}

/// Where a load goes, what is unloaded for it, and the time and the loss that are estimated.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The runner.
    pub runner: Name,
    /// What gives way, in this order.
    pub unloads: Vec<Name>,
    /// The estimated time until the name is held, with all losses counted as time.
    pub estimated_ms: u64,
    /// The part of `ms` that is lost by the unloads.
    pub loss_ms: u64,
}

/// What a load costs at the runner at one place.
struct ScoredRunner<'a> {
    index: usize,
    unloads: Vec<&'a Name>,
    estimated_ms: u64,
    loss_ms: u64,
}

impl<'a> DecisionState<'a> {
    fn adapter_request_rate(&self, o: &RunnerState, base: &Name) -> f64 {
        let on = o.report.holds.iter().filter(|n| self.config().adapter(n).is_some_and(|a| a.model == *base));
        on.filter_map(|n| self.usage.by_name.get(n)).map(|u| u.requests_per_s).sum()
    }

    fn must_stay(&self, runner: &Name, name: &Name) -> bool {
        let new = self.placement.resident_since.get(runner).and_then(|names| names.get(name));
        new.is_some_and(|t| self.now.since(*t) < MIN_RESIDENCE) || self.is_in_flight(runner, name)
    }

    fn is_in_flight(&self, runner: &Name, name: &Name) -> bool {
        self.pending.contains(runner, name)
    }

    /// What it costs, in ms of waiting, that `name` leaves this runner.
    fn unload_loss(&self, o: &RunnerState, name: &Name) -> Option<f64> {
        let runner = &o.runner.instance;
        if self.must_stay(runner, name) {
            return None;
        }
        let runs = match self.config().base_of(name) {
            Some(_) => 0,
            None => o.report.runs_of(name).max(self.usage.active_requests(runner, name)),
        };
        if runs > MAX_RUNS_TO_UNLOAD {
            return None;
        }
        let u = self.usage.by_name.get(name).copied().unwrap_or_default();
        let here = u64::from(!o.runner.leaving);
        let others = self.holder_counts.get(name).copied().unwrap_or(0).saturating_sub(here);
        let mut loss = runs as f64 * INTERRUPTED_RUN_MS + self.adapter_request_rate(o, name) * 100.0;
        if others == 0 {
            loss += LAST_HOLDER_MS;
            let fresh = 1.0 / (1.0 + u.idle_for.0 as f64 / 4e6);
            loss += RELOAD_MS * ((u.requests_per_s * REUSE_WINDOW_S).min(1.0) * 0.7 + fresh * 0.3);
            loss += if self.placement.waiting_requests(name) > 0 { RELOAD_MS } else { 0.0 };
        } else {
            loss += u.requests_per_s * 50.0 / others as f64;
            let demand = u.active_requests + self.placement.waiting_requests(name);
            let service = self.config().service(&o.runner.service);
            if service.is_some_and(|s| self.replicas().needs_every_holder(name, demand, s)) {
                loss += RELOAD_MS;
            }
        }
        Some(loss)
    }

    fn unloadable(&self, o: &'a RunnerState) -> Vec<(f64, &'a Name)> {
        let rows = o.report.holds.iter().filter_map(|n| Some((self.unload_loss(o, n)?, n)));
        let mut rows: Vec<(f64, &Name)> = rows.collect();
        rows.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
        rows
    }

    fn costs_at(&self, index: usize) -> &RunnerCosts<'a> {
        self.runner_costs[index].get_or_init(|| {
            let (o, c) = (&self.runners[index], self.config());
            RunnerCosts {
                free_mb: free_mb(c, o, &self.pending),
                free_adapter_places: adapters_free(c, o, &self.pending),
                held_adapters: o.report.holds.iter().filter(|n| is_adapter(c, n)).count() as u64,
                adapter_churn_ms: self.adapter_churn(o),
                unloadable: self.unloadable(o),
            }
        })
    }

    fn unloads_for<'c>(
        &self,
        o: &RunnerState,
        costs: &'c RunnerCosts<'a>,
        want: &Name,
        need: u64,
    ) -> Option<(Vec<&'a Name>, f64)> {
        let tuned = is_adapter(self.config(), want);
        let base = self.config().adapter(want).map(|a| &a.model);
        let rows = || costs.unloadable.iter().filter(|r| Some(r.1) != base);
        let (mut free, mut names, mut loss) = (costs.free_mb, Vec::new(), 0.0);
        let mut drop = |cost: f64, name: &'a Name| {
            loss += cost + UNLOAD_MS;
            names.push(name);
            self.freed_mb(o, name)
        };
        if tuned && costs.free_adapter_places == 0 {
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

    fn freed_mb(&self, o: &RunnerState, name: &Name) -> u64 {
        let c = self.config();
        let mine = |n: &&Name| *n == name || c.base_of(n) == Some(name);
        o.report.holds.iter().filter(mine).filter_map(|n| c.min_mb(n)).sum()
    }

    fn score(&self, index: usize, want: &Name) -> Option<ScoredRunner<'a>> {
        let (o, c) = (&self.runners[index], self.config());
        let runner = &o.runner.instance;
        if self.is_unavailable(runner) || o.report.has(want) {
            return None;
        }
        if self.is_in_flight(runner, want) || self.pending.was_refused(self.now, runner, want) {
            return None;
        }
        if let Some(a) = c.adapter(want)
            && (!o.report.has(&a.model) || self.pending.is_unloading(&o.report, &a.model))
        {
            return None;
        }
        self.placement.search.evaluated.set(self.placement.search.evaluated.get() + 1);
        let costs = self.costs_at(index);
        let (need, tuned) = (c.weight(want)?, is_adapter(c, want));
        let fits = costs.free_mb >= need && (!tuned || costs.free_adapter_places > 0);
        let (unloads, loss) = if fits { (vec![], 0.0) } else { self.unloads_for(o, costs, want, need)? };
        let kept = !tuned && self.placement.is_cached(self.slice, runner, want);
        let load = if kept { c.store.kept_ms } else { c.load_ms(want) };
        let crowd = o.report.running * 5
            + if tuned {
                costs.held_adapters * 10
            } else {
                (self.replicas().load_ratio(index).min(1.0) * FULL_LOAD_MS) as u64
            };
        let churn = if tuned { 0.0 } else { costs.adapter_churn_ms };
        let ms = load + crowd + loss as u64 + churn as u64;
        Some(ScoredRunner { index, unloads, estimated_ms: ms, loss_ms: loss as u64 })
    }

    /// Adapters of a base that is in use can't be loaded while a model is.
    fn adapter_churn(&self, o: &RunnerState) -> f64 {
        let all = self
            .models_with_adapters
            .get_or_init(|| self.config().adapters.iter().map(|a| &a.model).collect());
        let bases = o.report.holds.iter().filter(|n| all.contains(n));
        let rates = bases.filter_map(|n| self.usage.by_name.get(n)).map(|u| u.requests_per_s);
        (rates.sum::<f64>() * 100.0).min(800.0)
    }

    /// The runner of the service where `want` is held soonest with the least loss. Without `from_store` only those
    /// count that load it from their own disk, unless such loads don't ask the store at all.
    pub fn choose(&self, service: &Name, want: &Name, from_store: bool) -> Option<Choice> {
        let free = is_adapter(self.config(), want) && !self.config().store.adapters;
        let indexes = match self.config().adapter(want) {
            Some(adapter) if from_store || free => self.holder_indexes(&adapter.model),
            None if from_store => &self.available,
            _ => self.cached_indexes(want),
        };
        let mine = indexes.iter().filter(|k| self.runners[**k].runner.service == *service);
        let rows = mine.filter_map(|k| self.score(*k, want));
        let runner = |row: &ScoredRunner| &self.runners[row.index].runner.instance;
        let best = rows.min_by(|a, b| (a.estimated_ms, runner(a)).cmp(&(b.estimated_ms, runner(b))))?;
        Some(Choice {
            runner: runner(&best).clone(),
            unloads: best.unloads.into_iter().cloned().collect(),
            estimated_ms: best.estimated_ms,
            loss_ms: best.loss_ms,
        })
    }
}
