//! Small decisions for what requests wait for.

use super::board::Board;
use super::choose::Choice;
use super::duty::Placement;
use super::uses::Uses;
use crate::fleet::config::Class;
use crate::fleet::holdings::Want;
use crate::fleet::runner::Report;
use crate::fleet::slice::DutySlice;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use std::cell::Cell;
use std::collections::BTreeMap;

const WANTED: Span = Span::ms(1500);
const LOSS: u64 = 1000;
const SPREAD_LOSS: u64 = 1700;
const EASY: u64 = 10;
const COPIES: usize = 4;
const BLIND: Span = Span::ms(400);
/// Up to this many runners are weighed on every event, without a pause between two rounds.
const RUNNERS_WEIGHED_AT_ONCE: usize = 32;
/// The shortest time between two rounds of decisions over more runners: this long for each of them.
const ROUND_PER_RUNNER: Span = Span::ms(1);
/// The longest time between two rounds while something is wanted.
const ROUND_AT_REST: Span = Span::ms(100);

/// How often decisions were looked for, for the status page.
#[derive(Default)]
pub struct Work {
    /// Rounds over all that is wanted.
    pub rounds: u64,
    /// Runners that were weighed for a wanted name.
    pub weighed: Cell<u64>,
    last_round: Time,
    /// Something came in since the last round.
    pub stirred: bool,
}

/// The reports that show a name as held.
pub type Holdings<'a> = BTreeMap<&'a Name, Vec<&'a Report>>;

/// A name that requests wait for.
pub struct Wanted {
    /// Its service.
    pub service: Name,
    /// The most urgent class that waits.
    pub class: Class,
    /// Since when.
    pub since: Time,
    rows: BTreeMap<NodeId, (Time, u64)>,
}

impl Wanted {
    /// How many requests wait.
    pub fn count(&self) -> u64 {
        self.rows.values().map(|r| r.1).sum()
    }
}

impl Placement {
    /// A router tells what its requests wait for.
    pub fn wanted(&mut self, from: NodeId, want: &Want, now: Time) {
        let row = self.wants.entry(want.name.clone()).or_insert_with(|| {
            self.work.stirred = true;
            Wanted { service: want.service.clone(), class: want.class, since: now, rows: BTreeMap::new() }
        });
        row.class = row.class.min(want.class);
        row.rows.insert(from, (now, want.count));
    }

    fn gather(&mut self, now: Time) {
        for w in self.wants.values_mut() {
            w.rows.retain(|_, r| now.since(r.0) < WANTED);
        }
        self.wants.retain(|_, w| !w.rows.is_empty());
    }

    /// Carries on the decisions under way and, if a round is due, looks for new ones.
    pub fn quick(&mut self, ctx: &mut Context) {
        let Some(s) = self.slice.clone() else { return };
        if !self.may_order(ctx.now) {
            return self.gather(ctx.now);
        }
        self.run_jobs(&s, ctx);
        if !self.is_round_due(ctx.now) {
            return;
        }
        self.gather(ctx.now);
        if s.config.placement.auto && !self.wants.is_empty() {
            self.work.rounds += 1;
            self.meet_wants(&s, ctx);
        }
    }

    fn is_round_due(&mut self, now: Time) -> bool {
        let gap = match self.reports.len() {
            few if few <= RUNNERS_WEIGHED_AT_ONCE => Span(0),
            many if self.work.stirred => Span(ROUND_PER_RUNNER.0 * many as u64),
            _ => ROUND_AT_REST,
        };
        if now.since(self.work.last_round) < gap {
            return false;
        }
        (self.work.last_round, self.work.stirred) = (now, false);
        true
    }

    fn meet_wants(&mut self, s: &DutySlice, ctx: &mut Context) {
        let mut names: Vec<(Class, Time, Name)> =
            self.wants.iter().map(|(n, w)| (w.class, w.since, n.clone())).collect();
        names.sort();
        let offers = self.offers(ctx.now);
        let mut left = names.into_iter().map(|row| row.2);
        loop {
            let board = self.board(s, &offers, ctx.now);
            let found = left.find_map(|name| Some((self.meet_quick(&board, &name, s)?, name)));
            let Some((choice, name)) = found else { return };
            self.begin(&name, choice, "is wanted and no runner can take it", ctx);
            self.run_jobs(s, ctx);
        }
    }

    fn meet_quick(&self, board: &Board, name: &Name, s: &DutySlice) -> Option<Choice> {
        if s.config.weight(name).is_none() || self.coming(name, s) || self.served(board, name, s) {
            return None;
        }
        let want = self.wants.get(name)?;
        let choice = board.choose(&want.service, name)?;
        let blind = self.used.is_empty() && board.now().since(want.since) < BLIND;
        if blind && !choice.unloads.is_empty() {
            return None;
        }
        if board.is_held(name) && choice.loss > LOSS {
            return None;
        }
        Some(choice)
    }

