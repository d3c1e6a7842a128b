//! How two runs of one request relate, and whether an event of one may follow the events of the other.
#![deny(missing_docs)]

use super::event_buffer::StreamEvent;

/// What runners promise of two runs of the same request.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum RunContract {
    /// Every run gives the same events, byte for byte.
    #[default]
    SameEvents,
    /// Every run has content of its own: an event's id alone tells its place in the stream.
    SameIds,
}

impl RunContract {
    /// Whether two events of different runs stand at the same place of the stream.
    pub fn is_same_place(self, one: &StreamEvent, other: &StreamEvent) -> bool {
        match self {
            RunContract::SameEvents => one == other,
            RunContract::SameIds => one.id == other.id,
        }
    }

    /// Whether an event has a place that other runs have too; comments and the like have none.
    pub fn has_place(self, item: &StreamEvent) -> bool {
        self == RunContract::SameEvents || item.id.is_some()
    }
}

/// The ids of a stream so far, from which the next one can be told.
#[derive(Clone, Default, Debug)]
pub struct Sequence {
    last: Option<String>,
    /// The largest distance between two ids in a row, where ids are numbers.
    stride: Option<u64>,
    /// Whether `stride` was taken from two ids; else from the first id alone, as ids count from 0.
    measured: bool,
}

impl Sequence {
    /// A stream that goes on after `last`, or from its beginning.
    pub fn after(last: Option<String>) -> Sequence {
        Sequence { last, ..Sequence::default() }
    }

    /// The id of the newest event.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Takes in the id of an event that was passed on.
    pub fn push(&mut self, id: &str) {
        if let Some(distance) = self.distance(id) {
            let known = self.stride.filter(|_| self.measured).unwrap_or(0);
            self.stride = Some(known.max(distance));
            self.measured = self.last.is_some();
        }
        self.last = Some(id.to_string());
    }

    /// Whether an event with `id` goes on where the stream stands: nothing twice and nothing left out.
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

    /// How far `id` lies behind the newest one, if both are numbers and it does; ids count from 0.
    fn distance(&self, id: &str) -> Option<u64> {
        let last = self.last.as_deref().map_or(Some(0), |last| last.parse().ok())?;
        let id: u64 = id.parse().ok()?;
        id.checked_sub(last).filter(|distance| *distance > 0)
    }
}
