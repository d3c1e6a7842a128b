//! The retry budget of a service: each first attempt earns a fraction of a further one.

/// Smallest limit of the credit, in attempts.
pub const MIN_CREDIT_LIMIT: u64 = 2;

/// Credit for attempts beyond the first.
#[derive(Debug)]
pub struct RetryBudget {
    /// First attempts so far.
    pub first_sends: u64,
    /// Further attempts so far.
    pub extra_sends: u64,
    /// Credit earned by a first attempt, in percent of an attempt.
    pub credit_percent: f64,
    /// Most credit that may be saved, reserved credit included: the share of this router.
    pub credit_limit: f64,
    credit: f64,
    reserved_credit: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget {
            first_sends: 0,
            extra_sends: 0,
            credit_percent: 20.0,
            credit_limit: MIN_CREDIT_LIMIT as f64,
            credit: 0.0,
            reserved_credit: 0.0,
        }
    }
}

impl RetryBudget {
    /// An empty budget with this limit.
    pub fn with_credit_limit(share: f64) -> RetryBudget {
        RetryBudget { credit_limit: share, ..RetryBudget::default() }
    }

    /// Counts a first attempt and earns its credit.
    pub fn record_first_send(&mut self) {
        self.first_sends += 1;
        let most = self.credit_limit.max(MIN_CREDIT_LIMIT as f64) - self.reserved_credit;
        self.credit = (self.credit + self.credit_percent / 100.0).min(most.max(0.0));
    }

    /// Credit that is not reserved, in attempts.
    pub fn credit(&self) -> f64 {
        self.credit
    }

    /// Reserves credit for `n` attempts; false if there is too little.
    pub fn try_reserve(&mut self, n: u64) -> bool {
        if self.credit < n as f64 {
            return false;
        }
        self.credit -= n as f64;
        self.reserved_credit += n as f64;
        true
    }

    /// Returns reserved credit for `n` attempts.
    pub fn return_reserved(&mut self, n: u64) {
        self.credit += n as f64;
        self.reserved_credit -= n as f64;
    }

    /// Attempts reserved for moves in progress.
    pub fn reserved(&self) -> u64 {
        self.reserved_credit.round().max(0.0) as u64
    }

    /// Counts a further attempt on reserved credit.
    pub fn spend_reserved(&mut self) {
        self.reserved_credit -= 1.0;
        self.extra_sends += 1;
    }

    /// Counts a further attempt; false if there is too little credit.
    pub fn try_spend(&mut self) -> bool {
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        self.extra_sends += 1;
        true
    }
}
