//! A runner that reports more free memory than it has doesn't impair the service of the others.

use spindledock::kernel::time::Span;
use spindledock::launch::deployment::vanua;
use spindledock::sim::World;
use spindledock::sim::check::{room_and_store, runs_once, whole_answers};
use spindledock::sim::record::Fact;
use spindledock::sim::report::Report;
use spindledock::standin::tally::End;

#[test]
fn given_a_runner_that_lies_about_its_room_when_models_are_wanted_then_the_others_serve_on() {
    for seed in 1..4 {
        let mut w = World::loaded_boot(vanua(), seed, 10);
        w.runners[0].lie = true;
        w.traffic(30, 1.0, Span::ms(20_000));
        w.run_for(Span::ms(80_000));
        let r = Report::of(&w);
        let told = |w: &World, liar: bool| {
            let rows = w.record.rows.iter().filter(|r| match &r.1 {
                Fact::Overfull { runner } => (*runner == w.runners[0].card.instance) == liar,
                _ => false,
            });
            rows.count()
        };
        assert!(told(&w, true) > 0, "the lie was believed at first");
        assert_eq!(told(&w, false), 0, "no other runner was overfilled");
        assert!(r.get(End::Whole) * 100 >= r.calls * 98, "{r}");
        assert!(runs_once(&w).is_empty() && whole_answers(&w).is_empty());
        let store: Vec<String> = room_and_store(&w).into_iter().filter(|b| b.contains("store")).collect();
        assert!(store.is_empty(), "{store:?}");
    }
}
