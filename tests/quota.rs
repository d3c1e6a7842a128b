//! Quotas of tenants over a whole simulated fleet, judged from outside by `sim::check_quota`.

mod common;
mod quota_tenants;

use common::{ident, lose, seeded, sound, view};
use quota_tenants::*;
use spindledock::constraints::ownership::owner_of;
use spindledock::kernel::ids::*;
use spindledock::kernel::rand::Rand;
use spindledock::kernel::time::{Span, Time};
use spindledock::launch::deployment::{Deployment, small};
use spindledock::sim::World;
use spindledock::sim::check_quota::runs_by_tenant;
use spindledock::sim::record::Fact;

/// How many requests of a tenant were refused for its quota, of how many.
fn refused(w: &World, tenant: &str) -> (usize, usize) {
    let of = |call: u64| w.quota.sender(call) == Some(Name::from(tenant));
    let count = |test: &dyn Fn(&Fact) -> bool| w.record.rows.iter().filter(|(_, fact)| test(fact)).count();
    let refused = count(&|fact| {
        matches!(fact, Fact::Ended { call, code, .. }
            if of(*call) && ["over-quota", "quota-unknown"].contains(&code.as_str()))
    });
    (refused, count(&|fact| matches!(fact, Fact::Called { call, .. } if of(*call))))
}

fn untouched(w: &World, tenant: &str) {
    let (refused, all) = refused(w, tenant);
    assert!(all > 20, "{tenant} sent {all}");
    let codes: Vec<(Time, String)> = w
        .record
        .rows
        .iter()
        .filter_map(|(at, fact)| match fact {
            Fact::Ended { call, code, .. }
                if code.contains("quota") && w.quota.sender(*call) == Some(Name::from(tenant)) =>
            {
                Some((*at, code.clone()))
            }
            _ => None,
        })
        .collect();
    assert!(refused * 1000 <= all, "{tenant}: {refused} of {all} refused below its limit {codes:?}");
}

fn ran(w: &World, tenant: &str) -> usize {
    runs_by_tenant(w).get(&Name::from(tenant)).map_or(0, Vec::len)
}

/// The controller that counts for the tenant.
fn owner(w: &World, tenant: &str) -> Option<usize> {
    let views = w.controllers().into_iter().filter_map(|place| view(w, place));
    let newest = views.max_by_key(|view| view.no)?;
    let node = owner_of(&newest, &Name::from(tenant));
    w.controllers().into_iter().find(|place| ident(w, *place) == node)
}

const HOT: &str = "hot";

fn one_hot() -> Vec<TenantPlan> {
    vec![tenant(HOT, 20), tenant("calm1", 1), tenant("calm2", 1)]
}

#[test]
fn given_one_tenant_at_twenty_times_its_usual_then_it_gets_its_quota_and_others_are_untouched() {
    seeded(1..3, |seed| {
        let mut w = fleet(&one_hot(), 3, seed);
        traffic(&mut w, Span::ms(20_000));
        w.run_for(Span::ms(25_000));
        sound(&w);
        untouched(&w, "calm1");
        untouched(&w, "calm2");
        let owed = (USUAL_PER_S * QUOTA_TIMES * 20.0 * 0.9) as usize;
        assert!(ran(&w, HOT) >= owed, "{} of {owed} ran", ran(&w, HOT));
    });
}

#[test]
fn given_an_owner_killed_every_ten_seconds_then_no_quota_is_exceeded_and_others_are_untouched() {
    seeded(1..3, |seed| {
        let mut w = fleet(&one_hot(), 3, seed);
        traffic(&mut w, Span::ms(32_000));
        for _ in 0..3 {
            w.run_for(Span::ms(8_000));
            let Some(place) = owner(&w, HOT) else { continue };
            w.kill_node(place);
            w.run_for(Span::ms(2_000));
            w.start_node(place);
        }
        w.run_for(Span::ms(15_000));
        sound(&w);
        untouched(&w, "calm1");
        untouched(&w, "calm2");
    });
}

