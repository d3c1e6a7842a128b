//! The end of a day: right after an acknowledgement as many members as may be lost lose their disks, and every other
//! node of the fleet, whether it counts or not, loses power at the same moment. Then the newest is read back at each.

#[path = "common/adopt.rs"]
mod adopt;
mod common;

use adopt::Office;
use common::seeded;
use spindledock::kernel::ids::ChangeId;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::{Deployment, quebec, vanua};
use spindledock::msg::{Answer, Event};

/// Disks are slow, so that what is told before it is synced would be lost.
const SLOW_SYNC: Span = Span::ms(100);
const AWAY: Span = Span::ms(560);
/// How long the newest is asked for again and again.
const ASKED_FOR: Span = Span::ms(16_000);
const ASKED_EACH: Span = Span::ms(500);
/// Asked last, every controller has to know.
const LAST: Span = Span::ms(4000);
const NEWEST: &str = "2 a b";

fn deployment(core: usize) -> Deployment {
    let mut plan = if core.is_multiple_of(2) { quebec() } else { vanua() };
    plan.core = core;
    plan
}

/// Which members lose their disks: every choice of `bear` neighbours in a ring comes up over the seeds.
fn wiped(core: usize, bear: usize, seed: u64) -> Vec<usize> {
    (0..bear).map(|n| (seed as usize + n * (1 + seed as usize % (core - 1))) % core).collect()
}

fn dark(o: &mut Office, wiped: &[usize]) {
    let all: Vec<usize> = (0..o.w.nodes.len()).collect();
    for n in &all {
        o.w.kill_node(*n);
        if wiped.contains(n) {
            o.w.nodes[*n].disk.wipe();
        }
    }
    o.w.run_for(AWAY);
    all.iter().for_each(|n| o.w.start_node(*n));
}

fn read(o: &mut Office, place: usize) -> Option<Answer> {
    let id = ChangeId::random(&mut o.w.rand);
    o.w.operate(place, Event::ReadCall { id, path: "source".into() });
    o.w.answer(id, ASKED_EACH)?;
    o.w.answers.get(&id).cloned()
}

/// No answer is older than what was acknowledged; one that cannot know says 503.
fn judge(answer: &Answer, place: usize) -> bool {
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
    for (core, bear) in [(3, 1), (4, 1), (5, 2), (6, 2)] {
        seeded(1..7, |seed| {
            let mut o = Office::open_bearing(deployment(core), seed, bear);
            o.w.controllers().iter().for_each(|n| o.w.nodes[*n].sync = SLOW_SYNC);
            assert_eq!(o.done(0, 0, "1 a"), Some(200));
            let place = seed as usize % o.w.nodes.len();
            assert_eq!(o.done(place, 1, "2 +b"), Some(200));
            let lost = wiped(core, bear, seed);
            dark(&mut o, &lost);
            let until = o.w.now + ASKED_FOR;
            while o.w.now < until {
                for place in 0..core {
                    if let Some(answer) = read(&mut o, place) {
                        judge(&answer, place);
                    }
                }
            }
            for place in 0..core {
                let end = o.w.now + LAST;
                let mut knows = false;
                while o.w.now < end && !knows {
                    knows = read(&mut o, place).is_some_and(|answer| judge(&answer, place));
                }
                assert!(knows, "controller {place} of {core} does not know the newest, {lost:?} wiped");
            }
            o.all_have(NEWEST);
        });
    }
}
