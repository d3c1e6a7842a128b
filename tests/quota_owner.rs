//! Owners of quotas and routers as state machines: who may grant, and what a repeat, a loss or a change of view does.

use quickcheck::{Gen, QuickCheck};
use spindledock::chain::messages::ChainRole;
use spindledock::chain::view::View;
use spindledock::constraints::QuotaSettings;
use spindledock::constraints::authority::AUTHORITY_LEASE;
use spindledock::constraints::bucket::TokenBucket;
use spindledock::constraints::messages::*;
use spindledock::constraints::owner::QuotaOwner;
use spindledock::constraints::ownership::owner_of;
use spindledock::constraints::shares::{Grant, QuotaDecision, Shares};
use spindledock::fleet::read::read_text;
use spindledock::fleet::state::FleetState;
use spindledock::fleet::tenants::QuotaLimit;
use spindledock::kernel::component::Me;
use spindledock::kernel::ids::*;
use spindledock::kernel::node::Node;
use spindledock::kernel::rand::Seeded;
use spindledock::kernel::time::{Span, Time};
use spindledock::msg::*;
use std::sync::{Arc, Mutex};

const ROUTER: NodeId = NodeId(50);
const START: Time = Time(100_000_000);
const NODES: [NodeId; 3] = [NodeId(1), NodeId(2), NodeId(3)];

fn tenant() -> Name {
    Name::from("t1")
}

/// A view whose tail is not the owner.
fn view(no: u64, chain: &[NodeId]) -> View {
    let mut view = View { no: ViewNo(no), chain: chain.to_vec(), voters: NODES.to_vec() };
    let owner = owner_of(&view, &tenant());
    view.chain.sort_by_key(|node| Some(*node) != owner);
    view
}

fn state(rate_milli: u64, burst: u64, at: u64) -> Arc<FleetState> {
    let text = format!(
        "{{\"tenants\":[{{\"name\":\"t1\",\"keys\":[\"k\"],\"rate_milli\":{rate_milli},\"burst\":{burst}}}]}}"
    );
    let config = read_text(&text).expect("a sound configuration");
    Arc::new(FleetState { config, config_at: Version(at), at: Version(at), ..FleetState::default() })
}

/// A member of the chain that knows the view and the configuration.
fn member(node: NodeId, view: &View) -> Node {
    let address = "10.0.0.1:1".parse().expect("an address");
    let me = Me {
        node,
        role: Role::Controller,
        domain: Name::from("z1"),
        addr: address,
        admin: address,
        seeds: vec![],
        seed: false,
        core: 0,
        bear: 1,
        first: false,
        proof: Span::ms(2000),
        lease: Span::ms(4500),
        started: Time(1),
    };
    let mut node = Node::new(me, Box::new(Seeded(node.0)));
    node.add(Box::new(QuotaOwner::new(QuotaSettings::default())));
    install(&mut node, view);
    node.views.apply(&JournalEvent::StateLoaded(state(10_000, 10, 1)));
    node
}

fn install(node: &mut Node, view: &View) {
    node.views.apply(&JournalEvent::ViewInstalled(view.clone()));
    let role = ChainRole { view: view.no, ..ChainRole::default() };
    node.views.apply(&JournalEvent::Role(role));
}

fn mail(node: &mut Node, now: Time, from: NodeId, msg: ConstraintMsg) -> Vec<ConstraintMsg> {
    sent(node.feed(now, Event::Mail { from, fleet: FleetId(0), msg: Msg::Constraint(msg) }))
}

fn sent(effects: Vec<Effect>) -> Vec<ConstraintMsg> {
    let constraint = |effect| match effect {
        Effect::Send { msg: Msg::Constraint(msg), .. } => Some(msg),
        _ => None,
    };
    effects.into_iter().filter_map(constraint).collect()
}

/// The tail answers the owner's request at once.
fn authorize(node: &mut Node, now: Time) {
    for msg in sent(node.feed(now, Event::Tick)) {
        if let ConstraintMsg::AuthorityRequest { view, sent } = msg {
            mail(node, now, NodeId(9), ConstraintMsg::AuthorityGrant { view, sent });
        }
    }
}

/// Keeps the owner's authority from one time to another.
fn authorize_through(node: &mut Node, from: Time, to: Time) {
    let mut now = from;
    while now <= to {
        authorize(node, now);
        now = now + Span::ms(100);
    }
}

fn acquire(node: &mut Node, now: Time, key: u64, needed: u32) -> Vec<ConstraintMsg> {
    let rows = vec![AcquireRow { tenant: tenant(), needed, ahead: 0 }];
    mail(node, now, ROUTER, ConstraintMsg::Acquire(Acquire { key: AcquireKey(key), rows }))
}

fn tokens(answers: &[ConstraintMsg]) -> u32 {
    let granted = |msg: &ConstraintMsg| match msg {
        ConstraintMsg::Granted { rows, .. } => rows.iter().map(|row| row.tokens).sum(),
        _ => 0,
    };
    answers.iter().map(granted).sum()
}

