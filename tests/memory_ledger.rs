//! Who gets memory for a body, and whose body gives way when there is none left.

use quickcheck::quickcheck;
use spindledock::http::memory_ledger::{Charge, HolderId, MemoryLedger};
use spindledock::kernel::time::{Span, Time};

const CAPACITY: usize = 8 << 20;
const LARGE: usize = 3 << 20;
const SMALL: usize = 1000;

fn at(ms: u64) -> Time {
    Time::default() + Span::ms(ms)
}

fn open_with(ledger: &mut MemoryLedger, now: Time, bytes: usize) -> HolderId {
    let id = ledger.open(now);
    assert_eq!(ledger.charge(now, id, bytes), Charge::Granted);
    ledger.progress(now, id, bytes);
    id
}

#[test]
fn given_stalled_bodies_when_another_needs_room_then_the_one_stalled_for_longest_gives_way() {
    let mut ledger = MemoryLedger::new(CAPACITY);
    let newer = open_with(&mut ledger, at(100), LARGE);
    let older = open_with(&mut ledger, at(0), LARGE);
    let next = ledger.open(at(300));
    assert_eq!(ledger.charge(at(300), next, LARGE), Charge::Wait { evicted: None });
    assert_eq!(ledger.charge(at(500), next, LARGE), Charge::Wait { evicted: Some(older) });
    assert_eq!(ledger.charge(at(501), next, LARGE), Charge::Wait { evicted: None });
    assert!(!ledger.complete(older));
    ledger.close(older);
    assert_eq!(ledger.charge(at(502), next, LARGE), Charge::Granted);
    assert!(ledger.complete(newer));
}

#[test]
fn given_a_body_that_gains_a_byte_at_a_time_when_another_needs_room_then_it_counts_as_stalled() {
    let mut ledger = MemoryLedger::new(CAPACITY);
    let slow = open_with(&mut ledger, at(0), 2 * LARGE);
    (1..=10).for_each(|n| ledger.progress(at(n * 50), slow, 1));
    let next = ledger.open(at(500));
    assert_eq!(ledger.charge(at(500), next, LARGE), Charge::Wait { evicted: Some(slow) });
}

#[test]
fn given_a_body_that_gains_at_an_ordinary_pace_when_another_needs_room_then_the_other_waits() {
    let mut ledger = MemoryLedger::new(CAPACITY);
    let steady = open_with(&mut ledger, at(0), 2 * LARGE);
    let next = ledger.open(at(0));
    for n in 1..=20 {
        ledger.progress(at(n * 100), steady, 64 << 10);
        assert_eq!(ledger.charge(at(n * 100), next, LARGE), Charge::Wait { evicted: None });
    }
    assert!(ledger.complete(steady));
}

#[test]
fn given_whole_bodies_in_all_of_the_room_for_large_ones_when_a_small_one_comes_then_it_has_room() {
    let mut ledger = MemoryLedger::new(CAPACITY);
    for bytes in [LARGE, LARGE, 1 << 20] {
        let id = open_with(&mut ledger, at(0), bytes);
        assert!(ledger.complete(id));
    }
    let large = ledger.open(at(9000));
    assert_eq!(ledger.charge(at(9000), large, LARGE), Charge::Wait { evicted: None });
    let small = ledger.open(at(9000));
    assert_eq!(ledger.charge(at(9000), small, SMALL), Charge::Granted);
}

#[test]
fn given_bodies_that_all_wait_for_room_when_none_can_end_then_the_newest_gives_way() {
    let mut ledger = MemoryLedger::new(CAPACITY);
    let first = open_with(&mut ledger, at(0), LARGE);
    let second = open_with(&mut ledger, at(0), LARGE);
    assert_eq!(ledger.charge(at(10), first, 2 * LARGE), Charge::Wait { evicted: None });
    assert_eq!(ledger.charge(at(20), second, 2 * LARGE), Charge::Wait { evicted: None });
    assert_eq!(ledger.charge(at(600), first, 2 * LARGE), Charge::Wait { evicted: Some(second) });
    ledger.close(second);
    assert_eq!(ledger.charge(at(601), first, 2 * LARGE), Charge::Granted);
}

#[test]
fn given_a_body_larger_than_the_account_when_nobody_else_holds_any_then_it_has_room() {
    let mut ledger = MemoryLedger::new(CAPACITY);
    let id = ledger.open(at(0));
    assert_eq!(ledger.charge(at(0), id, 2 * CAPACITY), Charge::Granted);
    let other = ledger.open(at(0));
    assert_eq!(ledger.charge(at(0), other, SMALL), Charge::Wait { evicted: None });
    ledger.close(id);
    assert_eq!(ledger.charge(at(1), other, SMALL), Charge::Granted);
}

quickcheck! {
    fn given_any_steps_when_several_hold_bytes_then_they_never_exceed_the_capacity(steps: Vec<(u8, u8, u16)>) -> bool {
        let mut ledger = MemoryLedger::new(CAPACITY);
        let mut open: Vec<(HolderId, usize)> = Vec::new();
        let mut now = 0;
        for (action, which, size) in steps {
            now += u64::from(which);
            if open.is_empty() || action % 4 == 0 {
                open.push((ledger.open(at(now)), 0));
                continue;
            }
            let index = usize::from(which) % open.len();
            let (id, bytes) = open[index];
            match action % 4 {
                1 => {
                    let total = bytes + usize::from(size) * 100;
                    if ledger.charge(at(now), id, total) == Charge::Granted {
                        open[index].1 = total;
                    }
                }
                2 => drop(ledger.complete(id)),
                _ => {
                    ledger.close(id);
                    open.remove(index);
                }
            }
            let sum: usize = open.iter().map(|(_, bytes)| bytes).sum();
            let holders = open.iter().filter(|(_, bytes)| *bytes > 0).count();
            if sum != ledger.used() || (holders > 1 && sum > CAPACITY) {
                return false;
            }
        }
        true
    }
}
