use super::faults::strike;
use super::report::{Report, part_of};
use super::world::World;
use crate::kernel::ids::{Name, NodeId};
use crate::kernel::time::{Span, Time};
use crate::launch::deployment::Deployment;
use crate::membership::rendezvous::homes;
use crate::msg::Role;
use crate::standin::tally::End;
use std::collections::BTreeMap;

#[derive(Clone, Default)]
pub struct Question {
    pub lose_zone: Option<String>,
    pub lose_role: Option<String>,
    pub lose: Vec<super::faults::Kind>,
    pub traffic: BTreeMap<String, f64>,
    pub seconds: u64,
    pub hot: u64,
    pub long: u64,
    pub day: Vec<DayRow>,
}

#[derive(Clone, Debug)]
pub struct DayRow {
    pub ms: u64,
    pub prefix: String,
    pub model: u64,
    pub tokens: u64,
}

#[derive(Clone, Debug)]
pub struct Outcome {
    pub report: Report,
    pub held: u64,
    pub runner_use: u64,
    pub bad: Vec<String>,
    pub rows: Vec<(Time, super::record::Fact)>,
}

pub fn read_day(text: &str) -> Result<Vec<DayRow>, Vec<String>> {
    let (mut rows, mut bad) = (Vec::new(), Vec::new());
    for (n, line) in text.lines().enumerate().filter(|l| !l.1.trim().is_empty()) {
        let cells: Vec<&str> = line.split(',').map(|c| c.trim()).collect();
        let row = match cells[..] {
            [s, prefix, model, tokens] if prefix.starts_with('/') => s
                .parse::<f64>()
                .ok()
                .zip(model.trim_start_matches('m').parse().ok())
                .zip(tokens.parse().ok())
                .map(|((s, model), tokens)| DayRow {
                    ms: (s * 1000.0) as u64,
                    prefix: prefix.into(),
                    model,
                    tokens,
                }),
            _ => None,
        };
        match row {
            Some(row) => rows.push(row),
            None => bad.push(format!("line {}: \"{line}\"; write SECOND,/PREFIX,mNN,TOKENS", n + 1)),
        }
    }
    if bad.is_empty() { Ok(rows) } else { Err(bad) }
}

pub const ROLES: [&str; 4] = ["head", "tail", "holder", "home"];

pub fn place_of(w: &World, role: &str) -> Option<usize> {
    let core = w.controllers();
    let views = &w.nodes[*core.iter().find(|n| w.nodes[**n].ready)?].node.as_ref()?.views;
    let view = views.view.as_ref()?;
    let node = match role {
        "head" => view.head(),
        "tail" => view.tail(),
        "holder" => views.state.duty.as_ref().map(|d| d.holder),
        _ => {
            let zone = &w.nodes[w.routers()[0]].place.domain;
            let mates = views.members.iter().filter(|r| r.who.role == Role::Router && r.who.domain == *zone);
            let ids: Vec<NodeId> = mates.map(|r| r.who.node).collect();
            homes("service:assistant", &ids).first().copied()
        }
    }?;
    w.nodes.iter().position(|n| n.node.as_ref().is_some_and(|x| x.me.node == node))
}

pub fn run(plan: &Deployment, q: &Question, seed: u64) -> Outcome {
    let hot = q.hot.min(plan.models as u64);
    let mut w = World::loaded_boot(plan.clone(), seed, hot.min(10));
    let began = w.now;
    let until = w.now + Span::ms(q.seconds * 1000);
    if q.day.is_empty() {
        for mut f in w.flows_for(hot, 1.0, until) {
            f.tokens *= q.long.max(1);
            f.per_s *= q.traffic.get(&f.prefix).or(q.traffic.get("*")).copied().unwrap_or(1.0);
            if f.per_s > 0.0 {
                w.start_flow(f);
            }
        }
    } else {
        replay(&mut w, q, began);
    }
    w.run_for(Span::ms(q.seconds * 250));
    if let Some(zone) = &q.lose_zone {
        super::hurts_more::lose_zone(&mut w, zone, None);
    }
    if let Some(role) = &q.lose_role
        && let Some(n) = place_of(&w, role)
    {
        w.kill_node(n);
        w.at(w.now + Span::ms(10_000), move |w| w.start_node(n));
    }
    for kind in &q.lose {
        strike(&mut w, *kind);
    }
    w.run_to(until + Span::ms(90_000));
    let held: std::collections::BTreeSet<&Name> =
        w.runners.iter().filter(|r| r.alive).flat_map(|r| r.stock.holds.iter()).collect();
    let alive: Vec<_> =
        w.runners.iter().filter(|r| r.alive && r.card.service.0 == "assistant").map(|r| &r.stock).collect();
    let room: u64 = alive.iter().map(|s| s.room_mb).sum();
    let used: u64 = alive.iter().map(|s| s.used()).sum();
    Outcome {
        report: Report::between(&w, began, w.now),
        held: held.iter().filter(|n| n.0.starts_with('m')).count() as u64,
        runner_use: used * 100 / room.max(1),
        bad: super::check::all(&w),
        rows: w.record.rows,
    }
}

fn replay(w: &mut World, q: &Question, began: Time) {
    let shapes = w.flows_for(1, 1.0, Time(0));
    for row in q.day.clone() {
        let Some(shape) = shapes.iter().find(|f| f.prefix == row.prefix) else { continue };
        let mut f = shape.clone();
        f.tokens = if shape.tokens == 0 { 0 } else { row.tokens };
        f.hot = 1;
        w.flows.push(f.clone());
        w.at(began + Span::ms(row.ms), move |w| {
            w.call_model(&f, row.model);
        });
    }
}

pub struct Spread {
    pub name: &'static str,
    pub rows: Vec<u64>,
}

impl Spread {
    pub fn text(&self) -> String {
        let mut rows = self.rows.clone();
        rows.sort();
        let pick = |n: usize| rows.get(n).copied().unwrap_or(0);
        format!("{} ({}..{})", pick(rows.len() / 2), pick(0), pick(rows.len().saturating_sub(1)))
    }
}

pub fn spreads(all: &[Outcome]) -> Vec<Spread> {
    let row = |name, f: &dyn Fn(&Outcome) -> u64| Spread { name, rows: all.iter().map(f).collect() };
    vec![
        row("orders", &|o| o.report.calls),
        row("whole", &|o| o.report.get(End::Whole)),
        row("refused", &|o| o.report.get(End::Refused)),
        row("refused_not_fresh", &|o| o.report.codes.get("not-fresh").copied().unwrap_or(0)),
        row("unknown", &|o| o.report.get(End::Unknown)),
        row("broken", &|o| o.report.get(End::Broken)),
        row("no_router", &|o| o.report.get(End::Failed)),
        row("models_held", &|o| o.held),
        row("room_used_percent", &|o| o.runner_use),
        row("streams_moved", &|o| o.report.moved),
        row("moves_aborted", &|o| o.report.aborted),
        row("extra_tries", &|o| o.report.extra),
        row("refused_p50_ms", &|o| part_of(&o.report.refused_ms, 50)),
        row("refused_p99_ms", &|o| part_of(&o.report.refused_ms, 99)),
        row("wait_p50_ms", &|o| o.report.part(50)),
        row("wait_p99_ms", &|o| o.report.part(99)),
        row("worst_pause_ms", &|o| o.report.worst_gap_ms),
    ]
}
