//! The lanes of a node's input queue: urgent inputs first, a turn for every lane, and rules for what may be
//! replaced or dropped.

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
struct Lanes {
    queue: InputQueue<Event>,
}

impl Lanes {
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

fn message(from: u64, msg: Msg) -> Event {
    Event::Message { from: NodeId(from), fleet: FleetId(1), msg }
}

fn heartbeat(from: u64) -> Event {
    let beat = ChainMsg::Heartbeat { view: ViewNo(1), has_room: true, is_impaired: false, is_leaving: false };
    message(from, Msg::Chain(beat))
}

fn report(from: u64, at: u64) -> Event {
    message(
        from,
        Msg::RouterReport(Arc::new(RouterReport { routes_version: Version(at), ..RouterReport::default() })),
    )
}

fn report_with_traffic(from: u64, at: u64) -> Event {
    let row = RouteTraffic { service: Name::from("s"), host: "h".into(), prefix: "/".into(), orders: 1 };
    let report = RouterReport { routes_version: Version(at), live: vec![row], ..RouterReport::default() };
    message(from, Msg::RouterReport(Arc::new(report)))
}

fn unmet_demand(from: u64) -> Event {
    message(from, Msg::UnmetDemand(Vec::<UnmetDemand>::new()))
}

fn reported(next: Option<Next<Event>>) -> (u64, u64, bool) {
    match next.map(|next| next.item) {
        Some(Event::Message { from, msg: Msg::RouterReport(report), .. }) => {
            (from.0, report.routes_version.0, !report.live.is_empty())
        }
        other => panic!("a report of a router was due, not {other:?}"),
    }
}

#[test]
fn given_a_full_deferrable_lane_when_a_heartbeat_comes_then_nothing_goes_before_it() {
    let mut lanes = Lanes::default();
    for n in 0..2 * LANE_LIMIT as u64 {
        lanes.add(unmet_demand(n));
        lanes.add(Event::OrderAnswered { order: OrderId::default(), status: 200 });
    }
    lanes.add(heartbeat(7));
    let next = lanes.next().expect("something waits");
    assert_eq!((next.lane, next.item.kind()), (Lane::Chain, "heartbeat"));
}

#[test]
fn given_a_full_deferrable_lane_when_an_operator_reads_then_nothing_goes_before_it() {
    let mut lanes = Lanes::default();
    (0..2 * LANE_LIMIT as u64).for_each(|n| lanes.add(report(n, 1)));
    lanes.add(Event::ReadCall { id: ChangeId::default(), path: "source".into() });
    assert_eq!(lanes.next().map(|next| next.item.kind()), Some("operator read"));
}

#[test]
fn given_reports_of_two_routers_when_newer_ones_come_then_each_router_has_one_place_with_its_newest() {
    let mut lanes = Lanes::default();
    for at in 1..=5 {
        lanes.add(report(1, at));
        lanes.add(report(2, 10 + at));
    }
    assert_eq!(reported(lanes.next()), (1, 5, false));
    assert_eq!(reported(lanes.next()), (2, 15, false));
    assert!(lanes.next().is_none());
}

#[test]
fn given_a_report_with_live_orders_when_newer_ones_without_come_then_it_is_not_lost_and_order_is_kept() {
    let mut lanes = Lanes::default();
    lanes.add(report(1, 1));
    lanes.add(report_with_traffic(1, 2));
    lanes.add(report(1, 3));
    lanes.add(report(1, 4));
    assert_eq!(reported(lanes.next()), (1, 2, true));
    assert_eq!(reported(lanes.next()), (1, 4, false));
    assert!(lanes.next().is_none());
}

#[test]
fn given_messages_of_one_kind_when_they_wait_then_they_come_out_in_order() {
    let mut lanes = Lanes::default();
    let ids: Vec<NodeId> = (1..100).map(NodeId).collect();
    ids.iter().for_each(|n| lanes.add(heartbeat(n.0)));
    let sender = |next: Next<Event>| match next.item {
        Event::Message { from, .. } => from,
        other => panic!("{other:?}"),
    };
    let out: Vec<NodeId> = std::iter::from_fn(|| lanes.next()).map(sender).collect();
    assert_eq!(out, ids);
}

#[test]
fn given_more_than_a_lane_takes_when_it_is_full_then_the_oldest_that_may_be_lost_goes_and_is_counted() {
    let mut lanes = Lanes::default();
    lanes.add(Event::OrderAnswered { order: OrderId::default(), status: 200 });
    lanes.add(Event::RunnersListed(RunnerListing { runners: vec![], requested_at: NOW }));
    (0..LANE_LIMIT as u64 + 8).for_each(|n| lanes.add(unmet_demand(n)));
    assert_eq!(lanes.queue.dropped(), 8);
    let kinds = lanes.kinds();
    assert_eq!(kinds.len(), LANE_LIMIT + 2, "the list and the outcome wait in lanes before");
    assert_eq!(kinds[..2], ["list of runners", "order answer"], "outcomes and lists are never dropped");
}

#[test]
fn given_serving_inputs_without_end_when_reports_wait_then_each_gets_its_turn() {
    let mut lanes = Lanes::default();
    lanes.add(report(1, 1));
    let mut turns = 0;
    loop {
        lanes.add(Event::ReadCall { id: ChangeId::default(), path: "source".into() });
        turns += 1;
        let next = lanes.next().expect("something waits");
        if next.lane == Lane::Deferrable {
            break;
        }
        assert!(turns <= TURNS, "the report is never served");
    }
}

#[test]
fn given_wants_of_many_routers_when_a_runner_answers_and_work_is_due_then_neither_waits_behind_them() {
    let mut lanes = Lanes::default();
    (0..LANE_LIMIT as u64).for_each(|n| lanes.add(unmet_demand(n)));
    lanes.add(Event::OrderAnswered { order: OrderId::default(), status: 202 });
    lanes.add(Event::DutyTick);
    let kinds = lanes.kinds();
    assert_eq!(kinds[..2], ["order answer", "work"]);
}

/// How many answers of runners may go before one unmet demand.
const MAX_ANSWERS_BEFORE_A_DEMAND: usize = 4;

#[test]
fn given_answers_of_runners_without_end_when_wants_wait_then_each_fifth_input_is_a_want() {
    let mut lanes = Lanes::default();
    (0..40).for_each(|n| lanes.add(unmet_demand(n)));
    (0..400).for_each(|_| lanes.add(Event::OrderAnswered { order: OrderId::default(), status: 202 }));
    let kinds = lanes.kinds();
    let longest = kinds[..200].split(|kind| *kind == "want").map(|row| row.len()).max();
    assert!(longest <= Some(MAX_ANSWERS_BEFORE_A_DEMAND), "{longest:?} answers before an unmet demand");
}
