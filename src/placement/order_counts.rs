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
const REPORTS_LAG: Span = Span::ms(1500);

/// The count of one runner, as far as it is known.
#[derive(Clone, Copy, Debug)]
struct Count {
    taken: u64,
    /// When it last changed.
    since: Time,
    /// Since when a report is wanted before the next order.
    doubted: Option<Time>,
}

/// The counts of all runners that were heard of.
#[derive(Clone, Default, Debug)]
pub struct OrderCounts {
    rows: BTreeMap<Name, Count>,
}

impl OrderCounts {
    /// The count that an order to `runner` may build on, if it is known.
    pub fn expected(&self, runner: &Name) -> Option<u64> {
        self.rows.get(runner).filter(|count| count.doubted.is_none()).map(|count| count.taken)
    }

    /// Takes in a report that was asked for at `asked`; what it tells may be older still.
    pub fn reported(&mut self, now: Time, asked: Time, report: &RunnerReport) {
        let new = Count { taken: report.orders, since: now, doubted: None };
        let count = self.rows.entry(report.instance.clone()).or_insert(new);
        let lags = report.orders < count.taken && now.since(count.since) < REPORTS_LAG;
        if report.orders != count.taken && !lags {
            (count.taken, count.since) = (report.orders, now);
        }
        count.doubted = count.doubted.filter(|doubted| asked < *doubted);
    }

    /// The runner took an order that built on `expected`.
    pub fn took(&mut self, now: Time, runner: &Name, expected: u64) {
        if let Some(count) = self.rows.get_mut(runner) {
            (count.taken, count.since) = (count.taken.max(expected + 1), now);
        }
    }

    /// The runner answered in a way that leaves its count open.
    pub fn doubt(&mut self, now: Time, runner: &Name) {
        if let Some(count) = self.rows.get_mut(runner) {
            count.doubted = Some(now);
        }
    }
}
