//! From when a new holder of the placement duty may send orders, by the node's own steady clock.
#![deny(missing_docs)]

use super::order_leases::LEASE;
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};
use std::collections::BTreeMap;

/// The orders of two holders to one runner are at least this far apart.
const APART: Span = Span::ms(3000);
/// An order of the predecessor may arrive for as long as a lease lasts; then the runner is left alone.
pub const QUIET: Span = Span(LEASE.0 + APART.0);

/// What a holder has to wait for.
#[derive(Clone, Debug)]
pub struct Takeover {
    /// From when it may order at all.
    all: Time,
    /// From when it may order these runners.
    runners: BTreeMap<Name, Time>,
    /// From when it need not wait for any runner.
    over: Time,
    /// No order of the predecessor arrives but at runners that are listed.
    is_as_deputy: bool,
}

/// How long a holder has to wait yet.
pub struct Wait {
    /// Before it may order at all.
    pub all: Span,
    /// How many runners are left alone for longer than that.
    pub runners: usize,
}

/// A runner that is left alone.
pub struct LeftAlone<'a> {
    /// The runner.
    pub runner: &'a Name,
    /// An order of the predecessor may still arrive there.
    pub arrives: bool,
}

impl Takeover {
    fn of(all: Time) -> Takeover {
        Takeover { all, runners: BTreeMap::new(), over: all, is_as_deputy: false }
    }

    /// This node is not the holder.
    pub fn never() -> Takeover {
        Takeover::of(Time(u64::MAX))
    }

    /// The predecessor was waited out in an earlier life of this process.
    pub fn done() -> Takeover {
        Takeover::of(Time(0))
    }

    /// Any runner may have got orders of the predecessor until now.
    pub fn of_all_runners(clock: Time) -> Takeover {
        Takeover::of(clock + QUIET)
    }

    /// This node was the deputy since `first` and granted the newest leases when `last` tells.
    pub fn as_deputy(first: Time, last: BTreeMap<Name, Time>) -> Takeover {
        let all = first + QUIET;
        let runners: BTreeMap<Name, Time> = last.into_iter().map(|(name, at)| (name, at + QUIET)).collect();
        let over = runners.values().copied().fold(all, Time::max);
        Takeover { all, runners, over, is_as_deputy: true }
    }

    /// Whether orders may go out at all.
    pub fn may_order(&self, clock: Time) -> bool {
        clock >= self.all
    }

    /// Whether orders to `runner` may go out.
    pub fn may_order_at(&self, runner: &Name, clock: Time) -> bool {
        self.may_order(clock) && self.runners.get(runner).is_none_or(|from| clock >= *from)
    }

    /// How long orders of the predecessor, or of an earlier life of this process, may still arrive.
    pub fn orders_arrive_for(&self, clock: Time) -> Span {
        match self.is_as_deputy {
            true => (self.over + LEASE).since(clock + QUIET),
            false => LEASE,
        }
    }

    /// The runners that are left alone for now.
    pub fn left_alone(&self, clock: Time) -> impl Iterator<Item = LeftAlone<'_>> {
        let rows = self.runners.iter().filter(move |row| clock < *row.1);
        rows.map(move |(runner, from)| LeftAlone { runner, arrives: clock + APART < *from })
    }

    /// How long there is to wait yet.
    pub fn wait(&self, clock: Time) -> Wait {
        let begin = self.all.max(clock);
        Wait { all: begin.since(clock), runners: self.left_alone(begin).count() }
    }

    /// Whether there is nothing left to wait for.
    pub fn is_over(&self, clock: Time) -> bool {
        clock >= self.over
    }
}
