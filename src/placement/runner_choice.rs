//! Where a wanted model or adapter is loaded, and what gives way to it.

use super::decision_state::DecisionState;
use super::free_room::{adapters_free, free_mb};
use super::pending_orders::{RunnerState, is_adapter};
use crate::kernel::ids::Name;
use crate::kernel::time::Span;

const FEW: u64 = 3;
const RUN_MS: f64 = 1500.0;
const LAST_MS: f64 = 100.0;
const SOON_S: f64 = 5.0;
const AGAIN_MS: f64 = 2000.0;
const UNLOAD_MS: f64 = 40.0;
/// What it costs to load a model where the others have all of the runner's easy load under way.
const BUSY_MS: f64 = 800.0;
/// How long a name stays where it was just loaded.
pub const SETTLED: Span = Span::ms(2000);

/// What a load costs at one runner, whatever is loaded.
pub struct RunnerCosts<'a> {
    free_mb: u64,
    free_places: u64,
    adapters: u64,
    churn: f64,
    /// What may give way, with the waiting that its absence costs in ms; the cheapest first.
    droppable: Vec<(f64, &'a Name)>,
}

/// Where a load goes, what is unloaded for it, and the time and the loss that are estimated.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The runner.
    pub runner: Name,
    /// What gives way, in this order.
    pub unloads: Vec<Name>,
    /// The estimated time until the name is held, with all losses counted as time.
    pub ms: u64,
    /// The part of `ms` that is lost by the unloads.
    pub loss: u64,
}

/// What a load costs at the runner at one place.
struct ScoredRunner<'a> {
    place: usize,
    unloads: Vec<&'a Name>,
    ms: u64,
    loss: u64,
}

impl<'a> DecisionState<'a> {
    fn tuned(&self, o: &RunnerState, base: &Name) -> f64 {
        let on = o.report.holds.iter().filter(|n| self.config().adapter(n).is_some_and(|a| a.model == *base));
        on.filter_map(|n| self.usage.names.get(n)).map(|u| u.per_s).sum()
    }

    fn stays(&self, runner: &Name, name: &Name) -> bool {
        let new = self.placement.settled.get(runner).and_then(|names| names.get(name));
        new.is_some_and(|t| self.now.since(*t) < SETTLED) || self.is_in_flight(runner, name)
    }

    fn is_in_flight(&self, runner: &Name, name: &Name) -> bool {
        self.flights.has(runner, name)
    }

    /// What it costs, in ms of waiting, that `name` leaves this runner.
    fn loss(&self, o: &RunnerState, name: &Name) -> Option<f64> {
        let runner = &o.runner.instance;
        if self.stays(runner, name) {
            return None;
        }
        let runs = match self.config().base_of(name) {
            Some(_) => 0,
            None => o.report.runs_of(name).max(self.usage.runs(runner, name)),
        };
        if runs > FEW {
            return None;
        }
        let u = self.usage.names.get(name).copied().unwrap_or_default();
        let here = u64::from(!o.runner.leaving);
        let others = self.holders.get(name).copied().unwrap_or(0).saturating_sub(here);
        let mut loss = runs as f64 * RUN_MS + self.tuned(o, name) * 100.0;
        if others == 0 {
            loss += LAST_MS;
            let fresh = 1.0 / (1.0 + u.idle.0 as f64 / 4e6);
            loss += AGAIN_MS * ((u.per_s * SOON_S).min(1.0) * 0.7 + fresh * 0.3);
            loss += if self.placement.waits(name) > 0 { AGAIN_MS } else { 0.0 };
        } else {
            loss += u.per_s * 50.0 / others as f64;
            let demand = u.runs + self.placement.waits(name);
            let service = self.config().service(&o.runner.service);
            if service.is_some_and(|s| self.copies().misses_one(name, demand, s)) {
                loss += AGAIN_MS;
            }
        }
        Some(loss)
    }

    fn droppable(&self, o: &'a RunnerState) -> Vec<(f64, &'a Name)> {
        let rows = o.report.holds.iter().filter_map(|n| Some((self.loss(o, n)?, n)));
        let mut rows: Vec<(f64, &Name)> = rows.collect();
        rows.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
        rows
    }

