//! The schedule of a soak: what is done when, drawn from a seed alone.

use super::episodes::Draw;
use super::step::Step;
use crate::launch::deployment::Deployment;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// How long a process that is told to stop may take.
pub const GRACE: Duration = Duration::from_secs(8);
/// How long after a trouble a process may still show it.
pub const HOLD_TIME: Duration = Duration::from_secs(3);
/// How long a controller that comes back may take to be in step.
pub const SYNC_TIME: Duration = Duration::from_secs(4);
/// How long requests may still reach a runner that is known to leave.
pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the first processes get before anything happens to them.
const QUIET_START: Duration = Duration::from_secs(2);
/// The least time of a soak: every episode must have ended by then.
pub const LENGTH_LEAST: Duration = Duration::from_secs(18);

/// Which kinds of trouble a soak has.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Style {
    /// Stops, restarts, signals and changes as they are planned: no request may be lost.
    Planned,
    /// Crashes, freezes and misbehaving runners as well.
    Mixed,
}

impl fmt::Display for Style {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Style::Planned => "planned",
            Style::Mixed => "mixed",
        })
    }
}

/// What is done when, counted from the moment the clients begin.
pub struct Schedule {
    /// The seed it was drawn from.
    pub seed: u64,
    /// Which kinds of trouble it has.
    pub style: Style,
    /// How long the clients send.
    pub length: Duration,
    /// The runners whose streams end with their connection.
    pub unframed: BTreeSet<String>,
    /// The steps, the earliest first.
    pub steps: Vec<(Duration, Step)>,
}

impl Schedule {
    /// Draws the schedule of `seed` for a fleet; one seed in three has planned work alone.
    pub fn draw(seed: u64, plan: &Deployment, length: Duration) -> Schedule {
        let style = if seed.is_multiple_of(3) { Style::Planned } else { Style::Mixed };
        let mut draw = Draw::new(seed, plan);
        let unframed = draw.unframed();
        let last = length.saturating_sub(LENGTH_LEAST - QUIET_START);
        let mut at = QUIET_START;
        while at <= last {
            draw.episode(at, style);
            at += draw.pause();
        }
        let mut steps = draw.steps;
        steps.sort_by_key(|step| step.0);
        Schedule { seed, style, length, unframed, steps }
    }

    /// How many steps of each kind there are.
    pub fn kinds(&self) -> BTreeMap<String, u64> {
        let mut kinds = BTreeMap::new();
        for (_, step) in &self.steps {
            *kinds.entry(step.kind()).or_default() += 1;
        }
        kinds
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let unframed: Vec<&str> = self.unframed.iter().map(|name| name.as_str()).collect();
        let seconds = self.length.as_secs();
        writeln!(
            f,
            "seed={} style={} seconds={seconds} unframed={}",
            self.seed,
            self.style,
            unframed.join(",")
        )?;
        for (at, step) in &self.steps {
            writeln!(f, "at={:.3} step={step}", at.as_secs_f64())?;
        }
        Ok(())
    }
}
