use super::choose::{Board, Choice, SETTLED};
use super::duty::Placement;
use super::flights::Offer;
use super::uses::Uses;
use crate::fleet::config::Class;
use crate::fleet::holdings::Want;
use crate::fleet::slice::DutySlice;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use std::collections::BTreeMap;

const WANTED: Span = Span::ms(1500);
const LOSS: u64 = 1000;
const SPREAD_LOSS: u64 = 1700;
const EASY: u64 = 10;
const COPIES: usize = 4;
const BLIND: Span = Span::ms(400);

pub struct Wanted {
    pub service: Name,
    pub class: Class,
    pub since: Time,
    rows: BTreeMap<NodeId, (Time, u64)>,
}

impl Wanted {
    pub fn count(&self) -> u64 {
        self.rows.values().map(|r| r.1).sum()
    }
}

impl Placement {
    pub fn wanted(&mut self, from: NodeId, want: &Want, now: Time) {
        let new =
            Wanted { service: want.service.clone(), class: want.class, since: now, rows: BTreeMap::new() };
        let row = self.wants.entry(want.name.clone()).or_insert(new);
        row.class = row.class.min(want.class);
        row.rows.insert(from, (now, want.count));
    }

    fn gather(&mut self, now: Time) {
        for w in self.wants.values_mut() {
            w.rows.retain(|_, r| now.since(r.0) < WANTED);
        }
        self.wants.retain(|_, w| !w.rows.is_empty());
    }

    pub fn quick(&mut self, ctx: &mut Context) {
        self.gather(ctx.now);
        let Some(s) = self.slice.clone() else { return };
        if !self.may_order(ctx.now) {
            return;
        }
        self.run_jobs(&s, ctx);
        if !s.config.placement.auto || self.wants.is_empty() {
            return;
        }
        let mut names: Vec<(Class, Time, Name)> =
            self.wants.iter().map(|(n, w)| (w.class, w.since, n.clone())).collect();
        names.sort();
        for (_, _, name) in names {
            self.meet_quick(&name, &s, ctx);
        }
    }

    fn meet_quick(&mut self, name: &Name, s: &DutySlice, ctx: &mut Context) {
        if s.config.weight(name).is_none() || self.coming(name, s) {
            return;
        }
        let offers = self.offers(ctx.now);
        if self.served(&offers, name, s) {
            return;
        }
        let Some(service) = self.wants.get(name).map(|w| w.service.clone()) else { return };
        let held = offers.iter().any(|o| o.report.has(name) && !o.runner.leaving);
        let Some(choice) = self.choose(&offers, &service, name, s, ctx.now) else { return };
        let since = self.wants.get(name).map_or(ctx.now, |w| w.since);
        let blind = self.used.is_empty() && ctx.now.since(since) < BLIND;
        if blind && !choice.unloads.is_empty() {
            return;
        }
        if held && choice.loss > LOSS {
            return;
        }
        self.begin(name, choice, "is wanted and no runner can take it", ctx);
        self.run_jobs(s, ctx);
    }

    pub fn coming(&self, name: &Name, s: &DutySlice) -> bool {
        let planned = s.plans.iter().filter(|p| p.live()).flat_map(|p| p.steps()).any(|x| x.wants(name));
        let moved = s.moves.iter().any(|m| m.live() && m.want == *name);
        self.flights.loading(name) || self.jobs.values().any(|j| j.wants(name)) || planned || moved
    }

    fn served(&self, offers: &[Offer], name: &Name, s: &DutySlice) -> bool {
        let base = s.config.adapter(name).map(|a| a.model.clone());
        offers.iter().any(|o| {
            let open = |n: &Name| {
                o.report.has(n) && !self.push.closing.get(&o.runner.instance).is_some_and(|c| c.contains(n))
            };
            let free = o.report.running + o.report.waiting < o.report.slots;
            !o.runner.leaving && free && open(name) && base.as_ref().is_none_or(open)
        })
    }

