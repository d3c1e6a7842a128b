//! Backoff for runners whose loads fail although their reports show enough free memory.
//!
//! A refused load counts against the store's limit like any other, so a runner that keeps reporting free
//! memory it lacks would use up the limit for all others. After a failure no load is sent to the runner for a
//! pause that doubles with each further failure, and its reported use of memory is replaced by the sum of the
//! configured weights where that is more.
#![deny(missing_docs)]

use crate::fleet::config::FleetConfig;
use crate::fleet::runner::RunnerReport;
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};
use std::collections::BTreeMap;

/// The pause after the first failure of a runner.
pub const FIRST_PAUSE: Span = Span::ms(2000);
/// The longest pause between two attempts at a runner whose loads fail.
pub const LONGEST_PAUSE: Span = Span::ms(120_000);
/// The age at which a failure no longer counts.
pub const FORGOTTEN_AFTER: Span = Span::ms(600_000);

/// The failures of one runner.
#[derive(Clone, Copy, Debug)]
struct Failures {
    last_at: Time,
    pause: Span,
}

/// The runners whose loads have failed.
#[derive(Clone, Default, Debug)]
pub struct LoadBackoff {
    failures: BTreeMap<Name, Failures>,
}

impl LoadBackoff {
    /// A load at `runner` was refused for lack of memory or never appeared in its reports. Failures during a
    /// pause don't count again.
    pub fn record_failure(&mut self, runner: &Name, now: Time) {
        let pause = match self.failures.get(runner) {
            Some(row) if now.since(row.last_at) < row.pause => return,
            Some(row) => Span((row.pause.0 * 2).min(LONGEST_PAUSE.0)),
            None => FIRST_PAUSE,
        };
        self.failures.insert(runner.clone(), Failures { last_at: now, pause });
    }

    /// Drops failures that are too old to count.
    pub fn remove_expired(&mut self, now: Time) {
        self.failures.retain(|_, row| now.since(row.last_at) < FORGOTTEN_AFTER);
    }

    /// Whether no load may be sent to `runner` now.
    pub fn is_paused(&self, runner: &Name, now: Time) -> bool {
        self.failures.get(runner).is_some_and(|row| now.since(row.last_at) < row.pause)
    }

    /// Whether the free memory that `runner` reports has turned out wrong.
    pub fn has_failures(&self, runner: &Name) -> bool {
        self.failures.contains_key(runner)
    }

    /// The runners to which no load may be sent now.
    pub fn paused(&self, now: Time) -> impl Iterator<Item = &Name> {
        self.failures.keys().filter(move |runner| self.is_paused(runner, now))
    }

    /// The report with its used memory raised to the configured weights, if its runner's loads have failed.
    pub fn corrected(&self, config: &FleetConfig, mut report: RunnerReport) -> RunnerReport {
        if self.has_failures(&report.instance) {
            report.used_mb = report.used_mb.max(most_used(config, &report));
        }
        report
    }
}

/// The most memory, in MB, that the names held and loading by a report can take; all of the runner's memory
/// if a weight is not known.
pub fn most_used(config: &FleetConfig, report: &RunnerReport) -> u64 {
    let names = report.holds.iter().chain(&report.loading);
    let known: Option<u64> = names.map(|name| config.max_mb(name)).sum();
    known.unwrap_or(report.room_mb)
}
