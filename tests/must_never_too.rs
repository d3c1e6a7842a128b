mod common;

use common::{seeded, sound};
use spindledock::kernel::ids::*;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::{quebec, vanua};
use spindledock::msg::{Event, OperatorCall};
use spindledock::sim::World;
use spindledock::sim::callers::SimFlow;
use spindledock::sim::record::Fact;
use spindledock::sim::report::{Report, whole_between};
use spindledock::sim::whatif::place_of;
use spindledock::standin::tally::End;

fn chat(w: &mut World, per_s: f64, tokens: u64, hot: u64, lasting: Span) {
    let until = w.now + lasting;
    w.start_flow(SimFlow {
        prefix: "/chat".into(),
        service: Name::from("assistant"),
        resumable: true,
        per_s,
        tokens,
        hot,
        adapted: false,
        until,
    });
}

fn earn(w: &mut World) {
    chat(w, 40.0, 2, 6, Span::ms(6000));
    w.run_for(Span::ms(6000));
}

/// A busy runner, the model of most of its runs, and another runner that can take them over, if there is one now.
fn way(w: &World, differ: bool) -> Option<(usize, Name, Name)> {
    let from = w.runners.iter().position(|r| r.stock.running() > 2)?;
    let (model, _) = w.runners[from].stock.runs.iter().max_by_key(|r| r.1)?;
    let fits = |r: &&spindledock::sim::runners::SimRunner| {
        r.card.service.0 == "assistant"
            && r.card.instance != w.runners[from].card.instance
            && (!differ || r.stock.running() == 0)
            && (r.stock.holds.contains(model) || r.stock.running() == 0)
    };
    let to = w.runners.iter().find(fits)?.card.instance.clone();
    Some((from, model.clone(), to))
}

fn any_move(w: &mut World, differ: bool) -> Name {
    assert!(
        w.until(Span::ms(8000), |w| way(w, differ).is_some()).is_some(),
        "a busy runner and a place to go"
    );
    let (from, model, to) = way(w, differ).expect("as just seen");
    let k = w.runner_at(&to).expect("listed");
    if !w.runners[k].stock.holds.contains(&model) {
        w.runners[k].stock.holds.clear();
        w.run_for(Span::ms(400));
    }
    if differ {
        w.note(Fact::Told { what: "differs", text: to.to_string() });
    }
    w.runners[k].differ = differ;
    let from = w.runners[from].card.instance.clone();
    let op = OperatorCall::MoveModel {
        service: Name::from("assistant"),
        model,
        from: from.clone(),
        to,
        want: Name::default(),
    };
    let id = w.ask(0, op);
    assert_eq!(w.answer(id, Span::ms(5000)), Some(200), "{:?}", w.answers.get(&id));
    from
}

#[test]
fn given_streams_on_a_runner_when_it_must_make_way_then_they_move_without_a_seam() {
    seeded(1..5, |seed| {
        let mut w = World::loaded_boot(vanua(), seed, 10);
        earn(&mut w);
        chat(&mut w, 3.0, 300, 6, Span::ms(20_000));
        w.run_for(Span::ms(6000));
        any_move(&mut w, false);
        w.run_for(Span::ms(80_000));
        sound(&w);
        let r = Report::of(&w);
        assert!(r.moved > 0, "{r}");
        assert_eq!(r.get(End::Whole), r.calls, "{r}");
    });
}

#[test]
fn given_a_destination_whose_events_differ_when_a_stream_moves_then_the_source_keeps_it() {
    seeded(1..5, |seed| {
        let mut w = World::loaded_boot(vanua(), seed, 10);
        earn(&mut w);
        chat(&mut w, 6.0, 300, 6, Span::ms(12_000));
        w.run_for(Span::ms(6000));
        w.flows[1].until = w.now;
        w.run_for(Span::ms(1500));
        any_move(&mut w, true);
        w.run_for(Span::ms(80_000));
        sound(&w);
        let r = Report::of(&w);
        assert!(r.aborted > 0 && r.moved == 0, "{r}");
        assert_eq!(r.get(End::Whole), r.calls, "{r}");
    });
}

