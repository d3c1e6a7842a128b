use crate::fleet::config::Store;
use crate::kernel::ids::OrderId;
use crate::kernel::time::{Span, Time};
use std::collections::VecDeque;

const STRIDE: Span = Span::ms(100);
const LATE: Span = Span::ms(3000);
const SLACK: Span = Span::ms(100);

#[derive(Clone, Debug)]
struct Ask {
    order: OrderId,
    latest: Time,
    sure: bool,
}

#[derive(Clone, Default, Debug)]
pub struct StoreBudget {
    clock: Time,
    seen: Time,
    level: f64,
    at: Time,
    asks: Vec<Ask>,
    past: VecDeque<Time>,
}

impl StoreBudget {
    pub fn tick(&mut self, now: Time) {
        let gap = now.since(self.seen);
        self.clock = self.clock + if gap > STRIDE { Span(0) } else { gap };
        self.seen = now;
    }

    pub fn clock(&self) -> Time {
        self.clock
    }

    pub fn found(&mut self, rule: &Store) {
        *self = StoreBudget { clock: self.clock, seen: self.seen, at: self.clock, ..StoreBudget::default() };
        self.level = rule.burst as f64;
    }

    pub fn follow(&mut self, rule: &Store, last: Span) {
        self.found(rule);
        self.level = 0.0;
        self.at = self.clock + last;
        if !Self::window_follows(rule) {
            self.past = (0..rule.most).map(|_| self.at).collect();
        }
    }

    /// Whether what is saved up and the steady rate never make more loads than a window may hold: then an empty level
    /// is all that a successor needs.
    fn window_follows(rule: &Store) -> bool {
        let steady = (rule.window_ms * rule.loads_per_minute).div_ceil(60_000);
        rule.burst + steady <= rule.most
    }

    fn full(rule: &Store, level: f64, from: Time, to: Time) -> f64 {
        let more = to.since(from).0 as f64 * rule.loads_per_minute as f64 / 6e7;
        (level + more).min(rule.burst as f64)
    }

    fn fold(&mut self, rule: &Store) {
        self.asks.sort_by_key(|a| a.latest);
        while let Some(a) = self.asks.first() {
            if !a.sure && a.latest + LATE > self.clock {
                break;
            }
            let latest = a.latest;
            self.level = Self::full(rule, self.level, self.at, latest) - 1.0;
            self.at = self.at.max(latest);
            self.past.push_back(latest);
            self.asks.remove(0);
        }
        let keep = Span::ms(rule.window_ms) + SLACK;
        self.past.retain(|t| *t + keep > self.clock);
    }

    pub fn left(&mut self, rule: &Store) -> f64 {
        self.fold(rule);
        let (mut level, mut at) = (self.level, self.at);
        for a in &self.asks {
            let when = a.latest.max(at);
            level = Self::full(rule, level, at, when.min(self.clock.max(at))) - 1.0;
            at = when.min(self.clock.max(at));
        }
        level = Self::full(rule, level, at, self.clock);
        if rule.most == 0 {
            return level;
        }
        let keep = Span::ms(rule.window_ms) + SLACK;
        let old = self.past.len();
        let new = self.asks.iter().filter(|a| a.latest + keep > self.clock).count();
        level.min(rule.most as f64 - (old + new) as f64)
    }

    pub fn took(&mut self, order: OrderId, within: Span) {
        self.asks.push(Ask { order, latest: self.clock + within, sure: false });
    }

    pub fn give_back(&mut self, order: OrderId) {
        self.asks.retain(|a| a.order != order);
    }

    pub fn answered(&mut self, order: OrderId, status: u16) {
        let clock = self.clock;
        if let Some(a) = self.asks.iter_mut().find(|a| a.order == order)
            && status > 0
        {
            a.latest = a.latest.min(clock);
            a.sure = true;
        }
    }
}
