//! The lanes in front of a node.

use spindledock::chain::messages::ChainMsg;
use spindledock::fleet::holdings::UnmetDemand;
use spindledock::kernel::ids::*;
use spindledock::kernel::input_queue::{InputQueue, LANE_LIMIT, Next, TURNS};
use spindledock::kernel::lanes::{Lane, class_of};
use spindledock::kernel::time::{Span, Time};
use spindledock::msg::{Event, Msg, RouteTraffic, RouterReport};
use spindledock::runner_list::messages::RunnerListing;
use std::sync::Arc;

const NOW: Time = Time(9_000_000);

#[derive(Default)]
struct Before {
    queue: InputQueue<Event>,
}

impl Before {
    fn add(&mut self, ev: Event) {
        self.queue.add(NOW, class_of(&ev), ev);
    }

    fn next(&mut self) -> Option<Next<Event>> {
        self.queue.pop(NOW + Span::ms(1))
    }

    fn kinds(&mut self) -> Vec<&'static str> {
        std::iter::from_fn(|| self.next()).map(|next| next.item.kind()).collect()
    }
}

fn mail(from: u64, msg: Msg) -> Event {
    Event::Message { from: NodeId(from), fleet: FleetId(1), msg }
}

fn heartbeat(from: u64) -> Event {
    let beat = ChainMsg::Heartbeat { view: ViewNo(1), has_room: true, is_impaired: false, is_leaving: false };
    mail(from, Msg::Chain(beat))
}

fn tell(from: u64, at: u64) -> Event {
    mail(
        from,
        Msg::RouterReport(Arc::new(RouterReport { routes_version: Version(at), ..RouterReport::default() })),
    )
}

fn tell_with_live_orders(from: u64, at: u64) -> Event {
    let row = RouteTraffic { service: Name::from("s"), host: "h".into(), prefix: "/".into(), orders: 1 };
    let tell = RouterReport { routes_version: Version(at), live: vec![row], ..RouterReport::default() };
    mail(from, Msg::RouterReport(Arc::new(tell)))
}

fn want(from: u64) -> Event {
    mail(from, Msg::UnmetDemand(Vec::<UnmetDemand>::new()))
}

fn told(next: Option<Next<Event>>) -> (u64, u64, bool) {
    match next.map(|next| next.item) {
        Some(Event::Message { from, msg: Msg::RouterReport(tell), .. }) => {
            (from.0, tell.routes_version.0, !tell.live.is_empty())
        }
        other => panic!("a report of a router was due, not {other:?}"),
    }
}

#[test]
fn given_a_full_deferrable_lane_when_a_heartbeat_comes_then_nothing_goes_before_it() {
    let mut before = Before::default();
    for n in 0..2 * LANE_LIMIT as u64 {
        before.add(want(n));
        before.add(Event::OrderAnswered { order: OrderId::default(), status: 200 });
    }
    before.add(heartbeat(7));
    let next = before.next().expect("something waits");
    assert_eq!((next.lane, next.item.kind()), (Lane::Chain, "heartbeat"));
}

#[test]
fn given_a_full_deferrable_lane_when_an_operator_reads_then_nothing_goes_before_it() {
    let mut before = Before::default();
    (0..2 * LANE_LIMIT as u64).for_each(|n| before.add(tell(n, 1)));
    before.add(Event::ReadCall { id: ChangeId::default(), path: "source".into() });
    assert_eq!(before.next().map(|next| next.item.kind()), Some("operator read"));
}

#[test]
fn given_reports_of_two_routers_when_newer_ones_come_then_each_router_has_one_place_with_its_newest() {
    let mut before = Before::default();
    for at in 1..=5 {
        before.add(tell(1, at));
        before.add(tell(2, 10 + at));
    }
    assert_eq!(told(before.next()), (1, 5, false));
    assert_eq!(told(before.next()), (2, 15, false));
    assert!(before.next().is_none());
}

#[test]
fn given_a_report_with_live_orders_when_newer_ones_without_come_then_it_is_not_lost_and_order_is_kept() {
    let mut before = Before::default();
    before.add(tell(1, 1));
    before.add(tell_with_live_orders(1, 2));
    before.add(tell(1, 3));
    before.add(tell(1, 4));
    assert_eq!(told(before.next()), (1, 2, true));
    assert_eq!(told(before.next()), (1, 4, false));
    assert!(before.next().is_none());
}

#[test]
fn given_messages_of_one_kind_when_they_wait_then_they_come_out_in_order() {
    let mut before = Before::default();
    let ids: Vec<NodeId> = (1..100).map(NodeId).collect();
    ids.iter().for_each(|n| before.add(heartbeat(n.0)));
    let sender = |next: Next<Event>| match next.item {
        Event::Message { from, .. } => from,
        other => panic!("{other:?}"),
    };
    let out: Vec<NodeId> = std::iter::from_fn(|| before.next()).map(sender).collect();
    assert_eq!(out, ids);
}

#[test]
fn given_more_than_a_lane_takes_when_it_is_full_then_the_oldest_that_may_be_lost_goes_and_is_counted() {
    let mut before = Before::default();
    before.add(Event::OrderAnswered { order: OrderId::default(), status: 200 });
    before.add(Event::RunnersListed(RunnerListing { runners: vec![], requested_at: NOW }));
    (0..LANE_LIMIT as u64 + 8).for_each(|n| before.add(want(n)));
    assert_eq!(before.queue.dropped(), 8);
    let kinds = before.kinds();
    assert_eq!(kinds.len(), LANE_LIMIT + 2, "the list and the outcome wait in lanes before");
    assert_eq!(kinds[..2], ["list of runners", "order answer"], "outcomes and lists are never dropped");
}

#[test]
fn given_serving_inputs_without_end_when_reports_wait_then_each_gets_its_turn() {
    let mut before = Before::default();
    before.add(tell(1, 1));
    let mut turns = 0;
    loop {
        before.add(Event::ReadCall { id: ChangeId::default(), path: "source".into() });
        turns += 1;
        let next = before.next().expect("something waits");
        if next.lane == Lane::Deferrable {
            break;
        }
        assert!(turns <= TURNS, "the report is never served");
    }
}

#[test]
fn given_wants_of_many_routers_when_a_runner_answers_and_work_is_due_then_neither_waits_behind_them() {
    let mut before = Before::default();
    (0..LANE_LIMIT as u64).for_each(|n| before.add(want(n)));
    before.add(Event::OrderAnswered { order: OrderId::default(), status: 202 });
    before.add(Event::DutyTick);
    let kinds = before.kinds();
    assert_eq!(kinds[..2], ["order answer", "work"]);
}

/// How many answers of runners may go before one want.
const ANSWERS_BEFORE_A_WANT: usize = 4;

#[test]
fn given_answers_of_runners_without_end_when_wants_wait_then_each_fifth_input_is_a_want() {
    let mut before = Before::default();
    (0..40).for_each(|n| before.add(want(n)));
    (0..400).for_each(|_| before.add(Event::OrderAnswered { order: OrderId::default(), status: 202 }));
    let kinds = before.kinds();
    let longest = kinds[..200].split(|kind| *kind == "want").map(|row| row.len()).max();
    assert!(longest <= Some(ANSWERS_BEFORE_A_WANT), "{longest:?} answers before a want");
}
