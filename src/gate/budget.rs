pub const LEAST: u64 = 2;

#[derive(Debug)]
pub struct Tries {
    pub first: u64,
    pub extra: u64,
    pub percent: f64,
    pub share: f64,
    credit: f64,
    held: f64,
}

impl Default for Tries {
    fn default() -> Tries {
        Tries { first: 0, extra: 0, percent: 20.0, share: LEAST as f64, credit: 0.0, held: 0.0 }
    }
}

impl Tries {
    pub fn with(share: f64) -> Tries {
        Tries { share, ..Tries::default() }
    }

    pub fn first(&mut self) {
        self.first += 1;
        let most = self.share.max(LEAST as f64) - self.held;
        self.credit = (self.credit + self.percent / 100.0).min(most.max(0.0));
    }

    pub fn credit(&self) -> f64 {
        self.credit
    }

    pub fn reserve(&mut self, n: u64) -> bool {
        if self.credit < n as f64 {
            return false;
        }
        self.credit -= n as f64;
        self.held += n as f64;
        true
    }

    pub fn give_back(&mut self, n: u64) {
        self.credit += n as f64;
        self.held -= n as f64;
    }

    /// The tries that are kept for moves under way.
    pub fn reserved(&self) -> u64 {
        self.held.round().max(0.0) as u64
    }

    pub fn spend_held(&mut self) {
        self.held -= 1.0;
        self.extra += 1;
    }

    pub fn spend(&mut self) -> bool {
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        self.extra += 1;
        true
    }
}
