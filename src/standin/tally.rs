use crate::kernel::time::Time;
use crate::sim::record::Fact;
use std::collections::BTreeMap;
use std::fmt;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum End {
    Whole,
    Refused,
    Unknown,
    Broken,
    Wrong,
    Failed,
}

#[derive(Default, Clone, Debug)]
pub struct Tally {
    pub ends: BTreeMap<End, u64>,
    pub codes: BTreeMap<String, u64>,
    pub first_ms: Vec<u64>,
    pub gap_ms: u64,
    pub wrongs: Vec<String>,
    pub text: Option<String>,
    pub facts: Vec<(Time, Fact)>,
}

impl Tally {
    pub fn add(&mut self, end: End) {
        *self.ends.entry(end).or_default() += 1;
    }

    pub fn get(&self, end: End) -> u64 {
        self.ends.get(&end).copied().unwrap_or(0)
    }

    pub fn total(&self) -> u64 {
        self.ends.values().sum()
    }

    pub fn merge(&mut self, other: Tally) {
        for (k, n) in other.ends {
            *self.ends.entry(k).or_default() += n;
        }
        for (k, n) in other.codes {
            *self.codes.entry(k).or_default() += n;
        }
        self.first_ms.extend(other.first_ms);
        self.gap_ms = self.gap_ms.max(other.gap_ms);
        self.wrongs.extend(other.wrongs);
        self.facts.extend(other.facts);
    }

    pub fn part(&self, hundredths: usize) -> u64 {
        let mut rows = self.first_ms.clone();
        rows.sort();
        rows.get(rows.len().saturating_sub(1) * hundredths / 100).copied().unwrap_or(0)
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "total={} whole={} refused={} unknown={} broken={} wrong={} failed={} p50_ms={} p99_ms={} worst_gap_ms={}",
            self.total(),
            self.get(End::Whole),
            self.get(End::Refused),
            self.get(End::Unknown),
            self.get(End::Broken),
            self.get(End::Wrong),
            self.get(End::Failed),
            self.part(50),
            self.part(99),
            self.gap_ms
        )?;
        for (code, n) in &self.codes {
            write!(f, " {code}={n}")?;
        }
        Ok(())
    }
}
