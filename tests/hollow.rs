use spindledock::hollow::fit::fit;
use spindledock::hollow::heap;
use spindledock::hollow::judge::{Judge, OVERLOOKED};
use spindledock::hollow::{Hollow, Size, run};
use spindledock::kernel::ids::NodeId;
use spindledock::kernel::time::{Span, Time};

#[global_allocator]
static HEAP: heap::Counting = heap::Counting;

fn few() -> Size {
    Size {
        adapters: 40,
        models: 20,
        rest_s: 3,
        changes: 1,
        gap_s: 4,
        losses: 2,
        replaced: 4,
        zone_s: 8,
        cut_s: 8,
        wall_s: 300,
        ..Size::of(12)
    }
}

fn told(size: Size) -> (Hollow, Vec<String>) {
    let mut rows = Vec::new();
    let w = run(size, &mut |line| rows.push(line));
    (w, rows)
}

fn figures(rows: &[String]) -> Vec<String> {
    let judged = |r: &&String| r.trim_start().starts_with("losses known") || r.starts_with("  change");
    rows.iter().filter(judged).cloned().collect()
}

#[test]
fn given_a_small_hollow_fleet_when_everything_happens_to_it_then_it_is_whole_at_the_end() {
    let (w, rows) = told(few());
    let all = rows.join("\n");
    assert!(w.over.is_none(), "{all}");
    assert!(w.whole(), "{all}");
    assert!(!all.contains("never"), "{all}");
    assert!(!all.contains("not within"), "{all}");
    assert_eq!(w.judge.losses.len(), 0, "every loss was known everywhere\n{all}");
    assert_eq!(w.judge.arrivals.len(), 0, "every arrival is known everywhere and serves\n{all}");
    for role in ["head", "tail", "holder", "router"] {
        assert!(all.contains(&format!("\n  {role} ")), "{role} has a row\n{all}");
    }
}

#[test]
fn given_one_seed_when_it_is_run_twice_then_the_judgements_are_the_same() {
    let (a, b) = (told(few()).1, told(few()).1);
    assert!(!figures(&a).is_empty());
    assert_eq!(figures(&a), figures(&b));
    let other = told(Size { seed: 2, ..few() }).1;
    assert_ne!(figures(&a), figures(&other), "another seed is another run");
}

#[test]
fn given_a_change_when_it_is_answered_then_routers_told_of_it_hold_that_version() {
    let mut w = told(Size { losses: 0, replaced: 0, zone_s: 0, cut_s: 0, ..few() }).0;
    let top = w.top();
    assert!(top.0 > 0 && w.in_force(top));
    assert!(!w.in_force(top.next()), "nobody holds a version that was never decided");
    w.run_for(Span::ms(1000));
    assert!(w.whole());
}

#[test]
fn given_a_dead_router_when_the_rest_hears_nothing_then_its_loss_is_known_and_not_before() {
    let mut w = told(Size { losses: 0, replaced: 0, zone_s: 0, cut_s: 0, ..few() }).0;
    w.lose(w.size.nodes - 1);
    w.run_for(Span::ms(500));
    assert_eq!(w.judge.losses.len(), 1, "half a second of quiet is no loss yet");
    w.run_for(Span::ms(10_000));
    assert_eq!((w.judge.losses.len(), w.judge.known.len()), (0, 1));
    assert!(w.judge.known[0] >= Span::ms(500));
}

#[test]
fn given_a_controller_that_is_back_at_once_under_its_id_when_it_is_judged_then_its_arrival_counts() {
    let mut w = told(Size { losses: 0, replaced: 0, zone_s: 0, cut_s: 0, ..few() }).0;
    let id = w.nodes[1].node.as_ref().map(|n| n.me.node);
    w.lose(1);
    w.run_for(Span::ms(100));
    w.bring(1);
    assert_eq!(w.nodes[1].node.as_ref().map(|n| n.me.node), id, "its disk keeps its id");
    assert_eq!((w.judge.losses.len(), w.judge.arrivals.len()), (0, 1));
    assert_eq!(w.judge.returned, vec![Span::ms(100)]);
    w.run_for(Span::ms(10_000));
    assert_eq!((w.judge.arrivals.len(), w.judge.seen.len(), w.judge.served.len()), (0, 1, 1));
}

#[test]
fn given_an_absence_that_all_should_have_noticed_when_its_node_is_back_then_the_loss_stays_open() {
    let (gone, other, since) = (NodeId(7), NodeId(8), Time(1_000_000));
    let mut judge = Judge { losses: vec![(gone, since), (other, since)], ..Judge::default() };
    judge.returned(gone, since + OVERLOOKED);
    assert_eq!((judge.losses.len(), judge.returned.len()), (2, 0));
    judge.returned(gone, since + Span(OVERLOOKED.0 - 1));
    assert_eq!(judge.losses, vec![(other, since)], "only the one that is back is excused");
}

#[test]
fn given_a_run_without_time_left_when_it_goes_on_then_it_says_so_and_ends() {
    let (w, rows) = told(Size { wall_s: 0, ..few() });
    assert!(w.over.is_some());
    assert!(rows.last().is_some_and(|r| r.starts_with("ended early")), "{rows:?}");
    let mut w = w;
    let at = w.now;
    w.run_for(Span::ms(1000));
    assert_eq!(w.now, at, "time that was not computed is not counted");
}

#[test]
fn given_figures_of_a_known_law_when_they_are_fitted_then_the_law_and_its_range_come_back() {
    let rows: Vec<(f64, f64)> = [10.0, 30.0, 100.0, 300.0].iter().map(|n| (*n, 0.5 * n * n)).collect();
    let f = fit(&rows, 410.0).expect("four sizes");
    assert!((f.slope - 2.0).abs() < 1e-9 && (f.mid - 84_050.0).abs() < 1e-3, "{f:?}");
    assert!((f.most - f.least).abs() < 1e-3, "an exact law has no range: {f:?}");
    let bent = [rows[0], rows[1], rows[2], (300.0, 90_000.0)];
    let g = fit(&bent, 410.0).expect("four sizes");
    assert!(g.slope > 2.0 && g.least < 84_051.0 && g.most > g.mid, "{g:?}");
    assert!(fit(&rows[..1], 410.0).is_none(), "one point is no slope");
}

#[test]
fn given_a_fleet_that_ran_when_its_states_are_summed_then_they_are_what_the_heap_holds_for_it() {
    let from = heap::begin();
    let mut w = told(Size { zone_s: 0, cut_s: 0, ..few() }).0;
    for _ in 0..3 {
        w.run_for(Span::ms(4000));
        let sum: i64 = w.nodes.iter().filter(|n| n.node.is_some()).map(|n| n.spent.state).sum();
        let all = heap::end(from).net;
        assert!(w.nodes.iter().all(|n| n.node.is_none() || n.spent.state > 0));
        assert!(sum < all && sum * 10 > all * 7, "{sum} of {all} bytes are the nodes' own");
    }
}
