//! Effects wait for the disk writes before them. While a write hangs, leases and heartbeats leave at once and
//! other messages are dropped.

use spindledock::fleet::runner::Runner;
use spindledock::kernel::hold::{STUCK_AFTER, SyncGate};
use spindledock::kernel::ids::*;
use spindledock::kernel::time::{Span, Time};
use spindledock::msg::*;

fn send() -> Effect {
    Effect::Send {
        to: NodeId(2),
        msg: Msg::Chain(ChainMsg::Nack { view_no: ViewNo(1), ballot: Ballot::default() }),
    }
}

fn save() -> Effect {
    Effect::Save(Record::Ident { node: NodeId(1) })
}

fn runner_order(now: Time) -> Effect {
    let addr = "10.0.0.1:1".parse().expect("an address");
    let runner = Runner {
        instance: Name::from("a1"),
        service: Name::from("assistant"),
        domain: Name::from("z1"),
        addr,
        leaving: false,
    };
    let (order, name) = (OrderId(1), Name::from("m00"));
    Effect::OrderRunner(RunnerOrder {
        order,
        term: Term(1),
        runner,
        load: true,
        name,
        adapter: false,
        expected: 0,
        due: now,
    })
}

#[test]
fn given_a_save_under_way_when_effects_follow_then_they_wait_in_order_and_orders_to_runners_do_not() {
    let (mut gate, now) = (SyncGate::default(), Time(1_000_000));
    let (out, batch) = gate.submit(now, vec![send()]);
    assert!(out.len() == 1 && batch.is_none(), "nothing waits without a write");
    let (out, batch) = gate.submit(now, vec![save(), send()]);
    let first = batch.expect("a batch").number;
    assert!(out.is_empty());
    let (out, batch) = gate.submit(now + Span::ms(20), vec![send(), runner_order(now)]);
    assert!(batch.is_none() && matches!(out[..], [Effect::OrderRunner(_)]), "{out:?}");
    let (_, batch) = gate.submit(now + Span::ms(40), vec![save(), send()]);
    let second = batch.expect("a batch").number;
    assert_eq!(gate.release_synced(now + Span::ms(60), first).len(), 2);
    assert_eq!(gate.release_synced(now + Span::ms(80), second).len(), 1);
    assert!(!gate.is_slow(now + Span::ms(80)));
}

#[test]
fn given_a_save_that_hangs_when_leases_are_granted_then_these_and_heartbeats_leave_at_once() {
    let (mut gate, now) = (SyncGate::default(), Time(1_000_000));
    let chain = |msg| Effect::Send { to: NodeId(2), msg: Msg::Chain(msg) };
    let (out, _) = gate.submit(now, vec![save()]);
    assert!(out.is_empty());
    let beat = ChainMsg::Heartbeat { view: ViewNo(1), has_room: false, is_impaired: true, is_leaving: false };
    let vote = ChainMsg::Accepted { view_no: ViewNo(2), ballot: Ballot::default() };
    let grant = ChainMsg::LeaseGrant { view: ViewNo(1), sent: now };
    let (out, _) = gate.submit(now + STUCK_AFTER, vec![chain(beat), chain(vote), chain(grant)]);
    let left: Vec<bool> = out
        .iter()
        .map(|e| {
            matches!(e, Effect::Send { msg: Msg::Chain(m), .. }
        if matches!(m, ChainMsg::Heartbeat { .. } | ChainMsg::LeaseGrant { .. }))
        })
        .collect();
    assert_eq!(left, [true, true], "{out:?}");
}

#[test]
fn given_a_save_that_hangs_when_messages_follow_then_they_are_dropped_until_it_is_synced() {
    let (mut gate, now) = (SyncGate::default(), Time(1_000_000));
    let (_, batch) = gate.submit(now, vec![save(), send()]);
    let later = now + STUCK_AFTER;
    assert!(gate.is_stuck(later));
    let (out, _) = gate.submit(later, vec![send(), Effect::Ready(true)]);
    assert!(matches!(out[..], [Effect::Ready(true)]), "{out:?}");
    assert_eq!(
        gate.release_synced(later, batch.expect("a batch").number).len(),
        1,
        "only what was sent before it hung"
    );
    assert!(gate.is_slow(later) && !gate.is_stuck(later), "it counts as slow until a write was fast");
    let (_, batch) = gate.submit(later, vec![save()]);
    gate.release_synced(later + Span::ms(5), batch.expect("a batch").number);
    assert!(!gate.is_slow(later + Span::ms(5)));
}
