use crate::json::tree::{Tree, map};
use crate::kernel::node::Node;
use crate::kernel::time::{Span, Time};
use crate::msg::*;

pub fn letter(node: &mut Node, now: Time, l: Envelope) -> Vec<Effect> {
    let mine = node.views.fleet;
    let other = mine.0 != 0 && l.fleet.0 != 0 && mine != l.fleet;
    if other || (l.to.0 != 0 && l.to != node.me.node) {
        return vec![];
    }
    node.feed(now, Event::Mail { from: l.from, fleet: l.fleet, msg: l.msg })
}

pub fn show(node: &Node, shown: &mut u64) {
    let at = *shown;
    for (_, _, note) in node.journal.since(at) {
        match note {
            JournalEvent::Text(what, text) => log::info!(event = *what, note = text.clone(); ""),
            JournalEvent::ViewInstalled(v) => log::info!(event = "view-installed", view = v.to_string(); ""),
            _ => {}
        }
    }
    *shown = node.journal.len();
}

pub fn status(node: &Node, now: Time) -> Tree {
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

/// Logs how long the steps of the last interval took, once it has ended.
pub fn log_step_times(node: &mut Node, now: Time) {
    let Some(figures) = node.step_times.as_mut().and_then(|times| times.ended(now)) else { return };
    let (all, components, kinds) = (figures.all, figures.components(), figures.kinds());
    log::info!(event = "step-times", steps = all.count, sum_ms = all.sum.as_ms(), longest_ms = all.longest.as_ms(), components = components, kinds = kinds; "");
}
