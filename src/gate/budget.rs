pub const MIN_CREDIT_LIMIT: u64 = 2;

#[derive(Debug)]
pub struct RetryBudget {
    pub first_sends: u64,
    pub extra_sends: u64,
    pub credit_percent: f64,
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
    pub fn with_credit_limit(share: f64) -> RetryBudget {
        RetryBudget { credit_limit: share, ..RetryBudget::default() }
    }

    pub fn record_first_send(&mut self) {
        self.first_sends += 1;
        let most = self.credit_limit.max(MIN_CREDIT_LIMIT as f64) - self.reserved_credit;
        self.credit = (self.credit + self.credit_percent / 100.0).min(most.max(0.0));
    }

    pub fn credit(&self) -> f64 {
        self.credit
    }

    pub fn try_reserve(&mut self, n: u64) -> bool {
        if self.credit < n as f64 {
            return false;
        }
        self.credit -= n as f64;
        self.reserved_credit += n as f64;
        true
    }

    pub fn return_reserved(&mut self, n: u64) {
        self.credit += n as f64;
        self.reserved_credit -= n as f64;
    }

    /// The tries that are kept for moves under way.
    pub fn reserved(&self) -> u64 {
        self.reserved_credit.round().max(0.0) as u64
    }

    pub fn spend_reserved(&mut self) {
        self.reserved_credit -= 1.0;
        self.extra_sends += 1;
    }

    pub fn try_spend(&mut self) -> bool {
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        self.extra_sends += 1;
        true
    }
}
