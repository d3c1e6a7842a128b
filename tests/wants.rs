//! The order in which wanted names are handled.

use spindledock::daemon::assemble::Policy;
use spindledock::fleet::config::Class;
use spindledock::fleet::holdings::UnmetDemand;
use spindledock::kernel::ids::*;
use spindledock::kernel::time::{Span, Time};
use spindledock::placement::Placement;

const BEGIN: Time = Time(5_000_000);

fn placement() -> Placement {
    Placement::new(BEGIN, Policy::Move)
}

fn want(placement: &mut Placement, router: u64, name: &str, class: Class, count: u64, now: Time) {
    let (service, name) = (Name::from("assistant"), Name::from(name));
    placement.record_want(NodeId(router), &UnmetDemand { service, name, class, count }, now);
}

fn first(placement: &Placement, now: Time) -> &str {
    &placement.wanted_by_pressure(now)[0].0
}

#[test]
fn given_many_names_asked_for_once_when_routers_want_another_all_the_time_then_it_goes_ahead_of_them() {
    let mut placement = placement();
    for n in 0..170 {
        want(&mut placement, n % 60, &format!("rare{n:03}"), Class::Chat, 1, BEGIN);
    }
    let later = BEGIN + Span::ms(1200);
    for router in 0..60 {
        want(&mut placement, router, "hot", Class::Chat, 3, later);
    }
    assert_eq!(first(&placement, later), "hot");
    assert_eq!(placement.wanted_by_pressure(later).len(), 171);
}

#[test]
fn given_a_name_asked_for_once_when_hot_names_come_after_one_another_then_it_is_first_in_the_end() {
    let mut placement = placement();
    want(&mut placement, 1, "rare", Class::Chat, 1, BEGIN);
    let mut now = BEGIN;
    while now < BEGIN + Span::ms(6000) {
        now = now + Span::ms(500);
        want(&mut placement, 1, "rare", Class::Chat, 1, now);
    }
    for router in 0..20 {
        want(&mut placement, router, "newly-hot", Class::Chat, 2, now);
    }
    assert_eq!(first(&placement, now), "rare", "6 s of one weigh more than the first 0.1 s of forty");
}

#[test]
fn given_as_many_requests_when_classes_differ_then_the_more_urgent_goes_first_and_then_the_older() {
    let mut placement = placement();
    want(&mut placement, 1, "bulk", Class::Bulk, 1, BEGIN);
    want(&mut placement, 1, "normal", Class::Normal, 1, BEGIN);
    want(&mut placement, 1, "chat", Class::Chat, 1, BEGIN);
    want(&mut placement, 1, "counter", Class::Counter, 1, BEGIN);
    let later = BEGIN + Span::ms(50);
    want(&mut placement, 1, "a-later-chat", Class::Chat, 1, later);
    let names: Vec<&str> = placement.wanted_by_pressure(later).into_iter().map(|name| &*name.0).collect();
    assert_eq!(names, ["counter", "chat", "a-later-chat", "normal", "bulk"]);
}
