//! What must hold in a soak, judged from what clients, runners and the operator wrote down. What the simulator checks
//! of its own runs is checked by the same code.

use super::clients::{CallRecord, GAVE_UP, Kind};
use super::config_change::{ChangeRecord, Outcome};
use super::operator::Journal;
use super::schedule::{GRACE, HOLD_TIME};
use super::trouble::Troubles;
use crate::kernel::time::{Span, Time};
use crate::launch::deployment::Deployment;
use crate::launch::judge::{gather, judge};
use crate::sim::record::Fact;
use crate::standin::tally::{End, Tally};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::path::Path;

/// A connection that ends so soon after a request may have ended before the request was read.
const DEAD_INTERVAL: Span = Span::ms(200);
/// A trouble shows at a client no later than this after it was brought about.
const TROUBLE_SLACK: Span = Span::ms(500);

/// What was broken.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Rule {
    /// An answer was lost around planned work.
    Lost,
    /// A whole answer isn't its runner's.
    Order,
    /// The configuration isn't what was acknowledged.
    Config,
    /// A process ended by itself, does not end, or runs and does not serve.
    Gone,
    /// A router keeps something of a request that is over.
    Leak,
    /// What the simulator's checks found; they name the point of the brief.
    MustNever,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::Lost => "LOST",
            Rule::Order => "ORDER",
            Rule::Config => "CONFIG",
            Rule::Gone => "GONE",
            Rule::Leak => "LEAK",
            Rule::MustNever => "MUST-NEVER",
        })
    }
}

/// One thing that should not have been seen.
#[derive(Clone, Debug)]
pub struct Finding {
    /// What was broken.
    pub rule: Rule,
    /// The request that shows it, if one does.
    pub call: Option<u64>,
    /// What was seen.
    pub text: String,
}

impl Finding {
    /// A finding that no single request shows.
    pub fn new(rule: Rule, text: String) -> Finding {
        Finding { rule, call: None, text }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.rule, self.text)
    }
}

/// What was seen in a run.
pub struct Evidence<'a> {
    /// The fleet.
    pub plan: &'a Deployment,
    /// The folder of the runners' records.
    pub dir: &'a Path,
    /// All runners that ever ran.
    pub runners: &'a [String],
    /// What the clients saw.
    pub calls: &'a [CallRecord],
    /// What the clients counted.
    pub tally: &'a Tally,
    /// What the operator wrote down.
    pub journal: &'a Journal,
    /// When which process was in trouble that was not planned.
    pub unplanned: &'a Troubles,
    /// When which process was told to stop; it comes back as soon as it is gone.
    pub stops: &'a [(String, Time)],
    /// The runners whose streams end with their connection.
    pub unframed: &'a BTreeSet<String>,
}

/// Everything that was broken.
pub fn findings(evidence: &Evidence) -> Vec<Finding> {
    let reached = reached(evidence.dir, evidence.runners);
    let mut all = lost(evidence, &reached);
    all.extend(wrong(evidence, &reached));
    all.extend(answers(&evidence.journal.changes));
    all.extend(must_never(evidence));
    all
}

/// The runners that each request reached.
type Reached = BTreeMap<u64, BTreeSet<String>>;

/// The runners that each request reached, by their records.
fn reached(dir: &Path, runners: &[String]) -> Reached {
    let mut reached = Reached::new();
    for runner in runners {
        let text = std::fs::read_to_string(dir.join(format!("{runner}.record"))).unwrap_or_default();
        let cells = text.lines().flat_map(|line| line.split(' '));
        for call in cells.filter_map(|cell| cell.strip_prefix("call=")?.parse().ok()) {
            reached.entry(call).or_default().insert(runner.clone());
        }
    }
    reached
}

/// The name of the router that a request was sent to.
pub fn router_of(call: &CallRecord) -> String {
    format!("r{}", call.router + 1)
}

/// Requests whose connection ended without a whole answer although neither their router nor a runner that they
/// reached was in trouble.
fn lost(evidence: &Evidence, reached: &Reached) -> Vec<Finding> {
    let nowhere = BTreeSet::new();
    let mut findings = Vec::new();
    for call in evidence.calls {
        let is_cut = call.end == End::Broken || call.code == GAVE_UP;
        let runners = reached.get(&call.id).unwrap_or(&nowhere);
        if !is_cut || is_excused(evidence, call, runners) {
            continue;
        }
        let took = call.ended.since(call.began);
        let (router, names) = (router_of(call), Vec::from_iter(runners.iter().map(|name| name.as_str())));
        let text = format!(
            "call {} ({:?}) at {router} was cut after {took}; it had reached [{}], none in trouble",
            call.id,
            call.kind,
            names.join(",")
        );
        findings.push(Finding { rule: Rule::Lost, call: Some(call.id), text });
    }
    findings
}

