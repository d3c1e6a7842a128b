use super::hurts_more::lose_zone;
use super::record::Fact;
use super::world::World;
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};
use crate::launch::deployment::Deployment;
use crate::standin::tally::End;
use std::collections::BTreeMap;

pub const QUARTER: Span = Span::ms(4000);
pub const BACK: Span = Span::ms(12_000);

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Herd {
    Routers,
    Controllers,
    Nodes,
    Zone,
    Runners,
    All,
}

pub const HERDS: [Herd; 6] =
    [Herd::Routers, Herd::Controllers, Herd::Nodes, Herd::Zone, Herd::Runners, Herd::All];

#[derive(Clone, Debug)]
pub struct Return {
    pub service: Name,
    pub before: u64,
    pub after: u64,
    pub first_ms: Option<u64>,
}

fn whole(w: &World, service: &Name, from: Time, to: Time) -> Vec<Time> {
    let mut of: BTreeMap<u64, &Name> = BTreeMap::new();
    let mut out = Vec::new();
    for (t, f) in &w.record.rows {
        match f {
            Fact::Called { call, service, .. } => drop(of.insert(*call, service)),
            Fact::Ended { call, end: End::Whole, .. } if of.get(call) == Some(&service) => out.push(*t),
            _ => {}
        }
    }
    out.retain(|t| *t >= from && *t < to);
    out
}

pub fn judge(rows: &[Return]) -> Vec<String> {
    let low = rows.iter().filter(|r| r.after * 4 < r.before);
    let text = |r: &Return| {
        format!(
            "10 {} came back to {} of {} answers in 4 s, 12 s after the return",
            r.service, r.after, r.before
        )
    };
    low.map(text).collect()
}

pub fn herd(plan: Deployment, seed: u64, kind: Herd, away: Span) -> (World, Vec<Return>) {
    let mut w = World::loaded_boot(plan, seed, 10);
    w.traffic(10, 1.0, Span::ms(60_000) + away);
    w.run_for(Span::ms(9000));
    let struck = w.now;
    let (core, routers) = (w.controllers(), w.routers());
    let nodes: Vec<usize> = match kind {
        Herd::Routers => routers,
        Herd::Controllers => core,
        Herd::Nodes | Herd::All => core.into_iter().chain(routers).collect(),
        _ => vec![],
    };
    for n in &nodes {
        w.kill_node(*n);
    }
    if matches!(kind, Herd::Runners | Herd::All) {
        (0..w.runners.len()).for_each(|k| w.kill_runner(k));
    }
    if kind == Herd::Zone {
        let zone = format!("z{}", seed % w.plan.zones as u64 + 1);
        lose_zone(&mut w, &zone, Some(away));
    }
    w.run_for(away);
    if matches!(kind, Herd::Runners | Herd::All) {
        (0..w.runners.len()).for_each(|k| w.start_runner(k));
    }
    for n in &nodes {
        w.start_node(*n);
    }
    let back = w.now;
    w.run_for(BACK + Span::ms(100));
    let names = [Name::from("assistant"), Name::from(w.plan.plain_service)];
    let rows = names.iter().map(|service| {
        let before = whole(&w, service, struck - QUARTER, struck).len() as u64;
        let after = whole(&w, service, back + BACK - QUARTER, back + BACK).len() as u64;
        let first = whole(&w, service, back, back + BACK).first().map(|t| t.since(back).as_ms());
        Return { service: service.clone(), before, after, first_ms: first }
    });
    let rows = rows.collect();
    (w, rows)
}
