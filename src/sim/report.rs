use super::record::Fact;
use super::world::World;
use crate::kernel::time::{Span, Time};
use crate::standin::tally::End;
use std::collections::BTreeMap;
use std::fmt;

#[derive(Default, Clone, Debug)]
pub struct Report {
    pub calls: u64,
    pub ends: BTreeMap<End, u64>,
    pub codes: BTreeMap<String, u64>,
    pub moved: u64,
    pub aborted: u64,
    pub extra: u64,
    pub worst_gap_ms: u64,
    pub first_ms: Vec<u64>,
    pub refused_ms: Vec<u64>,
    pub changes: BTreeMap<u16, u64>,
}

impl Report {
    pub fn of(w: &World) -> Report {
        Report::between(w, Time(0), w.now)
    }

    pub fn between(w: &World, from: Time, to: Time) -> Report {
        let mut out = Report::default();
        let mut runs: BTreeMap<u64, u64> = BTreeMap::new();
        let mut began: BTreeMap<u64, Time> = BTreeMap::new();
        for (t, f) in w.record.rows.iter().filter(|r| r.0 >= from && r.0 <= to) {
            match f {
                Fact::Called { call, .. } => {
                    out.calls += 1;
                    began.insert(*call, *t);
                }
                Fact::Ended { call, end, after, code, .. } => {
                    if let (End::Refused, Some(b)) = (end, began.get(call)) {
                        out.refused_ms.push(t.since(*b).as_ms());
                    }
                    *out.ends.entry(*end).or_default() += 1;
                    out.worst_gap_ms = out.worst_gap_ms.max(*after);
                    if !code.is_empty() {
                        *out.codes.entry(code.clone()).or_default() += 1;
                    }
                }
                Fact::RunBegan { call, .. } => {
                    let n = runs.entry(*call).or_default();
                    *n += 1;
                    if let (1, Some(b)) = (*n, began.get(call)) {
                        out.first_ms.push(t.since(*b).as_ms());
                    }
                }
                Fact::Answered { status, .. } => *out.changes.entry(*status).or_default() += 1,
                Fact::Told { what: "move-done", .. } => out.moved += 1,
                Fact::Told { what: "move-aborted" | "move-abandoned", .. } => out.aborted += 1,
                _ => {}
            }
        }
        out.extra = runs.values().map(|n| n - 1).sum();
        out
    }

    pub fn get(&self, end: End) -> u64 {
        self.ends.get(&end).copied().unwrap_or(0)
    }

    pub fn part(&self, hundredths: usize) -> u64 {
        part_of(&self.first_ms, hundredths)
    }
}

pub fn part_of(rows: &[u64], hundredths: usize) -> u64 {
    let mut rows = rows.to_vec();
    rows.sort();
    rows.get(rows.len().saturating_sub(1) * hundredths / 100).copied().unwrap_or(0)
}

pub fn whole_between(w: &World, from: Time, span: Span) -> u64 {
    let rows = w.record.rows.iter().filter(|r| r.0 >= from && r.0 < from + span);
    rows.filter(|r| matches!(r.1, Fact::Ended { end: End::Whole, .. })).count() as u64
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "calls={}", self.calls)?;
        for (end, n) in &self.ends {
            write!(f, " {}={n}", format!("{end:?}").to_lowercase())?;
        }
        for (code, n) in &self.codes {
            write!(f, " [{code}]={n}")?;
        }
        for (status, n) in &self.changes {
            write!(f, " change:{status}={n}")?;
        }
        write!(
            f,
            " moved={} aborted={} extra={} wait_p50_ms={} wait_p99_ms={} worst_gap_ms={}",
            self.moved,
            self.aborted,
            self.extra,
            self.part(50),
            self.part(99),
            self.worst_gap_ms
        )
    }
}
