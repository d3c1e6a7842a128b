//! How many orders a runner has accepted, as the duty holder knows it from answers and from reports that lag.

use spindledock::fleet::runner::RunnerReport;
use spindledock::kernel::ids::Name;
use spindledock::kernel::time::{Span, Time};
use spindledock::placement::order_counts::OrderCounts;

const NOW: Time = Time(50_000_000);

fn report(orders: u64) -> RunnerReport {
    RunnerReport { instance: Name::from("a1"), orders, ..RunnerReport::default() }
}

fn at(ms: u64) -> Time {
    NOW + Span::ms(ms)
}

fn known(orders: u64) -> (OrderCounts, Name) {
    let mut s = OrderCounts::default();
    s.record_report(NOW, NOW, &report(orders));
    (s, Name::from("a1"))
}

#[test]
fn given_a_runner_never_heard_of_when_an_order_is_wanted_then_no_count_is_known() {
    assert_eq!(OrderCounts::default().expected(&Name::from("a1")), None);
}

#[test]
fn given_an_order_that_was_taken_when_a_report_lags_then_the_answer_counts() {
    let (mut s, a1) = known(4);
    assert_eq!(s.expected(&a1), Some(4));
    s.record_taken(at(10), &a1, 4);
    assert_eq!(s.expected(&a1), Some(5));
    s.record_report(at(300), at(200), &report(4));
    assert_eq!(s.expected(&a1), Some(5), "the report is older than the answer");
    s.record_report(at(600), at(500), &report(5));
    assert_eq!(s.expected(&a1), Some(5));
}

#[test]
fn given_orders_of_another_when_a_report_shows_them_then_they_count() {
    let (mut s, a1) = known(4);
    s.record_report(at(100), at(100), &report(7));
    assert_eq!(s.expected(&a1), Some(7));
}

#[test]
fn given_a_runner_that_began_anew_when_its_reports_stay_lower_then_they_count_after_their_lag() {
    let (mut s, a1) = known(4);
    s.record_taken(at(10), &a1, 4);
    s.record_report(at(1000), at(1000), &report(0));
    assert_eq!(s.expected(&a1), Some(5), "it may be an old one");
    s.record_report(at(1600), at(1600), &report(0));
    assert_eq!(s.expected(&a1), Some(0));
}

#[test]
fn given_an_answer_that_leaves_the_count_open_when_a_report_was_asked_for_before_it_then_another_is_awaited()
{
    let (mut s, a1) = known(4);
    s.mark_uncertain(at(100), &a1);
    assert_eq!(s.expected(&a1), None);
    s.record_report(at(150), at(90), &report(4));
    assert_eq!(s.expected(&a1), None, "it was asked for before the answer came");
    s.record_report(at(250), at(200), &report(5));
    assert_eq!(s.expected(&a1), Some(5));
}
