use super::config::Class;
use super::runner::RunnerReport;
use crate::kernel::ids::*;
use crate::kernel::time::Span;
use bitcode::{Decode, Encode};

/// A model or adapter that orders wait for and that no staying runner holds.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct UnmetDemand {
    pub service: Name,
    pub name: Name,
    pub class: Class,
    pub count: u64,
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Holding {
    pub report: RunnerReport,
    pub closing: Vec<Name>,
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct RunnerHoldings {
    pub runner: Name,
    pub running: u64,
    pub waiting: u64,
    pub tokens: u64,
    pub silent: bool,
    pub holding: Option<Box<Holding>>,
}

/// What the holder of the placement duty tells routers of the runners' holdings.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct HoldingsUpdate {
    /// Who holds the duty.
    pub holder: NodeId,
    /// Its term.
    pub term: Term,
    /// The number of this message under the term.
    pub seq: u64,
    /// Whether these are all holdings, or those that changed since the message before.
    pub whole: bool,
    /// Whether the router that gets it passes it on to the others of its zone.
    pub relay: bool,
    /// The runners and what they hold.
    pub rows: Vec<RunnerHoldings>,
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct NameUsage {
    pub service: Name,
    pub name: Name,
    pub idle: Span,
    pub milli_per_s: u64,
}

impl RunnerHoldings {
    pub fn of(runner: &Name, r: &RunnerReport, closing: &[Name], silent: bool) -> RunnerHoldings {
        let report = RunnerReport { runs: vec![], running: 0, waiting: 0, tokens: 0, orders: 0, ..r.clone() };
        RunnerHoldings {
            runner: runner.clone(),
            running: r.running,
            waiting: r.waiting,
            tokens: r.tokens,
            silent,
            holding: Some(Box::new(Holding { report, closing: closing.to_vec() })),
        }
    }

    /// What changed since `old`; `None` if nothing did.
    pub fn after(&self, old: Option<&RunnerHoldings>) -> Option<RunnerHoldings> {
        if old == Some(self) {
            return None;
        }
        let same = old.is_some_and(|o| o.holding == self.holding);
        Some(RunnerHoldings { holding: if same { None } else { self.holding.clone() }, ..self.clone() })
    }

    /// Only figures differ from `old`.
    pub fn minor(&self, old: Option<&RunnerHoldings>) -> bool {
        old.is_some_and(|o| o.holding == self.holding && o.silent == self.silent)
    }
}

impl Holding {
    pub fn open(&self) -> RunnerReport {
        let mut r = self.report.clone();
        r.holds.retain(|n| !self.closing.contains(n));
        r
    }
}
