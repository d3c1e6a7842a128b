//! Requests for rare, shifting and many names in a simulated fleet: placement serves them within its targets,
//! also after a holder or a runner was restarted.

mod common;

use common::maps::{MODELS, Waits, calls, open};
use common::{seeded, sound};
use spindledock::kernel::rand::mix;
use spindledock::kernel::time::Span;
use spindledock::sim::World;
use spindledock::sim::record::Fact;

fn rare(n: u64) -> (String, Option<String>) {
    (format!("m{:02}", 2 + mix(n + 1) % (MODELS - 2)), None)
}

fn hot(at: u64) -> impl Fn(u64) -> (String, Option<String>) + Clone {
    move |n| (format!("m{:02}", at + u64::from(n % 4 == 0)), None)
}

fn loads(w: &World) -> usize {
    w.record.rows.iter().filter(|r| matches!(r.1, Fact::Asking { load: true })).count()
}

fn orders(w: &World, status: u16) -> usize {
    let of = |f: &Fact| matches!(f, Fact::Ordered { status: s, .. } if *s == status);
    w.record.rows.iter().filter(|r| of(&r.1)).count()
}

fn trace(w: &World) {
    if std::env::var("TRACE").is_err() {
        return;
    }
    for (t, f) in &w.record.rows {
        match f {
            Fact::Told { what, text } if what.starts_with("plan") || what.starts_with("duty") => {
                println!("{} {what} {text}", t.0 / 1000)
            }
            Fact::Ordered { .. } | Fact::Overfull { .. } => println!("{} {f:?}", t.0 / 1000),
            Fact::Ended { code, .. } if !code.is_empty() => println!("{} {f:?}", t.0 / 1000),
            _ => {}
        }
    }
}

#[test]
fn given_thirty_rare_models_on_twenty_seven_places_when_two_are_hot_then_the_rare_begin_within_2500_ms() {
    seeded(1..4, |seed| {
        let mut w = open(0, seed);
        let (from, before) = (w.now, loads(&w));
        calls(&mut w, "/chat", 24, 3, Span::ms(24_000), hot(0));
        calls(&mut w, "/rare", 5, 5, Span::ms(24_000), rare);
        w.run_for(Span::ms(40_000));
        trace(&w);
        sound(&w);
        let settled = from + Span::ms(6000);
        let (few, many) = (Waits::of(&w, "/rare", settled, w.now), Waits::of(&w, "/chat", settled, w.now));
        println!("rare {few}; hot {many}; loads {} busy {}", loads(&w) - before, orders(&w, 409));
        assert!(few.within(2500) >= 950, "{few}");
        assert!(many.within(400) >= 990, "{many}");
    });
}

#[test]
fn given_hot_models_when_demand_shifts_to_others_then_they_are_served_in_their_aim_within_seconds() {
    seeded(1..4, |seed| {
        let mut w = open(0, seed);
        calls(&mut w, "/chat", 24, 3, Span::ms(10_000), hot(0));
        calls(&mut w, "/rare", 4, 2, Span::ms(20_000), rare);
        w.run_for(Span::ms(10_000));
        let shift = w.now;
        calls(&mut w, "/chat", 24, 3, Span::ms(10_000), hot(20));
        w.run_for(Span::ms(30_000));
        trace(&w);
        sound(&w);
        let all = Waits::of(&w, "/chat", shift, w.now);
        let later = Waits::of(&w, "/chat", shift + Span::ms(2500), w.now);
        println!("shift {all}; 2.5 s later {later}");
        assert!(later.within(400) >= 990, "{later}");
        assert!(all.within(2500) >= 950, "{all}");
    });
}

#[test]
fn given_more_adapters_than_places_when_each_is_asked_for_then_they_begin_in_their_aim() {
    seeded(1..4, |seed| {
        let mut w = open(48, seed);
        let from = w.now;
        calls(&mut w, "/chat", 24, 3, Span::ms(20_000), |n| {
            ("m00".into(), Some(format!("m00/a{}", mix(n + 9) % 48)))
        });
        calls(&mut w, "/rare", 3, 3, Span::ms(20_000), rare);
        w.run_for(Span::ms(35_000));
        trace(&w);
        sound(&w);
        let all = Waits::of(&w, "/chat", from + Span::ms(4000), w.now);
        println!("adapters {all}; refused orders {}", orders(&w, 409));
        assert!(all.within(400) >= 900, "{all}");
    });
}

#[test]
fn given_a_holder_that_is_killed_in_the_midst_of_loads_then_room_store_and_terms_hold_and_rare_are_served() {
    seeded(1..4, |seed| {
        let mut w = open(0, seed);
        calls(&mut w, "/chat", 24, 3, Span::ms(30_000), hot(0));
        calls(&mut w, "/rare", 6, 6, Span::ms(30_000), rare);
        w.run_for(Span::ms(5300));
        let holder = w.nodes.iter().position(|n| !n.watch.is_empty() && n.alive).expect("one holds the duty");
        w.kill_node(holder);
        let killed = w.now;
        w.at(w.now + Span::ms(2000), move |w| w.start_node(holder));
        w.run_for(Span::ms(50_000));
        trace(&w);
        sound(&w);
        let (many, few) = (
            Waits::of(&w, "/chat", killed, killed + Span::ms(8000)),
            Waits::of(&w, "/rare", killed + Span::ms(10_000), w.now),
        );
        println!("hot while no holder orders {many}; rare after it {few}");
        assert!(many.within(400) >= 980, "holdings stay known without a holder: {many}");
        assert!(few.within(2500) >= 900, "{few}");
    });
}

#[test]
fn given_a_runner_restarted_empty_under_a_new_name_when_wanted_then_it_is_filled_and_nothing_is_lost() {
    seeded(1..4, |seed| {
        let mut w = open(0, seed);
        calls(&mut w, "/chat", 12, 3, Span::ms(30_000), hot(0));
        calls(&mut w, "/rare", 4, 4, Span::ms(30_000), rare);
        w.run_for(Span::ms(4000));
        w.kill_runner(0);
        w.runners[0].card.instance.0.push('n');
        w.run_for(Span::ms(600));
        w.start_runner(0);
        let first = w.routers()[0];
        w.list_op(first);
        let back = w.now;
        w.run_for(Span::ms(45_000));
        trace(&w);
        sound(&w);
        assert!(w.runners[0].stock.holds.len() >= 2, "{:?}", w.runners[0].stock.holds);
        let few = Waits::of(&w, "/rare", back + Span::ms(4000), w.now);
        println!("rare after a restart {few}");
        assert!(few.within(2500) >= 950, "{few}");
    });
}
