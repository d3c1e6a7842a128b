//! The limit on loads from the store of weights, with orders that arrive late, a change of the holder, and
//! clock jumps.

mod common;

use common::seeded;
use spindledock::fleet::config::Store;
use spindledock::kernel::ids::OrderId;
use spindledock::kernel::time::{Span, Time};
use spindledock::launch::deployment::vanua;
use spindledock::placement::store_budget::StoreBudget;
use spindledock::sim::World;
use spindledock::sim::check::room_and_store;
use spindledock::sim::record::Fact;

const RULE: Store = Store {
    loads_per_minute: 216,
    burst: 6,
    window_ms: 5000,
    most: 22,
    at_once: 0,
    kept_ms: 0,
    adapters: true,
};

fn most_in_window(loads: &[Time], window: Span) -> usize {
    let within = |t: &Time| loads.iter().filter(|x| **x >= *t && x.since(*t) <= window).count();
    loads.iter().map(within).max().unwrap_or(0)
}

struct LoadDriver {
    budget: StoreBudget,
    now: Time,
    next: u64,
    loads: Vec<Time>,
}

impl LoadDriver {
    fn run(&mut self, span: Span, late: impl Fn(u64) -> Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Span::ms(20);
            self.budget.advance_clock(self.now);
            while self.budget.left(&RULE) >= 1.0 {
                self.next += 1;
                self.budget.reserve(OrderId(self.next), Span::ms(1000));
                self.loads.push(self.now + late(self.next));
            }
        }
    }
}

fn load_driver() -> LoadDriver {
    LoadDriver { budget: StoreBudget::default(), now: Time(5_000_000), next: 0, loads: vec![] }
}

#[test]
fn given_orders_that_arrive_late_by_turns_when_loads_are_wanted_all_the_time_then_no_window_sees_too_many() {
    for seed in 0..40u64 {
        let mut h = load_driver();
        h.budget.advance_clock(h.now);
        h.budget.reset(&RULE);
        h.run(Span::ms(30_000), |n| Span::ms((n * (seed * 2 + 1) * 137) % 1000));
        h.loads.sort();
        assert!(h.loads.len() > 60, "it is used: {}", h.loads.len());
        assert!(
            most_in_window(&h.loads, Span::ms(5000)) <= 22,
            "{} at seed {seed}",
            most_in_window(&h.loads, Span::ms(5000))
        );
        for (n, from) in h.loads.iter().enumerate() {
            for (k, to) in h.loads.iter().enumerate().skip(n) {
                let most = 6.0 + to.since(*from).0 as f64 * 216.0 / 6e7 + 0.01;
                assert!((k - n + 1) as f64 <= most, "{} in {}", k - n + 1, to.since(*from));
            }
        }
    }
}

#[test]
fn given_a_predecessor_that_spent_all_when_the_holder_changes_then_the_window_holds_over_both() {
    let mut one = load_driver();
    one.budget.advance_clock(one.now);
    one.budget.reset(&RULE);
    one.run(Span::ms(7000), |_| Span(0));
    let mut two =
        LoadDriver { budget: StoreBudget::default(), now: one.now, next: 0, loads: one.loads.clone() };
    two.budget.advance_clock(two.now);
    two.budget.reset_for_successor(&RULE, Span::ms(1000));
    let before = two.loads.len();
    two.run(Span::ms(8000), |_| Span(0));
    assert!(two.loads.len() > before + 6, "the successor loads too");
    assert!(
        most_in_window(&two.loads, Span::ms(5000)) <= 22,
        "{}",
        most_in_window(&two.loads, Span::ms(5000))
    );
}

#[test]
fn given_a_holder_whose_clock_leaps_then_the_store_is_asked_no_faster() {
    seeded(1..4, |seed| {
        let mut w = World::loaded_boot(vanua(), seed, 10);
        w.traffic(10, 1.0, Span::ms(20_000));
        w.traffic(50, 1.0, Span::ms(20_000));
        for _ in 0..8 {
            w.run_for(Span::ms(2100));
            for n in w.controllers() {
                w.nodes[n].offset += Span::ms(6000).0;
            }
        }
        let loads = w.record.rows.iter().filter(|r| matches!(r.1, Fact::Asking { load: true })).count();
        assert!(loads > 20, "{loads}");
        let bad = room_and_store(&w);
        assert!(bad.is_empty(), "{bad:?}");
    });
}
