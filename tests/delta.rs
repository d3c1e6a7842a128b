//! Differences between versions of a topic: they are small and exact, a reader refuses one that does not fit
//! its copy, and its version never goes back.

use spindledock::distribution::TopicReader;
use spindledock::distribution::history::{ChangeHistory, DeltaStep, UpdateBody};
use spindledock::distribution::reader::Topic;
use spindledock::fleet::config::{Class, Route, RouteKind};
use spindledock::fleet::slice::{RouteRow, RoutesSlice, Slice};
use spindledock::fleet::state::Scope;
use spindledock::fleet::tenants::{KeyDigest, Tenant};
use spindledock::kernel::ids::*;
use spindledock::kernel::rand::{Rand, SeededRandom};
use spindledock::kernel::time::{Span, Time};
use spindledock::msg::TopicUpdate;
use std::sync::Arc;

fn row(n: u64, due_ms: u64) -> RouteRow {
    let route = Route {
        prefix: format!("/r{n}"),
        host: String::new(),
        class: Class::Chat,
        resumable: false,
        due_ms,
        body_kb: 64,
        kind: RouteKind::Once,
        tries: 16,
        aim_ms: 0,
        gap_ms: 0,
        sticky: false,
        open: false,
        split: vec![],
    };
    RouteRow { service: Name::from("s"), route }
}

fn tenant(n: u64, keys: Vec<KeyDigest>) -> Tenant {
    Tenant { name: Name(format!("t{n}")), keys, priority: None, quota: None }
}

fn slice_of(rows: Vec<RouteRow>) -> Slice {
    Slice::Routes(RoutesSlice { rows, tenants: vec![] })
}

fn routes(rows: impl Iterator<Item = u64>) -> Arc<Slice> {
    Arc::new(slice_of(rows.map(|n| row(n, 1000)).collect()))
}

fn item(at: u64, age: Span, body: UpdateBody) -> TopicUpdate {
    TopicUpdate { scope: Scope::Routes, at: Version(at), age, body }
}

fn reader() -> TopicReader {
    let mut reader = TopicReader::new(Time(1_000_000));
    reader.topics.insert(Scope::Routes, Topic::default());
    reader
}

#[test]
fn given_a_thousand_routes_when_twenty_change_then_the_change_is_small_and_gives_the_same_list() {
    let mut rand = SeededRandom(7);
    let (mut publisher, mut reader) = (ChangeHistory::default(), ChangeHistory::default());
    let mut rows: Vec<RouteRow> = (0..1000).map(|n| row(n, 1000)).collect();
    publisher.advance(Version(1), Arc::new(slice_of(rows.clone())));
    reader.advance(Version(1), publisher.slice.clone().expect("held"));
    let whole = bitcode::encode(&publisher.update_since(Version(0))).len();
    for at in 2..40u64 {
        for _ in 0..20 {
            let n = rand.below(rows.len() as u64) as usize;
            match rand.below(3) {
                0 => drop(rows.remove(n)),
                1 => rows.insert(n, row(10_000 + at * 100 + rand.below(90), 500)),
                _ => rows[n].route.due_ms = rand.below(9000),
            }
        }
        publisher.advance(Version(at), Arc::new(slice_of(rows.clone())));
        let UpdateBody::Steps(steps) = publisher.update_since(reader.at) else { panic!("steps are smaller") };
        assert!(bitcode::encode(&UpdateBody::Steps(steps.clone())).len() * 5 < whole, "a fifth at most");
        assert!(reader.apply_steps(&steps));
        assert_eq!(reader.slice, publisher.slice);
    }
    assert!(matches!(publisher.update_since(Version(2)), UpdateBody::Whole(_)), "too far behind");
}

#[test]
fn given_a_thousand_tenants_when_keys_are_added_taken_away_and_passed_on_then_the_change_is_small_and_exact()
{
    let mut rand = SeededRandom(9);
    let (mut publisher, mut reader) = (ChangeHistory::default(), ChangeHistory::default());
    let key = |n: u64| KeyDigest::of(&n.to_le_bytes());
    let mut tenants: Vec<Tenant> = (0..1000).map(|n| tenant(n, vec![key(n)])).collect();
    let slice = |tenants: &[Tenant]| {
        Arc::new(Slice::Routes(RoutesSlice { rows: vec![row(1, 1000)], tenants: tenants.to_vec() }))
    };
    publisher.advance(Version(1), slice(&tenants));
    reader.advance(Version(1), publisher.slice.clone().expect("held"));
    let whole = bitcode::encode(&publisher.update_since(Version(0))).len();
    for at in 2..40u64 {
        let (from, to) =
            (rand.below(tenants.len() as u64) as usize, rand.below(tenants.len() as u64) as usize);
        match rand.below(4) {
            0 => tenants[from].keys.push(key(1000 + at)),
            1 => tenants[from].keys.clear(),
            2 => {
                let passed = std::mem::take(&mut tenants[from].keys);
                tenants[to].keys.extend(passed);
            }
            _ => drop(tenants.remove(from)),
        }
        publisher.advance(Version(at), slice(&tenants));
        let UpdateBody::Steps(steps) = publisher.update_since(reader.at) else { panic!("steps are smaller") };
        assert!(bitcode::encode(&UpdateBody::Steps(steps.clone())).len() * 50 < whole, "a fiftieth at most");
        assert!(reader.apply_steps(&steps));
        assert_eq!(reader.slice, publisher.slice, "at {at}");
    }
}

