//! When which process was in trouble.

use crate::kernel::time::{Span, Time};

/// A span in which a process may do less than it owes.
#[derive(Clone, Debug)]
pub struct Trouble {
    /// The process.
    pub process: String,
    /// When it began.
    pub from: Time,
    /// When it ended; none while it goes on.
    pub to: Option<Time>,
}

/// All troubles of a run.
#[derive(Clone, Default, Debug)]
pub struct Troubles {
    rows: Vec<Trouble>,
}

impl Troubles {
    /// A trouble of `process` begins, if none is under way there.
    pub fn begin(&mut self, process: &str, now: Time) {
        if !self.is_open(process) {
            self.rows.push(Trouble { process: process.into(), from: now, to: None });
        }
    }

    /// The trouble under way at `process` has ended.
    pub fn end(&mut self, process: &str, now: Time) {
        for row in self.rows.iter_mut().filter(|row| row.process == process && row.to.is_none()) {
            row.to = Some(now);
        }
    }

    /// Whether a trouble of `process` is under way.
    pub fn is_open(&self, process: &str) -> bool {
        self.rows.iter().any(|row| row.process == process && row.to.is_none())
    }

    /// Whether `process` was in trouble at any time from `from` to `to`, or within `slack` of it.
    pub fn touches(&self, process: &str, from: Time, to: Time, slack: Span) -> bool {
        let mine = self.rows.iter().filter(|row| row.process == process);
        mine.into_iter().any(|row| row.within(from, to, slack))
    }

    /// Whether any process was in trouble from `from` to `to`, or within `slack` of it.
    pub fn any(&self, from: Time, to: Time, slack: Span) -> bool {
        self.rows.iter().any(|row| row.within(from, to, slack))
    }
}

impl Trouble {
    fn within(&self, from: Time, to: Time, slack: Span) -> bool {
        self.from <= to + slack && self.to.is_none_or(|end| end + slack >= from)
    }
}
