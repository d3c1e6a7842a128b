//! How many orders each runner has accepted, so that a runner carries an order out only if it has accepted no
//! other since the decision.
//!
//! Every order names the count that it expects, and a runner whose count differs refuses it. Of two orders
//! that expect the same count at most one is accepted: an order that was delayed on its way is void as soon
//! as a later one was accepted, and orders of a predecessor that this holder does not know of void its own.
#![deny(missing_docs)]

use crate::fleet::runner::RunnerReport;
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};
use std::collections::BTreeMap;

/// How long a report with a lower count than the known one is taken for an outdated one. After that the
/// runner is taken to have restarted.
const REPORT_LAG_LIMIT: Span = Span::ms(1500);

/// The count of one runner.
#[derive(Clone, Copy, Debug)]
struct OrderCount {
    taken: u64,
    /// When it last changed.
    changed_at: Time,
    /// Set while the count is uncertain: a report requested after this time is needed before the next order.
    uncertain_since: Option<Time>,
}

/// The counts of all runners that have reported.
#[derive(Clone, Default, Debug)]
pub struct OrderCounts {
    counts: BTreeMap<Name, OrderCount>,
}

impl OrderCounts {
    /// The count that an order to `runner` may expect, if it is certain.
    pub fn expected(&self, runner: &Name) -> Option<u64> {
        self.counts.get(runner).filter(|count| count.uncertain_since.is_none()).map(|count| count.taken)
    }

    /// Records a report that was requested at `asked`; its content may be older than its arrival.
    pub fn record_report(&mut self, now: Time, asked: Time, report: &RunnerReport) {
        let new = OrderCount { taken: report.orders, changed_at: now, uncertain_since: None };
        let count = self.counts.entry(report.instance.clone()).or_insert(new);
        let lags = report.orders < count.taken && now.since(count.changed_at) < REPORT_LAG_LIMIT;
        if report.orders != count.taken && !lags {
            (count.taken, count.changed_at) = (report.orders, now);
        }
        count.uncertain_since = count.uncertain_since.filter(|doubted| asked < *doubted);
    }

    /// The runner accepted an order that expected the count `expected`.
    pub fn record_taken(&mut self, now: Time, runner: &Name, expected: u64) {
        if let Some(count) = self.counts.get_mut(runner) {
            (count.taken, count.changed_at) = (count.taken.max(expected + 1), now);
        }
    }

    /// The runner's answer leaves open whether it accepted the order.
    pub fn mark_uncertain(&mut self, now: Time, runner: &Name) {
        if let Some(count) = self.counts.get_mut(runner) {
            count.uncertain_since = Some(now);
        }
    }
}
