//! Measures how long the steps of a node take, by component and by kind of input, with the driver's clock.
#![deny(missing_docs)]

use super::time::{Clock, Span, Time};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;

/// The interval over which figures are collected.
pub const INTERVAL: Span = Span::ms(5_000);
/// The number of rows shown of a table.
const SHOWN: usize = 6;

/// Figures of the steps of one component or one kind of input.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Steps {
    /// The number of steps.
    pub count: u64,
    /// Their total time.
    pub sum: Span,
    /// The time of the longest.
    pub longest: Span,
}

impl Steps {
    fn add(&mut self, took: Span) {
        self.count += 1;
        self.sum = self.sum + took;
        self.longest = self.longest.max(took);
    }
}

type Table = BTreeMap<&'static str, Steps>;

/// The figures of one interval.
#[derive(Clone, Default)]
pub struct StepFigures {
    /// All steps.
    pub all: Steps,
    /// By component.
    pub components: Table,
    /// By kind of input.
    pub kinds: Table,
}

/// Measures the steps of one node.
pub struct StepTimes {
    clock: Arc<dyn Clock>,
    since: Time,
    began: Time,
    lap_began: Time,
    current: StepFigures,
    last: StepFigures,
}

impl StepTimes {
    /// Measures with `clock`.
    pub fn new(clock: Arc<dyn Clock>) -> StepTimes {
        let now = clock.now();
        let (current, last) = Default::default();
        StepTimes { clock, since: now, began: now, lap_began: now, current, last }
    }

    /// A step begins.
    pub fn begin(&mut self) {
        self.began = self.clock.now();
        self.lap_began = self.began;
    }

    /// A component has handled an event of the step.
    pub fn component(&mut self, name: &'static str) {
        let now = self.clock.now();
        self.current.components.entry(name).or_default().add(now.since(self.lap_began));
        self.lap_began = now;
    }

    /// The step for an input of this kind has ended.
    pub fn end(&mut self, kind: &'static str) {
        let took = self.lap_began.since(self.began);
        self.current.all.add(took);
        self.current.kinds.entry(kind).or_default().add(took);
    }

    /// Counts work of the driver outside the node's steps, since `began`, under `name`.
    pub fn outside(&mut self, name: &'static str, began: Time) {
        let took = self.clock.now().since(began);
        self.current.components.entry(name).or_default().add(took);
    }

    /// The figures of the interval, if it has just ended.
    pub fn ended(&mut self, now: Time) -> Option<&StepFigures> {
        if now.since(self.since) < INTERVAL {
            return None;
        }
        self.since = now;
        self.last = std::mem::take(&mut self.current);
        Some(&self.last)
    }

    /// The figures of the last complete interval.
    pub fn last(&self) -> &StepFigures {
        &self.last
    }
}

impl StepFigures {
    /// The components with the largest total time, as `name=count/sum/longest` in milliseconds.
    pub fn components(&self) -> String {
        shown(&self.components)
    }

    /// The kinds of input with the largest total time, in the same form.
    pub fn kinds(&self) -> String {
        shown(&self.kinds)
    }
}

fn shown(table: &Table) -> String {
    let mut rows: Vec<(&&'static str, &Steps)> = table.iter().collect();
    rows.sort_by_key(|(_, steps)| std::cmp::Reverse(steps.sum));
    let mut text = String::new();
    for (name, steps) in rows.into_iter().take(SHOWN) {
        let (sum, longest) = (milliseconds(steps.sum), milliseconds(steps.longest));
        let _ = write!(text, "{name}={}/{sum}/{longest} ", steps.count);
    }
    text.truncate(text.trim_end().len());
    text
}

fn milliseconds(span: Span) -> String {
    format!("{:.1}", span.0 as f64 / 1000.0)
}
