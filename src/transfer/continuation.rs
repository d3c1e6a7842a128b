//! Whether an event of one run of a request may follow the events of another run.
//!
#![deny(missing_docs)]

use super::event_buffer::StreamEvent;

/// What runners guarantee about two runs of the same request.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum RunContract {
    /// All runs produce the same events, byte for byte.
    #[default]
    SameEvents,
    /// Each run has content of its own; only the id of an event gives its place in the stream.
    SameIds,
}

impl RunContract {
    /// Whether two events of different runs have the same place in the stream.
    pub fn is_same_place(self, one: &StreamEvent, other: &StreamEvent) -> bool {
        match self {
            RunContract::SameEvents => one == other,
            RunContract::SameIds => one.id == other.id,
        }
    }

    /// Whether the event has a place that other runs have too. Comments, for example, have none.
    pub fn has_place(self, item: &StreamEvent) -> bool {
        self == RunContract::SameEvents || item.id.is_some()
    }
}

/// The ids of a stream so far, from which the next one is predicted.
#[derive(Clone, Default, Debug)]
pub struct Sequence {
    last: Option<String>,
    /// Largest distance between consecutive ids, where ids are numbers.
    stride: Option<u64>,
    /// Whether `stride` comes from two ids; else from the first id alone, counting from 0.
    measured: bool,
}

impl Sequence {
    /// A stream that continues after `last`, or starts.
    pub fn after(last: Option<String>) -> Sequence {
        Sequence { last, ..Sequence::default() }
    }

    /// Id of the newest event.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Adds the id of an event that was forwarded.
    pub fn push(&mut self, id: &str) {
        if let Some(distance) = self.distance(id) {
            let known = self.stride.filter(|_| self.measured).unwrap_or(0);
            self.stride = Some(known.max(distance));
            self.measured = self.last.is_some();
        }
        self.last = Some(id.to_string());
    }

    /// Whether an event with `id` continues the stream: nothing repeated and nothing skipped.
    pub fn is_next(&self, id: &str) -> bool {
        let Some(last) = self.last() else { return true };
        if last.parse::<u64>().is_err() && id.parse::<u64>().is_err() {
            return last != id;
        }
        match (self.distance(id), self.stride) {
            (Some(distance), Some(stride)) => distance <= stride,
            (distance, _) => distance.is_some(),
        }
    }

    /// Distance from the newest id, if both are numbers and `id` is greater; ids count from 0.
    fn distance(&self, id: &str) -> Option<u64> {
        let last = self.last.as_deref().map_or(Some(0), |last| last.parse().ok())?;
        let id: u64 = id.parse().ok()?;
        id.checked_sub(last).filter(|distance| *distance > 0)
    }
}