    fn costs(&self, place: usize) -> &RunnerCosts<'a> {
        self.costs[place].get_or_init(|| {
            let (o, c) = (&self.offers[place], self.config());
            RunnerCosts {
                free_mb: free_mb(c, o, &self.flights),
                free_places: adapters_free(c, o, &self.flights),
                adapters: o.report.holds.iter().filter(|n| is_adapter(c, n)).count() as u64,
                churn: self.churn(o),
                droppable: self.droppable(o),
            }
        })
    }

    fn unloads<'c>(
        &self,
        o: &RunnerState,
        costs: &'c RunnerCosts<'a>,
        want: &Name,
        need: u64,
    ) -> Option<(Vec<&'a Name>, f64)> {
        let tuned = is_adapter(self.config(), want);
        let base = self.config().adapter(want).map(|a| &a.model);
        let rows = || costs.droppable.iter().filter(|r| Some(r.1) != base);
        let (mut free, mut names, mut loss) = (costs.free_mb, Vec::new(), 0.0);
        let mut drop = |cost: f64, name: &'a Name| {
            loss += cost + UNLOAD_MS;
            names.push(name);
            self.weight(o, name)
        };
        if tuned && costs.free_places == 0 {
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

    fn weight(&self, o: &RunnerState, name: &Name) -> u64 {
        let c = self.config();
        let mine = |n: &&Name| *n == name || c.base_of(n) == Some(name);
        o.report.holds.iter().filter(mine).filter_map(|n| c.min_mb(n)).sum()
    }

    fn weigh(&self, place: usize, want: &Name) -> Option<ScoredRunner<'a>> {
        let (o, c) = (&self.offers[place], self.config());
        let runner = &o.runner.instance;
        if self.is_busy(runner) || o.report.has(want) {
            return None;
        }
        if self.is_in_flight(runner, want) || self.flights.was_refused(self.now, runner, want) {
            return None;
        }
        if let Some(a) = c.adapter(want)
            && (!o.report.has(&a.model) || self.flights.given_up(&o.report, &a.model))
        {
            return None;
        }
        self.placement.work.weighed.set(self.placement.work.weighed.get() + 1);
        let costs = self.costs(place);
        let (need, tuned) = (c.weight(want)?, is_adapter(c, want));
        let fits = costs.free_mb >= need && (!tuned || costs.free_places > 0);
        let (unloads, loss) = if fits { (vec![], 0.0) } else { self.unloads(o, costs, want, need)? };
        let kept = !tuned && self.placement.is_kept(self.fleet, runner, want);
        let load = if kept { c.store.kept_ms } else { c.load_ms(want) };
        let crowd = o.report.running * 5
            + if tuned { costs.adapters * 10 } else { (self.copies().busy(place).min(1.0) * BUSY_MS) as u64 };
        let churn = if tuned { 0.0 } else { costs.churn };
        let ms = load + crowd + loss as u64 + churn as u64;
        Some(ScoredRunner { place, unloads, ms, loss: loss as u64 })
    }

    /// Adapters of a base that is in use can't be loaded while a model is.
    fn churn(&self, o: &RunnerState) -> f64 {
        let all = self.bases.get_or_init(|| self.config().adapters.iter().map(|a| &a.model).collect());
        let bases = o.report.holds.iter().filter(|n| all.contains(n));
        let rates = bases.filter_map(|n| self.usage.names.get(n)).map(|u| u.per_s);
        (rates.sum::<f64>() * 100.0).min(800.0)
    }

    /// The runner of the service where `want` is held soonest with the least loss. Without `from_store` only those
    /// count that load it from their own disk, unless such loads don't ask the store at all.
    pub fn choose(&self, service: &Name, want: &Name, from_store: bool) -> Option<Choice> {
        let free = is_adapter(self.config(), want) && !self.config().store.adapters;
        let places = match self.config().adapter(want) {
            Some(adapter) if from_store || free => self.held_at(&adapter.model),
            None if from_store => &self.open,
            _ => self.keepers(want),
        };
        let mine = places.iter().filter(|k| self.offers[**k].runner.service == *service);
        let rows = mine.filter_map(|k| self.weigh(*k, want));
        let runner = |row: &ScoredRunner| &self.offers[row.place].runner.instance;
        let best = rows.min_by(|a, b| (a.ms, runner(a)).cmp(&(b.ms, runner(b))))?;
        Some(Choice {
            runner: runner(&best).clone(),
            unloads: best.unloads.into_iter().cloned().collect(),
            ms: best.ms,
            loss: best.loss,
        })
    }
}
