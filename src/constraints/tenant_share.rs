//! The share of one tenant's quota held by a router, and the requests that wait for it.
//!
#![deny(missing_docs)]

use crate::kernel::time::{Span, Time};
use std::collections::VecDeque;

/// The decision on a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum QuotaDecision {
    /// It has a token.
    Granted,
    /// Its tenant is over its quota for this long.
    Blocked(Span),
    /// No owner answered before its deadline.
    Unanswered,
}

/// Hands the decision to a waiting request; false if it no longer waits.
pub type Wake = Box<dyn FnOnce(QuotaDecision) -> bool + Send>;

/// Period over which uses are counted.
const USE_PERIOD: Span = Span::ms(1000);

struct Tokens {
    count: u32,
    valid_until: Time,
}

struct Waiter {
    deadline: Time,
    wake: Wake,
}

/// The share of one tenant at one router.
#[derive(Default)]
pub struct TenantShare {
    tokens: VecDeque<Tokens>,
    waiters: VecDeque<Waiter>,
    blocked_until: Time,
    uses: VecDeque<Time>,
}

impl TenantShare {
    /// Takes a valid token, if there is one.
    pub fn use_token(&mut self, now: Time) -> bool {
        self.drop_expired(now);
        let Some(first) = self.tokens.front_mut() else { return false };
        first.count -= 1;
        if first.count == 0 {
            self.tokens.pop_front();
        }
        self.uses.push_back(now);
        true
    }

    /// Refuses all waiting requests, and new ones until then.
    pub fn blocked(&self, now: Time) -> Option<Span> {
        (now < self.blocked_until).then(|| self.blocked_until.since(now))
    }

    /// Queues a request for a token until its deadline.
    pub fn wait(&mut self, due: Time, wake: Wake) {
        self.waiters.push_back(Waiter { deadline: due, wake });
    }

    /// Adds tokens, and hands them to waiting requests.
    pub fn add(&mut self, count: u32, valid_until: Time, now: Time) {
        if count > 0 {
            self.tokens.push_back(Tokens { count, valid_until });
        }
        while !self.waiters.is_empty() && self.has_token(now) {
            let Some(waiter) = self.waiters.pop_front() else { return };
            if now < waiter.deadline && (waiter.wake)(QuotaDecision::Granted) {
                self.use_token(now);
            }
        }
    }

    /// Refuses all requests that wait, and those that come until then.
    pub fn block(&mut self, until: Time, now: Time) {
        self.blocked_until = until;
        for waiter in self.waiters.drain(..) {
            (waiter.wake)(QuotaDecision::Blocked(until.since(now)));
        }
    }

    /// Refuses waiting requests whose deadline has passed. Returns their number.
    pub fn refuse_overdue(&mut self, now: Time) -> u64 {
        let (overdue, waiting): (VecDeque<Waiter>, VecDeque<Waiter>) =
            self.waiters.drain(..).partition(|waiter| waiter.deadline <= now);
        self.waiters = waiting;
        let ended = overdue.len() as u64;
        for waiter in overdue {
            (waiter.wake)(QuotaDecision::Unanswered);
        }
        ended
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// Valid unused tokens.
    pub fn outstanding(&mut self, now: Time) -> u64 {
        self.drop_expired(now);
        self.tokens.iter().map(|tokens| u64::from(tokens.count)).sum()
    }

    /// Requests that got a token in the last second.
    pub fn last_second(&mut self, now: Time) -> u32 {
        self.uses.retain(|used| now.since(*used) < USE_PERIOD);
        self.uses.len() as u32
    }

    /// Whether it holds no tokens, waiters, recent uses or block.
    pub fn is_idle(&mut self, now: Time) -> bool {
        let unused = self.last_second(now) == 0 && self.outstanding(now) == 0;
        unused && self.waiters.is_empty() && self.blocked(now).is_none()
    }

    fn has_token(&mut self, now: Time) -> bool {
        self.drop_expired(now);
        !self.tokens.is_empty()
    }

    fn drop_expired(&mut self, now: Time) {
        self.tokens.retain(|tokens| now < tokens.valid_until);
    }
}
