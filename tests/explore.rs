//! Bounded explorations of the agreement. Bounds are counts of states and walks, so that a run of the same
//! sources always visits the same states and comes to the same verdict.

use spindledock::explore::scope::Scope;
use spindledock::explore::search::{Bounds, Outcome, search};
use spindledock::explore::step::Step;
use spindledock::explore::trace::{read_file, readable, write_file};
use spindledock::explore::walk::walk_many;

const STATES: usize = 6000;
const WALKS: u64 = 30;
const LENGTH: usize = 80;

fn scope(name: &str) -> Scope {
    Scope::by_name(name, None).expect("a known scope")
}

fn bounds(states: usize, threads: usize) -> Bounds {
    Bounds { states, depth: usize::MAX, time: None, threads }
}

fn explore(name: &str) -> Outcome {
    let scope = scope(name);
    let outcome = search(&scope, bounds(STATES, 2));
    if let Some(example) = &outcome.counterexample {
        panic!("{name} must hold\n{}\n{}", readable(&scope, example), write_file(&scope, &example.trace));
    }
    assert!(outcome.states >= STATES && outcome.transitions > outcome.states, "{outcome:?}");
    outcome
}

#[test]
fn given_each_scope_when_searched_by_levels_then_no_invariant_breaks() {
    for name in Scope::names() {
        println!("{name}: {:?}", explore(name));
    }
}

#[test]
fn given_each_scope_when_walked_at_random_then_no_invariant_breaks() {
    for name in Scope::names() {
        let scope = scope(name);
        let sum = walk_many(&scope, 1, WALKS, LENGTH);
        if let Some(example) = &sum.counterexample {
            panic!("{name} must hold\n{}\n{}", readable(&scope, example), write_file(&scope, &example.trace));
        }
        assert!(sum.views >= WALKS as usize && sum.acknowledged > 0, "{name} tests nothing: {sum:?}");
    }
}

#[test]
fn given_one_scope_when_searched_with_one_thread_or_three_then_the_outcome_is_the_same() {
    let scope = scope("view-change");
    let (one, three) = (search(&scope, bounds(1500, 1)), search(&scope, bounds(1500, 3)));
    assert_eq!((one.states, one.transitions, one.depth), (three.states, three.transitions, three.depth));
}

#[test]
fn given_a_trace_when_written_and_read_then_it_is_the_same() {
    let lines = [
        "exchange 0+2 700 delay 3",
        "exchange 1+2 200 crash 1 0 lost",
        "advance 1000",
        "deliver-and-crash 12 kept",
        "restart 1",
        "warn 2",
        "gossip 0 1",
    ];
    let steps: Vec<Step> = lines.iter().map(|l| Step::parse(l).expect("a step")).collect();
    let text = write_file(&scope("lease"), &steps);
    let (scope, read) = read_file(&text).expect("a trace");
    assert_eq!((scope.name, read), ("lease", steps));
    assert!(read_file("scope nowhere 3\n").is_err() && read_file("scope lease 3\nfly 1\n").is_err());
}
