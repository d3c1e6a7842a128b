use super::hurts::*;
use super::record::Fact;
use super::report::whole_between;
use super::world::World;
use crate::kernel::rand::Rand;
use crate::kernel::time::{Span, Time};
use crate::launch::deployment::Deployment;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Kind {
    KillRouter,
    KillController,
    HerdRouters,
    HerdControllers,
    FreezeRouter,
    FreezeController,
    WipeController,
    SlowDisk,
    FullDisk,
    Cut,
    OneWay,
    Isolate,
    RunnerCrash,
    RunnerDark,
    RunnerDiffer,
    RunnerEvict,
    Leaving,
    Loss,
    Config,
    Race,
    Move,
    Crowd,
    Drop,
    Replace,
    RunnerSlow,
    RunnerMute,
    RunnerLeaves,
    RunnersHerd,
    ZoneLoss,
    ZoneCut,
    EdgeCut,
    ThreeWay,
    ClockStep,
    DiskStall,
    Warned,
    EmptyCore,
}

pub const ALL: [Kind; 36] = [
    Kind::KillRouter,
    Kind::KillController,
    Kind::HerdRouters,
    Kind::HerdControllers,
    Kind::FreezeRouter,
    Kind::FreezeController,
    Kind::WipeController,
    Kind::SlowDisk,
    Kind::FullDisk,
    Kind::Cut,
    Kind::OneWay,
    Kind::Isolate,
    Kind::RunnerCrash,
    Kind::RunnerDark,
    Kind::RunnerEvict,
    Kind::Leaving,
    Kind::Loss,
    Kind::Config,
    Kind::Race,
    Kind::Move,
    Kind::Crowd,
    Kind::Drop,
    Kind::Replace,
    Kind::RunnerDiffer,
    Kind::RunnerSlow,
    Kind::RunnerMute,
    Kind::RunnerLeaves,
    Kind::RunnersHerd,
    Kind::ZoneLoss,
    Kind::ZoneCut,
    Kind::EdgeCut,
    Kind::ThreeWay,
    Kind::ClockStep,
    Kind::DiskStall,
    Kind::Warned,
    Kind::EmptyCore,
];

pub fn one(w: &mut World, rows: &[usize]) -> usize {
    rows[w.rand.below(rows.len() as u64) as usize]
}

pub fn span(w: &mut World, low: u64, high: u64) -> Span {
    Span::ms(low + w.rand.below(high - low))
}

fn restart_later(w: &mut World, place: usize, wait: Span) {
    w.at(w.now + wait, move |w| {
        if !w.nodes[place].alive {
            w.start_node(place);
        }
    });
}

