use super::duty::Placement;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use std::collections::BTreeMap;

const FRESH: Span = Span::ms(1200);

/// How much a model or adapter is used, by what routers tell.
#[derive(Clone, Copy, Debug)]
pub struct Use {
    pub idle: Span,
    pub per_s: f64,
    pub runs: u64,
    pub waits: u64,
}

impl Default for Use {
    fn default() -> Use {
        Use { idle: Span(u64::MAX >> 1), per_s: 0.0, runs: 0, waits: 0 }
    }
}

pub type Uses = BTreeMap<Name, Use>;

impl Placement {
    pub fn uses(&self, now: Time) -> Uses {
        let mut all = Uses::new();
        for (at, tell) in self.tells.values() {
            let age = now.since(*at);
            for u in &tell.uses {
                let row = all.entry(u.name.clone()).or_default();
                if age < FRESH {
                    row.per_s += u.milli_per_s as f64 / 1000.0;
                }
            }
            if age < FRESH {
                for (_, name, n) in &tell.active {
                    all.entry(name.clone()).or_default().runs += n;
                }
            }
        }
        for (name, last) in &self.used {
            all.entry(name.clone()).or_default().idle = now.since(*last);
        }
        for (name, w) in &self.wants {
            all.entry(name.clone()).or_default().waits = w.count();
        }
        all
    }

    pub fn runs_on(&self, runner: &Name) -> Vec<(Name, u64)> {
        let mut sum: BTreeMap<Name, u64> = BTreeMap::new();
        for (r, name, n) in self.tells.values().flat_map(|t| &t.1.active) {
            if r == runner {
                *sum.entry(name.clone()).or_default() += n;
            }
        }
        sum.into_iter().collect()
    }
}
