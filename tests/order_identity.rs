//! The identity of a change, and the ledger that remembers which changes were taken or refused.

mod common;

use common::{seeded, sound};
use quickcheck::{Gen, QuickCheck};
use spindledock::fleet::FleetConfig;
use spindledock::fleet::FleetState;
use spindledock::fleet::ledger::*;
use spindledock::fleet::state::*;
use spindledock::kernel::ids::*;
use spindledock::kernel::rand::SeededRandom;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::vanua;
use spindledock::msg::OperatorCall;
use spindledock::sim::World;

fn change_id(text: &str) -> ChangeId {
    ChangeId::of_document(DocumentDigest::of(&[b"PUT", text.as_bytes()]))
}

fn adopt(state: &mut FleetState, base: u64, revision: u64) -> ChangeId {
    let id = change_id(&format!("{base} {revision}"));
    let config = Box::new(FleetConfig { revision, ..FleetConfig::default() });
    let change = Change::Adopt { id, base, config, stages: vec![] };
    state.fold(state.at.next(), &change);
    id
}

fn code(state: &FleetState, id: ChangeId) -> Option<OutcomeCode> {
    state.outcome(id).map(|outcome| outcome.code)
}

#[test]
fn given_two_lists_of_parts_when_any_byte_or_border_differs_then_their_digests_differ() {
    fn differ(one: Vec<Vec<u8>>, two: Vec<Vec<u8>>) -> bool {
        let digest = |parts: &[Vec<u8>]| {
            let parts: Vec<&[u8]> = parts.iter().map(|part| &part[..]).collect();
            DocumentDigest::of(&parts)
        };
        (digest(&one) == digest(&two)) == (one == two)
    }
    QuickCheck::new().rng(Gen::from_size_and_seed(6, 5)).tests(2000).quickcheck(differ as fn(_, _) -> bool);
    let of = DocumentDigest::of;
    assert_ne!(of(&[b"PUT", b"5 {}"]), of(&[b"PUT5", b" {}"]));
    assert_ne!(of(&[b"", b"a"]), of(&[b"a", b""]));
    assert_ne!(of(&[b"PUT", b"one beginning 1"]), of(&[b"PUT", b"one beginning 2"]));
    assert_eq!(ChangeId::of_document(of(&[b"a"])), ChangeId::of_document(of(&[b"a"])));
}

#[test]
fn given_the_name_of_a_change_when_written_and_read_then_it_is_the_same_and_nothing_else_is_read() {
    let id = change_id("x");
    assert_eq!(ChangeId::parse_name(&id.to_string()), Some(id.name));
    assert_eq!(ChangeId::parse_name(&"f".repeat(32)), Some(u128::MAX));
    for bad in ["", "c", "+5", "-5", "c 5", &"f".repeat(33)] {
        assert_eq!(ChangeId::parse_name(bad), None, "{bad}");
    }
}

#[test]
fn given_thousands_of_internal_ends_when_an_operators_order_is_looked_for_then_it_is_still_known() {
    let mut state = FleetState::default();
    let id = adopt(&mut state, 0, 1);
    let mut rand = SeededRandom(4);
    for _ in 0..5000 {
        let change = Change::Runners { id: ChangeId::random(&mut rand), list: vec![] };
        state.fold(state.at.next(), &change);
    }
    assert_eq!(code(&state, id), Some(OutcomeCode::Ok));
    assert_eq!((state.ledger.taken_len(), state.internal_outcomes.len()), (1, MAX_INTERNAL_OUTCOMES));
}

