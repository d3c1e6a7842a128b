mod common;

use common::maps::{MODELS, Waits, calls, open};
use common::{seeded, sound};
use spindledock::kernel::rand::mix;
use spindledock::kernel::time::Span;

fn rare(n: u64) -> (String, Option<String>) {
    (format!("m{:02}", mix(n + 1) % MODELS), None)
}

fn each(n: u64) -> (String, Option<String>) {
    (format!("m{:02}", n % MODELS), None)
}

#[test]
fn given_unloads_sent_to_runners_as_they_fall_silent_when_they_are_back_then_every_model_is_served() {
    seeded(1..9, |seed| {
        let mut w = open(0, seed);
        calls(&mut w, "/rare", 20, 4, Span::ms(4000), rare);
        w.run_for(Span::ms(1000 + 150 * seed));
        let assistants = w.plan.assistants;
        w.runners[..assistants].iter_mut().for_each(|r| r.dark = true);
        w.run_for(Span::ms(2000));
        w.runners[..assistants].iter_mut().for_each(|r| r.dark = false);
        w.run_for(Span::ms(14_000));
        let from = w.now;
        calls(&mut w, "/chat", 4, 1, Span::ms(8500), each);
        w.run_for(Span::ms(28_000));
        let waits = Waits::of(&w, "/chat", from, w.now);
        assert!(waits.calls >= MODELS && waits.codes.is_empty(), "{:?} of {}", waits.codes, waits.calls);
        sound(&w);
    });
}
