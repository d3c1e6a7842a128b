//! How the duty holder of a large fleet divides its decisions between models that lack replicas and names
//! that no runner holds.

#[path = "common/duty.rs"]
mod duty;

use duty::*;
use spindledock::daemon::assemble::Policy;
use spindledock::fleet::config::Class;
use spindledock::fleet::holdings::{NameUsage, UnmetDemand};
use spindledock::fleet::runner::RunnerReport;
use spindledock::fleet::slice::Slice;
use spindledock::kernel::ids::*;
use spindledock::kernel::time::Span;
use spindledock::msg::*;
use spindledock::placement::Placement;
use std::sync::Arc;

const ROUTERS: u64 = 293;
const HOT_MODELS: usize = 30;
/// How many requests of a hot model each router has under way.
const RUNS_AT_A_ROUTER: u64 = 40;
/// The first model that no runner holds.
const FIRST_MISSING: u64 = 500;
const MISSING: u64 = 120;

/// A runner with memory for two more models.
fn roomy_report(n: usize) -> RunnerReport {
    let report = full_report(&size(), n);
    let holds = report.holds[..1].to_vec();
    RunnerReport { holds, runs: vec![], running: 3, orders: 1, used_mb: 65_000, ..report }
}

fn fleet() -> Arc<Slice> {
    let mut slice = duty_slice(&size());
    slice.config.store.loads_per_minute = 4500;
    slice.config.store.burst = 40;
    Arc::new(Slice::Duty(Box::new(slice)))
}

fn service() -> Name {
    duty_slice(&size()).runners[0].service.clone()
}

/// The report of a router that has requests for all hot models under way.
fn busy_router() -> Arc<RouterReport> {
    let size = size();
    let replicas = || (0..HOT_MODELS).map(|n| size.held(3 * n as u64));
    let active =
        replicas().enumerate().map(|(n, name)| (size.runner(n).instance, name, RUNS_AT_A_ROUTER)).collect();
    let service = service();
    let used = |name| NameUsage { service: service.clone(), name, idle: Span::ms(0), milli_per_s: 500 };
    Arc::new(RouterReport { active, uses: replicas().map(used).collect(), ..RouterReport::default() })
}

fn wants() -> Vec<UnmetDemand> {
    let names = (FIRST_MISSING..FIRST_MISSING + MISSING).map(|n| size().held(n));
    let service = service();
    names.map(|name| UnmetDemand { service: service.clone(), name, class: Class::Normal, count: 1 }).collect()
}

/// Counts the logged decisions for models that lack replicas and for wanted names.
fn decided(events: impl Iterator<Item = JournalEvent>, missing: &[Name]) -> (usize, usize) {
    let (mut replicas, mut wanted) = (0, 0);
    for event in events {
        let JournalEvent::Text("plan-small", text) = event else { continue };
        let is_missing = missing.iter().any(|name| text.contains(&format!(" {name} is wanted")));
        replicas += usize::from(text.contains(" is hot"));
        wanted += usize::from(is_missing);
    }
    (replicas, wanted)
}

#[test]
fn given_hot_models_and_names_nobody_holds_when_both_wait_then_half_of_the_decisions_are_for_the_names() {
    let mut bench = Bench::new(Placement::new(BEGIN, Policy::Move), HOLDER, Role::Controller, ROUTERS);
    let slice = fleet();
    let missing: Vec<Name> = wants().into_iter().map(|want| want.name).collect();
    for _ in 0..100 {
        for name in polled(&bench.tick(&slice)) {
            let place = name.0[1..].parse().expect("a runner's number");
            bench.feed(Event::RunnerReport { instance: name, report: Some(roomy_report(place)) });
        }
    }
    let (tell, wants) = (busy_router(), wants());
    for n in 0..100 {
        bench.mail(router(n), Msg::RouterReport(tell.clone()));
    }
    bench.now = bench.now + Span::ms(500);
    let (mut replicas, mut wanted) = (0, 0);
    while replicas + wanted < 60 && bench.now < BEGIN + Span::ms(4000) {
        bench.now = bench.now + TICK;
        bench.mail(router(200), Msg::UnmetDemand(wants.clone()));
        let (more_hot, more_wanted) = decided(bench.published(Event::DutyTick).into_iter(), &missing);
        (replicas, wanted) = (replicas + more_hot, wanted + more_wanted);
    }
    println!("rounds {}, weighed {}", bench.figure("rounds"), bench.figure("weighed"));
    println!("{replicas} decisions for hot models, {wanted} for names that nobody holds");
    assert!(replicas + wanted >= 32, "{replicas} + {wanted} decisions");
    assert!(replicas >= 8, "hot models get their share: {replicas} of {}", replicas + wanted);
    assert!(wanted >= replicas, "{wanted} for names that nobody holds, {replicas} for hot models");
}
