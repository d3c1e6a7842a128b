//! A token bucket with integer arithmetic.
//!
#![deny(missing_docs)]

use crate::fleet::tenants::QuotaLimit;
use crate::kernel::time::{Span, Time};

/// The level is kept in billionths of a token: a rate of 0.001 tokens per second adds one of them each microsecond.
const UNITS_PER_TOKEN: u64 = 1_000_000_000;
/// Longest time to the next token that is reported.
const NEXT_FREE_MOST: Span = Span::ms(60_000);

/// Longest time for which a bucket that opened empty counts as filling.
const FILLING_MOST: Span = Span::ms(6000);
/// A bucket stops filling once it holds its capacity divided by this.
const FILLED_PART: u64 = 2;

/// A bucket that gains tokens at a rate, up to a capacity.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    limit: QuotaLimit,
    level: u64,
    refilled_at: Time,
    opened_at: Time,
    is_filling: bool,
}

impl TokenBucket {
    /// An empty bucket that gains tokens after `from`.
    pub fn empty(limit: QuotaLimit, from: Time) -> TokenBucket {
        TokenBucket { limit, level: 0, refilled_at: from, opened_at: from, is_filling: true }
    }

    /// A bucket with the level that another owner counted. Requests may have piled up while nobody granted.
    pub fn handed_over(limit: QuotaLimit, level: u64, now: Time) -> TokenBucket {
        let bucket = TokenBucket { limit, level, refilled_at: now, opened_at: now, is_filling: true };
        TokenBucket { level: level.min(bucket.capacity()), ..bucket }
    }

    /// Its level in billionths of a token, for another owner.
    pub fn level(&mut self, now: Time) -> u64 {
        self.refill(now);
        self.level
    }

    /// Changes the limit; the level stays, up to the new capacity.
    pub fn set_limit(&mut self, limit: QuotaLimit, now: Time) {
        self.refill(now);
        self.limit = limit;
        self.level = self.level.min(self.capacity());
    }

    /// Whole tokens available now.
    pub fn tokens(&mut self, now: Time) -> u64 {
        self.refill(now);
        self.level / UNITS_PER_TOKEN
    }

    /// Takes the wanted tokens, or as many as there are.
    pub fn take(&mut self, wanted: u64, now: Time) -> u64 {
        let taken = wanted.min(self.tokens(now));
        self.level -= taken * UNITS_PER_TOKEN;
        taken
    }

    /// Whether it holds at least half its capacity.
    pub fn is_half_full(&mut self, now: Time) -> bool {
        self.refill(now);
        self.level >= self.capacity() / 2
    }

    /// Whether it has begun to gain tokens.
    pub fn is_open(&self, now: Time) -> bool {
        now >= self.opened_at
    }

    /// Whether requests that piled up while nobody granted may still outnumber the tokens gained since it opened.
    pub fn is_filling(&mut self, now: Time) -> bool {
        self.refill(now);
        self.is_filling &=
            now.since(self.opened_at) < FILLING_MOST && self.level < self.capacity() / FILLED_PART;
        self.is_filling
    }

    /// Time to the next whole token.
    pub fn next_free(&mut self, now: Time) -> Span {
        self.refill(now);
        let missing = UNITS_PER_TOKEN.saturating_sub(self.level);
        if self.limit.rate_milli == 0 && missing > 0 {
            return NEXT_FREE_MOST;
        }
        let wait = Span(missing.div_ceil(self.limit.rate_milli.max(1)));
        (self.refilled_at.since(now) + wait).min(NEXT_FREE_MOST)
    }

    fn capacity(&self) -> u64 {
        self.limit.burst.max(1).saturating_mul(UNITS_PER_TOKEN)
    }

    fn refill(&mut self, now: Time) {
        let gained = u128::from(self.limit.rate_milli) * u128::from(now.since(self.refilled_at).0);
        let level = u128::from(self.level) + gained;
        self.level = level.min(u128::from(self.capacity())) as u64;
        self.refilled_at = self.refilled_at.max(now);
    }
}
