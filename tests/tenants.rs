//! Tenants and their keys, from the configuration to the runner.

mod common;

use common::{seeded, sound};
use spindledock::fleet::config::Class;
use spindledock::fleet::read::read_text;
use spindledock::fleet::routes::RouteTable;
use spindledock::fleet::slice::RoutesSlice;
use spindledock::fleet::tenants::{KeyDigest, TenantRank};
use spindledock::gate::admission::admit;
use spindledock::gate::order::{RefusalReason, RequestSpec, Urgency};
use spindledock::gate::{Balancer, Refusal};
use spindledock::http::native::{NativeCaller, NativeRunner};
use spindledock::kernel::ids::*;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::vanua;
use spindledock::msg::OperatorCall;
use spindledock::protocol::{CallerProtocol, RunnerProtocol};
use spindledock::sim::World;
use spindledock::sim::callers::SimFlow;
use spindledock::sim::record::Fact;
use spindledock::sim::report::Report;
use std::sync::Arc;

/// Configures tenants, each with its keys; `None` drops one.
fn set_tenants(w: &mut World, place: usize, tenants: &[(&str, Option<&[&str]>)]) {
    let rows: Vec<String> = tenants.iter().map(|(name, keys)| row(name, *keys)).collect();
    let text = format!("{{\"rollout\":{{\"refused_percent\":100}},\"tenants\":[{}]}}", rows.join(","));
    let id = w.ask(place, OperatorCall::PatchConfig { base: None, text });
    assert_eq!(w.answer(id, Span::ms(12_000)), Some(200), "{:?}", w.answers.get(&id));
}

fn row(name: &str, keys: Option<&[&str]>) -> String {
    let Some(keys) = keys else { return format!("{{\"name\":\"{name}\",\"drop\":true}}") };
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!("{{\"name\":\"{name}\",\"keys\":[{}]}}", keys.join(","))
}

fn runs_under(w: &World, name: &str) -> usize {
    let under = |f: &Fact| matches!(f, Fact::RunBegan { tenant: Some(t), .. } if t.0 == name);
    w.record.rows.iter().filter(|row| under(&row.1)).count()
}

fn steady(w: &World, lasting: Span) -> SimFlow {
    SimFlow {
        prefix: "/chat".into(),
        service: Name::from("assistant"),
        resumable: true,
        per_s: 6.0,
        tokens: 5,
        hot: 3,
        adapted: false,
        until: w.now + lasting,
    }
}

#[test]
fn given_keys_added_passed_on_and_taken_away_when_the_head_is_frozen_meanwhile_then_each_run_is_its_owners() {
    seeded(1..4, |seed| {
        let mut w = World::loaded_boot(vanua(), seed, 10);
        set_tenants(&mut w, 4, &[("one", Some(&["k-1", "k-2"])), ("two", Some(&["k-3"]))]);
        w.caller_keys = ["k-1", "k-2", "k-3", "k-4"].map(String::from).to_vec();
        w.run_for(Span::ms(2500));
        w.traffic(10, 2.0, Span::ms(30_000));
        w.run_for(Span::ms(3000));
        set_tenants(&mut w, 4, &[("one", Some(&["k-1"])), ("two", Some(&["k-3", "k-2"]))]);
        w.run_for(Span::ms(3000));
        w.freeze(5, Span::ms(4000));
        set_tenants(&mut w, 4, &[("two", None), ("three", Some(&["k-2", "k-4"]))]);
        w.run_for(Span::ms(1000));
        w.kill_node(0);
        w.run_for(Span::ms(3000));
        set_tenants(&mut w, 4, &[("one", Some(&[]))]);
        w.run_for(Span::ms(30_000));
        sound(&w);
        let report = Report::of(&w);
        assert!(["one", "two", "three"].iter().all(|name| runs_under(&w, name) > 0), "{report}");
        assert!(report.codes.contains_key("unknown-key"), "{report}");
    });
}

#[test]
fn given_requests_that_wait_when_their_key_is_taken_away_or_passed_on_then_none_begins_after_the_change() {
    seeded(1..4, |seed| {
        let mut w = World::loaded_boot(vanua(), seed, 10);
        set_tenants(&mut w, 4, &[("one", Some(&["k-1"])), ("two", Some(&["k-2"]))]);
        w.caller_keys = ["k-1", "k-2"].map(String::from).to_vec();
        w.run_for(Span::ms(2500));
        for k in 0..w.plan.assistants {
            w.kill_runner(k);
        }
        w.run_for(Span::ms(2600));
        for k in 0..w.plan.assistants {
            w.at(w.now + Span::ms(3200), move |w| w.start_runner(k));
        }
        let flow = steady(&w, Span::ms(2000));
        w.start_flow(flow);
        w.run_for(Span::ms(400));
        set_tenants(&mut w, 4, &[("one", Some(&[])), ("two", Some(&["k-9"])), ("three", Some(&["k-2"]))]);
        w.run_for(Span::ms(60_000));
        sound(&w);
        let report = Report::of(&w);
        assert!(
            ["unknown-key", "key-passed-on"].iter().all(|code| report.codes.contains_key(*code)),
            "{report}"
        );
        assert_eq!(runs_under(&w, "two"), 0, "{report}");
    });
}

/// The routes of a plain service, with these tenants.
fn routes(tenants: &str) -> RoutesSlice {
    let text = format!(
        r#"{{"services":[{{"name":"s","sort":"plain","routes":[{{"prefix":"/"}}]}}],"tenants":[{tenants}]}}"#
    );
    RoutesSlice::of(&read_text(&text).expect("good"))
}

