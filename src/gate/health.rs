//! What a router knows of one runner: reports, requests in progress and recent failures.

use crate::fleet::holdings::RunnerHoldings;
use crate::fleet::runner::RunnerReport;
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};
use crate::protocol::Load;

/// Age at which a polled report no longer counts.
pub const REPORT_LIFETIME: Span = Span::ms(2500);
/// How long a runner that rejected a request as full gets none.
const FULL_PAUSE: Span = Span::ms(150);
/// A load told in an answer counts half as much after each such period.
const LOAD_HALVING_PERIOD: Span = Span::ms(500);
/// Shortest ejection of a runner that could not be reached or is silent.
const UNREACHABLE_EJECTION: Span = Span::ms(700);
/// Failures in a row that eject a runner.
const FAILURES_TO_EJECT: u32 = 3;
/// First ejection after failures; it doubles each time.
const BASE_EJECTION: Span = Span::ms(2000);
/// Most doublings counted.
const EJECTION_STEPS_MAX: u32 = 4;

/// Health and load of a runner.
#[derive(Default, Debug)]
pub struct RunnerHealth {
    /// The newest report and when it came.
    pub report: Option<(Time, RunnerReport)>,
    /// Requests that this router has in progress there.
    pub own_requests: u64,
    /// Requests of others there, by the newest report.
    pub other_requests: u64,
    /// Whether it leaves and gets no new requests.
    pub is_leaving: bool,
    is_pushed: bool,
    is_silent: bool,
    failures_in_row: u32,
    ejections: u32,
    ejected_until: Time,
    full_until: Time,
    /// Slots told in answers; zero if none were.
    pub reported_slots: u64,
    load_reported_at: Time,
}

impl RunnerHealth {
    /// Applies a report.
    pub fn on_report(&mut self, now: Time, report: RunnerReport) {
        self.is_leaving |= report.leaving;
        self.other_requests = (report.running + report.waiting).saturating_sub(self.own_requests);
        self.report = Some((now, report));
    }

    /// Applies holdings that the placement pushed; they stay valid until contradicted. True if they hold a full report.
    pub fn on_holdings(&mut self, now: Time, row: &RunnerHoldings) -> bool {
        self.is_pushed = true;
        self.is_silent = row.silent;
        let new = row.holding.as_ref().map(|health| health.open());
        let renewed = new.is_some();
        let Some(mut report) = new.or_else(|| self.report.take().map(|r| r.1)) else { return false };
        (report.running, report.waiting, report.tokens) = (row.running, row.waiting, row.tokens);
        self.on_report(now, report);
        renewed
    }

    /// Removes a model or adapter that the runner turned out not to hold.
    pub fn forget_weights(&mut self, name: &str) {
        if let Some((_, r)) = &mut self.report {
            r.holds.retain(|n| n.0 != name);
        }
    }

    /// Whether it holds a model or adapter and stays.
    pub fn holds(&self, now: Time, name: &Name) -> bool {
        !self.is_leaving && self.fresh_report(now).is_some_and(|r| r.has(name))
    }

    /// The report, if it still counts.
    pub fn fresh_report(&self, now: Time) -> Option<&RunnerReport> {
        let (at, report) = self.report.as_ref()?;
        (!self.is_silent && (self.is_pushed || now.since(*at) < REPORT_LIFETIME)).then_some(report)
    }

    /// Whether it gets no requests for now, after failures.
    pub fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    /// Counts a success.
    pub fn record_success(&mut self) {
        self.failures_in_row = 0;
        self.ejections = 0;
    }

    /// Counts a failure; several in a row eject the runner.
    pub fn record_failure(&mut self, now: Time) {
        self.failures_in_row += 1;
        if self.failures_in_row >= FAILURES_TO_EJECT {
            self.failures_in_row = 0;
            self.ejections = (self.ejections + 1).min(EJECTION_STEPS_MAX);
            self.ejected_until = now + Span(BASE_EJECTION.0 << (self.ejections - 1));
        }
    }

    /// Applies the load told in an answer.
    pub fn on_load(&mut self, now: Time, load: Load) {
        self.other_requests = (load.running + load.waiting).saturating_sub(self.own_requests);
        self.reported_slots = load.slots;
        self.load_reported_at = now;
        if let Some((at, r)) = &mut self.report {
            *at = now;
            r.running = load.running;
            r.waiting = load.waiting;
        }
    }

    /// Requests there by the last load told; an old value counts less.
    pub fn decayed_load(&self, now: Time) -> u64 {
        let old = now.since(self.load_reported_at).0 / LOAD_HALVING_PERIOD.0;
        self.own_requests + (self.other_requests >> old.min(8))
    }

    /// The runner rejected a request as full.
    pub fn mark_full(&mut self, now: Time) {
        self.full_until = now + FULL_PAUSE;
    }

    /// Whether it recently rejected a request as full.
    pub fn is_full(&self, now: Time) -> bool {
        now < self.full_until
    }

    /// It could not be reached or is silent: it gets no requests for a while.
    pub fn eject_unreachable(&mut self, now: Time) {
        self.ejected_until =
            self.ejected_until.max(now + Span(UNREACHABLE_EJECTION.0 << self.ejections.min(2)));
        self.ejections = (self.ejections + 1).min(EJECTION_STEPS_MAX);
        self.failures_in_row = 0;
    }

    /// Requests there; the maximum if no report counts.
    pub fn load(&self, now: Time) -> u64 {
        if self.fresh_report(now).is_none() {
            return u64::MAX;
        }
        self.other_requests + self.own_requests
    }
}
