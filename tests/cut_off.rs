//! A controller is cut off or suspended for twenty seconds while changes go on. Calls to it must never be answered
//! from its old state, and must be answered in time.

#[path = "common/adopt.rs"]
mod adopt;
mod common;

use adopt::OperatorClient;
use common::{ident, seeded, view};
use spindledock::kernel::ids::*;
use spindledock::kernel::time::{Span, Time};
use spindledock::launch::deployment::{Deployment, vanua};
use spindledock::msg::{Event, OperatorCall};
use spindledock::sim::World;
use spindledock::sim::record::Fact;

const CUT_TIME: Span = Span::ms(20_000);
const ANSWER_LIMIT: Span = Span::ms(1000);
const CALL_INTERVAL: Span = Span::ms(100);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    BothWays,
    OnlyOut,
    OnlyIn,
    /// Cut off both ways; after a while it hears the others again, but they do not hear it.
    HearsAgain,
    Frozen,
}

const FAILURES: [Failure; 5] =
    [Failure::BothWays, Failure::OnlyOut, Failure::OnlyIn, Failure::HearsAgain, Failure::Frozen];
const HEARS_AFTER: Span = Span::ms(8000);

/// A call to the lost member, and the newest revision acknowledged when it was sent.
struct PendingCall {
    id: ChangeId,
    at: Time,
    newest: u64,
    base: Option<u64>,
}

struct Scenario {
    client: OperatorClient,
    lost: usize,
    newest: u64,
    acknowledged: Vec<(Time, u64)>,
    sent: u64,
    calls: Vec<PendingCall>,
}

fn start_fleet(core: usize, tolerated: usize, seed: u64) -> OperatorClient {
    let mut client =
        OperatorClient::start_tolerating(Deployment { core, routers: 3, ..vanua() }, seed, tolerated);
    assert_eq!(client.send_and_wait(0, 0, "1 first"), Some(200));
    client.world.run_for(Span::ms(1000 + 130 * seed));
    client
}

fn member(w: &World, spot: usize) -> usize {
    let node = view(w, 0).and_then(|v| v.chain.get(spot).copied());
    w.controllers().into_iter().find(|n| ident(w, *n) == node).expect("a member")
}

impl Scenario {
    fn apply(&mut self, failure: Failure) {
        let (w, lost) = (&mut self.client.world, self.lost);
        for other in (0..w.nodes.len()).filter(|n| *n != lost) {
            if !matches!(failure, Failure::OnlyIn | Failure::Frozen) {
                w.cuts.insert((lost, other));
            }
            if !matches!(failure, Failure::OnlyOut | Failure::Frozen) {
                w.cuts.insert((other, lost));
            }
        }
        if failure == Failure::HearsAgain {
            w.at(w.now + HEARS_AFTER, move |w| w.cuts.retain(|link| link.1 != lost));
        }
        if failure == Failure::Frozen {
            w.freeze(lost, CUT_TIME);
        }
    }

    /// Sends a change based on the newest revision to the other side.
    fn commit_change(&mut self) {
        let (base, next) = (self.newest, self.newest + 1);
        let id = self.client.send(self.client.world.nodes.len() - 1, base, &format!("{next} +r{next}"));
        if self.client.wait_for_answer(id, ANSWER_LIMIT) == Some(200) {
            self.newest = next;
            self.acknowledged.push((self.client.world.now, next));
        }
    }

    fn read(&mut self) {
        let id = self.client.world.fresh_id();
        self.calls.push(PendingCall { id, at: self.client.world.now, newest: self.newest, base: None });
        self.client.world.operate(self.lost, Event::ReadCall { id, path: "source".into() });
    }

    /// Sends a change based on the newest revision to the lost member. It changes nothing.
    fn write(&mut self) {
        let base = self.newest;
        self.sent += 1;
        let op = OperatorCall::PlatformConfig {
            base: Some(base),
            part: true,
            text: format!("nothing {}", self.sent),
        };
        let id = ChangeId::named(self.client.world.fresh_id().name, op.document());
        self.calls.push(PendingCall { id, at: self.client.world.now, newest: base, base: Some(base) });
        self.client.world.operate(self.lost, Event::OperatorCall { id, op });
    }

