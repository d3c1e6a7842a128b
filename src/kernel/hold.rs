use super::disk::Disk;
use super::fault::Fault;
use super::time::{Span, Time};
use crate::msg::{ChainMsg, Effect, Msg, Record};
use std::collections::VecDeque;

pub const STUCK_AFTER: Span = Span::ms(400);

#[derive(Clone, Debug)]
pub enum DiskWrite {
    Append(Record),
    Rewrite(Vec<Record>),
}

#[derive(Clone, Debug)]
pub struct WriteBatch {
    pub number: u64,
    pub writes: Vec<DiskWrite>,
}

#[derive(Clone)]
struct DelayedEffects {
    number: u64,
    since: Time,
    bare: bool,
    rest: Vec<Effect>,
}

#[derive(Clone, Default)]
pub struct SyncGate {
    next: u64,
    queue: VecDeque<DelayedEffects>,
    late: bool,
}

impl SyncGate {
    pub fn submit(&mut self, now: Time, out: Vec<Effect>) -> (Vec<Effect>, Option<WriteBatch>) {
        let (mut writes, mut rest) = (Vec::new(), Vec::new());
        for e in out {
            match e {
                Effect::Save(record) => writes.push(DiskWrite::Append(record)),
                Effect::Rewrite(all) => writes.push(DiskWrite::Rewrite(all)),
                other => rest.push(other),
            }
        }
        let job = (!writes.is_empty()).then(|| {
            self.next += 1;
            let bare = writes.iter().any(bare);
            self.queue.push_back(DelayedEffects { number: self.next, since: now, bare, rest: Vec::new() });
            WriteBatch { number: self.next, writes }
        });
        if self.queue.is_empty() {
            return (rest, job);
        }
        let (stuck, bare) = (self.is_stuck(now), self.queue.iter().any(|h| h.bare));
        let mut free = Vec::new();
        for e in rest {
            if needs_no_sync(&e, bare) || (stuck && needs_no_disk(&e)) {
                free.push(e);
            } else if let (false, Some(last)) = (stuck && is_message(&e), self.queue.back_mut()) {
                last.rest.push(e);
            }
        }
        (free, job)
    }

    pub fn release_synced(&mut self, now: Time, upto: u64) -> Vec<Effect> {
        let mut out = Vec::new();
        if upto > 0 {
            self.late = self.is_stuck(now);
        }
        while self.queue.front().is_some_and(|h| h.number <= upto) {
            out.extend(self.queue.pop_front().map(|h| h.rest).unwrap_or_default());
        }
        out
    }

    pub fn is_stuck(&self, now: Time) -> bool {
        self.queue.front().is_some_and(|h| now.since(h.since) >= STUCK_AFTER)
    }

    pub fn is_slow(&self, now: Time) -> bool {
        self.is_stuck(now) || self.late
    }
}

fn bare(row: &DiskWrite) -> bool {
    matches!(row, DiskWrite::Append(Record::Fleet { .. } | Record::Pledge { .. }))
}

fn needs_no_sync(e: &Effect, bare: bool) -> bool {
    match e {
        Effect::Answer { .. } | Effect::Ready(_) | Effect::RouterCount(_) | Effect::PollRunners(_) => true,
        Effect::Reset(_) | Effect::OrderRunner(_) => true,
        Effect::Send { msg: Msg::OperatorCall { .. } | Msg::ReadCall { .. }, .. } => !bare,
        _ => false,
    }
}

/// Whether this says nothing of what is on this node's disk, so that it leaves even while a write hangs. A lease is
/// granted from the memory of the voter alone: a restart waits for longer than any grant lasts before it votes.
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
