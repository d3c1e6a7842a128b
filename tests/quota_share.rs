//! Routers' shares of quotas, and the arithmetic of buckets.

use quickcheck::{Gen, QuickCheck};
use spindledock::constraints::QuotaSettings;
use spindledock::constraints::bucket::TokenBucket;
use spindledock::constraints::shares::{Grant, QuotaDecision, Shares};
use spindledock::fleet::tenants::QuotaLimit;
use spindledock::kernel::ids::Name;
use spindledock::kernel::time::{Span, Time};
use std::sync::{Arc, Mutex};

const START: Time = Time(100_000_000);

fn tenant() -> Name {
    Name::from("t1")
}

#[test]
fn given_a_token_whose_lease_has_run_out_when_a_request_comes_then_it_is_not_used() {
    let mut shares = Shares::default();
    let grant =
        Grant { tenant: tenant(), tokens: 2, valid_until: START + Span::ms(500), blocked_until: None };
    shares.on_granted(START, &[grant]);
    let due = START + Span::ms(9000);
    let mut ask = |now| shares.request(now, &tenant(), due, Box::new(|_| true));
    assert_eq!(ask(START + Span::ms(499)), Some(QuotaDecision::Granted));
    assert_eq!(ask(START + Span::ms(500)), None);
}

#[test]
fn given_a_blocked_tenant_when_requests_come_then_they_are_refused_until_the_next_free_time() {
    let mut shares = Shares::default();
    let until = START + Span::ms(300);
    let grant = Grant { tenant: tenant(), tokens: 0, valid_until: until, blocked_until: Some(until) };
    shares.on_granted(START, &[grant]);
    let mut ask = |now| shares.request(now, &tenant(), now + Span::ms(9000), Box::new(|_| true));
    assert_eq!(ask(START + Span::ms(100)), Some(QuotaDecision::Blocked(Span::ms(200))));
    assert_eq!(ask(until), None);
}

#[test]
fn given_a_request_that_waits_when_its_due_has_passed_then_it_is_refused_and_uses_no_token() {
    let mut shares = Shares::default();
    let told: Arc<Mutex<Vec<QuotaDecision>>> = Arc::default();
    let seen = told.clone();
    let wake = Box::new(move |decision| {
        seen.lock().unwrap().push(decision);
        true
    });
    assert_eq!(shares.request(START, &tenant(), START + Span::ms(50), wake), None);
    shares.sweep(START + Span::ms(50));
    assert_eq!(*told.lock().unwrap(), [QuotaDecision::Unanswered]);
    assert_eq!(shares.waiting(), 0);
}

fn takes_fit_each_window(rate_milli: u32, burst: u8, steps: Vec<(u16, u8)>) -> bool {
    let settings = QuotaSettings::default();
    let quota = QuotaLimit { rate_milli: u64::from(rate_milli % 200_000), burst: u64::from(burst) };
    let mut bucket = TokenBucket::empty(settings.bucket_limit(quota), START);
    let mut now = START;
    let mut granted: Vec<(Time, u64)> = Vec::new();
    for (wait_ms, wanted) in steps {
        now = now + Span::ms(u64::from(wait_ms % 700));
        granted.push((now, bucket.take(u64::from(wanted), now)));
    }
    let window = Span(settings.window.0 + settings.grant_lease().0);
    granted.iter().all(|(from, _)| {
        let within = granted.iter().filter(|(at, _)| at >= from && *at <= *from + window);
        within.map(|(_, count)| *count).sum::<u64>() as f64 <= settings.window_limit(quota) + 1.0
    })
}

fn settings_fit_the_rule(window_ms: u16, tolerance_milli: u8, rate_milli: u32) -> bool {
    let window = Span::ms(u64::from(window_ms) + 100);
    let settings = QuotaSettings { window, tolerance_milli: u64::from(tolerance_milli), slack: 20 };
    let quota = QuotaLimit { rate_milli: u64::from(rate_milli), burst: 30 };
    let limit = settings.bucket_limit(quota);
    let granting = (window.0 + settings.grant_lease().0) as f64 / 1e6;
    let most = limit.burst as f64 + limit.rate_milli as f64 / 1000.0 * granting;
    most <= settings.window_limit(quota)
}

#[test]
fn given_any_takes_and_limits_when_counted_then_no_window_is_over_the_bound() {
    let fits = takes_fit_each_window as fn(u32, u8, Vec<(u16, u8)>) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(60, 7)).tests(2000).quickcheck(fits);
}

#[test]
fn given_any_settings_when_a_bucket_is_made_then_a_window_and_a_lease_hold_no_more_than_the_rule() {
    let fits = settings_fit_the_rule as fn(u16, u8, u32) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 7)).tests(2000).quickcheck(fits);
}