/// The node that owns the tenant in the view, with authority since long.
fn settled_owner(first: &View) -> (Node, Time) {
    let owner = owner_of(first, &tenant()).expect("an owner");
    let mut node = member(owner, first);
    let settled = START + Span::ms(6000);
    authorize_through(&mut node, START, settled);
    (node, settled)
}

#[test]
fn given_an_owner_without_authority_when_asked_then_it_grants_nothing() {
    let first = view(1, &NODES);
    let mut owner = member(owner_of(&first, &tenant()).expect("an owner"), &first);
    owner.feed(START, Event::Tick);
    assert!(matches!(acquire(&mut owner, START, 1, 1)[..], [ConstraintMsg::NotOwner { .. }]));
}

#[test]
fn given_an_owner_that_was_frozen_when_its_authority_has_run_out_then_it_grants_nothing() {
    let (mut owner, settled) = settled_owner(&view(1, &NODES));
    assert_eq!(tokens(&acquire(&mut owner, settled, 1, 1)), 1);
    let thawed = settled + AUTHORITY_LEASE;
    assert_eq!(tokens(&acquire(&mut owner, thawed, 2, 1)), 0);
}

#[test]
fn given_a_node_that_does_not_own_the_tenant_when_asked_then_it_names_its_view() {
    let first = view(1, &NODES);
    let other = NODES.into_iter().find(|node| Some(*node) != owner_of(&first, &tenant())).expect("another");
    let mut node = member(other, &first);
    authorize_through(&mut node, START, START + Span::ms(3000));
    let answer = acquire(&mut node, START + Span::ms(3000), 1, 1);
    assert!(matches!(&answer[..], [ConstraintMsg::NotOwner { view: Some(view), .. }] if *view == first));
}

#[test]
fn given_an_answer_that_was_lost_when_the_question_comes_again_then_tokens_are_spent_once() {
    let (mut owner, settled) = settled_owner(&view(1, &NODES));
    let first = acquire(&mut owner, settled, 1, 15);
    assert_eq!(tokens(&first), 15);
    assert_eq!(acquire(&mut owner, settled, 1, 15), first);
    assert_eq!(tokens(&acquire(&mut owner, settled, 2, 15)), 5);
}

#[test]
fn given_a_used_up_quota_when_asked_then_the_next_free_time_is_told() {
    let (mut owner, settled) = settled_owner(&view(1, &NODES));
    acquire(&mut owner, settled, 1, 20);
    let answer = acquire(&mut owner, settled, 2, 1);
    let [ConstraintMsg::Granted { rows, .. }] = &answer[..] else { panic!("{answer:?}") };
    assert_eq!(rows[0].tokens, 0);
    assert_eq!(rows[0].blocked, Some(Span::ms(100)));
}

#[test]
fn given_a_new_owner_when_authority_of_the_view_before_may_still_run_then_it_grants_nothing() {
    let first = view(1, &NODES);
    let old = owner_of(&first, &tenant()).expect("an owner");
    let rest: Vec<NodeId> = NODES.into_iter().filter(|node| *node != old).collect();
    let second = view(2, &rest);
    let mut new = member(owner_of(&second, &tenant()).expect("an owner"), &first);
    authorize_through(&mut new, START, START + Span::ms(6000));
    install(&mut new, &second);
    let gained = START + Span::ms(6000);
    authorize_through(&mut new, gained, gained + AUTHORITY_LEASE);
    assert_eq!(tokens(&acquire(&mut new, gained + AUTHORITY_LEASE, 1, 5)), 0);
    let later = gained + AUTHORITY_LEASE + Span::ms(300);
    authorize_through(&mut new, gained + AUTHORITY_LEASE, later);
    let granted = tokens(&acquire(&mut new, later, 2, 20));
    assert!((1..=3).contains(&granted), "an empty bucket since 280 ms, not {granted}");
}

#[test]
fn given_an_owner_that_missed_a_view_when_it_owns_again_then_it_starts_empty() {
    let first = view(1, &NODES);
    let (mut owner, settled) = settled_owner(&first);
    install(&mut owner, &View { no: ViewNo(3), ..first });
    authorize(&mut owner, settled + Span::ms(100));
    assert_eq!(tokens(&acquire(&mut owner, settled + Span::ms(200), 1, 5)), 0);
}

#[test]
fn given_an_owner_that_stays_owner_when_the_view_changes_then_it_goes_on_at_once() {
    let first = view(1, &NODES);
    let (mut owner, settled) = settled_owner(&first);
    acquire(&mut owner, settled, 1, 20);
    install(&mut owner, &View { no: ViewNo(2), ..first });
    authorize(&mut owner, settled + Span::ms(100));
    assert_eq!(tokens(&acquire(&mut owner, settled + Span::ms(100), 2, 20)), 1);
}

/// The owner of the first view, with a full bucket, and the node that owns the tenant in the next view, which both know.
fn old_and_new_owner() -> (Node, Node, Time) {
    let gains = owner_of(&view(1, &NODES), &tenant()).expect("an owner");
    let rest: Vec<NodeId> = NODES.into_iter().filter(|node| *node != gains).collect();
    let (first, second) = (view(1, &rest), view(2, &NODES));
    let (mut old, settled) = settled_owner(&first);
    let mut new = member(gains, &first);
    new.feed(settled, Event::Tick);
    install(&mut old, &second);
    install(&mut new, &second);
    (old, new, settled)
}

