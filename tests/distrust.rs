//! Backoff for runners whose loads fail although their reports show enough free memory.

use spindledock::fleet::read::read_text;
use spindledock::fleet::runner::RunnerReport;
use spindledock::kernel::ids::*;
use spindledock::kernel::time::{Span, Time};
use spindledock::placement::load_backoff::{FIRST_PAUSE, FORGOTTEN_AFTER, LONGEST_PAUSE, LoadBackoff};
use spindledock::placement::pending_orders::{PendingOrder, PendingOrders};

const NOW: Time = Time(60_000_000);

fn runner() -> Name {
    Name::from("a1")
}

#[test]
fn given_a_runner_whose_loads_fail_when_they_are_tried_again_then_each_pause_is_twice_as_long() {
    let mut distrust = LoadBackoff::default();
    assert!(!distrust.is_paused(&runner(), NOW) && !distrust.has_failures(&runner()));
    let (mut now, mut pause) = (NOW, FIRST_PAUSE);
    for _ in 0..12 {
        distrust.record_failure(&runner(), now);
        distrust.record_failure(&runner(), now + Span(pause.0 / 2));
        assert!(distrust.is_paused(&runner(), now + Span(pause.0 - 1)));
        assert!(!distrust.is_paused(&runner(), now + pause), "a failure inside the pause prolongs nothing");
        assert!(distrust.has_failures(&runner()), "its told room stays in doubt after the pause");
        now = now + pause;
        pause = Span((pause.0 * 2).min(LONGEST_PAUSE.0));
    }
    assert_eq!(distrust.paused(now).count(), 0);
    distrust.remove_expired(now + FORGOTTEN_AFTER);
    assert!(!distrust.has_failures(&runner()), "old failures are forgotten");
}

#[test]
fn given_a_doubted_runner_when_it_tells_of_less_than_it_holds_then_the_weights_count() {
    let config = read_text(r#"{"models":[{"name":"big","weight_mb":60},{"name":"mid","weight_mb":40}]}"#);
    let config = config.expect("sound");
    let report = RunnerReport {
        instance: runner(),
        room_mb: 100,
        holds: vec![Name::from("big")],
        loading: vec![Name::from("mid")],
        ..RunnerReport::default()
    };
    let mut distrust = LoadBackoff::default();
    assert_eq!(distrust.corrected(&config, report.clone()).used_mb, 0, "believed until a load fails");
    distrust.record_failure(&runner(), NOW);
    assert_eq!(distrust.corrected(&config, report.clone()).used_mb, 100);
    let more = RunnerReport { used_mb: 130, ..report };
    assert_eq!(distrust.corrected(&config, more).used_mb, 130, "more than the weights is believed");
}

#[test]
fn given_a_load_that_was_taken_when_no_report_ever_shows_it_then_it_counts_as_failed() {
    let mut flights = PendingOrders::default();
    let flight = PendingOrder::planned(runner(), Name::from("big"), 60, false, NOW);
    flights.table.insert(OrderId(1), flight);
    flights.record_answer(NOW, OrderId(1), 200);
    let report = RunnerReport { instance: runner(), ..RunnerReport::default() };
    assert!(!flights.record_report(NOW + Span::ms(2000), &report), "it may still begin");
    let at_work = RunnerReport { busy: true, ..report.clone() };
    assert!(!flights.record_report(NOW + Span::ms(4000), &at_work), "it is at work on it");
    assert!(flights.record_report(NOW + Span::ms(4000), &report));
    assert!(!flights.record_report(NOW + Span::ms(4000), &report), "and that once");
}
