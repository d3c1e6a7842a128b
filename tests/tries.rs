mod common;

use common::{seeded, sound};
use spindledock::gate::budget::{MIN_CREDIT_LIMIT, RetryBudget};
use spindledock::kernel::time::{Span, Time};
use spindledock::launch::deployment::vanua;
use spindledock::sim::World;
use spindledock::sim::check_tries::{small_allowance, worst};
use spindledock::sim::report::Report;

fn group(n: usize, share: f64) -> Vec<RetryBudget> {
    (0..n).map(|_| RetryBudget::with_credit_limit(share)).collect()
}

fn spend_all(rows: &mut [RetryBudget], now: Time, out: &mut Vec<(Time, bool)>) {
    for t in rows {
        while t.try_spend() {
            out.push((now, false));
        }
    }
}

fn firsts(rows: &mut [RetryBudget], n: u64, now: Time, out: &mut Vec<(Time, bool)>) {
    for t in rows {
        for _ in 0..n {
            t.record_first_send();
            out.push((now, true));
        }
    }
}

#[test]
fn given_a_group_of_routers_with_saved_credit_when_a_burst_follows_a_quiet_time_then_every_window_holds() {
    for (routers, allowance) in [(6, 30), (9, 30), (9, 10)] {
        let mut rows = group(routers, allowance as f64 / routers as f64);
        let mut out = Vec::new();
        firsts(&mut rows, 1000, Time(1_000_000), &mut out);
        let held: u64 = rows.iter_mut().map(|t| u64::from(t.try_reserve(2)) * 2).sum();
        assert_eq!(held, 2 * routers as u64);
        firsts(&mut rows, 1000, Time(2_000_000), &mut out);
        spend_all(&mut rows, Time(90_000_000), &mut out);
        for t in &mut rows {
            for _ in 0..2 {
                t.spend_reserved();
                out.push((Time(90_000_000), false));
            }
        }
        spend_all(&mut rows, Time(90_000_000), &mut out);
        let most = small_allowance(allowance, routers as u64) as f64;
        assert!(out.iter().filter(|o| !o.1).count() as f64 >= most * 0.5, "the burst was tried");
        let over = worst(&out, 0.2, most);
        assert!(over.is_none(), "{routers} routers, allowance {allowance}: {over:?}");
    }
}

#[test]
fn given_ten_restarts_of_a_router_when_it_has_had_no_traffic_then_it_has_no_tries_to_spend() {
    let spent: u64 = (0..10)
        .map(|_| {
            let mut t = RetryBudget::with_credit_limit(5.0);
            t.record_first_send();
            let mut n = 0;
            while t.try_spend() {
                n += 1;
            }
            n
        })
        .sum();
    assert_eq!(spent, 0);
    let mut t = RetryBudget::with_credit_limit(0.1);
    (0..100).for_each(|_| t.record_first_send());
    assert!(t.try_reserve(MIN_CREDIT_LIMIT), "a group larger than its allowance can still move a stream");
}

#[test]
fn given_routers_that_restart_and_runners_that_flap_when_judged_by_window_then_the_budget_holds() {
    seeded(1..3, |seed| {
        let mut w = World::loaded_boot(vanua(), seed, 10);
        w.traffic(10, 3.0, Span::ms(40_000));
        for n in 0..20usize {
            w.run_for(Span::ms(1700));
            let k = n % 9;
            w.kill_runner(k);
            w.at(w.now + Span::ms(1200), move |w| w.start_runner(k));
            if n % 2 == 0 {
                let r = w.routers()[n / 2 % 6];
                w.kill_node(r);
                w.at(w.now + Span::ms(300), move |w| w.start_node(r));
            }
        }
        w.run_for(Span::ms(60_000));
        sound(&w);
        assert!(Report::of(&w).extra > 5, "{}", Report::of(&w));
    });
}
