//! The tick schedule of a node under load and when idle.

use spindledock::daemon::ticks::{SHORTEST, Ticks};
use spindledock::kernel::time::{Span, Time};
use std::time::Duration;

const IDLE: Span = Span::ms(50);

#[test]
fn given_a_node_that_many_messages_wake_when_a_second_passes_then_it_ticks_fifty_times() {
    let (mut ticks, mut count) = (Ticks::new(IDLE), 0);
    for ms in 0..1000 {
        count += u64::from(ticks.is_due(Time(9_000_000) + Span::ms(ms), 3));
    }
    assert_eq!(count, 1000 / SHORTEST.as_ms());
}

#[test]
fn given_a_node_at_rest_when_it_waits_then_it_ticks_by_its_own_period() {
    let (mut ticks, mut now, mut count) = (Ticks::new(IDLE), Time(9_000_000), 0);
    assert!(ticks.is_due(now, 0), "the first tick is due at once");
    for _ in 0..20 {
        assert_eq!(ticks.wait(now), Duration::from_micros(IDLE.0));
        now = now + IDLE;
        count += u64::from(ticks.is_due(now, 0));
    }
    assert_eq!(count, 20);
}

#[test]
fn given_a_message_between_two_ticks_when_it_was_handled_then_the_next_tick_comes_soon() {
    let (mut ticks, now) = (Ticks::new(IDLE), Time(9_000_000));
    assert!(ticks.is_due(now, 0));
    let message = now + Span::ms(5);
    assert!(!ticks.is_due(message, 1));
    assert_eq!(ticks.wait(message), Duration::from_millis(15));
    assert!(ticks.is_due(now + SHORTEST, 0), "what the message stirred is looked after");
}
