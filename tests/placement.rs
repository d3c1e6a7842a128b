//! Free memory with pending orders, and the estimated remedies for a wanted name.

use spindledock::fleet::FleetConfig;
use spindledock::fleet::read::read_text;
use spindledock::fleet::runner::{Runner, RunnerReport};
use spindledock::kernel::ids::*;
use spindledock::kernel::time::{Span, Time};
use spindledock::placement::estimates::{Remedy, estimates};
use spindledock::placement::free_room::{fits, free_mb};
use spindledock::placement::pending_orders::{PendingOrder, PendingOrders, RunnerState};

const NOW: Time = Time(9_000_000);

fn config() -> FleetConfig {
    let text = r#"{"models":[{"name":"big","weight_mb":60,"load_ms":4000},{"name":"mid","weight_mb":40,"load_ms":2000},
        {"name":"low","weight_mb":30,"load_ms":1000}],
        "adapters":[{"name":"tune","model":"mid","weight_mb":5,"load_ms":100}],
        "services":[{"name":"s","sort":"assistant","models":["big","mid","low"],"adapters":["tune"]}]}"#;
    read_text(text).expect("sound")
}

fn runner_state(name: &str, holds: &[&str], used: u64, runs: &[(&str, u64)]) -> RunnerState {
    let runner = Runner {
        instance: Name::from(name),
        service: Name::from("s"),
        domain: Name::from("z1"),
        addr: ([127, 0, 0, 1], 9).into(),
        leaving: false,
    };
    let report = RunnerReport {
        instance: Name::from(name),
        room_mb: 100,
        used_mb: used,
        adapter_room: 1,
        holds: holds.iter().map(|h| Name::from(*h)).collect(),
        running: runs.iter().map(|r| r.1).sum(),
        runs: runs.iter().map(|r| (Name::from(r.0), r.1)).collect(),
        slots: 8,
        ..RunnerReport::default()
    };
    RunnerState { runner, report }
}

fn pending_order(runner: &str, name: &str, mb: u64) -> PendingOrder {
    let (runner, name) = (Name::from(runner), Name::from(name));
    PendingOrder::planned(runner, name, mb, false, NOW)
}

fn best(runners: &[RunnerState], f: &PendingOrders, want: &str) -> Option<Remedy> {
    let none = |_: &Name| false;
    let rows = estimates(&config(), runners, f, &Name::from(want), NOW, &|n| n.0 == want, &none);
    rows.first().map(|e| e.remedy.clone())
}

#[test]
fn given_a_load_in_flight_when_room_is_counted_then_it_is_taken_until_the_report_shows_it() {
    let (c, mut o, mut f) = (config(), runner_state("a", &[], 0, &[]), PendingOrders::default());
    assert!(fits(&c, &o, &f, &Name::from("big")));
    f.table.insert(OrderId(1), pending_order("a", "big", 60));
    assert_eq!(free_mb(&c, &o, &f), 40);
    assert!(!fits(&c, &o, &f, &Name::from("big")), "in flight and not yet reported");
    o.report.loading.push(Name::from("big"));
    o.report.used_mb = 60;
    assert_eq!(free_mb(&c, &o, &f), 40, "counted once");
    f.record_answer(NOW, OrderId(1), 0);
    f.record_report(NOW + Span::ms(4000), &runner_state("a", &[], 0, &[]).report);
    assert_eq!(free_mb(&c, &runner_state("a", &[], 0, &[]), &f), 40, "an unknown outcome still counts");
    f.record_report(NOW + Span::ms(9500), &runner_state("a", &[], 0, &[]).report);
    assert_eq!(
        free_mb(&c, &runner_state("a", &[], 0, &[]), &f),
        40,
        "it may have been held up and arrive yet"
    );
    assert!(!f.is_blocked(&Name::from("a")), "others may go ahead");
    let mut later = f.clone();
    later.record_report(NOW + Span::ms(61_000), &runner_state("a", &[], 0, &[]).report);
    assert_eq!(free_mb(&c, &runner_state("a", &[], 0, &[]), &later), 100, "it is forgotten in the end");
    f.table.insert(OrderId(2), pending_order("a", "mid", 30));
    f.record_answer(NOW + Span::ms(9600), OrderId(2), 202);
    assert_eq!(
        free_mb(&c, &runner_state("a", &[], 0, &[]), &f),
        70,
        "an order that was taken since voids it"
    );
}

#[test]
fn given_free_idle_and_busy_runners_when_a_model_is_wanted_then_the_soonest_way_is_taken() {
    let f = PendingOrders::default();
    let free = || runner_state("free", &[], 0, &[]);
    let idle = || runner_state("idle", &["mid", "low"], 70, &[("low", 2)]);
    let busy = || runner_state("busy", &["mid"], 60, &[("mid", 2)]);
    let name = |n: &str| Name::from(n);
    let got = best(&[busy(), idle(), free()], &f, "big");
    assert_eq!(got, Some(Remedy::Load { runner: name("free") }));
    let got = best(&[busy(), idle()], &f, "big");
    assert_eq!(got, Some(Remedy::Unload { runner: name("idle"), name: name("mid") }));
    let full = runner_state("full", &["mid"], 90, &[("mid", 1)]);
    let got = best(&[busy(), full], &f, "big");
    let Some(Remedy::Move { from, to, model }) = got else { panic!("{got:?}") };
    assert_eq!((from.0.as_str(), to.0.as_str(), model.0.as_str()), ("busy", "full", "mid"));
    assert_eq!(best(&[busy()], &f, "big"), None, "no other runner can take the streams");
}

#[test]
fn given_an_adapter_when_its_model_is_not_held_or_the_slots_are_full_then_it_is_not_loaded_there() {
    let (c, f) = (config(), PendingOrders::default());
    let tune = Name::from("tune");
    assert!(!fits(&c, &runner_state("a", &["low"], 30, &[]), &f, &tune));
    assert!(fits(&c, &runner_state("a", &["mid"], 40, &[]), &f, &tune));
    assert!(!fits(&c, &runner_state("a", &["mid", "tune"], 45, &[]), &f, &tune));
}
