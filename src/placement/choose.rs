//! Where a wanted model or adapter is loaded, and what gives way to it.

use super::board::Board;
use super::flights::{Offer, is_adapter};
use super::room::{adapters_free, free_mb};
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
    /// What may give way, the cheapest first.
    droppable: Vec<Droppable<'a>>,
}

/// A name that may give way at a runner.
struct Droppable<'a> {
    name: &'a Name,
    /// The waiting that its absence costs, in ms.
    cost: f64,
    is_adapter: bool,
    /// What is free without it and its adapters.
    frees_mb: u64,
}

/// What is to be loaded.
struct Load<'b> {
    name: &'b Name,
    base: Option<&'b Name>,
    need_mb: u64,
    load_ms: u64,
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
struct Weighed<'a> {
    place: usize,
    unloads: Vec<&'a Name>,
    ms: u64,
    loss: u64,
}

impl<'a> Board<'a> {
    fn tuned(&self, o: &Offer, base: &Name) -> f64 {
        let on = o.report.holds.iter().filter(|n| self.config().adapter(n).is_some_and(|a| a.model == *base));
        on.filter_map(|n| self.usage.names.get(n)).map(|u| u.per_s).sum()
    }

    fn stays(&self, runner: &Name, name: &Name) -> bool {
        let new = self.placement.settled.get(runner).and_then(|names| names.get(name));
        new.is_some_and(|t| self.now.since(*t) < SETTLED) || self.is_in_flight(runner, name)
    }

    fn is_in_flight(&self, runner: &Name, name: &Name) -> bool {
        self.in_flight.get(runner).is_some_and(|names| names.contains(name))
    }

    /// What it costs, in ms of waiting, that `name` leaves this runner.
    fn loss(&self, o: &Offer, name: &Name) -> Option<f64> {
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

    fn droppable(&self, o: &'a Offer) -> Vec<Droppable<'a>> {
        let row = |name: &'a Name| {
            let cost = self.loss(o, name)?;
            let (is_adapter, frees_mb) = (is_adapter(self.config(), name), self.weight(o, name));
            Some(Droppable { name, cost, is_adapter, frees_mb })
        };
        let mut rows: Vec<Droppable> = o.report.holds.iter().filter_map(row).collect();
        rows.sort_by(|a, b| a.cost.total_cmp(&b.cost).then(a.name.cmp(b.name)));
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

    fn unloads(costs: &RunnerCosts<'a>, load: &Load) -> Option<(Vec<&'a Name>, f64)> {
        let rows = || costs.droppable.iter().filter(|row| Some(row.name) != load.base);
        let (mut free, mut names, mut loss) = (costs.free_mb, Vec::new(), 0.0);
        let mut drop = |row: &Droppable<'a>| {
            loss += row.cost + UNLOAD_MS;
            names.push(row.name);
            row.frees_mb
        };
        if load.base.is_some() && costs.free_places == 0 {
            free += drop(rows().find(|row| row.is_adapter)?);
        }
        for row in rows().filter(|row| !row.is_adapter) {
            if free >= load.need_mb {
                break;
            }
            free += drop(row);
        }
        (free >= load.need_mb).then_some((names, loss))
    }

    fn weight(&self, o: &Offer, name: &Name) -> u64 {
        let c = self.config();
        let mine = |n: &&Name| *n == name || c.base_of(n) == Some(name);
        o.report.holds.iter().filter(mine).filter_map(|n| c.least_mb(n)).sum()
    }

    fn weigh(&self, place: usize, load: &Load) -> Option<Weighed<'a>> {
        let o = &self.offers[place];
        let (runner, want) = (&o.runner.instance, load.name);
        if self.is_busy(runner) || o.report.has(want) {
            return None;
        }
        if self.is_in_flight(runner, want) || self.flights.was_refused(self.now, runner, want) {
            return None;
        }
        if load.base.is_some_and(|base| !o.report.has(base) || self.flights.given_up(&o.report, base)) {
            return None;
        }
        self.placement.work.weighed.set(self.placement.work.weighed.get() + 1);
        let (costs, tuned) = (self.costs(place), load.base.is_some());
        let fits = costs.free_mb >= load.need_mb && (!tuned || costs.free_places > 0);
        let (unloads, loss) = if fits { (vec![], 0.0) } else { Self::unloads(costs, load)? };
        let kept = !tuned && self.placement.is_kept(self.fleet, runner, want);
        let load_ms = if kept { self.config().store.kept_ms } else { load.load_ms };
        let crowd = o.report.running * 5
            + if tuned { costs.adapters * 10 } else { (self.copies().busy(place).min(1.0) * BUSY_MS) as u64 };
        let churn = if tuned { 0.0 } else { costs.churn };
        let ms = load_ms + crowd + loss as u64 + churn as u64;
        Some(Weighed { place, unloads, ms, loss: loss as u64 })
    }

    /// Adapters of a base that is in use can't be loaded while a model is.
    fn churn(&self, o: &Offer) -> f64 {
        let all = self.bases.get_or_init(|| self.config().adapters.iter().map(|a| &a.model).collect());
        let bases = o.report.holds.iter().filter(|n| all.contains(n));
        let rates = bases.filter_map(|n| self.usage.names.get(n)).map(|u| u.per_s);
        (rates.sum::<f64>() * 100.0).min(800.0)
    }

    /// The runner of the service where `want` is held soonest with the least loss. Without `from_store` only those
    /// count that load it from their own disk, unless such loads don't ask the store at all.
    pub fn choose(&self, service: &Name, want: &Name, from_store: bool) -> Option<Choice> {
        let config = self.config();
        let base = config.adapter(want).map(|adapter| &adapter.model);
        let load = Load { name: want, base, need_mb: config.weight(want)?, load_ms: config.load_ms(want) };
        let places = match base {
            Some(base) if from_store || !config.store.adapters => self.held_at(base),
            None if from_store => &self.open,
            _ => self.keepers(want),
        };
        let mine = places.iter().filter(|k| self.offers[**k].runner.service == *service);
        let rows = mine.filter_map(|k| self.weigh(*k, &load));
        let runner = |row: &Weighed| &self.offers[row.place].runner.instance;
        let best = rows.min_by(|a, b| (a.ms, runner(a)).cmp(&(b.ms, runner(b))))?;
        Some(Choice {
            runner: runner(&best).clone(),
            unloads: best.unloads.into_iter().cloned().collect(),
            ms: best.ms,
            loss: best.loss,
        })
    }
}
