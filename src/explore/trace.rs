//! Traces as text: printed with what each step did, written to a file, and replayed from it.

use super::cluster::Cluster;
use super::replica::Replica;
use super::scope::Scope;
use super::search::Counterexample;
use super::step::Step;
use crate::kernel::time::Time;
use std::fmt::Write;

const SCOPE_KEY: &str = "scope";

/// A trace file: the scope with its number of members, then one step a line.
pub fn write_file(scope: &Scope, trace: &[Step]) -> String {
    let mut text = format!("{SCOPE_KEY} {} {}\n", scope.name, scope.members);
    for step in trace {
        let _ = writeln!(text, "{step}");
    }
    text
}

/// Reads what `write_file` wrote; lines that begin with # are passed over.
pub fn read_file(text: &str) -> Result<(Scope, Vec<Step>), String> {
    let mut lines = text.lines().map(str::trim).filter(|l| !l.is_empty() && !l.starts_with('#'));
    let first: Vec<&str> = lines.next().unwrap_or("").split_whitespace().collect();
    let [SCOPE_KEY, name, members] = first[..] else {
        return Err("its first line is not \"scope NAME MEMBERS\"".into());
    };
    let scope = members.parse().ok().and_then(|n| Scope::by_name(name, Some(n)));
    let scope = scope.ok_or_else(|| format!("the scope \"{name} {members}\" is unknown"))?;
    let steps: Result<Vec<Step>, String> =
        lines.map(|l| Step::parse(l).ok_or_else(|| format!("the step \"{l}\" is unknown"))).collect();
    Ok((scope, steps?))
}

/// The state at the end of a trace, and a line for each step with the replicas after it.
pub fn replay(scope: &Scope, trace: &[Step]) -> (Cluster, String) {
    let mut state = scope.root_state();
    let mut text = String::new();
    let _ = writeln!(text, "root: {}", summary(&state));
    for (number, step) in trace.iter().enumerate() {
        let _ = write!(text, "{:2}. {step}", number + 1);
        if let Some(what) = described(&state, *step) {
            let _ = write!(text, " ({what})");
        }
        state = state.after(*step);
        let _ = writeln!(text, "\n    {}", summary(&state));
        if let Some(violation) = &state.violation {
            let _ = writeln!(text, "    BROKEN: {violation}");
            break;
        }
    }
    (state, text)
}

/// A counterexample as readable steps.
pub fn readable(scope: &Scope, example: &Counterexample) -> String {
    replay(scope, &example.trace).1
}

fn described(state: &Cluster, step: Step) -> Option<String> {
    let (Step::Deliver { flight }
    | Step::Duplicate { flight }
    | Step::Drop { flight }
    | Step::DeliverAndCrash { flight, .. }) = step
    else {
        return None;
    };
    let flight = state.copy_of_flight(flight)?;
    Some(format!("{} {} to {}", flight.name(), flight.from, flight.to))
}

fn summary(state: &Cluster) -> String {
    let rows: Vec<String> = state.replicas.iter().map(|r| replica_summary(r, state.now)).collect();
    let acknowledged: Vec<String> = state.history.acknowledged.iter().map(|c| c.to_string()).collect();
    format!("{} ms; {}; acknowledged [{}]", state.now.0 / 1000, rows.join("; "), acknowledged.join(" "))
}

fn replica_summary(replica: &Replica, now: Time) -> String {
    let Some(process) = &replica.process else { return format!("{} down", replica.place) };
    let chain = &process.chain;
    let view = chain.view.as_ref().map_or("no view".to_string(), |v| v.to_string());
    let mut text = format!("{}={} {view} log {}", replica.place, replica.me.node, chain.log.last());
    if chain.is_ready && chain.in_chain() {
        text.push_str(" ready");
    }
    let lease = process.views.role.lease_until.since(replica.clock(now));
    if lease.0 > 0 {
        let _ = write!(text, " lease {lease}");
    }
    if replica.has_unsynced() {
        text.push_str(" unsynced");
    }
    text
}