#[test]
fn given_a_copy_that_differs_when_a_change_is_applied_then_it_is_refused_and_the_whole_is_asked_for() {
    let mut publisher = ChangeHistory::default();
    publisher.advance(Version(3), routes(0..50));
    publisher.advance(Version(5), routes(0..60));
    let mut reader = reader();
    let other = Arc::new(slice_of((100..150).map(|n| row(n, 1000)).collect()));
    let nonce = reader.start_request(Time(2_000_000));
    assert_eq!(reader.handle_reply(nonce, &[item(3, Span(0), UpdateBody::Whole(other))]).len(), 1);
    let nonce = reader.start_request(Time(2_100_000));
    assert!(
        reader.handle_reply(nonce, &[item(5, Span(0), publisher.update_since(Version(3)))]).is_empty(),
        "refused"
    );
    assert_eq!(reader.known_version(&Scope::Routes), Version(0), "it asks for the whole content");
    assert_eq!(
        reader.age(&Scope::Routes, Time(2_100_000)),
        Some(Span(100_000)),
        "a refused update proves nothing"
    );
    let nonce = reader.start_request(Time(2_200_000));
    let got = reader.handle_reply(
        nonce,
        &[item(5, Span(0), publisher.update_since(reader.known_version(&Scope::Routes)))],
    );
    assert_eq!(got.len(), 1);
    assert_eq!(reader.topics[&Scope::Routes].history.slice, publisher.slice);
    assert_eq!(reader.known_version(&Scope::Routes), Version(5));
}

#[test]
fn given_an_unasked_push_when_it_comes_then_it_raises_the_version_and_proves_nothing() {
    let mut reader = reader();
    let push = |at| [item(at, Span(0), UpdateBody::Whole(routes(0..at)))];
    assert!(reader.handle_push(&push(4)).is_empty(), "pushes are ignored before the first reply");
    let nonce = reader.start_request(Time(2_000_000));
    reader.handle_reply(nonce, &push(4));
    let got = reader.handle_push(&push(6));
    assert_eq!((got.len(), got[0].at, got[0].proven), (1, Version(6), Time(2_000_000)));
    assert_eq!(reader.age(&Scope::Routes, Time(3_000_000)), Some(Span(1_000_000)));
    assert!(reader.handle_push(&push(5)).is_empty(), "the version never goes back");
    assert!(reader.handle_push(&push(6)).is_empty());
    let nonce = reader.start_request(Time(2_500_000));
    assert!(
        reader.handle_reply(nonce, &push(5)).is_empty(),
        "a reply with an older version proves nothing either"
    );
    assert_eq!(reader.known_version(&Scope::Routes), Version(6));
}

#[test]
fn given_answers_pushes_and_repeats_in_any_order_when_read_then_the_version_never_goes_back() {
    for seed in 1..40 {
        let mut rand = SeededRandom(seed);
        let mut publisher = ChangeHistory::default();
        let mut bodies: Vec<(u64, Vec<TopicUpdate>)> = Vec::new();
        for at in 1..20u64 {
            publisher.advance(Version(at), routes(0..200 + at * rand.below(4)));
            for back in [0, 1, 3] {
                let body = publisher.update_since(Version(at.saturating_sub(back)));
                bodies.push((at, vec![item(at, Span(rand.below(500_000)), body)]));
            }
        }
        let mut reader = reader();
        let mut top = Version(0);
        for _ in 0..400 {
            let (_, items) = &bodies[rand.below(bodies.len() as u64) as usize];
            let now = Time(2_000_000 + rand.below(1_000_000));
            let nonce = reader.start_request(now);
            let got = if rand.below(2) == 0 {
                reader.handle_reply(nonce, items)
            } else {
                reader.handle_push(items)
            };
            for change in got {
                assert!(change.at >= top, "seed {seed}: {} after {top}", change.at);
                top = change.at;
            }
        }
        assert!(top > Version(10), "seed {seed} reached {top}");
    }
}

#[test]
fn given_steps_that_do_not_join_when_followed_then_nothing_is_taken() {
    let mut publisher = ChangeHistory::default();
    for at in 1..6u64 {
        publisher.advance(Version(at), routes(0..100 + at));
    }
    let UpdateBody::Steps(steps) = publisher.update_since(Version(2)) else { panic!("steps") };
    let mut reader = ChangeHistory::default();
    reader.advance(Version(2), routes(0..102));
    let incomplete: Vec<Arc<DeltaStep>> =
        steps.iter().enumerate().filter(|s| s.0 != 1).map(|s| s.1.clone()).collect();
    assert!(!reader.apply_steps(&incomplete));
    assert_eq!(reader.at, Version(2));
    assert!(reader.apply_steps(&steps));
    assert_eq!(reader.at, Version(5));
}
