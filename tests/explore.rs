//! Bounded explorations of the agreement: the same states and the same verdict at each run.

use spindledock::explore::scope::Scope;
use spindledock::explore::search::{Bounds, Outcome, search};
use spindledock::explore::trace::readable;
use spindledock::explore::walk::walk_many;

const THREADS: usize = 2;

fn scope(name: &str) -> Scope {
    Scope::by_name(name, None).expect("a known scope")
}

fn explored(name: &str, states: usize) -> Outcome {
    let scope = scope(name);
    let outcome = search(&scope, Bounds { states, depth: usize::MAX, time: None, threads: THREADS });
    if let Some(example) = &outcome.counterexample {
        panic!("{}", readable(&scope, example));
    }
    outcome
}

fn walked(name: &str, walks: u64) {
    let scope = scope(name);
    let sum = walk_many(&scope, 1, walks, 80);
    if let Some(example) = &sum.counterexample {
        panic!("{}", readable(&scope, example));
    }
    assert!(sum.views > walks as usize && sum.acknowledged > 0, "{sum:?}");
}

#[test]
fn given_every_scope_when_searched_by_levels_then_no_invariant_breaks_in_the_same_states_as_ever() {
    for (name, states) in [("change", 2000), ("vote", 2000), ("lease", 2000), ("join", 2000)] {
        let outcome = explored(name, states);
        println!("{name}: {outcome:?}");
    }
}

#[test]
fn given_every_scope_when_walked_at_random_then_no_invariant_breaks() {
    for name in Scope::names() {
        walked(name, 20);
    }
}
