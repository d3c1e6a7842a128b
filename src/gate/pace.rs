//! Measured rates and durations of a service, from which waits are estimated.

use crate::fleet::config::Class;
use crate::fleet::runner::RunnerReport;
use crate::fleet::slice::ServiceSlice;
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};
use std::collections::BTreeMap;

/// Weight of a new sample in the mean slot occupancy.
const OCCUPANCY_SMOOTHING: f64 = 0.1;
/// Weight of a new sample in the mean load time.
const LOAD_TIME_SMOOTHING: f64 = 0.3;
/// Share of the send rate that a class keeps at least, whatever more urgent classes use.
const MIN_RATE_SHARE: f64 = 0.15;
/// Length of a counting period.
const RATE_PERIOD: Span = Span::ms(4000);

/// A rate over about one period, from the counts of two.
#[derive(Default, Debug)]
pub struct RateMeter {
    period_began_at: Time,
    this_period: f64,
    last_period: f64,
}

impl RateMeter {
    fn advance(&mut self, now: Time) {
        let age = now.since(self.period_began_at);
        if age < RATE_PERIOD {
            return;
        }
        self.last_period = if age < Span(RATE_PERIOD.0 * 2) { self.this_period } else { 0.0 };
        self.this_period = 0.0;
        self.period_began_at = now;
    }

    /// Counts an event.
    pub fn add(&mut self, now: Time) {
        self.advance(now);
        self.this_period += 1.0;
    }

    /// Events per second.
    pub fn per_s(&self, now: Time) -> f64 {
        let age = now.since(self.period_began_at);
        if age >= Span(RATE_PERIOD.0 * 2) {
            return 0.0;
        }
        let part = (age.0 as f64 / RATE_PERIOD.0 as f64).min(1.0);
        let span = RATE_PERIOD.0 as f64 / 1e6;
        (self.last_period * (1.0 - part) + self.this_period) / span
    }
}

#[derive(Default, Debug)]
struct ModelThroughput {
    occupancy_us: Option<f64>,
    sends: RateMeter,
    arrivals: BTreeMap<Class, RateMeter>,
}

/// Rates and durations by model.
#[derive(Default, Debug)]
pub struct Throughput {
    by_model: BTreeMap<String, ModelThroughput>,
    missing_since: BTreeMap<String, Time>,
    load_time_us: Option<f64>,
    /// Until when a new duty holder orders no loads.
    pub quiet_until: Time,
}

impl Throughput {
    /// Records how long a request occupied a slot.
    pub fn record_occupancy(&mut self, model: &str, held: Span) {
        let row = self.by_model.entry(model.to_string()).or_default();
        let new = held.0 as f64;
        row.occupancy_us = Some(row.occupancy_us.map_or(new, |old| old + (new - old) * OCCUPANCY_SMOOTHING));
    }

    /// Counts a request that arrived.
    pub fn record_arrival(&mut self, now: Time, model: &str, class: Class) {
        let row = self.by_model.entry(model.to_string()).or_default();
        row.arrivals.entry(class).or_default().add(now);
    }

    /// Counts a request that was sent.
    pub fn record_send(&mut self, now: Time, model: &str) {
        self.by_model.entry(model.to_string()).or_default().sends.add(now);
    }

    /// Mean slot occupancy in microseconds, if measured.
    pub fn occupancy_us(&self, model: &str) -> Option<f64> {
        self.by_model.get(model)?.occupancy_us
    }

    /// Requests per second that are sent for a class: the send rate less arrivals of more urgent classes.
    pub fn send_rate_for(&self, now: Time, model: &str, class: Class) -> Option<f64> {
        let row = self.by_model.get(model)?;
        let sends = row.sends.per_s(now);
        if sends <= 0.0 {
            return None;
        }
        let above: f64 = row.arrivals.iter().filter(|r| *r.0 < class).map(|r| r.1.per_s(now)).sum();
        Some((sends - above).max(sends * MIN_RATE_SHARE))
    }

    /// Records that a model or adapter is wanted and held by no runner.
    pub fn record_missing(&mut self, now: Time, name: &str) {
        self.missing_since.entry(name.to_string()).or_insert(now);
    }

    /// Measures load times: ends those of the weights in the report.
    pub fn on_report(&mut self, now: Time, report: &RunnerReport) {
        let met: Vec<String> = self
            .missing_since
            .keys()
            .filter(|n| report.holds.iter().any(|health| health.0 == **n))
            .cloned()
            .collect();
        for name in met {
            let Some(since) = self.missing_since.remove(&name) else { continue };
            let new = now.since(since).0 as f64;
            self.load_time_us =
                Some(self.load_time_us.map_or(new, |old| old + (new - old) * LOAD_TIME_SMOOTHING));
        }
    }

    /// Estimated rest of a load; one that takes longer than the mean is expected to take half as long again.
    pub fn remaining_load_time(&self, now: Time, name: &str) -> Span {
        let whole = Span(self.load_time_us.unwrap_or(0.0) as u64);
        let gone = self.missing_since.get(name).map_or(Span(0), |t| now.since(*t));
        Span(whole.0.saturating_sub(gone.0).max(gone.0 / 2))
    }

    /// Forgets missing weights that are no longer wanted.
    pub fn retain_missing(&mut self, wanted: &dyn Fn(&str) -> bool) {
        self.missing_since.retain(|n, _| wanted(n));
    }

    /// Forgets models that the service no longer offers.
    pub fn retain_models(&mut self, slice: &ServiceSlice) {
        self.by_model.retain(|m, _| m.is_empty() || slice.service.models.contains(&Name::from(m.as_str())));
    }
}
