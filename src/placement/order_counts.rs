//! How many orders each runner has taken, so that an order is carried out only by a runner that has taken no other
//! since the decision.
//!
//! Every order names the count that it builds on, and a runner whose count differs turns it away. Of two orders that
//! build on the same count one is taken at the most: one that was held up on its way is void as soon as a later one
//! was taken, and the orders of a predecessor that this holder has not heard of void its own.
#![deny(missing_docs)]

use crate::fleet::runner::RunnerReport;
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};
use std::collections::BTreeMap;

/// A report that tells of fewer orders than are known is an old one for so long; then its runner has begun anew.
const REPORT_LAG_LIMIT: Span = Span::ms(1500);

/// The count of one runner, as far as it is known.
#[derive(Clone, Copy, Debug)]
struct OrderCount {
    taken: u64,
    /// When it last changed.
    changed_at: Time,
    /// Since when a report is wanted before the next order.
    uncertain_since: Option<Time>,
}

/// The counts of all runners that were heard of.
#[derive(Clone, Default, Debug)]
pub struct OrderCounts {
    counts: BTreeMap<Name, OrderCount>,
}

impl OrderCounts {
    /// The count that an order to `runner` may build on, if it is known.
    pub fn expected(&self, runner: &Name) -> Option<u64> {
        self.counts.get(runner).filter(|count| count.uncertain_since.is_none()).map(|count| count.taken)
    }

    /// Takes in a report that was asked for at `asked`; what it tells may be older still.
    pub fn record_report(&mut self, now: Time, asked: Time, report: &RunnerReport) {
        let new = OrderCount { taken: report.orders, changed_at: now, uncertain_since: None };
        let count = self.counts.entry(report.instance.clone()).or_insert(new);
        let lags = report.orders < count.taken && now.since(count.changed_at) < REPORT_LAG_LIMIT;
        if report.orders != count.taken && !lags {
            (count.taken, count.changed_at) = (report.orders, now);
        }
        count.uncertain_since = count.uncertain_since.filter(|doubted| asked < *doubted);
    }

    /// The runner took an order that built on `expected`.
    pub fn record_taken(&mut self, now: Time, runner: &Name, expected: u64) {
        if let Some(count) = self.counts.get_mut(runner) {
            (count.taken, count.changed_at) = (count.taken.max(expected + 1), now);
        }
    }

    /// The runner answered in a way that leaves its count open.
    pub fn mark_uncertain(&mut self, now: Time, runner: &Name) {
        if let Some(count) = self.counts.get_mut(runner) {
            count.uncertain_since = Some(now);
        }
    }
}