#[test]
fn given_an_owner_that_freezes_and_thaws_then_no_quota_is_exceeded() {
    seeded(1..4, |seed| {
        let mut w = fleet(&one_hot(), 3, seed);
        traffic(&mut w, Span::ms(40_000));
        for freeze_ms in [300, 900, 3000] {
            w.run_for(Span::ms(10_000 + 37 * seed));
            let Some(place) = owner(&w, HOT) else { continue };
            w.freeze(place, Span::ms(freeze_ms));
        }
        w.run_for(Span::ms(18_000));
        sound(&w);
        untouched(&w, "calm1");
    });
}

#[test]
fn given_an_owner_cut_off_from_the_core_both_ways_or_one_way_then_no_quota_is_exceeded() {
    seeded(1..3, |seed| {
        for (to, from) in [(true, true), (true, false), (false, true)] {
            let mut w = fleet(&one_hot(), 3, seed);
            traffic(&mut w, Span::ms(16_000));
            w.run_for(Span::ms(3000));
            let cut = owner(&w, HOT).expect("an owner");
            for other in w.controllers().into_iter().filter(|place| *place != cut) {
                if to {
                    w.cuts.insert((other, cut));
                }
                if from {
                    w.cuts.insert((cut, other));
                }
            }
            w.run_for(Span::ms(6000));
            w.cuts.clear();
            w.run_for(Span::ms(12_000));
            sound(&w);
        }
    });
}

#[test]
fn given_lost_and_slow_messages_then_no_quota_is_exceeded_and_nothing_is_spent_twice() {
    seeded(1..4, |seed| {
        let mut w = fleet(&one_hot(), 3, seed);
        traffic(&mut w, Span::ms(15_000));
        w.loss = 50;
        w.slow_net = 20_000;
        w.run_for(Span::ms(15_000));
        (w.loss, w.slow_net) = (0, 0);
        w.run_for(Span::ms(10_000));
        sound(&w);
        untouched(&w, "calm1");
    });
}

#[test]
fn given_all_core_machines_gone_then_requests_under_a_quota_do_not_run_without_a_token() {
    seeded(1..3, |seed| {
        let mut w = fleet(&one_hot(), 3, seed);
        traffic(&mut w, Span::ms(10_000));
        w.run_for(Span::ms(3000));
        for place in w.controllers() {
            lose(&mut w, place);
        }
        w.run_for(Span::ms(1000));
        let before = ran(&w, HOT);
        w.run_for(Span::ms(25_000));
        assert_eq!(ran(&w, HOT), before);
        sound(&w);
    });
}

#[test]
fn given_a_limit_lowered_under_load_then_it_binds_one_window_after_its_acknowledgement() {
    seeded(1..3, |seed| {
        let mut w = fleet(&one_hot(), 3, seed);
        traffic(&mut w, Span::ms(24_000));
        w.run_for(Span::ms(5000));
        let mut lowered = one_hot();
        (lowered[0].rate_milli, lowered[0].burst) = (1000, 1);
        let text = config(&Deployment { core: 3, ..small() }, &lowered);
        let place = w.routers()[0];
        let id = w.config_op(place, text);
        assert_eq!(w.answer(id, Span::ms(5000)), Some(200), "{:?}", w.answers.get(&id));
        let binds = w.now + Span::ms(2000 + 5000);
        w.run_for(Span::ms(24_000));
        let runs = runs_by_tenant(&w).remove(&Name::from(HOT)).unwrap_or_default();
        let late = |from: Time| {
            let end = from + Span::ms(5000);
            runs.iter().filter(|run| run.sent >= from && run.began <= end).count()
        };
        let most = runs.iter().filter(|run| run.sent >= binds).map(|run| late(run.sent)).max().unwrap_or(0);
        assert!(most > 0 && most as f64 <= (1.0 * 5.0 + 1.0) * 1.1 + 20.0, "{most} in a window");
        sound(&w);
    });
}

#[test]
fn given_a_router_killed_and_started_again_then_no_quota_is_exceeded() {
    seeded(1..3, |seed| {
        let mut w = fleet(&one_hot(), 3, seed);
        traffic(&mut w, Span::ms(15_000));
        for _ in 0..4 {
            w.run_for(Span::ms(2000));
            let routers = w.routers();
            let place = routers[w.rand.below(routers.len() as u64) as usize];
            w.kill_node(place);
            w.run_for(Span::ms(300));
            w.start_node(place);
        }
        w.run_for(Span::ms(10_000));
        sound(&w);
    });
}
