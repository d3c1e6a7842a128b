use quickcheck::QuickCheck;
use spindledock::kernel::time::{Span, Time};
use spindledock::soak::deployments::{many, small, users};
use spindledock::soak::schedule::{GRACE, Schedule, Style};
use spindledock::soak::step::{Signal, Step, role_of};
use spindledock::soak::trouble::Troubles;
use std::collections::BTreeMap;
use std::time::Duration;

const LENGTH: Duration = Duration::from_secs(60);

// Guards against: a seed that can't be played again.
#[test]
fn given_a_seed_when_its_schedule_is_drawn_again_then_it_is_the_same() {
    let same = |seed: u64| {
        let draw = || Schedule::draw(seed, &small(), LENGTH).to_string();
        draw() == draw()
    };
    QuickCheck::new().quickcheck(same as fn(u64) -> bool);
}

/// When controllers are stopping, down or frozen.
fn controller_troubles(schedule: &Schedule) -> Vec<(Duration, Duration)> {
    let mut open: BTreeMap<&str, Duration> = BTreeMap::new();
    let mut spans = Vec::new();
    for (at, step) in &schedule.steps {
        match step {
            Step::Signal { process, signal } if role_of(process) == "controller" => match signal {
                Signal::Terminate => spans.push((*at, *at + GRACE)),
                Signal::Kill | Signal::Freeze => drop(open.insert(process, *at)),
                Signal::Thaw => spans.extend(open.remove(process.as_str()).map(|from| (from, *at))),
                Signal::HangUp => {}
            },
            Step::Restart { process } => spans.extend(open.remove(process.as_str()).map(|from| (from, *at))),
            _ => {}
        }
    }
    spans
}

/// How many of these spans overlap at the most.
fn most_at_once(spans: &[(Duration, Duration)]) -> usize {
    let at_once = |at: &Duration| spans.iter().filter(|span| span.0 <= *at && *at < span.1).count();
    spans.iter().map(|span| at_once(&span.0)).max().unwrap_or(0)
}

// Guards against: a soak that takes more of the core away than the fleet bears, and so tests nothing.
#[test]
fn given_any_seed_when_a_schedule_is_drawn_then_it_keeps_within_what_the_fleet_bears() {
    let check = |seed: u64| {
        [small(), users(), many()].iter().all(|plan| {
            let schedule = Schedule::draw(seed, plan, LENGTH);
            let at_once = most_at_once(&controller_troubles(&schedule));
            schedule.steps.is_sorted_by_key(|step| step.0) && at_once <= (plan.core - 1) / 2
        })
    };
    QuickCheck::new().quickcheck(check as fn(u64) -> bool);
}

// Guards against: a process that is still to come back, or still broken, when the last look is taken.
#[test]
fn given_any_seed_when_the_clients_end_then_every_trouble_is_over() {
    for seed in 0..200 {
        let schedule = Schedule::draw(seed, &many(), LENGTH);
        let mut open: BTreeMap<String, String> = BTreeMap::new();
        for (at, step) in &schedule.steps {
            assert!(*at <= LENGTH, "seed {seed}: {step} at {at:?} is never carried out");
            match step {
                Step::Signal { process, signal: Signal::Kill } => {
                    drop(open.insert(process.clone(), "killed".into()))
                }
                Step::Signal { process, signal: Signal::Freeze } => {
                    drop(open.insert(process.clone(), "frozen".into()));
                }
                Step::Break { runner, .. } => drop(open.insert(runner.clone(), "broken".into())),
                Step::Restart { process } | Step::Signal { process, signal: Signal::Thaw } => {
                    drop(open.remove(process));
                }
                Step::Mend { runner } => drop(open.remove(runner)),
                Step::Signal { process, signal: Signal::Terminate } => {
                    assert!(*at + GRACE <= LENGTH, "seed {seed}: {process} is stopped too late, at {at:?}");
                }
                _ => {}
            }
        }
        assert!(open.is_empty(), "seed {seed}: {open:?}");
    }
}

// Guards against: a seed of planned work that has a crash in it, so that a lost request is excused.
#[test]
fn given_a_seed_of_planned_work_when_its_schedule_is_drawn_then_it_has_no_crash() {
    let mut kinds = BTreeMap::new();
    for seed in 0..60 {
        let schedule = Schedule::draw(seed, &small(), LENGTH);
        let unplanned = |step: &Step| match step {
            Step::Signal { signal, .. } => signal.is_unplanned(),
            Step::Break { .. } | Step::Wipe { .. } => true,
            _ => false,
        };
        if schedule.style == Style::Planned {
            assert!(!schedule.steps.iter().any(|(_, step)| unplanned(step)), "{schedule}");
        }
        for (kind, count) in schedule.kinds() {
            *kinds.entry(kind).or_insert(0) += count;
        }
    }
    assert!(kinds.len() >= 24, "some kinds are never drawn: {kinds:?}");
}

// Guards against: a request that is excused by a trouble elsewhere, or long before.
#[test]
fn given_troubles_when_a_span_is_looked_up_then_only_those_of_its_process_and_time_count() {
    let mut troubles = Troubles::default();
    let at = |ms: u64| Time(ms * 1000);
    troubles.begin("r1", at(1000));
    troubles.end("r1", at(2000));
    troubles.begin("a1", at(5000));
    let slack = Span::ms(500);
    assert!(troubles.touches("r1", at(1900), at(9000), slack));
    assert!(troubles.touches("r1", at(0), at(600), slack));
    assert!(!troubles.touches("r1", at(2600), at(9000), slack));
    assert!(!troubles.touches("r1", at(0), at(400), slack));
    assert!(!troubles.touches("r2", at(0), at(9000), slack));
    assert!(troubles.touches("a1", at(90_000), at(99_000), slack), "it has not ended");
    assert!(troubles.any(at(90_000), at(99_000), slack));
    assert!(!troubles.any(at(3000), at(4000), slack));
}
