//! What the replicated state keeps of earlier changes is bounded, however many there were.

use spindledock::fleet::runner::Runner;
use spindledock::fleet::service::{Service, ServiceKind};
use spindledock::fleet::state::*;
use spindledock::fleet::{FleetConfig, FleetState};
use spindledock::kernel::ids::*;

fn change_id(number: u64) -> ChangeId {
    ChangeId::of_document(DocumentDigest::of(&[&number.to_le_bytes()]))
}

fn service(name: &str) -> Service {
    Service {
        name: Name::from(name),
        sort: ServiceKind::Plain,
        inbox: 1,
        slots: 1,
        links: 1,
        health: String::new(),
        tokens: 0,
        stride: 1,
        room_mb: 0,
        places: 0,
        models: vec![],
        adapters: vec![],
        routes: vec![],
    }
}

/// Brings a configuration with these services.
fn adopt(state: &mut FleetState, services: &[String]) {
    let base = state.config.revision;
    let services = services.iter().map(|name| service(name)).collect();
    let config = Box::new(FleetConfig { revision: base + 1, services, ..FleetConfig::default() });
    state.fold(state.at.next(), &Change::Adopt { id: change_id(base), base, config, stages: vec![] });
}

fn scope(name: &str) -> Scope {
    Scope::Service(Name::from(name))
}

#[test]
fn given_ever_new_services_when_they_are_withdrawn_then_only_the_last_are_remembered() {
    let mut state = FleetState::default();
    let count = 2 * MAX_WITHDRAWN_SERVICES;
    for n in 0..count {
        adopt(&mut state, &["stays".to_string(), format!("s{n}")]);
    }
    let services = state.touched.keys().filter(|scope| matches!(scope, Scope::Service(_))).count();
    assert_eq!(services, MAX_WITHDRAWN_SERVICES + 2);
    assert_eq!(state.scope_at(&scope("stays")), state.at);
    let oldest = count - 1 - MAX_WITHDRAWN_SERVICES;
    assert!(state.scope_at(&scope(&format!("s{oldest}"))) > Version(0));
    assert_eq!(state.scope_at(&scope(&format!("s{}", oldest - 1))), Version(0));
}

#[test]
fn given_a_forgotten_service_when_it_is_configured_again_then_it_has_changed_at_that_version() {
    let mut state = FleetState::default();
    adopt(&mut state, &["back".to_string()]);
    for n in 0..2 * MAX_WITHDRAWN_SERVICES {
        adopt(&mut state, &[format!("s{n}")]);
    }
    assert_eq!(state.scope_at(&scope("back")), Version(0));
    adopt(&mut state, &["back".to_string()]);
    assert_eq!(state.scope_at(&scope("back")), state.at);
}

#[test]
fn given_ever_new_lists_of_runners_then_only_the_last_of_their_services_are_remembered() {
    let mut state = FleetState::default();
    for n in 0..2 * MAX_WITHDRAWN_SERVICES as u64 {
        let runner = Runner {
            instance: Name::from("i"),
            service: Name(format!("s{n}")),
            domain: Name::from("z"),
            addr: "127.0.0.1:1".parse().expect("an address"),
            leaving: false,
        };
        state.fold(state.at.next(), &Change::Runners { id: change_id(n), list: vec![runner] });
    }
    assert!(state.touched.len() <= MAX_WITHDRAWN_SERVICES + 2, "{}", state.touched.len());
}

#[test]
fn given_a_long_name_in_a_refusal_when_it_is_recorded_then_its_text_is_short() {
    let mut state = FleetState::default();
    let instance = Name("ü".repeat(40_000));
    state.fold(Version(1), &Change::Leaving { id: change_id(1), instance });
    let outcome = state.outcome(change_id(1)).expect("an outcome");
    assert_eq!(outcome.code, OutcomeCode::UnknownRunner);
    assert!(outcome.text.len() <= MAX_OUTCOME_TEXT_BYTES);
}