fn handover_request(new: &mut Node, now: Time) -> ConstraintMsg {
    let asked = sent(new.feed(now, Event::Tick));
    let request = asked.into_iter().find(|msg| matches!(msg, ConstraintMsg::HandoverRequest { .. }));
    request.expect("a request for the counter")
}

#[test]
fn given_an_old_owner_that_lives_when_the_view_changes_then_the_new_one_goes_on_with_its_count() {
    let (mut old, mut new, settled) = old_and_new_owner();
    let request = handover_request(&mut new, settled);
    let given = mail(&mut old, settled, new.me.node, request.clone());
    let again = mail(&mut old, settled, new.me.node, request);
    assert!(matches!(&again[..], [ConstraintMsg::Handover { counters, .. }] if counters.is_empty()));
    assert_eq!(tokens(&acquire(&mut old, settled, 1, 20)), 0, "the old owner grants no more");
    for _ in 0..2 {
        mail(&mut new, settled, old.me.node, given[0].clone());
    }
    authorize(&mut new, settled + Span::ms(200));
    assert_eq!(tokens(&acquire(&mut new, settled + Span::ms(200), 1, 30)), 20);
    mail(&mut new, settled, old.me.node, given[0].clone());
    assert_eq!(tokens(&acquire(&mut new, settled + Span::ms(200), 2, 30)), 0);
}

#[test]
fn given_a_new_owner_that_was_restarted_when_a_counter_for_its_earlier_life_comes_then_it_counts_for_nothing()
{
    let (mut old, mut new, settled) = old_and_new_owner();
    let request = handover_request(&mut new, settled);
    let given = mail(&mut old, settled, new.me.node, request);
    let mut restarted = member(new.me.node, &view(2, &NODES));
    mail(&mut restarted, settled + Span::ms(100), old.me.node, given[0].clone());
    authorize(&mut restarted, settled + Span::ms(200));
    assert_eq!(tokens(&acquire(&mut restarted, settled + Span::ms(300), 1, 20)), 0);
}

#[test]
fn given_a_grant_of_authority_for_another_view_or_request_when_it_comes_then_it_counts_for_nothing() {
    let first = view(1, &NODES);
    let mut owner = member(owner_of(&first, &tenant()).expect("an owner"), &first);
    let later = START + Span::ms(3000);
    for (no, sent) in [(2, later), (0, later), (1, later + Span::ms(1)), (1, START)] {
        owner.feed(later, Event::Tick);
        mail(&mut owner, later, NodeId(9), ConstraintMsg::AuthorityGrant { view: ViewNo(no), sent });
        assert!(matches!(acquire(&mut owner, later, no + 1, 1)[..], [ConstraintMsg::NotOwner { .. }]));
    }
}

#[test]
fn given_a_lowered_limit_when_tokens_are_asked_for_then_the_level_is_capped() {
    let (mut owner, settled) = settled_owner(&view(1, &NODES));
    owner.views.apply(&JournalEvent::StateLoaded(state(1000, 0, 2)));
    assert_eq!(tokens(&acquire(&mut owner, settled, 1, 30)), 10, "half of the slack is left");
}

#[test]
fn given_a_tenant_that_is_dropped_and_added_again_when_asked_then_its_bucket_is_empty() {
    let (mut owner, settled) = settled_owner(&view(1, &NODES));
    let empty = FleetState { config_at: Version(2), ..FleetState::default() };
    owner.views.apply(&JournalEvent::StateLoaded(Arc::new(empty)));
    owner.feed(settled, Event::Tick);
    owner.views.apply(&JournalEvent::StateLoaded(state(10_000, 10, 3)));
    assert_eq!(tokens(&acquire(&mut owner, settled, 1, 5)), 0);
}

#[test]
fn given_a_tail_without_its_lease_when_asked_for_authority_then_it_is_silent() {
    let first = view(1, &NODES);
    let mut tail = member(NODES[2], &first);
    let ask = ConstraintMsg::AuthorityRequest { view: first.no, sent: START };
    let role = |until| ChainRole { view: first.no, tail: true, until, ..ChainRole::default() };
    tail.views.apply(&JournalEvent::Role(role(START)));
    assert!(mail(&mut tail, START, NODES[0], ask.clone()).is_empty());
    tail.views.apply(&JournalEvent::Role(role(START + Span::ms(1))));
    assert_eq!(mail(&mut tail, START, NODES[0], ask).len(), 1);
    let newer = ConstraintMsg::AuthorityRequest { view: ViewNo(2), sent: START };
    assert!(mail(&mut tail, START, NODES[0], newer).is_empty());
}

#[test]
fn given_a_token_whose_lease_has_run_out_when_a_request_comes_then_it_is_not_used() {
    let mut shares = Shares::default();
    let grant =
        Grant { tenant: tenant(), tokens: 2, valid_until: START + Span::ms(500), blocked_until: None };
    shares.granted(START, &[grant]);
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
    shares.granted(START, &[grant]);
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