fn is_excused(evidence: &Evidence, call: &CallRecord, runners: &BTreeSet<String>) -> bool {
    let from = call.began - Span::ms(HOLD_TIME.as_millis() as u64);
    let in_trouble = |process: &str| evidence.unplanned.touches(process, from, call.ended, TROUBLE_SLACK);
    if in_trouble(&router_of(call)) || runners.iter().any(|runner| in_trouble(runner)) {
        return true;
    }
    if runners.is_empty() {
        let unread = call.ended.since(call.began) <= DEAD_INTERVAL;
        return unread || evidence.unplanned.any(from, call.ended, TROUBLE_SLACK);
    }
    is_late_in_stop(evidence, call)
}

/// Answers that ended as whole ones and are not what was asked for.
fn wrong(evidence: &Evidence, reached: &Reached) -> Vec<Finding> {
    let nowhere = BTreeSet::new();
    let mut findings = Vec::new();
    for call in evidence.calls.iter().filter(|call| call.end == End::Wrong) {
        let runners = reached.get(&call.id).unwrap_or(&nowhere);
        let text = text_of(evidence.tally, call.id);
        if is_cut_between_events(evidence, call, runners, text) {
            continue;
        }
        let length = text.map_or(0, |text| text.len());
        let text = format!("call {} ended as whole with {length} bytes that are not its answer", call.id);
        findings.push(Finding { rule: Rule::Order, call: Some(call.id), text });
    }
    findings
}

fn text_of(tally: &Tally, id: u64) -> Option<&str> {
    tally.facts.iter().find_map(|(_, fact)| match fact {
        Fact::Ended { call, text: Some(text), .. } if *call == id => Some(text.as_str()),
        _ => None,
    })
}

/// Whether a runner whose streams end with their connection was ended between two events: nothing tells such an end
/// from an honest one (`docs/rules.md`). What there is of the stream is still checked.
fn is_cut_between_events(
    evidence: &Evidence,
    call: &CallRecord,
    runners: &BTreeSet<String>,
    text: Option<&str>,
) -> bool {
    let from = call.began - Span::ms(HOLD_TIME.as_millis() as u64);
    let was_ended = |runner: &&String| {
        evidence.unframed.contains(*runner)
            && evidence.unplanned.touches(runner, from, call.ended, TROUBLE_SLACK)
    };
    let is_stream = matches!(call.kind, Kind::Resumable | Kind::Single);
    let behind_event = text.is_some_and(|text| text.ends_with("\n\n"));
    is_stream && behind_event && runners.iter().any(|runner| was_ended(&runner))
}

/// Whether the router had been stopping for so long that the answer may be broken off: half of the grace where a
/// runner may still be at work, all of it else.
fn is_late_in_stop(evidence: &Evidence, call: &CallRecord) -> bool {
    let grace = Span::ms(GRACE.as_millis() as u64);
    let most = if call.kind == Kind::Slow { grace } else { Span::ms(grace.as_ms() / 2) };
    let router = router_of(call);
    let mut stops = evidence.stops.iter().filter(|stop| stop.0 == router && stop.1 < call.ended);
    stops.any(|stop| call.ended.since(stop.1) >= most && stop.1 + grace + Span::ms(1000) > call.ended)
}

/// The operator's answers among each other.
fn answers(changes: &[ChangeRecord]) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (n, change) in changes.iter().enumerate() {
        let acknowledged = change.outcome == Outcome::Acknowledged;
        if acknowledged && change.invalid {
            let text = format!("an invalid change was acknowledged: {}", change.what);
            findings.push(Finding::new(Rule::Config, text));
        }
        let rival = changes[..n].iter().find(|other| other.what == change.what && other.sent == change.sent);
        if acknowledged && rival.is_some_and(|rival| rival.outcome == Outcome::Acknowledged) {
            let text = format!("two changes on one version were acknowledged: {}", change.what);
            findings.push(Finding::new(Rule::Config, text));
        }
    }
    findings
}

/// What the simulator checks of its own runs.
fn must_never(evidence: &Evidence) -> Vec<Finding> {
    let mut facts = evidence.tally.facts.clone();
    facts.extend(evidence.journal.facts.iter().cloned());
    let rows = gather(evidence.dir, evidence.runners, facts);
    let bad = judge(evidence.plan, rows, Vec::new());
    bad.into_iter().map(|text| Finding { rule: Rule::MustNever, call: call_in(&text), text }).collect()
}

/// The id of the request that a check's text names.
fn call_in(text: &str) -> Option<u64> {
    text.split("call ").nth(1)?.split(' ').next()?.parse().ok()
}
