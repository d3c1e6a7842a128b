//! A token bucket in whole numbers.
#![deny(missing_docs)]

use crate::fleet::tenants::QuotaLimit;
use crate::kernel::time::{Span, Time};

/// The level is kept in billionths of a token: a thousandth of a token a second is one of them each microsecond.
const UNITS_PER_TOKEN: u64 = 1_000_000_000;
/// The longest time until the next token that is told.
const NEXT_FREE_MOST: Span = Span::ms(60_000);

/// A bucket that was empty as it opened counts as filling for so long at most.
const FILLING_MOST: Span = Span::ms(6000);
/// It is no longer filling once it holds this part of its capacity.
const FILLED_PART: u64 = 2;

/// Tokens that come at a rate, up to a capacity.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    limit: QuotaLimit,
    level: u64,
    refilled: Time,
    opened: Time,
    filling: bool,
}

impl TokenBucket {
    /// An empty bucket whose first tokens come after `from`.
    pub fn empty(limit: QuotaLimit, from: Time) -> TokenBucket {
        TokenBucket { limit, level: 0, refilled: from, opened: from, filling: true }
    }

    /// A bucket that another owner counted until now. Requests may have come while nobody granted.
    pub fn handed_over(limit: QuotaLimit, level: u64, now: Time) -> TokenBucket {
        let bucket = TokenBucket { limit, level, refilled: now, opened: now, filling: true };
        TokenBucket { level: level.min(bucket.capacity()), ..bucket }
    }

    /// What it holds, for another owner.
    pub fn level(&mut self, now: Time) -> u64 {
        self.refill(now);
        self.level
    }

    /// Takes over a limit; the level stays, at most the new capacity.
    pub fn set_limit(&mut self, limit: QuotaLimit, now: Time) {
        self.refill(now);
        self.limit = limit;
        self.level = self.level.min(self.capacity());
    }

    /// Whole tokens that may be taken now.
    pub fn tokens(&mut self, now: Time) -> u64 {
        self.refill(now);
        self.level / UNITS_PER_TOKEN
    }

    /// Takes as many of the wanted tokens as there are.
    pub fn take(&mut self, wanted: u64, now: Time) -> u64 {
        let taken = wanted.min(self.tokens(now));
        self.level -= taken * UNITS_PER_TOKEN;
        taken
    }

    /// Whether at least half of the capacity is left.
    pub fn is_half_full(&mut self, now: Time) -> bool {
        self.refill(now);
        self.level >= self.capacity() / 2
    }

    /// Whether its first tokens have come.
    pub fn is_open(&self, now: Time) -> bool {
        now >= self.opened
    }

    /// Whether requests that came while nobody granted may still be ahead of what it has gained since it opened empty.
    pub fn is_filling(&mut self, now: Time) -> bool {
        self.refill(now);
        self.filling &= now.since(self.opened) < FILLING_MOST && self.level < self.capacity() / FILLED_PART;
        self.filling
    }

    /// How long until there is a whole token.
    pub fn next_free(&mut self, now: Time) -> Span {
        self.refill(now);
        let missing = UNITS_PER_TOKEN.saturating_sub(self.level);
        if self.limit.rate_milli == 0 && missing > 0 {
            return NEXT_FREE_MOST;
        }
        let wait = Span(missing.div_ceil(self.limit.rate_milli.max(1)));
        (self.refilled.since(now) + wait).min(NEXT_FREE_MOST)
    }

    fn capacity(&self) -> u64 {
        self.limit.burst.max(1).saturating_mul(UNITS_PER_TOKEN)
    }

    fn refill(&mut self, now: Time) {
        let gained = u128::from(self.limit.rate_milli) * u128::from(now.since(self.refilled).0);
        let level = u128::from(self.level) + gained;
        self.level = level.min(u128::from(self.capacity())) as u64;
        self.refilled = self.refilled.max(now);
    }
}