pub fn strike(w: &mut World, kind: Kind) {
    let (core, routers) = (w.controllers(), w.routers());
    match kind {
        Kind::KillRouter => {
            let (n, wait) = (one(w, &routers), span(w, 100, 4000));
            w.kill_node(n);
            restart_later(w, n, wait);
        }
        Kind::KillController => {
            let (n, wait) = (one(w, &core), span(w, 100, 6000));
            w.kill_node(n);
            restart_later(w, n, wait);
        }
        Kind::HerdRouters | Kind::HerdControllers => {
            let wait = span(w, 100, 3000);
            for n in if kind == Kind::HerdRouters { routers } else { core } {
                w.kill_node(n);
                restart_later(w, n, wait);
            }
        }
        Kind::FreezeRouter => {
            let (n, long) = (one(w, &routers), span(w, 50, 8000));
            w.freeze(n, long);
        }
        Kind::FreezeController => {
            let (n, long) = (one(w, &core), span(w, 50, 8000));
            w.freeze(n, long);
        }
        Kind::WipeController => {
            if core.iter().all(|n| w.nodes[*n].alive && w.nodes[*n].ready) {
                let (n, wait) = (one(w, &core), span(w, 100, 3000));
                w.kill_node(n);
                w.nodes[n].disk.wipe();
                restart_later(w, n, wait);
            }
        }
        Kind::SlowDisk => {
            let (n, sync, long) = (one(w, &core), span(w, 20, 900), span(w, 500, 5000));
            w.nodes[n].sync = sync;
            w.at(w.now + long, move |w| w.nodes[n].sync = Span::ms(2));
        }
        Kind::FullDisk => {
            let (n, long) = (one(w, &core), span(w, 500, 5000));
            w.nodes[n].disk.set_full(true);
            w.at(w.now + long, move |w| w.nodes[n].disk.set_full(false));
        }
        Kind::Cut | Kind::OneWay | Kind::Isolate => cut(w, kind, &core),
        Kind::RunnerCrash => {
            let (k, wait) = (w.rand.below(w.runners.len() as u64) as usize, span(w, 200, 6000));
            w.kill_runner(k);
            w.at(w.now + wait, move |w| w.start_runner(k));
        }
        Kind::RunnerDark | Kind::RunnerDiffer | Kind::RunnerEvict => {
            let (k, long) = (w.rand.below(w.runners.len() as u64) as usize, span(w, 500, 6000));
            set(w, k, kind, true);
            w.at(w.now + long, move |w| set(w, k, kind, false));
        }
        Kind::Leaving => {
            let k = w.rand.below(w.runners.len() as u64) as usize;
            let name = w.runners[k].card.instance.clone();
            let n = one(w, &routers);
            leave(w, n, name);
        }
        Kind::Replace => replace(w),
        Kind::Drop => drop_model(w),
        Kind::Loss => {
            let long = span(w, 500, 4000);
            w.loss = 50 + w.rand.below(250);
            w.at(w.now + long, |w| w.loss = 0);
        }
        Kind::Config => change(w, false),
        Kind::Race => change(w, true),
        Kind::Move => order_move(w),
        Kind::Crowd => {
            let long = span(w, 500, 3000);
            w.traffic(10, 5.0, long);
        }
        _ => super::hurts_more::strike(w, kind, &core, &routers),
    }
}

fn set(w: &mut World, k: usize, kind: Kind, on: bool) {
    if kind == Kind::RunnerDiffer && on {
        let text = w.runners[k].card.instance.to_string();
        w.note(Fact::Told { what: "differs", text });
    }
    let r = &mut w.runners[k];
    match kind {
        Kind::RunnerDark => r.dark = on,
        Kind::RunnerDiffer => r.differ = on,
        _ => r.evict = on,
    }
}

pub struct Soak {
    pub world: World,
    pub struck: Vec<(Time, Kind)>,
    pub bad: Vec<String>,
}

pub fn soak(plan: Deployment, seed: u64, kinds: &[Kind], strikes: u64) -> Soak {
    let mut w = World::loaded_boot(plan, seed, 10);
    w.traffic(10, 1.0, Span::ms(strikes * 2500 + 32_000));
    w.run_for(Span::ms(6000));
    let (from, probe) = (w.now - Span::ms(4000), Span::ms(4000));
    let before = whole_between(&w, from, probe);
    let mut struck = Vec::new();
    for _ in 0..strikes {
        let kind = kinds[w.rand.below(kinds.len() as u64) as usize];
        struck.push((w.now, kind));
        strike(&mut w, kind);
        let wait = span(&mut w, 300, 3500);
        w.run_for(wait);
    }
    w.run_for(Span::ms(8000));
    w.note(Fact::Healed);
    w.run_for(Span::ms(8000));
    let after = whole_between(&w, w.now, Span(0));
    assert_eq!(after, 0);
    let at = w.now;
    w.run_for(Span::ms(4000));
    let after = whole_between(&w, at, probe);
    w.run_for(Span::ms(70_000));
    w.resolve();
    let mut bad = super::check::all(&w);
    if after * 4 < before {
        bad.push(format!(
            "10 service came back to {after} of {before} answers in 4 s, 12 s after the last fault"
        ));
    }
    Soak { world: w, struck, bad }
}
