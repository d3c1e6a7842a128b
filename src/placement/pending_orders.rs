use super::order_counts::OrderCounts;
use super::order_table::OrderTable;
use super::report_polling::NO_ROOM;
use super::store_budget::StoreBudget;
use crate::fleet::config::{FleetConfig, Store};
use crate::fleet::runner::{Runner, RunnerReport};
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use std::collections::BTreeMap;

/// A runner's word that it carries an order out.
const TAKEN: u16 = 202;
/// So long after its order a load that was taken shows in the reports, held or under way.
const UNSURE: Span = Span::ms(3000);
/// So long an order without an answer keeps others from its runner.
const UNANSWERED: Span = Span::ms(9000);
/// So long after its order one without an answer is expected to arrive yet, unless a later one was taken.
const FORGOTTEN: Span = Span::ms(60_000);

#[derive(Clone, Debug)]
pub struct PendingOrder {
    pub runner: Name,
    pub name: Name,
    pub load: bool,
    pub since: Time,
    pub mb: u64,
    pub adapter: bool,
    pub answered: bool,
    pub counted: bool,
    pub behind: bool,
    pub takes: Span,
    pub end: Time,
    pub there: bool,
    pub begun: bool,
    /// How many orders the runner had taken as this one was decided on.
    pub expected: u64,
    /// It was not answered, and others may go ahead; it may still arrive until one of them was taken.
    pub overdue: bool,
}

impl PendingOrder {
    pub fn planned(runner: Name, name: Name, mb: u64, adapter: bool, since: Time) -> PendingOrder {
        let end = Time(u64::MAX);
        PendingOrder {
            runner,
            name,
            load: true,
            since,
            mb,
            adapter,
            answered: false,
            counted: false,
            behind: false,
            takes: Span(0),
            end,
            there: false,
            begun: false,
            expected: 0,
            overdue: false,
        }
    }

    /// Whether it is an unload that is expected to be carried out.
    pub fn unloads(&self) -> bool {
        !self.load && !self.overdue
    }
}

#[derive(Clone, Default)]
pub struct PendingOrders {
    pub rows: OrderTable,
    pub pacer: StoreBudget,
    /// When a runner refused an order for a name.
    pub refused: BTreeMap<Name, BTreeMap<Name, Time>>,
    pub sequences: OrderCounts,
}

impl PendingOrders {
    /// How many loads the store of weights allows at this moment.
    pub fn loads_left(&mut self, rule: &Store) -> u64 {
        let under_way = self.rows.values().filter(|f| f.load && f.counted).count() as u64;
        let at_once = if rule.at_once == 0 { u64::MAX } else { rule.at_once.saturating_sub(under_way) };
        at_once.min(self.pacer.left(rule).max(0.0) as u64)
    }

    pub fn has(&self, runner: &Name, name: &Name) -> bool {
        self.rows.at(runner).any(|f| f.name == *name)
    }

    pub fn busy(&self, runner: &Name) -> usize {
        self.rows.at(runner).count()
    }

    /// An order whose outcome is still open: no other is sent to that runner.
    pub fn open(&self, runner: &Name) -> bool {
        let blocks = |f: &&PendingOrder| !f.overdue && !f.there && (f.load || !f.answered);
        self.rows.at(runner).any(|f| blocks(&f))
    }

    /// What the runner gave up by an unload it has taken, while its report still shows it.
    pub fn given_up(&self, report: &RunnerReport, name: &Name) -> bool {
        self.rows.at(&report.instance).any(|f| f.name == *name && !f.load && f.answered)
    }

    pub fn pending_mb(&self, report: &RunnerReport) -> u64 {
        let new = |f: &&PendingOrder| f.load && !report.has(&f.name) && !report.loading.contains(&f.name);
        self.rows.at(&report.instance).filter(new).map(|f| f.mb).sum()
    }

    pub fn pending_adapters(&self, report: &RunnerReport) -> u64 {
        let new = |f: &&PendingOrder| {
            f.load && f.adapter && !report.has(&f.name) && !report.loading.contains(&f.name)
        };
        self.rows.at(&report.instance).filter(new).count() as u64
    }

    pub fn answered(&mut self, now: Time, order: OrderId, status: u16) {
        self.pacer.answered(order, status);
        let Some(f) = self.rows.get_mut(&order) else { return };
        if f.behind && status == NO_ROOM {
            self.pacer.give_back(order);
        }
        f.answered = (200..300).contains(&status);
        f.begun = status == TAKEN;
        f.end = now + f.takes;
        let (runner, name, expected, behind) = (f.runner.clone(), f.name.clone(), f.expected, f.behind);
        if status == TAKEN {
            self.took(now, &runner, expected);
        } else if !(behind && status == NO_ROOM) {
            self.sequences.doubt(now, &runner);
        }
        if (400..500).contains(&status) {
            self.refused.entry(runner).or_default().insert(name, now);
            self.rows.remove(order);
        }
    }

    /// The runner took an order that built on `expected`: what is overdue and built on no more is void.
    fn took(&mut self, now: Time, runner: &Name, expected: u64) {
        self.sequences.took(now, runner, expected);
        self.rows.retain_at(runner, |f| !f.overdue || f.expected > expected);
    }

    /// Whether a report shows an order under way that is none of ours.
    pub fn is_foreign(&self, report: &RunnerReport) -> bool {
        let busy = report.busy || !report.loading.is_empty();
        busy && !self.rows.at(&report.instance).any(|f| !f.overdue)
    }

    /// Takes in a report; whether a load that the runner had taken is neither held nor under way.
    pub fn told(&mut self, now: Time, report: &RunnerReport) -> bool {
        let mut vanished = false;
        self.rows.retain_at(&report.instance, |f| {
            let held = report.has(&f.name);
            let busy = report.loading.contains(&f.name) || report.busy;
            let taken = report.orders > f.expected || report.orders == 0;
            if !f.answered && report.orders > f.expected && busy {
                (f.answered, f.begun, f.end, f.overdue) = (true, true, now + f.takes, false);
            }
            let done = if f.load { held } else { !held };
            let dead = f.load && !held && !busy && taken && now.since(f.since) > UNSURE && f.answered;
            f.overdue |= !f.answered && !busy && now.since(f.since) > UNANSWERED;
            let void = f.overdue && (report.orders > f.expected || now.since(f.since) > FORGOTTEN);
            vanished |= dead;
            !(done || dead || void)
        });
        vanished
    }

    /// Adapters come in a known time; the rest waits for a report.
    pub fn arrive(&mut self, now: Time) {
        for f in self.rows.values_mut().filter(|f| f.load && f.adapter && f.begun) {
            f.there |= now >= f.end;
        }
    }

    pub fn was_refused(&self, now: Time, runner: &Name, name: &Name) -> bool {
        let at = self.refused.get(runner).and_then(|names| names.get(name));
        at.is_some_and(|t| now.since(*t) < Span::ms(5000))
    }
}

pub fn is_adapter(c: &FleetConfig, name: &Name) -> bool {
    c.base_of(name).is_some()
}

/// A runner with what is known of it.
#[derive(Clone)]
pub struct RunnerState {
    pub runner: Runner,
    pub report: RunnerReport,
}
