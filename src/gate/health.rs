use crate::fleet::holdings::RunnerHoldings;
use crate::fleet::runner::RunnerReport;
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};
use crate::protocol::Load;

pub const REPORT_LIFETIME: Span = Span::ms(2500);
const FULL_PAUSE: Span = Span::ms(150);
const LOAD_HALVING_PERIOD: Span = Span::ms(500);
const UNREACHABLE_EJECTION: Span = Span::ms(700);
const FAILURES_TO_EJECT: u32 = 3;
const BASE_EJECTION: Span = Span::ms(2000);
const EJECTION_STEPS_MAX: u32 = 4;

#[derive(Default, Debug)]
pub struct RunnerHealth {
    pub report: Option<(Time, RunnerReport)>,
    pub own_requests: u64,
    pub other_requests: u64,
    pub is_leaving: bool,
    is_pushed: bool,
    is_silent: bool,
    failures_in_row: u32,
    ejections: u32,
    ejected_until: Time,
    full_until: Time,
    pub reported_slots: u64,
    load_reported_at: Time,
}

impl RunnerHealth {
    pub fn on_report(&mut self, now: Time, report: RunnerReport) {
        self.is_leaving |= report.leaving;
        self.other_requests = (report.running + report.waiting).saturating_sub(self.own_requests);
        self.report = Some((now, report));
    }

    /// Pushed news stay valid until they are contradicted.
    pub fn on_holdings(&mut self, now: Time, row: &RunnerHoldings) -> bool {
        self.is_pushed = true;
        self.is_silent = row.silent;
        let new = row.holding.as_ref().map(|h| h.open());
        let renewed = new.is_some();
        let Some(mut report) = new.or_else(|| self.report.take().map(|r| r.1)) else { return false };
        (report.running, report.waiting, report.tokens) = (row.running, row.waiting, row.tokens);
        self.on_report(now, report);
        renewed
    }

    pub fn forget_weights(&mut self, name: &str) {
        if let Some((_, r)) = &mut self.report {
            r.holds.retain(|n| n.0 != name);
        }
    }

    pub fn holds(&self, now: Time, name: &Name) -> bool {
        !self.is_leaving && self.fresh_report(now).is_some_and(|r| r.has(name))
    }

    pub fn fresh_report(&self, now: Time) -> Option<&RunnerReport> {
        let (at, report) = self.report.as_ref()?;
        (!self.is_silent && (self.is_pushed || now.since(*at) < REPORT_LIFETIME)).then_some(report)
    }

    pub fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    pub fn record_success(&mut self) {
        self.failures_in_row = 0;
        self.ejections = 0;
    }

    pub fn record_failure(&mut self, now: Time) {
        self.failures_in_row += 1;
        if self.failures_in_row >= FAILURES_TO_EJECT {
            self.failures_in_row = 0;
            self.ejections = (self.ejections + 1).min(EJECTION_STEPS_MAX);
            self.ejected_until = now + Span(BASE_EJECTION.0 << (self.ejections - 1));
        }
    }

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

    /// What runs there by the runner's own last word; an old word counts less.
    pub fn decayed_load(&self, now: Time) -> u64 {
        let old = now.since(self.load_reported_at).0 / LOAD_HALVING_PERIOD.0;
        self.own_requests + (self.other_requests >> old.min(8))
    }

    pub fn mark_full(&mut self, now: Time) {
        self.full_until = now + FULL_PAUSE;
    }

    pub fn is_full(&self, now: Time) -> bool {
        now < self.full_until
    }

    /// It could not be reached, or is silent: nothing more is sent there for a while.
    pub fn eject_unreachable(&mut self, now: Time) {
        self.ejected_until =
            self.ejected_until.max(now + Span(UNREACHABLE_EJECTION.0 << self.ejections.min(2)));
        self.ejections = (self.ejections + 1).min(EJECTION_STEPS_MAX);
        self.failures_in_row = 0;
    }

    pub fn load(&self, now: Time) -> u64 {
        if self.fresh_report(now).is_none() {
            return u64::MAX;
        }
        self.other_requests + self.own_requests
    }
}
