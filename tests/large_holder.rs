//! The holder of the placement duty in a fleet of the large laboratory's size.

use spindledock::hollow::{Hollow, Size, run};
use spindledock::kernel::ids::Name;
use spindledock::kernel::time::Span;
use spindledock::msg::Role;

const ROUTERS: usize = 293;
const RUNNERS: usize = 263;

fn large() -> Hollow {
    let size = Size {
        core: 7,
        zones: 7,
        runners: RUNNERS,
        models: 858,
        adapters: 1230,
        rest_s: 1,
        changes: 0,
        losses: 0,
        replaced: 0,
        zone_s: 0,
        cut_s: 0,
        wall_s: 900,
        ..Size::of(ROUTERS + 7)
    };
    run(size, &mut |line| println!("{line}"))
}

fn crowd(w: &mut Hollow) {
    let until = w.now + Span::ms(60_000);
    for place in w.live(Role::Router) {
        let names = (0..20).map(|n| w.size.held((place * 7 + n * 3) as u64));
        let names: Vec<(Name, _)> = names.map(|name| (name, until)).collect();
        w.nodes[place].demand.extend(names);
    }
}

fn show(w: &mut Hollow, what: &str, s: u64) {
    let before: Vec<_> = w.nodes.iter().map(|n| n.spent).collect();
    for n in &mut w.nodes {
        n.spent.worst_ns = 0;
    }
    w.doing.0.lock().unwrap().sums.clear();
    w.run_for(Span::ms(s * 1000));
    for place in w.live(Role::Controller) {
        let d = w.nodes[place].spent.since(&before[place]);
        println!(
            "{what} {place} {:?} got/s {} sent/s {} busy ms/s {:.1} worst ms {:.1}",
            w.role(place),
            d.got / s,
            d.sent / s,
            d.busy_ns as f64 / 1e6 / s as f64,
            w.nodes[place].spent.worst_ns as f64 / 1e6
        );
    }
    println!("{what} {:?}", w.doing.0.lock().unwrap().sums);
}

#[test]
#[ignore]
fn measure() {
    let mut w = large();
    println!("over {:?}", w.over);
    show(&mut w, "rest", 3);
    crowd(&mut w);
    show(&mut w, "crowd1", 2);
    show(&mut w, "crowd2", 3);
    show(&mut w, "crowd3", 3);
    println!("loaded {}", w.runners.iter().map(|r| r.holds.len() + r.loading.len()).sum::<usize>());
}
