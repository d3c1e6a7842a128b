//! Reads: answers to operators from the committed state, given by the tail.

use super::change_queue::ChangeQueue;
use crate::fleet::FleetState;
use crate::fleet::state::OutcomeCode;
use crate::json::Tree;
use crate::json::tree::map;
use crate::kernel::component::{Context, Views};
use crate::kernel::ids::*;
use crate::msg::{Answer, Msg, Role};

impl ChangeQueue {
    /// Answers a read at the tail while it holds its lease. Otherwise sends nothing; the node that forwarded the
    /// read then asks the tail of a newer view or reports the failure to its caller.
    pub fn on_read(&mut self, from: NodeId, attempt: u64, path: &str, ctx: &mut Context) {
        if ctx.now < ctx.views.role.lease_until {
            let answer = answer(path, ctx.views);
            ctx.send(from, Msg::ReadAnswer { attempt, answer });
        }
    }
}

/// The answer to a read of `path`, which comes without the version prefix of the API.
pub fn answer(path: &str, views: &Views) -> Answer {
    let state = &views.state;
    if let Some(sql) = path.strip_prefix("query/") {
        return match crate::query::run(sql, views) {
            Ok(tree) => Answer::ok(tree.to_string()),
            Err(why) => Answer::new(400, "bad-query", &why, 0),
        };
    }
    let tree = match path.split('/').collect::<Vec<_>>()[..] {
        ["config"] => map(&[
            ("version", state.config_version.to_string().into()),
            ("configuration", state.config.shown()),
        ]),
        ["source"] if state.config.source.is_empty() => {
            return Answer::new(404, "no-configuration", "no configuration was taken yet; send one", 0);
        }
        ["source"] => return Answer::ok(state.config.source.clone()),
        ["status"] => status(views),
        ["plan"] => map(&[
            ("plans", state.plans.iter().rev().map(|p| p.tree()).collect::<Vec<_>>().into()),
            ("moves", state.moves.iter().map(|m| m.tree()).collect::<Vec<_>>().into()),
        ]),
        ["history"] => state.outcomes.iter().rev().map(|o| o.tree()).collect::<Vec<_>>().into(),
        ["runners"] => state.runners.iter().map(|r| r.tree()).collect::<Vec<_>>().into(),
        ["nodes"] => nodes(views),
        ["change", id] => {
            let name = ChangeId::parse_name(id);
            if let Some(at) = name.and_then(|name| taken_at(state, name)).filter(|at| *at > views.released) {
                let text = format!("the change is on its way to the routers as {at}; ask again");
                return Answer::new(202, "taken", &text, 1);
            }
            if let Some(o) = name.and_then(|name| state.outcome_named(name)) {
                return Answer::ok(o.tree().to_string());
            }
            if let Some(order) = name.and_then(|name| state.ledger.taken_as(name)) {
                return super::reply::taken(order);
            }
            if state.candidate.as_ref().is_some_and(|t| Some(t.id.name) == name) {
                return Answer::new(202, "rehearsing", "the change is under rehearsal; ask again", 1);
            }
            let text = "no such change is recorded; it was not taken, or is too old to be kept";
            return Answer::new(404, "unknown-change", text, 0);
        }
        _ => return Answer::new(404, "unknown-path", "see docs/interface.md for what can be asked", 0),
    };
    Answer::ok(tree.to_string())
}

/// The version of the change with this name, if it was accepted.
fn taken_at(state: &FleetState, name: u128) -> Option<Version> {
    match state.outcome_named(name) {
        Some(outcome) => (outcome.code == OutcomeCode::Ok).then_some(outcome.at),
        None => state.ledger.taken_as(name).map(|order| order.at),
    }
}

fn status(views: &Views) -> Tree {
    let Tree::Map(mut rows) = views.state.tree() else { return Tree::Null };
    rows.push(("fleet".into(), views.fleet.to_string().into()));
    let view = views.view.as_ref().map_or(Tree::Null, |v| v.to_string().into());
    rows.push(("view".into(), view));
    Tree::Map(rows)
}

/// All known nodes with their place in the chain.
pub fn nodes(views: &Views) -> Tree {
    let row = |r: &crate::msg::MemberRow| {
        let role = if r.who.role == Role::Router { "router" } else { "controller" };
        let place = match &views.view {
            Some(v) if v.head() == Some(r.who.node) => "head",
            Some(v) if v.tail() == Some(r.who.node) => "tail",
            Some(v) if v.has(r.who.node) => "middle",
            _ => "",
        };
        map(&[
            ("node", r.who.node.to_string().into()),
            ("role", role.into()),
            ("place", place.into()),
            ("domain", r.who.domain.0.as_str().into()),
            ("address", r.who.addr.to_string().into()),
            ("admin", r.who.admin.to_string().into()),
            ("quiet_ms", r.silence.as_ms().into()),
        ])
    };
    views.members.iter().map(row).collect::<Vec<_>>().into()
}
