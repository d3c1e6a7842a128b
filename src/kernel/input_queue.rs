//! The inputs that wait for a node, in lanes: the most urgent lane first, and in order of arrival within a
//! lane.
//!
//! A lane that is never empty would starve those behind it, so each of these gets a turn after [`TURNS`]
//! inputs of the lanes before it. Only the chain's lane, which few senders fill, always goes first.
#![deny(missing_docs)]

use super::lanes::{Class, LANES, Lane, Slot};
use super::time::{Span, Time};
use std::collections::{BTreeMap, BTreeSet};

/// The number of serving inputs after which a lane behind them gets a turn.
pub const TURNS: u32 = 32;
/// The number of serving inputs that one input of the duty lane counts for: its steps are long.
const WEIGHT_OF_DUTY: u32 = 8;
/// The number of inputs that may wait in one lane; beyond it the oldest droppable one is dropped.
pub const LANE_LIMIT: usize = 2048;

struct Waiting<T> {
    item: T,
    since: Time,
    class: Class,
}

struct LaneQueue<T> {
    rows: BTreeMap<u64, Waiting<T>>,
    slots: BTreeMap<Slot, u64>,
    droppable: BTreeSet<u64>,
    limit: usize,
    next: u64,
    longest: Span,
    dropped: u64,
    replaced: u64,
}

/// The state of a lane.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct LaneState {
    /// The number of waiting inputs.
    pub length: usize,
    /// How long the first of them has waited.
    pub oldest: Span,
    /// The longest wait of the current interval.
    pub longest: Span,
    /// The number of inputs dropped since the start.
    pub dropped: u64,
    /// The number of inputs replaced by a newer one since the start.
    pub replaced: u64,
}

/// The input whose turn it is.
#[derive(Debug, PartialEq, Eq)]
pub struct Next<T> {
    /// The input.
    pub item: T,
    /// The lane in which it waited.
    pub lane: Lane,
    /// How long it waited.
    pub waited: Span,
}

/// The inputs that wait for one node.
pub struct InputQueue<T> {
    lanes: [LaneQueue<T>; LANES.len()],
    /// For each lane, the weight of the more urgent inputs served since its last turn.
    passed_over: [u32; LANES.len()],
}

impl<T> LaneQueue<T> {
    fn new(limit: usize) -> LaneQueue<T> {
        LaneQueue {
            limit,
            rows: BTreeMap::new(),
            slots: BTreeMap::new(),
            droppable: BTreeSet::new(),
            next: 0,
            longest: Span(0),
            dropped: 0,
            replaced: 0,
        }
    }

    fn add(&mut self, now: Time, class: Class, item: T) {
        let place = class.slot.and_then(|slot| self.slots.get(&slot).copied());
        let older = place.and_then(|place| self.rows.get_mut(&place)).filter(|row| row.class.replaceable);
        if let Some(older) = older {
            (older.item, older.class, older.since) = (item, class, now);
            self.replaced += 1;
            return;
        }
        self.next += 1;
        if let Some(slot) = class.slot {
            self.slots.insert(slot, self.next);
        }
        if class.droppable {
            self.droppable.insert(self.next);
        }
        self.rows.insert(self.next, Waiting { item, since: now, class });
        if self.rows.len() > self.limit
            && let Some(oldest) = self.droppable.first().copied()
        {
            self.remove(oldest);
            self.dropped += 1;
        }
    }

    fn remove(&mut self, place: u64) -> Option<Waiting<T>> {
        let row = self.rows.remove(&place)?;
        self.droppable.remove(&place);
        if let Some(slot) = row.class.slot
            && self.slots.get(&slot) == Some(&place)
        {
            self.slots.remove(&slot);
        }
        Some(row)
    }

    fn pop(&mut self, now: Time) -> Option<(T, Span)> {
        let place = *self.rows.first_key_value()?.0;
        let row = self.remove(place)?;
        let waited = now.since(row.since);
        self.longest = self.longest.max(waited);
        Some((row.item, waited))
    }

    fn state(&self, now: Time) -> LaneState {
        let oldest = self.rows.first_key_value().map_or(Span(0), |(_, row)| now.since(row.since));
        let (longest, dropped, replaced) = (self.longest, self.dropped, self.replaced);
        LaneState { length: self.rows.len(), oldest, longest, dropped, replaced }
    }
}

impl<T> Default for InputQueue<T> {
    fn default() -> InputQueue<T> {
        InputQueue::limited(LANE_LIMIT)
    }
}

impl<T> InputQueue<T> {
    /// A queue whose lanes drop droppable inputs beyond `limit`.
    pub fn limited(limit: usize) -> InputQueue<T> {
        InputQueue { lanes: LANES.map(|_| LaneQueue::new(limit)), passed_over: [0; LANES.len()] }
    }

    /// Queues an input that arrived at `now`.
    pub fn add(&mut self, now: Time, class: Class, item: T) {
        self.lanes[class.lane as usize].add(now, class, item);
    }

    /// Removes and returns the input whose turn it is.
    pub fn pop(&mut self, now: Time) -> Option<Next<T>> {
        let lane = self.turn()?;
        let (item, waited) = self.lanes[lane as usize].pop(now)?;
        self.count(lane);
        Some(Next { item, lane, waited })
    }

    fn count(&mut self, served: Lane) {
        let weight = match served {
            Lane::Chain => return,
            Lane::Duty => WEIGHT_OF_DUTY,
            Lane::Serving | Lane::Deferrable => 1,
        };
        self.passed_over[served as usize] = 0;
        self.passed_over[served as usize + 1..]
            .iter_mut()
            .for_each(|passed| *passed = passed.saturating_add(weight));
    }

    /// Whether no input waits.
    pub fn is_empty(&self) -> bool {
        self.lanes.iter().all(|lane| lane.rows.is_empty())
    }

    /// The number of inputs dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.lanes.iter().map(|lane| lane.dropped).sum()
    }

    /// The state of each lane.
    pub fn state(&self, now: Time) -> [(Lane, LaneState); LANES.len()] {
        LANES.map(|lane| (lane, self.lanes[lane as usize].state(now)))
    }

    /// Starts a new interval for the longest waits.
    pub fn new_interval(&mut self) {
        self.lanes.iter_mut().for_each(|lane| lane.longest = Span(0));
    }

    fn turn(&self) -> Option<Lane> {
        let waits = |lane: &Lane| !self.lanes[*lane as usize].rows.is_empty();
        let first = LANES.into_iter().find(waits)?;
        if first == Lane::Chain {
            return Some(first);
        }
        let is_due = |lane: &Lane| waits(lane) && self.passed_over[*lane as usize] >= TURNS;
        Some(LANES.into_iter().find(is_due).unwrap_or(first))
    }
}
