//! Runners whose loads failed although their reports told of room.
//!
//! A refused load takes its share of the weight store's allowance like any other, so a runner that goes on
//! promising room it lacks would use up the allowance of all others. After a failure the runner is given no
//! load for a time that doubles with each further failure, and its told use of memory is no longer believed
//! where the weights of what it holds add up to more.
#![deny(missing_docs)]

use crate::fleet::config::FleetConfig;
use crate::fleet::runner::RunnerReport;
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};
use std::collections::BTreeMap;

/// How long a runner gets no load after its first failure.
pub const FIRST_PAUSE: Span = Span::ms(2000);
/// The longest pause between two loads that are tried at a runner whose loads fail.
pub const LONGEST_PAUSE: Span = Span::ms(120_000);
/// A failure that is older is forgotten.
pub const FORGOTTEN_AFTER: Span = Span::ms(600_000);

/// The failures of one runner.
#[derive(Clone, Copy, Debug)]
struct Failures {
    last_at: Time,
    pause: Span,
}

/// What the holder of the placement duty has learned of runners whose loads fail.
#[derive(Clone, Default, Debug)]
pub struct LoadBackoff {
    failures: BTreeMap<Name, Failures>,
}

impl LoadBackoff {
    /// A load at `runner` was refused for want of room or never appeared in its reports.
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

    /// Whether the room that `runner` tells of has turned out wrong.
    pub fn has_failures(&self, runner: &Name) -> bool {
        self.failures.contains_key(runner)
    }

    /// The runners that may be sent no load now.
    pub fn paused(&self, now: Time) -> impl Iterator<Item = &Name> {
        self.failures.keys().filter(move |runner| self.is_paused(runner, now))
    }

    /// The report with its use of memory taken from the configured weights, if its runner is doubted.
    pub fn corrected(&self, config: &FleetConfig, mut report: RunnerReport) -> RunnerReport {
        if self.has_failures(&report.instance) {
            report.used_mb = report.used_mb.max(most_used(config, &report));
        }
        report
    }
}

/// The most that all takes which a report shows as held or loading; the whole room if a weight is not known.
pub fn most_used(config: &FleetConfig, report: &RunnerReport) -> u64 {
    let names = report.holds.iter().chain(&report.loading);
    let known: Option<u64> = names.map(|name| config.max_mb(name)).sum();
    known.unwrap_or(report.room_mb)
}