fn order_at(version: u64, table: &RouteTable, key: &str) -> RequestSpec {
    let row = table.find("", "/x").expect("a route");
    let admission = admit(table, row, Some(KeyDigest::of(key.as_bytes()))).expect("a known key");
    RequestSpec {
        service: Name::from("s"),
        path: "/x".into(),
        routes_version: Version(version),
        credential: admission.credential,
        rank: admission.rank,
        ..RequestSpec::default()
    }
}

// Guards against: a router's gate that was not told of a new key yet refuses the request that was admitted by it.
#[test]
fn given_a_request_admitted_by_newer_tenants_than_its_gate_knows_when_checked_then_it_is_not_refused() {
    let old: RouteTable = routes(r#"{"name":"one","keys":["k-1"]}"#).into();
    let new: RouteTable = routes(r#"{"name":"one","keys":["k-1","k-2"]}"#).into();
    let mut balancer = Balancer::new(Name::from("s"), Name::from("z"));
    let (first, second) = (order_at(1, &old, "k-1"), order_at(2, &new, "k-2"));
    balancer.routes = (Version(1), Arc::new(old));
    assert_eq!((balancer.admits(&first), balancer.admits(&second)), (Ok(()), Ok(())));
    balancer.routes = (Version(3), Arc::new(routes(r#"{"name":"one","keys":["k-1"]}"#).into()));
    assert_eq!((balancer.admits(&first), balancer.admits(&second)), (Ok(()), Err(RefusalReason::UnknownKey)));
    balancer.routes = (Version(4), Arc::new(routes(r#"{"name":"two","keys":["k-1"]}"#).into()));
    assert_eq!(balancer.admits(&first), Err(RefusalReason::KeyReassigned));
    assert_eq!(
        Refusal::new(RefusalReason::KeyReassigned, 1).status(),
        503,
        "the key is known: the client may ask again"
    );
}

#[test]
fn given_tenants_with_and_without_a_priority_when_ordered_then_the_tenant_goes_before_the_route() {
    let table: RouteTable = routes(
        r#"{"name":"a","keys":["a"],"priority":0},{"name":"b","keys":["b"]},{"name":"c","keys":["c"],"priority":2}"#,
    )
    .into();
    let ranks: Vec<TenantRank> = ["a", "b", "c"].iter().map(|key| order_at(1, &table, key).rank).collect();
    assert!(ranks[0] < ranks[1] && ranks[1] < ranks[2], "{ranks:?}");
    let least_of_first = Urgency { rank: ranks[0], class: Class::Bulk };
    let first_of_next = Urgency { rank: ranks[1], class: Class::Counter };
    assert!(least_of_first < first_of_next);
}

#[test]
fn given_routes_with_tenants_when_sent_over_the_wire_then_they_arrive_as_they_were_and_no_key_is_in_them() {
    let slice = routes(
        r#"{"name":"one","keys":["secret-1"],"priority":1,"rate_milli":500,"burst":2},{"name":"two"}"#,
    );
    let raw = bitcode::encode(&slice);
    assert_eq!(bitcode::decode::<RoutesSlice>(&raw).expect("whole"), slice);
    assert!(!raw.windows(6).any(|bytes| bytes == b"secret"));
}

#[test]
fn given_the_products_own_interface_when_a_request_has_a_key_then_it_is_taken_out_and_the_tenant_is_told() {
    let table: RouteTable = routes(r#"{"name":"one","keys":["k-1"]}"#).into();
    let mut heads = hyper::HeaderMap::new();
    heads.insert("x-spindledock-key", "k-1".parse().expect("a value"));
    heads.insert("x-spindledock-tenant", "other".parse().expect("a value"));
    let key = NativeCaller.take_api_key(&mut heads);
    assert_eq!(key, Some(KeyDigest::of(b"k-1")));
    let runner = spindledock::fleet::runner::Runner {
        instance: Name::from("i"),
        service: Name::from("s"),
        domain: Name::from("z"),
        addr: "10.0.0.1:80".parse().expect("an address"),
        leaving: false,
    };
    NativeRunner.add_request_headers(&mut heads, &runner, &order_at(1, &table, "k-1"), None, Span::ms(10));
    assert_eq!(heads.get("x-spindledock-tenant").and_then(|v| v.to_str().ok()), Some("one"));
    assert!(heads.get("x-spindledock-key").is_none());
}

#[test]
fn given_tenants_of_our_own_format_when_shown_then_they_read_back_and_faults_name_their_places() {
    let text = r#"{"tenants":[{"name":"one","keys":["secret-1"],"priority":1,"rate_milli":1500,"burst":2},{"name":"two"}]}"#;
    let config = read_text(text).expect("good");
    let shown = config.tree().to_string();
    assert!(!shown.contains("secret-1"), "{shown}");
    assert_eq!(read_text(&shown).expect("it reads back").tenants, config.tenants);
    let bad = r#"{"tenants":[{"name":"one","keys":["secret-1"],"burst":2},{"name":"one","keys":["secret-1","digest:zz"]},
        {"name":"","rate_milli":-1,"priority":1000,"keys":"secret-1"}]}"#;
    let faults = read_text(bad).expect_err("faults");
    let places: Vec<&str> = faults.iter().map(|fault| fault.place.as_str()).collect();
    for place in [
        "tenants[0].burst",
        "tenants[1].name",
        "tenants[1].keys",
        "tenants[2].name",
        "tenants[2].rate_milli",
        "tenants[2].priority",
        "tenants[2].keys",
    ] {
        assert!(places.contains(&place), "{place} is not among {places:?}");
    }
    assert!(!format!("{faults:?}").contains("secret-1"), "{faults:?}");
}
