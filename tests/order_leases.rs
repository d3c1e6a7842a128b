//! Leases of runners: what the holder of the placement duty asks of its deputy, and what the deputy waits for.

use spindledock::fleet::duty::Deputy;
use spindledock::kernel::ids::{Name, NodeId, Version};
use spindledock::kernel::time::{Span, Time};
use spindledock::placement::lease_grants::LeaseGrants;
use spindledock::placement::lease_messages::OrderLeaseRequest;
use spindledock::placement::order_leases::{LEASE, OrderLeases};
use spindledock::placement::takeover::{QUIET, Takeover};

const BEGIN: Time = Time(100_000_000);

fn deputy(appointed: u64) -> Deputy {
    Deputy { node: NodeId(2), appointed: Version(appointed) }
}

fn runner(n: u64) -> Name {
    Name(format!("i-{n}"))
}

/// A holder whose deputy has heard of its appointment.
fn leased() -> (OrderLeases, LeaseGrants) {
    let (mut leases, mut grants) = (OrderLeases::default(), LeaseGrants::default());
    leases.follow(Some(deputy(4)));
    let first = leases.next_request(BEGIN).expect("the deputy is told of its appointment");
    assert!(first.runners.is_empty());
    let grant = grants.grant(&first, BEGIN).expect("granted");
    leases.granted(&grant, BEGIN);
    (leases, grants)
}

fn request(appointed: u64, runners: &[u64]) -> OrderLeaseRequest {
    let runners = runners.iter().map(|n| runner(*n)).collect();
    OrderLeaseRequest { deputy: deputy(appointed), request: 9, runners }
}

#[test]
fn given_no_deputy_when_an_order_is_due_then_it_needs_no_lease() {
    let mut leases = OrderLeases::default();
    assert!(leases.until(&runner(1), BEGIN).is_some());
    assert!(leases.next_request(BEGIN).is_none());
}

#[test]
fn given_a_deputy_when_an_order_is_due_then_it_waits_for_the_grant_and_ends_with_the_lease() {
    let (mut leases, mut grants) = leased();
    assert_eq!(leases.until(&runner(1), BEGIN), None);
    let asked = leases.next_request(BEGIN).expect("a request");
    assert_eq!(asked.runners, vec![runner(1)]);
    let grant = grants.grant(&asked, BEGIN + Span::ms(5)).expect("granted");
    assert_eq!(leases.granted(&grant, BEGIN + Span::ms(9)), vec![runner(1)]);
    assert_eq!(
        leases.until(&runner(1), BEGIN + Span::ms(9)),
        Some(BEGIN + LEASE),
        "it counts from the request"
    );
    assert_eq!(leases.until(&runner(2), BEGIN + Span::ms(9)), None);
    assert_eq!(leases.until(&runner(1), BEGIN + LEASE), None, "it is over");
}

#[test]
fn given_another_deputy_when_it_is_recorded_then_leases_of_the_old_one_are_void() {
    let (mut leases, mut grants) = leased();
    leases.want(&runner(1), BEGIN);
    let asked = leases.next_request(BEGIN).expect("a request");
    let grant = grants.grant(&asked, BEGIN).expect("granted");
    leases.follow(Some(deputy(6)));
    assert!(leases.granted(&grant, BEGIN).is_empty());
    assert_eq!(leases.until(&runner(1), BEGIN), None);
}

#[test]
fn given_a_deputy_that_leaves_a_request_unanswered_when_time_passes_then_it_is_silent() {
    let (mut leases, _) = leased();
    assert_eq!(leases.silent_deputy(BEGIN + Span::ms(9000)), None, "nothing was asked of it");
    leases.want(&runner(1), BEGIN);
    leases.next_request(BEGIN);
    assert_eq!(leases.silent_deputy(BEGIN + Span::ms(100)), None);
    assert_eq!(leases.silent_deputy(BEGIN + Span::ms(500)), Some(deputy(4)));
}

#[test]
fn given_grants_when_the_deputy_follows_then_it_leaves_alone_what_it_leased_lately_and_nothing_else() {
    let mut grants = LeaseGrants::default();
    grants.grant(&request(4, &[]), BEGIN);
    let later = BEGIN + QUIET;
    grants.grant(&request(4, &[1]), later);
    let takeover = grants.take_over(Some(deputy(4))).expect("it was the last deputy");
    assert!(takeover.may_order_at(&runner(2), later));
    assert!(!takeover.may_order_at(&runner(1), later + QUIET - Span(1)));
    assert!(takeover.may_order_at(&runner(1), later + QUIET));
    assert!(!takeover.is_over(later) && takeover.is_over(later + QUIET));
}

#[test]
fn given_a_deputy_that_was_restarted_when_it_follows_soon_then_it_waits_for_all_runners() {
    let mut grants = LeaseGrants::default();
    grants.grant(&request(4, &[1]), BEGIN);
    let takeover = grants.take_over(Some(deputy(4))).expect("it was the last deputy");
    assert!(!takeover.may_order(BEGIN + QUIET - Span(1)));
    assert!(takeover.may_order_at(&runner(2), BEGIN + QUIET));
}

#[test]
fn given_a_deputy_that_follows_when_the_old_holder_asks_again_then_it_grants_nothing() {
    let mut grants = LeaseGrants::default();
    grants.grant(&request(4, &[1]), BEGIN);
    grants.take_over(Some(deputy(4)));
    assert!(grants.grant(&request(4, &[2]), BEGIN).is_none());
    assert!(grants.grant(&request(5, &[2]), BEGIN).is_some(), "a later appointment counts");
    let mut unheard = LeaseGrants::default();
    assert!(unheard.take_over(Some(deputy(4))).is_none());
    assert!(unheard.grant(&request(4, &[2]), BEGIN).is_none());
}

#[test]
fn given_grants_under_an_older_appointment_when_another_was_the_last_deputy_then_they_say_nothing() {
    let mut grants = LeaseGrants::default();
    grants.grant(&request(4, &[1]), BEGIN);
    assert!(grants.take_over(Some(deputy(7))).is_none());
    let mut grants = LeaseGrants::default();
    grants.grant(&request(4, &[1]), BEGIN);
    assert!(grants.take_over(None).is_none());
}

#[test]
fn given_all_runners_to_wait_for_when_the_wait_is_not_over_then_none_is_ordered() {
    let takeover = Takeover::of_all_runners(BEGIN);
    assert!(!takeover.may_order_at(&runner(1), BEGIN + QUIET - Span(1)));
    assert!(takeover.may_order_at(&runner(1), BEGIN + QUIET));
}