    fn call_for(&mut self, span: Span) {
        let end = self.client.world.now + span;
        while self.client.world.now < end {
            self.read();
            self.write();
            self.client.world.run_for(CALL_INTERVAL);
        }
    }

    fn answered_at(&self, id: ChangeId) -> Option<Time> {
        let rows = self.client.world.record.rows.iter();
        rows.filter(|r| matches!(r.1, Fact::Answered { id: i, .. } if i == id)).map(|r| r.0).next()
    }

    /// The newest revision acknowledged by `when`.
    fn newest_at(&self, when: Time) -> u64 {
        self.acknowledged.iter().rev().find(|a| a.0 <= when).map_or(1, |a| a.1)
    }

    fn check_answers(&self, failure: Failure, thawed: Time, label: &str) {
        for q in &self.calls {
            let from = if failure == Failure::Frozen { q.at.max(thawed) } else { q.at };
            let end = self.answered_at(q.id).unwrap_or_else(|| panic!("{label}: a call was never answered"));
            assert!(end.since(from) <= ANSWER_LIMIT, "{label}: an answer took {}", end.since(from));
            let answer = &self.client.world.answers[&q.id];
            match q.base {
                None if answer.status == 200 => {
                    let shown: u64 = answer.body.split(' ').next().and_then(|t| t.parse().ok()).unwrap_or(0);
                    assert!(shown >= q.newest, "{label}: {shown} was shown when {} was in force", q.newest);
                }
                None => assert_eq!(answer.status, 503, "{label}: {}", answer.body),
                Some(base) => {
                    let current = self.newest_at(end) == base;
                    assert!(!current || answer.status != 409, "{label}: base {base}: {}", answer.body);
                }
            }
        }
    }

    fn wait_until_served(&mut self, due: Span) -> Option<Span> {
        let since = self.client.world.now;
        while self.client.world.now.since(since) < due {
            self.read();
            let id = self.calls.last().expect("one was asked").id;
            let _ = self.client.world.until(CALL_INTERVAL, |w| w.answers.contains_key(&id));
            if self.client.world.answers.get(&id).is_some_and(|a| a.status == 200) {
                return Some(self.client.world.now.since(since));
            }
            self.client.world.run_for(Span::ms(20));
        }
        None
    }
}

/// One member is lost for twenty seconds while changes go on; calls go to both sides all the time.
fn run_scenario(core: usize, tolerated: usize, spot: usize, failure: Failure, seed: u64) {
    let label = format!("{core}/{spot} {failure:?} seed {seed}");
    let client = start_fleet(core, tolerated, seed);
    let lost = member(&client.world, spot);
    let mut scenario = Scenario { client, lost, newest: 1, acknowledged: vec![], sent: 0, calls: vec![] };
    scenario.apply(failure);
    let healed = scenario.client.world.now + CUT_TIME;
    while scenario.client.world.now + Span::ms(2500) < healed {
        scenario.commit_change();
        scenario.call_for(Span::ms(1000));
    }
    assert!(scenario.newest > 5, "{label}: the other side stood still at {}", scenario.newest);
    scenario.client.world.run_to(healed);
    scenario.client.world.cuts.clear();
    let back = scenario.wait_until_served(Span::ms(1100));
    println!("{label}: served again after {back:?}");
    assert!(back.is_some_and(|b| b <= ANSWER_LIMIT), "{label}: back {back:?}");
    scenario.call_for(Span::ms(1000));
    scenario.client.world.run_for(Span::ms(3000));
    scenario.check_answers(failure, healed, &label);
    scenario.client.check_history();
}

#[test]
fn given_a_member_lost_for_twenty_seconds_when_asked_all_along_then_nothing_old_is_said() {
    seeded(1..4, |seed| {
        for (core, tolerated) in [(3, 1), (5, 2)] {
            for spot in 0..core {
                for failure in FAILURES {
                    run_scenario(core, tolerated, spot, failure, seed);
                }
            }
        }
    });
}
