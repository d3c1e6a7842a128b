//! The scopes: where an exploration starts, which steps it may take, and how often.

use super::cluster::Cluster;
use super::step::{Disturbance, Group, Step};
use crate::kernel::time::Span;

/// How fine the scheduler's steps are.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Grain {
    /// Each message, tick and passage of time is a step of its own.
    Message,
    /// A group of replicas talks for a while; one message or save in it may go wrong.
    Exchange,
    /// Both.
    Mixed,
}

/// How often each kind of trouble may come along one trace.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, Debug)]
pub struct Spent {
    pub crashes: usize,
    pub wipes: usize,
    pub duplicates: usize,
    pub disturbances: usize,
    pub stalls: usize,
    pub submits: usize,
    pub warnings: usize,
}

impl Spent {
    /// The same number of each.
    pub fn all(n: usize) -> Spent {
        Spent { crashes: n, wipes: n, duplicates: n, disturbances: n, stalls: n, submits: n, warnings: n }
    }

    pub fn count(&mut self, step: Step) {
        match step {
            Step::Exchange { disturbance: Some(Disturbance::Crash { .. }), .. } => {
                self.crashes += 1;
                self.disturbances += 1;
            }
            Step::Exchange { disturbance: Some(_), .. } => self.disturbances += 1,
            Step::Crash { .. } | Step::DeliverAndCrash { .. } => self.crashes += 1,
            Step::Wipe { .. } => self.wipes += 1,
            Step::Duplicate { .. } => self.duplicates += 1,
            Step::Stall { .. } => self.stalls += 1,
            Step::Submit { .. } => self.submits += 1,
            Step::Warn { .. } => self.warnings += 1,
            _ => {}
        }
    }
}

/// One exploration.
#[derive(Clone, Debug)]
pub struct Scope {
    pub name: &'static str,
    pub about: &'static str,
    pub members: usize,
    pub started: usize,
    pub bear: usize,
    pub grain: Grain,
    pub most: Spent,
    pub spans: Vec<Span>,
    /// The steps that lead from machines that never ran to the root of the exploration.
    pub root: Vec<Step>,
}

const SEEDS: usize = 3;
const FOUNDING: Span = Span::ms(2500);
const ONE_CHANGE: Span = Span::ms(400);
const BEFORE_SILENCE_LIMIT: Span = Span::ms(550);
const SHORT: Span = Span::ms(200);
const PAST_SILENCE_LIMIT: Span = Span::ms(700);
const PAST_LEASE: Span = Span::ms(1000);
const PAST_RESTART_WAIT: Span = Span::ms(1500);
const PAST_GIVE_UP: Span = Span::ms(12_000);

const NAMES: [&str; 8] = ["change", "vote", "view-change", "lease", "join", "leave", "found", "five"];

impl Scope {
    pub fn names() -> &'static [&'static str] {
        &NAMES
    }

    /// The scope of that name, with another number of members if one is given.
    pub fn by_name(name: &str, members: Option<usize>) -> Option<Scope> {
        let scope = match name {
            "change" => change(members.unwrap_or(3)),
            "vote" => vote(members.unwrap_or(3)),
            "view-change" => view_change(members.unwrap_or(3)),
            "lease" => lease(members.unwrap_or(3)),
            "join" => join(members.unwrap_or(3)),
            "leave" => leave(members.unwrap_or(4)),
            "found" => found(members.unwrap_or(3)),
            "five" => five(members.unwrap_or(5)),
            _ => return None,
        };
        Some(scope)
    }

    /// The state at which the exploration starts.
    pub fn root_state(&self) -> Cluster {
        let first = Cluster::new(self.members, SEEDS.min(self.members), self.bear);
        let mut root = self.root.iter().fold(first, |state, step| state.after(*step));
        root.spent = Spent::default();
        root
    }
}

fn all(members: usize) -> Group {
    Group((1 << members) - 1)
}

fn bear(members: usize) -> usize {
    if members >= 5 { 2 } else { 1 }
}

fn exchange(group: Group, span: Span) -> Step {
    Step::Exchange { group, span, disturbance: None }
}

/// A chain that was founded by all, with one acknowledged change.
fn founded(members: usize) -> Vec<Step> {
    let mut root: Vec<Step> = (0..members).map(|place| Step::Restart { place }).collect();
    root.push(exchange(all(members), FOUNDING));
    root.push(Step::Submit { place: 0 });
    root.push(exchange(all(members), ONE_CHANGE));
    root
}

fn scope(name: &'static str, about: &'static str, members: usize) -> Scope {
    Scope {
        name,
        about,
        members,
        started: members,
        bear: bear(members),
        grain: Grain::Exchange,
        most: Spent::default(),
        spans: vec![],
        root: founded(members),
    }
}

fn change(members: usize) -> Scope {
    Scope {
        grain: Grain::Message,
        most: Spent { crashes: 1, duplicates: 1, submits: 2, stalls: 1, ..Spent::default() },
        spans: vec![SHORT, PAST_SILENCE_LIMIT],
        ..scope("change", "changes on their way through the chain, message by message", members)
    }
}

fn vote(members: usize) -> Scope {
    let mut root = founded(members);
    root.push(exchange(all(members).without(members - 1), BEFORE_SILENCE_LIMIT));
    Scope {
        grain: Grain::Message,
        most: Spent { crashes: 1, duplicates: 1, ..Spent::default() },
        spans: vec![SHORT, PAST_LEASE],
        root,
        ..scope("vote", "the vote on a view without the silent tail, message by message", members)
    }
}

fn view_change(members: usize) -> Scope {
    Scope {
        most: Spent { crashes: 2, disturbances: 1, submits: 1, ..Spent::default() },
        spans: vec![SHORT, PAST_SILENCE_LIMIT, PAST_RESTART_WAIT],
        ..scope("view-change", "silent, frozen and restarted members, and changes meanwhile", members)
    }
}

fn lease(members: usize) -> Scope {
    Scope {
        most: Spent { crashes: 1, disturbances: 2, ..Spent::default() },
        spans: vec![SHORT, PAST_SILENCE_LIMIT],
        ..scope("lease", "the lease of an old tail against that of a new one", members)
    }
}

fn join(members: usize) -> Scope {
    Scope {
        most: Spent { crashes: 1, wipes: 2, disturbances: 1, submits: 1, ..Spent::default() },
        spans: vec![PAST_SILENCE_LIMIT, PAST_RESTART_WAIT],
        ..scope("join", "a wiped member that comes back as new, and a second loss", members)
    }
}

fn leave(members: usize) -> Scope {
    Scope {
        most: Spent { crashes: 1, wipes: 1, submits: 1, warnings: 2, ..Spent::default() },
        spans: vec![SHORT, PAST_SILENCE_LIMIT, PAST_RESTART_WAIT],
        ..scope("leave", "members that go, one after another", members)
    }
}

fn found(members: usize) -> Scope {
    Scope {
        started: 0,
        most: Spent { crashes: 1, disturbances: 1, ..Spent::default() },
        spans: vec![SHORT, PAST_RESTART_WAIT, PAST_GIVE_UP],
        root: vec![],
        ..scope("found", "seeds that start in any order, one crash", members)
    }
}

fn five(members: usize) -> Scope {
    Scope {
        most: Spent { crashes: 2, wipes: 2, submits: 1, ..Spent::default() },
        spans: vec![PAST_SILENCE_LIMIT, PAST_RESTART_WAIT],
        ..scope("five", "five members, two losses", members)
    }
}
