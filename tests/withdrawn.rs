//! Models and adapters that a change withdraws while runners hold them still take memory until they are
//! unloaded.

mod common;

use common::maps::{MODELS, calls, maps, open};
use common::{seeded, sound};
use spindledock::fleet::FleetConfig;
use spindledock::fleet::former::remembered;
use spindledock::fleet::read::read_text;
use spindledock::fleet::runner::{Runner, RunnerReport};
use spindledock::kernel::ids::Name;
use spindledock::kernel::rand::mix;
use spindledock::kernel::time::Span;
use spindledock::placement::free_room::fits;
use spindledock::placement::load_backoff::most_used;
use spindledock::placement::pending_orders::{PendingOrders, RunnerState};
use spindledock::sim::World;
use spindledock::sim::record::Fact;

/// The models below this number are withdrawn.
const WITHDRAWN: u64 = MODELS / 2;

fn is_withdrawn(name: &Name) -> bool {
    let model = name.0.split('/').next().unwrap_or_default();
    model.trim_start_matches('m').parse::<u64>().is_ok_and(|n| n < WITHDRAWN)
}

/// The configuration without the withdrawn models and their adapters.
fn without(text: &str, adapters: u64) -> String {
    let mut out = text.to_string();
    for n in 0..adapters {
        let row = format!("{{\"name\":\"m00/a{n}\",\"model\":\"m00\",\"weight_mb\":66,\"load_ms\":8}}");
        let (row_comma, name) = (format!("{row},"), format!("\"m00/a{n}\""));
        out = out.replace(&row_comma, "").replace(&row, "");
        out = out.replace(&format!("{name},"), "").replace(&name, "");
    }
    for n in 0..WITHDRAWN {
        let name = format!("m{n:02}");
        out = out.replace(&format!("{{\"name\":\"{name}\",\"weight_mb\":72700,\"load_ms\":1600}},"), "");
        out = out.replace(&format!("\"{name}\","), "");
    }
    out
}

/// A filled fleet whose runners report only what they hold, as the platform's do.
fn filled_world(adapters: u64, seed: u64) -> World {
    let mut w = open(adapters, seed);
    w.runners.iter_mut().for_each(|r| r.stock.terse = true);
    w
}

fn holder(w: &World) -> Option<usize> {
    w.nodes.iter().position(|n| !n.watch.is_empty() && n.alive)
}

fn restart(w: &mut World, places: Vec<usize>) {
    for place in places {
        w.kill_node(place);
        w.at(w.now + Span::ms(900), move |w| w.start_node(place));
    }
}

fn offered(n: u64) -> (String, Option<String>) {
    (format!("m{:02}", WITHDRAWN + mix(n + 1) % (MODELS - WITHDRAWN)), None)
}

#[derive(Clone, Copy, Debug)]
enum Between {
    Nothing,
    HolderKilled,
    AllControllersRestart,
}

// Guards against memory overruns: a held model that was withdrawn counted as free memory, and its runner was
// ordered to load more than fits.
#[test]
fn given_models_withdrawn_while_runners_hold_them_when_others_are_wanted_then_no_runner_is_ordered_over_its_room()
 {
    for between in [Between::Nothing, Between::HolderKilled, Between::AllControllersRestart] {
        seeded(1..9, |seed| {
            let adapters = (seed % 2) * 8;
            let mut w = filled_world(adapters, seed);
            w.run_for(Span::ms(3000 + seed * 170));
            let router = w.routers()[0];
            let change = w.config_op(router, without(&w.plan.config(), adapters));
            w.run_for(Span::ms(1200));
            assert_eq!(w.answers.get(&change).map(|a| a.status), Some(200), "{:?}", w.answers.get(&change));
            match between {
                Between::Nothing => {}
                Between::HolderKilled => {
                    let places = holder(&w).into_iter().collect();
                    restart(&mut w, places);
                }
                Between::AllControllersRestart => {
                    let places = w.controllers();
                    restart(&mut w, places);
                }
            }
            calls(&mut w, "/rare", 6, 3, Span::ms(25_000), offered);
            w.run_for(Span::ms(40_000));
            let over = w.record.rows.iter().filter(|r| matches!(r.1, Fact::Overfull { .. })).count();
            assert_eq!(over, 0, "{between:?} seed {seed}: orders over a runner's room");
            let left = w.runners.iter().flat_map(|r| &r.stock.holds).filter(|n| is_withdrawn(n)).count();
            assert_eq!(left, 0, "{between:?} seed {seed}: withdrawn weights were not unloaded");
            sound(&w);
        });
    }
}

// Guards against memory overruns: a name that returned with a lower weight counted with that weight, while
// its earlier copies still took more memory.
#[test]
fn given_a_name_that_returns_with_another_weight_when_its_copies_are_held_then_the_greater_weight_counts() {
    let with = |models: &str, places: &str| {
        let text = format!(
            "{{\"models\":[{models}{{\"name\":\"mb\",\"weight_mb\":100,\"load_ms\":1}}],\
             \"services\":[{{\"name\":\"s\",\"sort\":\"assistant\",\"room_mb\":230,{places}\"models\":[\"mb\"]}}]}}"
        );
        read_text(&text).expect("sound")
    };
    let ma = |mb: u64| format!("{{\"name\":\"ma\",\"weight_mb\":{mb},\"load_ms\":1}},");
    let follow = |old: &FleetConfig, mut new: FleetConfig| {
        new.former = remembered(old, &new);
        new
    };
    let first = with(&ma(150), "");
    let gone = follow(&first, with("", ""));
    let back = follow(&gone, with(&ma(60), ""));
    let (name, wanted) = (Name::from("ma"), Name::from("mb"));
    for (config, what) in [(&first, "as it was"), (&gone, "withdrawn"), (&back, "back with less")] {
        assert_eq!(config.max_mb(&name), Some(150), "{what}");
        let runner = Runner {
            instance: Name::from("a"),
            service: Name::from("s"),
            domain: Name::default(),
            addr: ([127, 0, 0, 1], 9).into(),
            leaving: false,
        };
        let mut report = RunnerReport {
            instance: Name::from("a"),
            room_mb: 230,
            holds: vec![name.clone()],
            ..RunnerReport::default()
        };
        report.used_mb = most_used(config, &report);
        let offer = RunnerState { runner, report };
        assert!(!fits(config, &offer, &PendingOrders::default(), &wanted), "{what}: 250 of 230 MB");
    }
    assert_eq!(back.min_mb(&name), Some(60), "an unload frees no more than the least");
    let unknown = RunnerReport { room_mb: 230, holds: vec![Name::from("never")], ..RunnerReport::default() };
    assert_eq!(most_used(&back, &unknown), 230, "a name that is not known fills its runner");
    assert!(maps(0).config().contains("m00"));
}
