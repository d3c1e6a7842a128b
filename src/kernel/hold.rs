use super::disk::Disk;
use super::fault::Fault;
use super::time::{Span, Time};
use crate::msg::{ChainMsg, Effect, Msg, Record};
use std::collections::VecDeque;

pub const STUCK: Span = Span::ms(400);

#[derive(Clone, Debug)]
pub enum Save {
    Add(Record),
    Rewrite(Vec<Record>),
}

#[derive(Clone, Debug)]
pub struct Job {
    pub no: u64,
    pub rows: Vec<Save>,
}

#[derive(Clone)]
struct Held {
    no: u64,
    since: Time,
    bare: bool,
    rest: Vec<Effect>,
}

#[derive(Clone, Default)]
pub struct Hold {
    next: u64,
    queue: VecDeque<Held>,
    late: bool,
}

impl Hold {
    pub fn take(&mut self, now: Time, out: Vec<Effect>) -> (Vec<Effect>, Option<Job>) {
        let (mut rows, mut rest) = (Vec::new(), Vec::new());
        for e in out {
            match e {
                Effect::Save(record) => rows.push(Save::Add(record)),
                Effect::Rewrite(all) => rows.push(Save::Rewrite(all)),
                other => rest.push(other),
            }
        }
        let job = (!rows.is_empty()).then(|| {
            self.next += 1;
            let bare = rows.iter().any(bare);
            self.queue.push_back(Held { no: self.next, since: now, bare, rest: Vec::new() });
            Job { no: self.next, rows }
        });
        if self.queue.is_empty() {
            return (rest, job);
        }
        let (stuck, bare) = (self.stuck(now), self.queue.iter().any(|h| h.bare));
        let mut free = Vec::new();
        for e in rest {
            if apart(&e, bare) || (stuck && needs_no_disk(&e)) {
                free.push(e);
            } else if let (false, Some(last)) = (stuck && sent(&e), self.queue.back_mut()) {
                last.rest.push(e);
            }
        }
        (free, job)
    }

    pub fn synced(&mut self, now: Time, upto: u64) -> Vec<Effect> {
        let mut out = Vec::new();
        if upto > 0 {
            self.late = self.stuck(now);
        }
        while self.queue.front().is_some_and(|h| h.no <= upto) {
            out.extend(self.queue.pop_front().map(|h| h.rest).unwrap_or_default());
        }
        out
    }

    pub fn stuck(&self, now: Time) -> bool {
        self.queue.front().is_some_and(|h| now.since(h.since) >= STUCK)
    }

    pub fn slow(&self, now: Time) -> bool {
        self.stuck(now) || self.late
    }
}

fn bare(row: &Save) -> bool {
    matches!(row, Save::Add(Record::Fleet { .. } | Record::Pledge { .. }))
}

fn apart(e: &Effect, bare: bool) -> bool {
    match e {
        Effect::Answer { .. } | Effect::Ready(_) | Effect::Routers(_) | Effect::Watch(_) => true,
        Effect::Reset(_) | Effect::Drive(_) => true,
        Effect::Send { msg: Msg::Op { .. } | Msg::Ask { .. }, .. } => !bare,
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
            | ChainMsg::JoinHeard
    )
}

fn sent(e: &Effect) -> bool {
    matches!(e, Effect::Send { .. } | Effect::SendAt { .. })
}

pub fn write(disk: &mut dyn Disk, rows: &[Save]) -> Result<(), Fault> {
    let from = rows.iter().rposition(|r| matches!(r, Save::Rewrite(_)));
    if let Some(Save::Rewrite(all)) = from.and_then(|k| rows.get(k)) {
        disk.rewrite(all)?;
    }
    let adds = rows.iter().skip(from.map_or(0, |k| k + 1)).filter_map(|r| match r {
        Save::Add(record) => Some(record.clone()),
        Save::Rewrite(_) => None,
    });
    let adds: Vec<Record> = adds.collect();
    if adds.is_empty() { Ok(()) } else { disk.add(&adds) }
}