#[test]
fn given_more_orders_than_are_remembered_when_asked_then_what_was_forgotten_is_told_from_what_never_was() {
    let mut state = FleetState::default();
    let most = TAKEN_CAPACITY as u64;
    let ids: Vec<ChangeId> = (0..most + 10).map(|n| adopt(&mut state, 2 * n, 2 * n + 2)).collect();
    let taken = |id: ChangeId| matches!(state.decision(id), Some(Decision::Ledger(LedgerEntry::Taken(_))));
    assert!(ids[..10].iter().all(|id| state.decision(*id).is_none()));
    assert!(taken(ids[10]) && taken(ids[700]));
    assert_eq!(code(&state, ids[ids.len() - 1]), Some(OutcomeCode::Ok));
    assert_eq!(state.ledger.taken_len(), TAKEN_CAPACITY);
    let may = |base, revision| state.ledger.may_have_forgotten(base, revision);
    assert!(may(Some(18), Some(20)) && may(Some(0), None) && may(None, Some(20)));
    assert!(!may(Some(20), Some(22)), "the oldest that is remembered");
    assert!(!may(Some(18), Some(21)) && !may(None, Some(21)), "its revision was never forgotten");
}

#[test]
fn given_a_copy_of_the_state_when_packed_and_unpacked_then_the_ledger_is_in_it() {
    let mut state = FleetState::default();
    let id = adopt(&mut state, 0, 1);
    state.outcomes.clear();
    let copy: FleetState = bitcode::decode(&bitcode::encode(&state)).expect("a state");
    assert!(
        matches!(copy.decision(id), Some(Decision::Ledger(LedgerEntry::Taken(change))) if change.id == id)
    );
    assert_eq!(copy, state);
}

#[test]
fn given_a_committed_refusal_when_the_order_itself_is_committed_later_then_it_is_not_taken() {
    let mut state = FleetState::default();
    adopt(&mut state, 0, 1);
    let (id, text) = (change_id("5 7"), "its base never came".to_string());
    let refuse = |id| Change::Refuse {
        id,
        base: Some(5),
        last_revision: 5,
        code: OutcomeCode::StaleBase,
        text: text.clone(),
    };
    state.fold(state.at.next(), &refuse(id));
    assert_eq!(code(&state, id), Some(OutcomeCode::StaleBase));
    adopt(&mut state, 1, 5);
    adopt(&mut state, 5, 7);
    assert_eq!(state.config.revision, 5, "it was refused for good");
    let late = change_id("5 9");
    state.fold(state.at.next(), &refuse(late));
    assert_eq!(code(&state, late), None, "its base came before the refusal");
    adopt(&mut state, 5, 9);
    assert_eq!(state.config.revision, 9);
    assert_eq!(state.ledger.refused_len(), 0, "what was passed needs no memory");
}

#[test]
fn given_a_name_used_for_two_documents_when_both_are_sent_then_one_is_confirmed_and_the_other_is_refused() {
    seeded(1..7, |seed| {
        let mut w = World::boot(vanua(), seed);
        let part = |name: &str| OperatorCall::PatchConfig {
            base: None,
            text: format!("{{\"models\":[{{\"name\":\"{name}\",\"weight_mb\":9}}]}}"),
        };
        let ops = [part("one"), part("two")];
        let ids = [0, 1].map(|n: usize| ChangeId::named(77, ops[n].document()));
        for n in [0, 1] {
            w.ask_as(3 + n, ids[n], ops[n].clone());
            w.run_for(Span::ms(seed * 13 * (seed % 2)));
        }
        let mut ends = ids.map(|id| w.answer(id, Span::ms(20_000)));
        ends.sort();
        assert_eq!(ends, [Some(200), Some(409)]);
        sound(&w);
    });
}

#[test]
fn given_two_whole_configurations_on_one_base_when_sent_at_once_then_one_is_confirmed() {
    seeded(1..5, |seed| {
        let mut w = World::boot(vanua(), seed);
        let base = w.nodes[0].node.as_ref().map(|n| n.views.state.config_version);
        let text = w.plan.config();
        let ids =
            [0, 1].map(|n: usize| w.ask(3 + n, OperatorCall::ReplaceConfig { base, text: text.clone() }));
        let mut ends = ids.map(|id| w.answer(id, Span::ms(20_000)));
        ends.sort();
        assert_eq!(ends, [Some(200), Some(409)]);
        sound(&w);
    });
}
