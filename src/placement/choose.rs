use super::flights::{Flights, Offer, is_adapter};
use super::room::{adapters_free, fits, free_mb};
use super::uses::Uses;
use crate::fleet::config::FleetConfig;
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};

const FEW: u64 = 3;
const RUN_MS: f64 = 1500.0;
const LAST_MS: f64 = 100.0;
const SOON_S: f64 = 5.0;
const AGAIN_MS: f64 = 2000.0;
const UNLOAD_MS: f64 = 40.0;

/// What a decision for one wanted name is made from.
pub struct Board<'a> {
    pub config: &'a FleetConfig,
    pub offers: &'a [Offer],
    pub flights: &'a Flights,
    pub uses: &'a Uses,
    pub now: Time,
    /// No order may be sent there now.
    pub busy: &'a dyn Fn(&Name) -> bool,
    /// (runner, name) that must stay: just loaded, waited for, or part of a plan.
    pub stays: &'a dyn Fn(&Name, &Name) -> bool,
    pub kept: &'a dyn Fn(&Name, &Name) -> bool,
    /// Runs that routers tell of; a report may be older.
    pub runs: &'a dyn Fn(&Name, &Name) -> u64,
    pub copies: &'a dyn Fn(&Name) -> u64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    pub runner: Name,
    pub unloads: Vec<Name>,
    pub ms: u64,
    pub loss: u64,
}

impl Board<'_> {
    fn holders(&self, name: &Name, but: &Name) -> u64 {
        let has = |o: &&Offer| o.runner.instance != *but && !o.runner.leaving && o.report.has(name);
        self.offers.iter().filter(has).count() as u64
    }

    fn tuned(&self, o: &Offer, base: &Name) -> f64 {
        let on = o.report.holds.iter().filter(|n| self.config.adapter(n).is_some_and(|a| a.model == *base));
        on.filter_map(|n| self.uses.get(n)).map(|u| u.per_s).sum()
    }

    /// What it costs, in ms of waiting, that `name` leaves this runner.
    fn loss(&self, o: &Offer, name: &Name) -> Option<f64> {
        if (self.stays)(&o.runner.instance, name) {
            return None;
        }
        let runs = match self.config.adapter(name) {
            Some(_) => 0,
            None => o.report.runs_of(name).max((self.runs)(&o.runner.instance, name)),
        };
        if runs > FEW {
            return None;
        }
        let u = self.uses.get(name).copied().unwrap_or_default();
        let others = self.holders(name, &o.runner.instance);
        let mut loss = runs as f64 * RUN_MS + self.tuned(o, name) * 100.0;
        if others == 0 {
            loss += LAST_MS;
            let fresh = 1.0 / (1.0 + u.idle.0 as f64 / 4e6);
            loss += AGAIN_MS * ((u.per_s * SOON_S).min(1.0) * 0.7 + fresh * 0.3);
            loss += if u.waits > 0 { AGAIN_MS } else { 0.0 };
        } else {
            loss += u.per_s * 50.0 / others as f64;
            if others < (self.copies)(name) {
                loss += AGAIN_MS;
            }
        }
        Some(loss)
    }

    fn unloads(&self, o: &Offer, want: &Name) -> Option<(Vec<Name>, f64)> {
        let tuned = is_adapter(self.config, want);
        let base = self.config.adapter(want).map(|a| &a.model);
        let rows = o.report.holds.iter().filter(|n| Some(*n) != base);
        let mut rows: Vec<(f64, &Name)> = rows.filter_map(|n| Some((self.loss(o, n)?, n))).collect();
        rows.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
        let need = self.config.weight(want)?;
        let mut free = free_mb(self.config, o, self.flights);
        let (mut names, mut loss) = (Vec::new(), 0.0);
        let mut drop = |cost: f64, name: &Name| {
            loss += cost + UNLOAD_MS;
            names.push(name.clone());
            self.weight(o, name)
        };
        if tuned && adapters_free(self.config, o, self.flights) == 0 {
            let at = rows.iter().position(|r| is_adapter(self.config, r.1))?;
            let (cost, name) = rows.remove(at);
            free += drop(cost, name);
        }
        for (cost, name) in rows.into_iter().filter(|r| !is_adapter(self.config, r.1)) {
            if free >= need {
                break;
            }
            free += drop(cost, name);
        }
        (free >= need).then_some((names, loss))
    }

    fn weight(&self, o: &Offer, name: &Name) -> u64 {
        let mine = |n: &&Name| *n == name || self.config.adapter(n).is_some_and(|a| a.model == *name);
        o.report.holds.iter().filter(mine).filter_map(|n| self.config.weight(n)).sum()
    }

    fn weigh(&self, o: &Offer, want: &Name) -> Option<Choice> {
        let runner = &o.runner.instance;
        let c = self.config;
        if o.runner.leaving || (self.busy)(runner) || o.report.has(want) {
            return None;
        }
        if self.flights.has(runner, want) || self.flights.was_refused(self.now, runner, want) {
            return None;
        }
        if let Some(a) = c.adapter(want)
            && (!o.report.has(&a.model) || self.flights.given_up(&o.report, &a.model))
        {
            return None;
        }
        let (unloads, loss) =
            if fits(c, o, self.flights, want) { (vec![], 0.0) } else { self.unloads(o, want)? };
        let tuned = is_adapter(c, want);
        let load = if !tuned && (self.kept)(runner, want) { c.store.kept_ms } else { c.load_ms(want) };
        let crowd = o.report.running * 5 + if tuned { self.adapters(o) * 10 } else { 0 };
        let churn = if tuned { 0.0 } else { self.churn(o) };
        let ms = load + crowd + loss as u64 + churn as u64;
        Some(Choice { runner: runner.clone(), unloads, ms, loss: loss as u64 })
    }

    fn adapters(&self, o: &Offer) -> u64 {
        o.report.holds.iter().filter(|n| is_adapter(self.config, n)).count() as u64
    }

    /// Adapters of a base that is in use can't be loaded while a model is.
    fn churn(&self, o: &Offer) -> f64 {
        let bases = o.report.holds.iter().filter(|n| self.config.adapters.iter().any(|a| a.model == **n));
        let rates = bases.filter_map(|n| self.uses.get(n)).map(|u| u.per_s);
        (rates.sum::<f64>() * 100.0).min(800.0)
    }

    pub fn choose(&self, service: &Name, want: &Name) -> Option<Choice> {
        let mine = self.offers.iter().filter(|o| o.runner.service == *service);
        mine.filter_map(|o| self.weigh(o, want)).min_by_key(|c| (c.ms, c.runner.clone()))
    }
}

pub const SETTLED: Span = Span::ms(2000);
