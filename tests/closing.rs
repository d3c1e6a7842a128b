//! Right after an acknowledgement as many members as the fleet tolerates lose their disks, and all other nodes,
//! members or not, lose power at the same moment. Then the acknowledged change must be readable at every
//! controller.

#[path = "common/adopt.rs"]
mod adopt;
mod common;

use adopt::OperatorClient;
use common::seeded;
use spindledock::kernel::ids::ChangeId;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::{Deployment, quebec, vanua};
use spindledock::msg::{Answer, Event};

/// Disks are slow, so that anything acknowledged before it is synced would be lost.
const SLOW_SYNC: Span = Span::ms(100);
const OFF_TIME: Span = Span::ms(560);
/// How long the newest configuration is read again and again.
const READ_PERIOD: Span = Span::ms(16_000);
const READ_TIMEOUT: Span = Span::ms(500);
/// In the last read, every controller must answer with the newest configuration within this time.
const LAST_READ_LIMIT: Span = Span::ms(4000);
const NEWEST: &str = "2 a b";

fn deployment(core: usize) -> Deployment {
    let mut plan = if core.is_multiple_of(2) { quebec() } else { vanua() };
    plan.core = core;
    plan
}

/// The members that lose their disks: over the seeds, every choice of `tolerated` neighbours in a ring comes up.
fn wiped(core: usize, tolerated: usize, seed: u64) -> Vec<usize> {
    (0..tolerated).map(|n| (seed as usize + n * (1 + seed as usize % (core - 1))) % core).collect()
}

fn power_cycle(client: &mut OperatorClient, wiped: &[usize]) {
    let all: Vec<usize> = (0..client.world.nodes.len()).collect();
    for n in &all {
        client.world.kill_node(*n);
        if wiped.contains(n) {
            client.world.nodes[*n].disk.wipe();
        }
    }
    client.world.run_for(OFF_TIME);
    all.iter().for_each(|n| client.world.start_node(*n));
}

fn read(client: &mut OperatorClient, place: usize) -> Option<Answer> {
    let id = ChangeId::random(&mut client.world.rand);
    client.world.operate(place, Event::ReadCall { id, path: "source".into() });
    client.world.answer(id, READ_TIMEOUT)?;
    client.world.answers.get(&id).cloned()
}

/// Checks that an answer is not older than what was acknowledged; a controller that cannot know answers 503.
fn check_answer(answer: &Answer, place: usize) -> bool {
    let knows = answer.status == 200;
    if knows {
        assert!(answer.body.contains(NEWEST), "controller {place} showed {:?}", answer.body);
    } else {
        assert_eq!(answer.status, 503, "controller {place}");
    }
    knows
}

#[test]
fn given_an_acknowledged_change_when_disks_are_lost_and_all_others_lose_power_then_it_is_read_back_everywhere()
 {
    for (core, tolerated) in [(3, 1), (4, 1), (5, 2), (6, 2)] {
        seeded(1..7, |seed| {
            let mut client = OperatorClient::start_tolerating(deployment(core), seed, tolerated);
            client.world.controllers().iter().for_each(|n| client.world.nodes[*n].sync = SLOW_SYNC);
            assert_eq!(client.send_and_wait(0, 0, "1 a"), Some(200));
            let place = seed as usize % client.world.nodes.len();
            assert_eq!(client.send_and_wait(place, 1, "2 +b"), Some(200));
            let lost = wiped(core, tolerated, seed);
            power_cycle(&mut client, &lost);
            let until = client.world.now + READ_PERIOD;
            while client.world.now < until {
                for place in 0..core {
                    if let Some(answer) = read(&mut client, place) {
                        check_answer(&answer, place);
                    }
                }
            }
            for place in 0..core {
                let end = client.world.now + LAST_READ_LIMIT;
                let mut knows = false;
                while client.world.now < end && !knows {
                    knows = read(&mut client, place).is_some_and(|answer| check_answer(&answer, place));
                }
                assert!(knows, "controller {place} of {core} does not know the newest, {lost:?} wiped");
            }
            client.assert_all_have(NEWEST);
        });
    }
}