#[test]
fn given_flapping_runners_when_streams_resume_then_extra_tries_stay_in_the_budget() {
    seeded(1..4, |seed| {
        let mut w = World::loaded_boot(vanua(), seed, 10);
        chat(&mut w, 12.0, 60, 10, Span::ms(30_000));
        for n in 0..30 {
            w.run_for(Span::ms(1000));
            let k = n % 9;
            w.kill_runner(k);
            w.at(w.now + Span::ms(2500), move |w| w.start_runner(k));
        }
        w.run_for(Span::ms(60_000));
        sound(&w);
        assert!(Report::of(&w).extra > 5);
    });
}

#[test]
fn given_holders_that_freeze_and_die_when_duty_passes_then_turns_are_three_seconds_apart() {
    seeded(1..6, |seed| {
        let mut w = World::boot(vanua(), seed);
        w.traffic(50, 1.0, Span::ms(60_000));
        for n in 0..5u64 {
            w.run_for(Span::ms(6000));
            let holder = w.nodes.iter().position(|x| {
                x.node
                    .as_ref()
                    .is_some_and(|x| x.views.state.duty.as_ref().map(|d| d.holder) == Some(x.me.node))
            });
            let Some(h) = holder else { continue };
            if (n + seed) % 2 == 0 {
                w.freeze(h, Span::ms(2500 + 300 * n));
            } else {
                w.kill_node(h);
                w.run_for(Span::ms(1200));
                w.start_node(h);
            }
        }
        w.run_for(Span::ms(60_000));
        sound(&w);
        let mut terms: Vec<u64> = w
            .record
            .rows
            .iter()
            .filter_map(|r| match &r.1 {
                Fact::Ordered { term, .. } => Some(*term),
                _ => None,
            })
            .collect();
        terms.dedup();
        assert!(terms.len() > 1, "orders under more than one term: {terms:?}");
    });
}

#[test]
fn given_all_rare_models_asked_for_at_once_then_room_and_store_are_never_overrun() {
    seeded(1..4, |seed| {
        let mut w = World::loaded_boot(quebec(), seed, 10);
        w.slow_poll = 1_100_000;
        w.traffic(40, 2.0, Span::ms(30_000));
        w.run_for(Span::ms(90_000));
        sound(&w);
        let loads = w.record.rows.iter().filter(|r| matches!(r.1, Fact::Ordered { load: true, .. })).count();
        assert!(loads > 30, "{loads}");
    });
}

#[test]
fn given_the_whole_fleet_killed_when_it_returns_then_a_quarter_is_served_within_twelve_seconds() {
    seeded(1..7, |seed| {
        let mut w = World::loaded_boot(if seed % 2 == 0 { vanua() } else { quebec() }, seed, 10);
        w.traffic(10, 1.0, Span::ms(60_000));
        w.run_for(Span::ms(8000));
        let before = whole_between(&w, w.now - Span::ms(4000), Span::ms(4000));
        let all: Vec<usize> = (0..w.nodes.len()).collect();
        for n in &all {
            w.kill_node(*n);
        }
        w.run_for(Span::ms(1000));
        for n in &all {
            w.start_node(*n);
        }
        let back = w.now;
        w.run_for(Span::ms(12_000));
        let after = whole_between(&w, back + Span::ms(8000), Span::ms(4000));
        sound(&w);
        assert!(after * 4 >= before, "{after} of {before}");
        w.run_for(Span::ms(80_000));
    });
}

#[test]
fn given_a_warned_holder_when_it_names_its_successor_then_duty_passes_and_orders_stay_apart() {
    seeded(1..4, |seed| {
        let mut w = World::boot(quebec(), seed);
        w.traffic(40, 1.0, Span::ms(40_000));
        w.run_for(Span::ms(8000));
        let h = place_of(&w, "holder").expect("a holder");
        w.operate(h, Event::StopAnnounced);
        w.run_for(Span::ms(600));
        let next = place_of(&w, "holder").expect("a holder");
        assert_ne!(h, next, "named before the old one ends");
        w.kill_node(h);
        w.run_for(Span::ms(60_000));
        sound(&w);
        let under =
            |t: u64| w.record.rows.iter().any(|r| matches!(&r.1, Fact::Ordered { term, .. } if *term == t));
        assert!(under(1) && under(2));
    });
}
