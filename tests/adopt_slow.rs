//! Two configurations on one base while disks are so slow that changes are resubmitted before they are committed.

#[path = "common/adopt.rs"]
mod adopt;
mod common;

use adopt::OperatorClient;
use common::seeded;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::vanua;

fn slow(client: &mut OperatorClient, ms: u64) {
    for n in client.world.controllers() {
        client.world.nodes[n].sync = Span::ms(ms);
    }
    client.world.run_for(Span::ms(2000));
}

#[test]
fn given_disks_so_slow_that_a_change_is_still_under_way_when_two_share_a_base_then_exactly_one_wins() {
    seeded(1..7, |seed| {
        let mut client = OperatorClient::start(vanua(), seed);
        assert_eq!(client.send_and_wait(0, 0, "1 a"), Some(200));
        slow(&mut client, 600 + seed * 60);
        let (one, two) = (client.send(4, 1, "2 +b"), client.send(6, 1, "3 +c"));
        let (one, two) =
            (client.wait_for_answer(one, Span::ms(25_000)), client.wait_for_answer(two, Span::ms(25_000)));
        slow(&mut client, 2);
        assert!(one != Some(200) || two != Some(200), "{one:?} {two:?}");
        client.send_until_answered(1, "2 +b");
        client.send_until_answered(1, "3 +c");
        client.check_history();
    });
}
