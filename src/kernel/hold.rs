//! Holds a node's effects back until the disk writes that they depend on are synced.
//!
//! A message may only leave once the records that were saved before it are durable. Effects that say nothing
//! about this node's records leave at once. While a write hangs for [`STUCK_AFTER`], new messages are
//! dropped, as they could be on the network, so that they don't pile up.

use super::disk::Disk;
use super::fault::Fault;
use super::time::{Span, Time};
use crate::msg::{ChainMsg, Effect, Msg, Record};
use std::collections::VecDeque;

/// A write that takes longer than this counts as stuck.
pub const STUCK_AFTER: Span = Span::ms(400);

/// One write to the disk.
#[derive(Clone, Debug)]
pub enum DiskWrite {
    /// Append a record.
    Append(Record),
    /// Replace all records.
    Rewrite(Vec<Record>),
}

/// Writes that are synced together.
#[derive(Clone, Debug)]
pub struct WriteBatch {
    /// The number of the batch, rising by one.
    pub number: u64,
    /// The writes, in order.
    pub writes: Vec<DiskWrite>,
}

/// A batch that is not synced yet, and the effects that wait for it.
#[derive(Clone)]
struct DelayedEffects {
    number: u64,
    submitted_at: Time,
    sets_fleet: bool,
    waiting: Vec<Effect>,
}

/// Holds effects back until the writes before them are synced.
#[derive(Clone, Default)]
pub struct SyncGate {
    next: u64,
    queue: VecDeque<DelayedEffects>,
    was_slow: bool,
}

impl SyncGate {
    /// Takes the effects of one step. Returns those that may leave now, and the batch to write if the step
    /// saves anything.
    pub fn submit(&mut self, now: Time, effects: Vec<Effect>) -> (Vec<Effect>, Option<WriteBatch>) {
        let (mut writes, mut others) = (Vec::new(), Vec::new());
        for e in effects {
            match e {
                Effect::Save(record) => writes.push(DiskWrite::Append(record)),
                Effect::Rewrite(all) => writes.push(DiskWrite::Rewrite(all)),
                other => others.push(other),
            }
        }
        let batch = (!writes.is_empty()).then(|| {
            self.next += 1;
            let sets_fleet = writes.iter().any(sets_fleet);
            self.queue.push_back(DelayedEffects {
                number: self.next,
                submitted_at: now,
                sets_fleet,
                waiting: Vec::new(),
            });
            WriteBatch { number: self.next, writes }
        });
        if self.queue.is_empty() {
            return (others, batch);
        }
        let (stuck, sets_fleet) = (self.is_stuck(now), self.queue.iter().any(|h| h.sets_fleet));
        let mut released = Vec::new();
        for e in others {
            if needs_no_sync(&e, sets_fleet) || (stuck && needs_no_disk(&e)) {
                released.push(e);
            } else if let (false, Some(last)) = (stuck && is_message(&e), self.queue.back_mut()) {
                last.waiting.push(e);
            }
        }
        (released, batch)
    }

    /// Notes that all batches up to this number are synced, and returns the effects that waited for them.
    /// The number 0 notes nothing.
    pub fn release_synced(&mut self, now: Time, up_to: u64) -> Vec<Effect> {
        let mut out = Vec::new();
        if up_to > 0 {
            self.was_slow = self.is_stuck(now);
        }
        while self.queue.front().is_some_and(|h| h.number <= up_to) {
            out.extend(self.queue.pop_front().map(|h| h.waiting).unwrap_or_default());
        }
        out
    }

    /// Whether the oldest write takes too long.
    pub fn is_stuck(&self, now: Time) -> bool {
        self.queue.front().is_some_and(|h| now.since(h.submitted_at) >= STUCK_AFTER)
    }

    /// Whether a write takes too long, or the last one to be synced did.
    pub fn is_slow(&self, now: Time) -> bool {
        self.is_stuck(now) || self.was_slow
    }
}

/// Whether the write tells which fleet this node belongs to or has pledged itself to.
fn sets_fleet(row: &DiskWrite) -> bool {
    matches!(row, DiskWrite::Append(Record::Fleet { .. } | Record::Pledge { .. }))
}

/// Whether the effect may leave before any write is synced. A call that is passed on may not while the
/// node's fleet is not durable.
fn needs_no_sync(e: &Effect, sets_fleet: bool) -> bool {
    match e {
        Effect::Answer { .. } | Effect::Ready(_) | Effect::RouterCount(_) | Effect::PollRunners(_) => true,
        Effect::Reset(_) | Effect::OrderRunner(_) => true,
        Effect::Send { msg: Msg::OperatorCall { .. } | Msg::ReadCall { .. }, .. } => !sets_fleet,
        _ => false,
    }
}

/// Whether the message says nothing about what is on this node's disk, so that it leaves even while a write
/// hangs. A lease is granted from the voter's memory alone: after a restart the voter waits for longer than
/// any grant lasts before it votes.
fn needs_no_disk(e: &Effect) -> bool {
    let Effect::Send { msg: Msg::Chain(msg), .. } = e else { return false };
    matches!(
        msg,
        ChainMsg::Heartbeat { .. }
            | ChainMsg::LeaseRequest { .. }
            | ChainMsg::LeaseGrant { .. }
            | ChainMsg::LeaseReturned { .. }
            | ChainMsg::JoinAck
    )
}

fn is_message(e: &Effect) -> bool {
    matches!(e, Effect::Send { .. } | Effect::SendAt { .. })
}

/// Performs the writes in order; those before the last rewrite are skipped, because it replaces them.
///
/// # Errors
///
/// The fault of the disk; some of the writes may have been made.
pub fn write_batch(disk: &mut dyn Disk, writes: &[DiskWrite]) -> Result<(), Fault> {
    let from = writes.iter().rposition(|r| matches!(r, DiskWrite::Rewrite(_)));
    if let Some(DiskWrite::Rewrite(all)) = from.and_then(|k| writes.get(k)) {
        disk.rewrite(all)?;
    }
    let adds = writes.iter().skip(from.map_or(0, |k| k + 1)).filter_map(|r| match r {
        DiskWrite::Append(record) => Some(record.clone()),
        DiskWrite::Rewrite(_) => None,
    });
    let adds: Vec<Record> = adds.collect();
    if adds.is_empty() { Ok(()) } else { disk.add(&adds) }
}
