//! The inputs that wait for a node, in lanes: the most urgent first, in order within a lane.
//!
//! A lane that is never empty would keep those behind it waiting for good, so each of them gets a turn after
//! `TURNS` inputs of the lanes before; only the chain's lane, which few senders fill, is always first.
#![deny(missing_docs)]

use super::lanes::{Class, LANES, Lane, Slot};
use super::time::{Span, Time};
use std::collections::{BTreeMap, BTreeSet};

/// After how many serving inputs a lane behind them gets its turn.
pub const TURNS: u32 = 32;
/// For how many serving inputs one of the duties counts: its steps are long.
const WEIGHT_OF_DUTY: u32 = 8;
/// How many inputs may wait in one lane of a node; beyond that the oldest that may be lost is dropped.
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

/// What a lane looks like.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct LaneState {
    /// How many inputs wait.
    pub length: usize,
    /// How long the first of them has waited.
    pub oldest: Span,
    /// How long the longest wait of the interval was.
    pub longest: Span,
    /// How many were dropped since the start.
    pub dropped: u64,
    /// How many gave their place to a newer one.
    pub replaced: u64,
}

/// An input whose turn it is.
#[derive(Debug, PartialEq, Eq)]
pub struct Next<T> {
    /// The input.
    pub item: T,
    /// The lane it waited in.
    pub lane: Lane,
    /// For how long.
    pub waited: Span,
}

/// The inputs that wait for one node.
pub struct InputQueue<T> {
    lanes: [LaneQueue<T>; LANES.len()],
    /// How many inputs of more urgent lanes were served since each lane had its turn, by weight.
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
    /// A queue of which each lane drops what may be lost beyond `limit` inputs.
    pub fn limited(limit: usize) -> InputQueue<T> {
        InputQueue { lanes: LANES.map(|_| LaneQueue::new(limit)), passed_over: [0; LANES.len()] }
    }

    /// Queues an input that came at `now`.
    pub fn add(&mut self, now: Time, class: Class, item: T) {
        self.lanes[class.lane as usize].add(now, class, item);
    }

    /// The input whose turn it is.
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

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.lanes.iter().all(|lane| lane.rows.is_empty())
    }

    /// How many were dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.lanes.iter().map(|lane| lane.dropped).sum()
    }

    /// What each lane looks like.
    pub fn state(&self, now: Time) -> [(Lane, LaneState); LANES.len()] {
        LANES.map(|lane| (lane, self.lanes[lane as usize].state(now)))
    }

    /// The longest waits are counted anew.
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
