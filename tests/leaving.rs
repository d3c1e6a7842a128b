//! Requests to a runner stop in time once it says itself that it is leaving, or the platform tells a single router
//! so.

mod common;

use common::{seeded, sound};
use spindledock::kernel::ids::*;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::{quebec, vanua};
use spindledock::msg::OperatorCall;
use spindledock::sim::World;
use spindledock::sim::record::Fact;

fn learnt(w: &World) -> usize {
    w.record.rows.iter().filter(|r| matches!(r.1, Fact::LeavingLearnt { place: None, .. })).count()
}

#[test]
fn given_a_runner_that_says_so_itself_when_it_leaves_then_no_order_reaches_it_after_three_seconds() {
    seeded(1..4, |seed| {
        let mut w = World::loaded_boot(if seed % 2 == 0 { vanua() } else { quebec() }, seed, 10);
        w.traffic(10, 3.0, Span::ms(15_000));
        w.run_for(Span::ms(2000));
        w.runners[(seed % 3) as usize].stock.leaving = true;
        let plain = w.plan.assistants;
        w.runners[plain].stock.leaving = true;
        w.run_for(Span::ms(70_000));
        sound(&w);
        assert!(learnt(&w) >= 2);
    });
}

#[test]
fn given_a_router_cut_from_the_core_when_the_platform_tells_only_it_then_all_routers_stop_in_time() {
    seeded(1..5, |seed| {
        let mut w = World::loaded_boot(vanua(), seed, 10);
        w.traffic(10, 4.0, Span::ms(12_000));
        w.run_for(Span::ms(2000));
        let (core, routers) = (w.controllers(), w.routers());
        let told = routers[(seed % 6) as usize];
        for c in core {
            w.cuts.insert((told, c));
            w.cuts.insert((c, told));
        }
        for name in ["p1", "a1", "a3"] {
            w.ask(told, OperatorCall::MarkLeaving(Name::from(name)));
        }
        w.run_for(Span::ms(8000));
        w.cuts.clear();
        w.run_for(Span::ms(70_000));
        sound(&w);
        assert!(learnt(&w) >= 3, "the other routers could be told");
    });
}
