//! What a request of a tenant with a quota is told before it enters its gate.

use spindledock::constraints::shares::Grant;
use spindledock::fleet::tenants::{Credential, KeyDigest, QuotaLimit, Tenant};
use spindledock::gate::{BalancerTable, Refusal, RequestSpec};
use spindledock::http::quota::take_token;
use spindledock::kernel::ids::Name;
use spindledock::kernel::time::{Clock, Span, Time};
use std::sync::Arc;

const NOW: Time = Time(100_000_000);
const DUE: Time = Time(101_000_000);

struct FixedClock;

impl Clock for FixedClock {
    fn now(&self) -> Time {
        NOW
    }
}

fn table() -> BalancerTable {
    BalancerTable::new(Name::from("z1"), Span::ms(2000))
}

fn order(quota: Option<QuotaLimit>) -> RequestSpec {
    let key = KeyDigest::of(b"key");
    let tenant = Arc::new(Tenant { name: Name::from("t1"), keys: vec![key], priority: None, quota });
    RequestSpec {
        credential: Some(Credential { key, tenant }),
        start_deadline: DUE,
        ..RequestSpec::default()
    }
}

fn limited() -> RequestSpec {
    order(Some(QuotaLimit { rate_milli: 1000, burst: 1 }))
}

fn grant(table: &BalancerTable, tokens: u32, blocked_until: Option<Time>) {
    let tenant = Name::from("t1");
    let grant = Grant { tenant, tokens, valid_until: DUE, blocked_until };
    table.quota.lock().unwrap().on_granted(NOW, &[grant]);
}

/// Asks for a token; `meanwhile` happens as the request waits.
fn ask(table: &BalancerTable, order: &RequestSpec, meanwhile: impl FnOnce()) -> Result<(), Refusal> {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(async { tokio::join!(take_token(table, &FixedClock, order), async { meanwhile() }).0 })
}

#[test]
fn given_a_blocked_tenant_when_a_request_comes_then_it_gets_429_and_the_next_free_time() {
    let table = table();
    grant(&table, 0, Some(NOW + Span::ms(1500)));
    let refusal = ask(&table, &limited(), || ()).expect_err("a refusal");
    assert_eq!((refusal.status(), refusal.code(), refusal.retry_s()), (429, "over-quota", 2));
}

#[test]
fn given_one_token_when_two_requests_come_then_the_second_waits_and_is_refused_at_its_due() {
    let table = table();
    grant(&table, 1, None);
    assert!(ask(&table, &limited(), || ()).is_ok());
    let refusal = ask(&table, &limited(), || table.tick(DUE, 1)).expect_err("a refusal");
    assert_eq!((refusal.status(), refusal.code()), (503, "quota-unknown"));
}

#[test]
fn given_a_request_that_waits_when_a_token_comes_then_it_goes_on() {
    let table = table();
    assert!(ask(&table, &limited(), || grant(&table, 1, None)).is_ok());
}

#[test]
fn given_a_tenant_without_a_quota_when_a_request_comes_then_it_asks_for_nothing() {
    let table = table();
    assert!(ask(&table, &order(None), || ()).is_ok());
    assert_eq!(table.quota.lock().unwrap().waiting(), 0);
}
