//! Received messages on their way into the node, and the node's journal, status and figures on their way out.

use super::effects::NodeRun;
use super::input::Input;
use crate::json::tree::{Tree, map};
use crate::kernel::input_queue::{InputQueue, LaneState};
use crate::kernel::lanes::Lane;
use crate::kernel::node::Node;
use crate::kernel::time::{Span, Time};
use crate::msg::*;

/// Feeds a received message to the node. A message of another fleet or for another node is dropped.
pub fn deliver(node: &mut Node, now: Time, envelope: Envelope) -> Vec<Effect> {
    let own_fleet = node.views.fleet;
    let is_other_fleet = own_fleet.0 != 0 && envelope.fleet.0 != 0 && own_fleet != envelope.fleet;
    if is_other_fleet || (envelope.to.0 != 0 && envelope.to != node.me.node) {
        return vec![];
    }
    node.feed(now, Event::Message { from: envelope.from, fleet: envelope.fleet, msg: envelope.msg })
}

/// Writes the entries of the node's journal from `logged_up_to` on to the log.
pub fn log_journal(node: &Node, logged_up_to: &mut u64) {
    let at = *logged_up_to;
    for (_, _, note) in node.journal.since(at) {
        match note {
            JournalEvent::Text(what, text) => log::info!(event = *what, note = text.clone(); ""),
            JournalEvent::ViewInstalled(v) => log::info!(event = "view-installed", view = v.to_string(); ""),
            _ => {}
        }
    }
    *logged_up_to = node.journal.len();
}

/// The status document: the node, its disk and its inputs.
pub(super) fn status(run: &NodeRun, queue: &InputQueue<Input>, now: Time) -> Tree {
    let mut all = node_status(&run.node, now);
    if let Some(kept) = &run.set_aside {
        all.merge(map(&[("disk", map(&[("damaged_log_kept_as", kept.as_str().into())]))]));
    }
    let mut inputs = vec![("lanes", lanes_line(queue, now).into())];
    if let Some(times) = &run.node.step_times {
        inputs.push(("longest_step_ms", times.last().all.longest.as_ms().into()));
        inputs.push(("steps_by_component", times.last().components().into()));
        inputs.push(("steps_by_kind", times.last().kinds().into()));
    }
    all.merge(map(&[("inputs", map(&inputs))]));
    all
}

/// Each lane as `name=length/oldest/longest wait/dropped/replaced`, times in milliseconds.
pub(super) fn lanes_line(queue: &InputQueue<Input>, now: Time) -> String {
    let row = |(lane, s): (Lane, LaneState)| {
        let (oldest, longest) = (s.oldest.as_ms(), s.longest.as_ms());
        format!("{lane:?}={}/{oldest}/{longest}/{}/{}", s.length, s.dropped, s.replaced)
    };
    queue.state(now).map(row).join(" ")
}

fn node_status(node: &Node, now: Time) -> Tree {
    let mut rows: Vec<(String, Tree)> = vec![
        ("node".into(), node.me.node.to_string().into()),
        ("fleet".into(), node.views.fleet.to_string().into()),
        ("up_ms".into(), Span::as_ms(now.since(node.me.started)).into()),
        ("journal".into(), node.journal.len().into()),
    ];
    for (part, key, value) in node.status(now) {
        let tree = map(&[(key, value.into())]);
        match rows.iter_mut().find(|r| r.0 == part) {
            Some(row) => row.1.merge(tree),
            None => rows.push((part.into(), tree)),
        }
    }
    Tree::Map(rows)
}

/// Logs how long the node's steps took in the last interval, once it has ended; returns whether it has.
pub fn log_step_times(node: &mut Node, now: Time) -> bool {
    let Some(figures) = node.step_times.as_mut().and_then(|times| times.ended(now)) else { return false };
    let (all, components, kinds) = (figures.all, figures.components(), figures.kinds());
    log::info!(event = "step-times", steps = all.count, sum_ms = all.sum.as_ms(), longest_ms = all.longest.as_ms(), components = components, kinds = kinds; "");
    true
}
