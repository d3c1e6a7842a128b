//! Owners of quotas as state machines: who may grant, and what a repeat, a loss or a change of view does.

mod quota_members;

use quota_members::*;
use spindledock::chain::messages::ChainRole;
use spindledock::chain::view::View;
use spindledock::constraints::authority::AUTHORITY_LEASE;
use spindledock::constraints::messages::*;
use spindledock::constraints::ownership::owner_of;
use spindledock::fleet::state::FleetState;
use spindledock::kernel::ids::*;
use spindledock::kernel::node::Node;
use spindledock::kernel::time::{Span, Time};
use spindledock::msg::*;
use std::sync::Arc;

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
    let empty = FleetState { config_version: Version(2), ..FleetState::default() };
    owner.views.apply(&JournalEvent::StateLoaded(Arc::new(empty)));
    owner.feed(settled, Event::Tick);
    owner.views.apply(&JournalEvent::StateLoaded(state(10_000, 10, 3)));
    assert_eq!(tokens(&acquire(&mut owner, settled, 1, 5)), 0);
}

#[test]
fn given_a_tail_without_its_lease_when_asked_for_authority_then_it_is_silent() {
    let first = view(1, &NODES);
    let mut tail = member(NODES[2], &first);
    let config_version = tail.views.state.config_version;
    let ask = ConstraintMsg::AuthorityRequest { view: first.no, sent: START, config_version };
    let role =
        |until| ChainRole { view: first.no, is_tail: true, lease_until: until, ..ChainRole::default() };
    tail.views.apply(&JournalEvent::Role(role(START)));
    assert!(mail(&mut tail, START, NODES[0], ask.clone()).is_empty());
    tail.views.apply(&JournalEvent::Role(role(START + Span::ms(1))));
    assert_eq!(mail(&mut tail, START, NODES[0], ask).len(), 1);
    let newer = ConstraintMsg::AuthorityRequest { view: ViewNo(2), sent: START, config_version };
    assert!(mail(&mut tail, START, NODES[0], newer).is_empty());
}

#[test]
fn given_an_owner_with_older_limits_than_the_tail_when_it_asks_for_authority_then_it_gets_none() {
    let first = view(1, &NODES);
    let mut tail = member(NODES[2], &first);
    let until = START + Span::ms(1);
    let role = ChainRole { view: first.no, is_tail: true, lease_until: until, ..ChainRole::default() };
    tail.views.apply(&JournalEvent::Role(role));
    let newest = tail.views.state.config_version;
    let ask =
        |config_version| ConstraintMsg::AuthorityRequest { view: first.no, sent: START, config_version };
    assert!(mail(&mut tail, START, NODES[0], ask(Version(0))).is_empty());
    assert_eq!(mail(&mut tail, START, NODES[0], ask(newest)).len(), 1);
}
