//! What runners hold, as the holder of the placement duty tells routers, and what routers ask of it in
//! return.

use super::config::Class;
use super::runner::RunnerReport;
use crate::kernel::ids::*;
use crate::kernel::time::Span;
use bitcode::{Decode, Encode};

/// A model or adapter that requests wait for, and that no runner which stays holds.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct UnmetDemand {
    /// The service of the requests.
    pub service: Name,
    /// The model or adapter.
    pub name: Name,
    /// The most urgent class of the requests.
    pub class: Class,
    /// The number of requests.
    pub count: u64,
}

/// What one runner holds.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Holding {
    /// Its last report, without figures that change all the time.
    pub report: RunnerReport,
    /// What it holds and is about to unload: routers send no new requests for it.
    pub closing: Vec<Name>,
}

/// What one runner holds, and its load.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct RunnerHoldings {
    /// The runner.
    pub runner: Name,
    /// Requests in execution.
    pub running: u64,
    /// Requests in its queue.
    pub waiting: u64,
    /// Tokens in its KV cache.
    pub tokens: u64,
    /// Whether it has stopped sending reports.
    pub silent: bool,
    /// What it holds; `None` if that has not changed since the last message.
    pub holding: Option<Box<Holding>>,
}

/// A message from the holder of the placement duty to routers.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct HoldingsUpdate {
    /// The holder.
    pub holder: NodeId,
    /// Its term.
    pub term: Term,
    /// The number of this message in the term.
    pub seq: u64,
    /// Whether it lists all runners; otherwise only those that changed since the message before.
    pub whole: bool,
    /// Whether the receiver forwards it to the other routers of its zone.
    pub relay: bool,
    /// The runners.
    pub rows: Vec<RunnerHoldings>,
}

/// How a router uses one model or adapter.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct NameUsage {
    /// The service.
    pub service: Name,
    /// The model or adapter.
    pub name: Name,
    /// How long ago the last request for it came.
    pub idle: Span,
    /// Thousandths of a request per second.
    pub milli_per_s: u64,
}

impl RunnerHoldings {
    /// The holdings that a report shows.
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
    pub fn changes_since(&self, old: Option<&RunnerHoldings>) -> Option<RunnerHoldings> {
        if old == Some(self) {
            return None;
        }
        let same = old.is_some_and(|o| o.holding == self.holding);
        Some(RunnerHoldings { holding: if same { None } else { self.holding.clone() }, ..self.clone() })
    }

    /// Whether only figures differ from `old`.
    pub fn differs_only_in_figures(&self, old: Option<&RunnerHoldings>) -> bool {
        old.is_some_and(|o| o.holding == self.holding && o.silent == self.silent)
    }
}

impl Holding {
    /// The report without what is about to be unloaded.
    pub fn open(&self) -> RunnerReport {
        let mut r = self.report.clone();
        r.holds.retain(|n| !self.closing.contains(n));
        r
    }
}
