//! The rate limit on loads from the store of weights: a token bucket of `burst` loads refilled at
//! `loads_per_minute`, and at most `most` loads within any window of `window_ms` (0: no such limit).
//!
//! A load is charged at the latest time at which its runner may begin it: its deadline until it is answered,
//! then the time of the answer.

use crate::fleet::config::Store;
use crate::kernel::ids::OrderId;
use crate::kernel::time::{Span, Time};
use std::collections::VecDeque;

/// The longest step by which the clock advances. A longer gap between two ticks (the process was suspended)
/// does not count, so that it earns no loads.
const MAX_CLOCK_STEP: Span = Span::ms(100);
/// How long after its deadline an unanswered load may still be answered.
const ANSWER_TIMEOUT: Span = Span::ms(3000);
/// Added to the configured window when loads in it are counted.
const WINDOW_MARGIN: Span = Span::ms(100);

/// A load that is charged but not settled yet.
#[derive(Clone, Debug)]
struct ChargedLoad {
    order: OrderId,
    latest_at: Time,
    is_settled: bool,
}

/// The state of the rate limit.
#[derive(Clone, Default, Debug)]
pub struct StoreBudget {
    /// Time that passed in steps of at most `MAX_CLOCK_STEP`.
    clock: Time,
    /// The caller's time at the last tick.
    ticked_at: Time,
    /// The tokens left at `updated_at`.
    level: f64,
    /// Up to when loads are settled.
    updated_at: Time,
    /// Loads not settled yet.
    loads: Vec<ChargedLoad>,
    /// When the settled loads of the last window were charged.
    window: VecDeque<Time>,
}

impl StoreBudget {
    /// Advances the clock to `now`.
    pub fn advance_clock(&mut self, now: Time) {
        let gap = now.since(self.ticked_at);
        self.clock = self.clock + if gap > MAX_CLOCK_STEP { Span(0) } else { gap };
        self.ticked_at = now;
    }

    /// The clock's time.
    pub fn clock(&self) -> Time {
        self.clock
    }

    /// Starts with a full bucket and no load in the window, at the first start of a fleet.
    pub fn reset(&mut self, rule: &Store) {
        *self = StoreBudget {
            clock: self.clock,
            ticked_at: self.ticked_at,
            updated_at: self.clock,
            ..StoreBudget::default()
        };
        self.level = rule.burst as f64;
    }

    /// Starts with an empty bucket and, where the bucket alone does not bound the loads of a window, a window
    /// that is used up, as a predecessor's loads are not known. `last` is how long its orders may still be
    /// carried out.
    pub fn reset_for_successor(&mut self, rule: &Store, last: Span) {
        self.reset(rule);
        self.level = 0.0;
        self.updated_at = self.clock + last;
        if !Self::level_bounds_window(rule) {
            self.window = (0..rule.most).map(|_| self.updated_at).collect();
        }
    }

    /// Whether the burst and the steady rate together never exceed what a window may hold. Then an empty
    /// bucket is all that a successor needs.
    fn level_bounds_window(rule: &Store) -> bool {
        let steady = (rule.window_ms * rule.loads_per_minute).div_ceil(60_000);
        rule.burst + steady <= rule.most
    }

    /// The tokens at `to`, if there were `level` at `from`.
    fn refill(rule: &Store, level: f64, from: Time, to: Time) -> f64 {
        let more = to.since(from).0 as f64 * rule.loads_per_minute as f64 / 6e7;
        (level + more).min(rule.burst as f64)
    }

    /// Settles the loads that were answered or can no longer be, and drops charges older than the window.
    fn settle(&mut self, rule: &Store) {
        self.loads.sort_by_key(|load| load.latest_at);
        while let Some(load) = self.loads.first() {
            if !load.is_settled && load.latest_at + ANSWER_TIMEOUT > self.clock {
                break;
            }
            let latest = load.latest_at;
            self.level = Self::refill(rule, self.level, self.updated_at, latest) - 1.0;
            self.updated_at = self.updated_at.max(latest);
            self.window.push_back(latest);
            self.loads.remove(0);
        }
        let keep = Span::ms(rule.window_ms) + WINDOW_MARGIN;
        self.window.retain(|t| *t + keep > self.clock);
    }

    /// How many loads are allowed now; negative if too many are charged.
    pub fn left(&mut self, rule: &Store) -> f64 {
        self.settle(rule);
        let (mut level, mut at) = (self.level, self.updated_at);
        for load in &self.loads {
            let when = load.latest_at.max(at);
            level = Self::refill(rule, level, at, when.min(self.clock.max(at))) - 1.0;
            at = when.min(self.clock.max(at));
        }
        level = Self::refill(rule, level, at, self.clock);
        if rule.most == 0 {
            return level;
        }
        let keep = Span::ms(rule.window_ms) + WINDOW_MARGIN;
        let old = self.window.len();
        let new = self.loads.iter().filter(|load| load.latest_at + keep > self.clock).count();
        level.min(rule.most as f64 - (old + new) as f64)
    }

    /// Charges a load that its runner begins within `within`.
    pub fn reserve(&mut self, order: OrderId, within: Span) {
        self.loads.push(ChargedLoad { order, latest_at: self.clock + within, is_settled: false });
    }

    /// Takes back the charge of a load that was refused before it began.
    pub fn release(&mut self, order: OrderId) {
        self.loads.retain(|a| a.order != order);
    }

    /// The load was answered (status 0: not), so it began by now at the latest.
    pub fn record_answer(&mut self, order: OrderId, status: u16) {
        let clock = self.clock;
        if let Some(load) = self.loads.iter_mut().find(|load| load.order == order)
            && status > 0
        {
            load.latest_at = load.latest_at.min(clock);
            load.is_settled = true;
        }
    }
}