    pub fn choose(
        &self,
        offers: &[Offer],
        service: &Name,
        name: &Name,
        s: &DutySlice,
        now: Time,
    ) -> Option<Choice> {
        let uses = self.uses(now);
        let mut told: BTreeMap<(&Name, &Name), u64> = BTreeMap::new();
        for (r, n, k) in self.tells.values().flat_map(|t| &t.1.active) {
            *told.entry((r, n)).or_default() += k;
        }
        let planned = self.busy(s, now);
        let counted = self.counted(s, now);
        let board = Board {
            config: &s.config,
            offers,
            flights: &counted,
            uses: &uses,
            now,
            busy: &|r| self.jobs.contains_key(r) || self.flights.open(r) || planned.contains(r),
            stays: &|r, n| {
                let new = self.settled.get(&(r.clone(), n.clone()));
                new.is_some_and(|t| now.since(*t) < SETTLED) || self.flights.has(r, n)
            },
            kept: &|r, n| self.is_kept(s, r, n),
            runs: &|r, n| told.get(&(r, n)).copied().unwrap_or(0),
            copies: &|n| self.copies(n, &uses, s),
        };
        board.choose(service, name)
    }

    /// How many runners should hold a model for what runs and waits for it.
    pub fn copies(&self, name: &Name, uses: &Uses, s: &DutySlice) -> u64 {
        let Some(u) = uses.get(name) else { return 1 };
        let Some(service) = s.config.services.iter().find(|x| x.models.contains(name)) else { return 1 };
        let rows = || self.reports.values().map(|r| &r.1).filter(|r| r.has(name));
        let (runs, tokens) = rows().fold((0, 0), |a, r| (a.0 + r.running, a.1 + r.tokens));
        let free = rows().any(|r| r.running + r.waiting < service.slots);
        let load = u.runs.min(runs) + if free { 0 } else { u.waits };
        let each = tokens.checked_div(runs).unwrap_or(0);
        let by_tokens = if each > 0 && service.tokens > 0 { service.tokens / each } else { u64::MAX };
        let most = service.slots.min(by_tokens);
        let able = (most / 4).max((most * 3 / 4).min(EASY)).max(1);
        let tuned = s.config.adapters.iter().filter(|a| a.model == *name);
        let tuned = tuned.filter(|a| uses.get(&a.name).is_some_and(|u| u.per_s > 0.0)).count() as u64;
        let places = if service.places > 0 { tuned.div_ceil(service.places) } else { 0 };
        let mates = s.runners.iter().filter(|r| r.service == service.name && !r.leaving).count() as u64;
        load.div_ceil(able).max(places).min(mates * 2 / 3).max(1)
    }

    /// More copies of what is hot, where that costs little.
    pub fn spread(&mut self, s: &DutySlice, ctx: &mut Context) {
        if !s.config.placement.auto || !self.may_order(ctx.now) || self.jobs.len() >= COPIES {
            return;
        }
        if self.flights.pacer.left(&s.config.store) < 2.0 {
            return;
        }
        let uses = self.uses(ctx.now);
        let models = s.config.models.iter().filter_map(|m| Some((uses.get(&m.name)?, &m.name)));
        let Some((_, name)) = models
            .filter(|(u, n)| u.runs > 0 && self.held_by(n) > 0)
            .filter(|(_, n)| self.held_by(n) + self.under_way(n) < self.copies(n, &uses, s))
            .max_by_key(|(u, n)| u.runs / (self.held_by(n) + self.under_way(n)))
        else {
            return;
        };
        let Some(service) = s.config.services.iter().find(|x| x.models.contains(name)) else { return };
        let offers = self.offers(ctx.now);
        let Some(choice) = self.choose(&offers, &service.name, name, s, ctx.now) else { return };
        if choice.loss > SPREAD_LOSS {
            return;
        }
        let name = name.clone();
        self.begin(&name, choice, "is hot", ctx);
        self.run_jobs(s, ctx);
    }

    fn under_way(&self, name: &Name) -> u64 {
        self.jobs.values().filter(|j| j.wants(name)).count() as u64
    }

    fn held_by(&self, name: &Name) -> u64 {
        self.reports.values().filter(|r| r.1.has(name) && !r.1.leaving).count() as u64
    }
}
