//! What is told of a run, and what is kept of one that failed.

use super::checks::{Finding, router_of};
use super::clients::CallRecord;
use super::config_change::{ChangeRecord, Outcome};
use super::schedule::Schedule;
use crate::kernel::time::{Span, Time};
use crate::standin::tally::Tally;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::path::Path;

/// The most requests of which a timeline is kept.
const TIMELINES_MOST: usize = 10;
/// What happened to the fleet so long before a request belongs to its timeline.
const TIMELINE_BEFORE: Span = Span::ms(4000);

/// What is told of a run.
pub struct Report {
    /// The schedule that was played.
    pub schedule: Schedule,
    /// How many processes ran at the start.
    pub processes: usize,
    /// What the clients counted.
    pub tally: Tally,
    /// What the clients saw, request by request.
    pub calls: Vec<CallRecord>,
    /// What the operator wrote down.
    pub changes: Vec<ChangeRecord>,
    /// When the steps were carried out.
    pub done: Vec<(Time, String)>,
    /// Everything that was broken.
    pub findings: Vec<Finding>,
}

impl Report {
    fn first_bytes(&self) -> Histogram<u64> {
        let mut histogram =
            Histogram::new_with_bounds(1, 60_000, 3).unwrap_or_else(|_| unreachable!("valid bounds"));
        for ms in &self.tally.first_ms {
            histogram.saturating_record((*ms).max(1));
        }
        histogram
    }

    fn outcomes(&self) -> BTreeMap<&'static str, u64> {
        let mut outcomes = BTreeMap::new();
        for change in &self.changes {
            let name = match change.outcome {
                Outcome::Acknowledged => "acknowledged",
                Outcome::Refused(_) => "refused",
                Outcome::Unknown => "unknown",
            };
            *outcomes.entry(name).or_default() += 1;
        }
        outcomes
    }

    /// Keeps the schedule, what was seen, and a timeline of each request that shows a fault, beside the logs.
    pub fn keep(&self, dir: &Path) -> io::Result<()> {
        std::fs::write(dir.join("schedule.txt"), self.schedule.to_string())?;
        std::fs::write(dir.join("report.txt"), self.to_string())?;
        let calls: String = self.calls.iter().map(|call| line_of(call) + "\n").collect();
        std::fs::write(dir.join("clients.txt"), calls)?;
        let changes: String = self.changes.iter().map(|change| format!("{change:?}\n")).collect();
        std::fs::write(dir.join("changes.txt"), changes)?;
        let named = self.findings.iter().filter_map(|finding| finding.call);
        for id in named.take(TIMELINES_MOST) {
            std::fs::write(dir.join(format!("timeline-{id}.txt")), self.timeline(dir, id)?)?;
        }
        Ok(())
    }

    /// What happened to a request, and to the fleet meanwhile.
    fn timeline(&self, dir: &Path, id: u64) -> io::Result<String> {
        let Some(call) = self.calls.iter().find(|call| call.id == id) else { return Ok(String::new()) };
        let mut rows = vec![(call.began, line_of(call))];
        let from = call.began - TIMELINE_BEFORE;
        let beside = self.done.iter().filter(|step| step.0 >= from && step.0 <= call.ended);
        rows.extend(beside.cloned());
        for entry in std::fs::read_dir(dir)? {
            let path = entry?.path();
            if path.extension().is_some_and(|extension| extension == "record") {
                let runner = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
                let text = std::fs::read_to_string(&path)?;
                rows.extend(text.lines().filter_map(|line| recorded(&runner, line, id)));
            }
        }
        rows.sort();
        Ok(rows.into_iter().map(|(at, text)| format!("{} {text}\n", at.0)).collect())
    }
}

/// A line of a runner's record that is about this request.
fn recorded(runner: &str, line: &str, id: u64) -> Option<(Time, String)> {
    let call = format!("call={id}");
    if !line.split(' ').any(|cell| cell == call) {
        return None;
    }
    let at = line.strip_prefix("at=")?.split(' ').next()?.parse().ok()?;
    Some((Time(at), format!("{runner} {line}")))
}

fn line_of(call: &CallRecord) -> String {
    format!(
        "client call={} router={} kind={:?} began={} ended={} end={:?} code={}",
        call.id,
        router_of(call),
        call.kind,
        call.began.0,
        call.ended.0,
        call.end,
        call.code
    )
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let schedule = &self.schedule;
        write!(f, "seed={} style={} processes={}", schedule.seed, schedule.style, self.processes)?;
        write!(f, " requests={}", self.calls.len())?;
        for (end, count) in &self.tally.ends {
            write!(f, " {}={count}", format!("{end:?}").to_lowercase())?;
        }
        let first = self.first_bytes();
        let at = |share| first.value_at_quantile(share);
        write!(f, " first_ms_p50={} first_ms_p99={}", at(0.5), at(0.99))?;
        for (outcome, count) in self.outcomes() {
            write!(f, " changes_{outcome}={count}")?;
        }
        for (kind, count) in schedule.kinds() {
            write!(f, " {kind}={count}")?;
        }
        writeln!(f, " findings={}", self.findings.len())?;
        for finding in &self.findings {
            writeln!(f, "finding: {finding}")?;
        }
        Ok(())
    }
}