    /// Whether a load of `name` is ordered, planned or decided.
    pub fn coming(&self, name: &Name, s: &DutySlice) -> bool {
        let planned = || s.plans.iter().filter(|p| p.live()).flat_map(|p| p.steps()).any(|x| x.wants(name));
        let moved = || s.moves.iter().any(|m| m.live() && m.want == *name);
        self.flights.loading(name) || self.jobs.values().any(|j| j.wants(name)) || planned() || moved()
    }

    fn served(&self, board: &Board, name: &Name, s: &DutySlice) -> bool {
        if !board.is_held(name) {
            return false;
        }
        let base = s.config.adapter(name).map(|a| &a.model);
        board.offers().iter().any(|o| {
            let open = |n: &Name| {
                o.report.has(n) && !self.push.closing.get(&o.runner.instance).is_some_and(|c| c.contains(n))
            };
            let free = o.report.running + o.report.waiting < o.report.slots;
            !o.runner.leaving && free && open(name) && base.is_none_or(open)
        })
    }

    /// How many runners should hold a model for what runs and waits for it.
    pub fn copies(&self, name: &Name, uses: &Uses, s: &DutySlice, holdings: &Holdings) -> u64 {
        let waits = self.waits(name);
        let u = uses.get(name).copied();
        if u.is_none() && waits == 0 {
            return 1;
        }
        let Some(service) = s.config.services.iter().find(|x| x.models.contains(name)) else { return 1 };
        let rows = || holdings.get(name).into_iter().flatten();
        let (runs, tokens) = rows().fold((0, 0), |a, r| (a.0 + r.running, a.1 + r.tokens));
        let free = rows().any(|r| r.running + r.waiting < service.slots);
        let load = u.map_or(0, |u| u.runs).min(runs) + if free { 0 } else { waits };
        let each = tokens.checked_div(runs).unwrap_or(0);
        let by_tokens = if each > 0 && service.tokens > 0 { service.tokens / each } else { u64::MAX };
        let most = service.slots.min(by_tokens);
        let able = (most / 4).max((most * 3 / 4).min(EASY)).max(1);
        let places = match service.places {
            0 => 0,
            places => self.used_adapters(name, uses, s).div_ceil(places),
        };
        let mates = s.runners.iter().filter(|r| r.service == service.name && !r.leaving).count() as u64;
        load.div_ceil(able).max(places).min(mates * 2 / 3).max(1)
    }

    fn used_adapters(&self, base: &Name, uses: &Uses, s: &DutySlice) -> u64 {
        let used = uses.iter().filter(|u| u.1.per_s > 0.0);
        used.filter(|u| s.config.adapter(u.0).is_some_and(|a| a.model == *base)).count() as u64
    }

    /// More copies of what is hot, where that costs little.
    pub fn spread(&mut self, s: &DutySlice, ctx: &mut Context) {
        if !s.config.placement.auto || !self.may_order(ctx.now) || self.jobs.len() >= COPIES {
            return;
        }
        if self.flights.pacer.left(&s.config.store) < 2.0 {
            return;
        }
        let (usage, holdings) = (self.usage.clone(), self.holdings());
        let held_by = |name: &Name| {
            let rows = holdings.get(name).into_iter().flatten();
            rows.filter(|r| !r.leaving).count() as u64
        };
        let hot = usage.names.iter().filter(|u| u.1.runs > 0 && s.config.model(u.0).is_some());
        let held = hot.map(|(name, u)| (name, u, held_by(name), self.under_way(name)));
        let short = held.filter(|(name, _, held, coming)| {
            *held > 0 && held + coming < self.copies(name, &usage.names, s, &holdings)
        });
        let Some((name, ..)) = short.max_by_key(|(_, u, held, coming)| u.runs / (held + coming)) else {
            return;
        };
        let Some(service) = s.config.services.iter().find(|x| x.models.contains(name)) else { return };
        let offers = self.offers(ctx.now);
        let Some(choice) = self.board(s, &offers, ctx.now).choose(&service.name, name) else { return };
        if choice.loss > SPREAD_LOSS {
            return;
        }
        self.begin(name, choice, "is hot", ctx);
        self.run_jobs(s, ctx);
    }

    fn under_way(&self, name: &Name) -> u64 {
        self.jobs.values().filter(|j| j.wants(name)).count() as u64
    }

    /// Which reports show which names as held.
    pub fn holdings(&self) -> Holdings<'_> {
        let mut holdings = Holdings::new();
        for (_, report) in self.reports.values() {
            for name in &report.holds {
                holdings.entry(name).or_default().push(report);
            }
        }
        holdings
    }
}
