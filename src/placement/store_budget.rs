use crate::fleet::config::Store;
use crate::kernel::ids::OrderId;
use crate::kernel::time::{Span, Time};
use std::collections::VecDeque;

const MAX_CLOCK_STEP: Span = Span::ms(100);
const ANSWER_TIMEOUT: Span = Span::ms(3000);
const WINDOW_MARGIN: Span = Span::ms(100);

#[derive(Clone, Debug)]
struct ChargedLoad {
    order: OrderId,
    latest_at: Time,
    is_settled: bool,
}

#[derive(Clone, Default, Debug)]
pub struct StoreBudget {
    clock: Time,
    ticked_at: Time,
    level: f64,
    updated_at: Time,
    loads: Vec<ChargedLoad>,
    window: VecDeque<Time>,
}

impl StoreBudget {
    pub fn advance_clock(&mut self, now: Time) {
        let gap = now.since(self.ticked_at);
        self.clock = self.clock + if gap > MAX_CLOCK_STEP { Span(0) } else { gap };
        self.ticked_at = now;
    }

    pub fn clock(&self) -> Time {
        self.clock
    }

    pub fn reset(&mut self, rule: &Store) {
        *self = StoreBudget {
            clock: self.clock,
            ticked_at: self.ticked_at,
            updated_at: self.clock,
            ..StoreBudget::default()
        };
        self.level = rule.burst as f64;
    }

    pub fn reset_for_successor(&mut self, rule: &Store, last: Span) {
        self.reset(rule);
        self.level = 0.0;
        self.updated_at = self.clock + last;
        if !Self::level_bounds_window(rule) {
            self.window = (0..rule.most).map(|_| self.updated_at).collect();
        }
    }

    /// Whether what is saved up and the steady rate never make more loads than a window may hold: then an empty level
    /// is all that a successor needs.
    fn level_bounds_window(rule: &Store) -> bool {
        let steady = (rule.window_ms * rule.loads_per_minute).div_ceil(60_000);
        rule.burst + steady <= rule.most
    }

    fn refill(rule: &Store, level: f64, from: Time, to: Time) -> f64 {
        let more = to.since(from).0 as f64 * rule.loads_per_minute as f64 / 6e7;
        (level + more).min(rule.burst as f64)
    }

    fn settle(&mut self, rule: &Store) {
        self.loads.sort_by_key(|a| a.latest_at);
        while let Some(a) = self.loads.first() {
            if !a.is_settled && a.latest_at + ANSWER_TIMEOUT > self.clock {
                break;
            }
            let latest = a.latest_at;
            self.level = Self::refill(rule, self.level, self.updated_at, latest) - 1.0;
            self.updated_at = self.updated_at.max(latest);
            self.window.push_back(latest);
            self.loads.remove(0);
        }
        let keep = Span::ms(rule.window_ms) + WINDOW_MARGIN;
        self.window.retain(|t| *t + keep > self.clock);
    }

    pub fn left(&mut self, rule: &Store) -> f64 {
        self.settle(rule);
        let (mut level, mut at) = (self.level, self.updated_at);
        for a in &self.loads {
            let when = a.latest_at.max(at);
            level = Self::refill(rule, level, at, when.min(self.clock.max(at))) - 1.0;
            at = when.min(self.clock.max(at));
        }
        level = Self::refill(rule, level, at, self.clock);
        if rule.most == 0 {
            return level;
        }
        let keep = Span::ms(rule.window_ms) + WINDOW_MARGIN;
        let old = self.window.len();
        let new = self.loads.iter().filter(|a| a.latest_at + keep > self.clock).count();
        level.min(rule.most as f64 - (old + new) as f64)
    }

    pub fn reserve(&mut self, order: OrderId, within: Span) {
        self.loads.push(ChargedLoad { order, latest_at: self.clock + within, is_settled: false });
    }

    pub fn release(&mut self, order: OrderId) {
        self.loads.retain(|a| a.order != order);
    }

    pub fn record_answer(&mut self, order: OrderId, status: u16) {
        let clock = self.clock;
        if let Some(a) = self.loads.iter_mut().find(|a| a.order == order)
            && status > 0
        {
            a.latest_at = a.latest_at.min(clock);
            a.is_settled = true;
        }
    }
}
