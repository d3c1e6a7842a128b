use crate::fleet::holdings::RunnerHoldings;
use crate::fleet::runner::RunnerReport;
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};
use crate::protocol::Load;

pub const DARK: Span = Span::ms(2500);
const FULL: Span = Span::ms(150);
const OLD: Span = Span::ms(500);
const AWAY: Span = Span::ms(700);
const FAILS: u32 = 3;
const OUT: Span = Span::ms(2000);
const OUT_MOST: u32 = 4;

#[derive(Default, Debug)]
pub struct Health {
    pub report: Option<(Time, RunnerReport)>,
    pub mine: u64,
    pub others: u64,
    pub leaving: bool,
    pushed: bool,
    silent: bool,
    fails: u32,
    outs: u32,
    out_until: Time,
    full_until: Time,
    pub slots: u64,
    load_at: Time,
}

impl Health {
    pub fn told(&mut self, now: Time, report: RunnerReport) {
        self.leaving |= report.leaving;
        self.others = (report.running + report.waiting).saturating_sub(self.mine);
        self.report = Some((now, report));
    }

    /// Pushed news stay valid until they are contradicted.
    pub fn held(&mut self, now: Time, row: &RunnerHoldings) -> bool {
        self.pushed = true;
        self.silent = row.silent;
        let new = row.holding.as_ref().map(|h| h.open());
        let renewed = new.is_some();
        let Some(mut report) = new.or_else(|| self.report.take().map(|r| r.1)) else { return false };
        (report.running, report.waiting, report.tokens) = (row.running, row.waiting, row.tokens);
        self.told(now, report);
        renewed
    }

    pub fn lacks(&mut self, name: &str) {
        if let Some((_, r)) = &mut self.report {
            r.holds.retain(|n| n.0 != name);
        }
    }

    pub fn holds(&self, now: Time, name: &Name) -> bool {
        !self.leaving && self.fresh(now).is_some_and(|r| r.has(name))
    }

    pub fn fresh(&self, now: Time) -> Option<&RunnerReport> {
        let (at, report) = self.report.as_ref()?;
        (!self.silent && (self.pushed || now.since(*at) < DARK)).then_some(report)
    }

    pub fn out(&self, now: Time) -> bool {
        now < self.out_until
    }

    pub fn good(&mut self) {
        self.fails = 0;
        self.outs = 0;
    }

    pub fn bad(&mut self, now: Time) {
        self.fails += 1;
        if self.fails >= FAILS {
            self.fails = 0;
            self.outs = (self.outs + 1).min(OUT_MOST);
            self.out_until = now + Span(OUT.0 << (self.outs - 1));
        }
    }

    pub fn told_load(&mut self, now: Time, load: Load) {
        self.others = (load.running + load.waiting).saturating_sub(self.mine);
        self.slots = load.slots;
        self.load_at = now;
        if let Some((at, r)) = &mut self.report {
            *at = now;
            r.running = load.running;
            r.waiting = load.waiting;
        }
    }

    /// What runs there by the runner's own last word; an old word counts less.
    pub fn burden(&self, now: Time) -> u64 {
        let old = now.since(self.load_at).0 / OLD.0;
        self.mine + (self.others >> old.min(8))
    }

    pub fn full(&mut self, now: Time) {
        self.full_until = now + FULL;
    }

    pub fn is_full(&self, now: Time) -> bool {
        now < self.full_until
    }

    /// It could not be reached, or is silent: nothing more is sent there for a while.
    pub fn away(&mut self, now: Time) {
        self.out_until = self.out_until.max(now + Span(AWAY.0 << self.outs.min(2)));
        self.outs = (self.outs + 1).min(OUT_MOST);
        self.fails = 0;
    }

    pub fn load(&self, now: Time) -> u64 {
        if self.fresh(now).is_none() {
            return u64::MAX;
        }
        self.others + self.mine
    }
}
