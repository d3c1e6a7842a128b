#[path = "common/adopt.rs"]
mod adopt;
mod common;

use adopt::Office;
use common::seeded;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::vanua;

fn slow(o: &mut Office, ms: u64) {
    for n in o.w.controllers() {
        o.w.nodes[n].sync = Span::ms(ms);
    }
    o.w.run_for(Span::ms(2000));
}

#[test]
fn given_disks_so_slow_that_a_change_is_still_under_way_when_two_share_a_base_then_exactly_one_wins() {
    seeded(1..7, |seed| {
        let mut o = Office::open(vanua(), seed);
        assert_eq!(o.done(0, 0, "1 a"), Some(200));
        slow(&mut o, 600 + seed * 60);
        let (one, two) = (o.send(4, 1, "2 +b"), o.send(6, 1, "3 +c"));
        let (one, two) = (o.end(one, Span::ms(25_000)), o.end(two, Span::ms(25_000)));
        slow(&mut o, 2);
        assert!(one != Some(200) || two != Some(200), "{one:?} {two:?}");
        o.insist(1, "2 +b");
        o.insist(1, "3 +c");
        o.judge();
    });
}
