//! A controller that is cut off or frozen for twenty seconds, as operators who reach either side see it.

#[path = "common/adopt.rs"]
mod adopt;
mod common;

use adopt::Office;
use common::{ident, seeded, view};
use spindledock::kernel::ids::*;
use spindledock::kernel::time::{Span, Time};
use spindledock::launch::deployment::{Deployment, vanua};
use spindledock::msg::{Event, OperatorCall};
use spindledock::sim::World;
use spindledock::sim::record::Fact;

const CUT: Span = Span::ms(20_000);
const PATIENCE: Span = Span::ms(1000);
const STEP: Span = Span::ms(100);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    BothWays,
    OnlyOut,
    OnlyIn,
    /// Cut both ways; after a while it hears the others again, and they still don't hear it.
    HearsAgain,
    Frozen,
}

const TROUBLES: [Trouble; 5] =
    [Trouble::BothWays, Trouble::OnlyOut, Trouble::OnlyIn, Trouble::HearsAgain, Trouble::Frozen];
const HEARS_AFTER: Span = Span::ms(8000);

/// A call to the lost member, and the newest revision that had been acknowledged when it was sent.
struct Question {
    id: ChangeId,
    at: Time,
    newest: u64,
    base: Option<u64>,
}

struct Watch {
    office: Office,
    lost: usize,
    newest: u64,
    acknowledged: Vec<(Time, u64)>,
    sent: u64,
    questions: Vec<Question>,
}

fn open(core: usize, bear: usize, seed: u64) -> Office {
    let mut o = Office::open_bearing(Deployment { core, routers: 3, ..vanua() }, seed, bear);
    assert_eq!(o.done(0, 0, "1 first"), Some(200));
    o.w.run_for(Span::ms(1000 + 130 * seed));
    o
}

fn member(w: &World, spot: usize) -> usize {
    let node = view(w, 0).and_then(|v| v.chain.get(spot).copied());
    w.controllers().into_iter().find(|n| ident(w, *n) == node).expect("a member")
}

impl Watch {
    fn hurt(&mut self, trouble: Trouble) {
        let (w, lost) = (&mut self.office.w, self.lost);
        for other in (0..w.nodes.len()).filter(|n| *n != lost) {
            if !matches!(trouble, Trouble::OnlyIn | Trouble::Frozen) {
                w.cuts.insert((lost, other));
            }
            if !matches!(trouble, Trouble::OnlyOut | Trouble::Frozen) {
                w.cuts.insert((other, lost));
            }
        }
        if trouble == Trouble::HearsAgain {
            w.at(w.now + HEARS_AFTER, move |w| w.cuts.retain(|link| link.1 != lost));
        }
        if trouble == Trouble::Frozen {
            w.freeze(lost, CUT);
        }
    }

    /// A change on the newest revision, sent to the other side until it is acknowledged.
    fn go_on(&mut self) {
        let (base, next) = (self.newest, self.newest + 1);
        let id = self.office.send(self.office.w.nodes.len() - 1, base, &format!("{next} +r{next}"));
        if self.office.end(id, PATIENCE) == Some(200) {
            self.newest = next;
            self.acknowledged.push((self.office.w.now, next));
        }
    }

    fn read(&mut self) {
        let id = self.office.w.fresh_id();
        self.questions.push(Question { id, at: self.office.w.now, newest: self.newest, base: None });
        self.office.w.operate(self.lost, Event::ReadCall { id, path: "source".into() });
    }

    /// A change on the newest revision, sent to the lost member. It leaves everything as it is.
    fn write(&mut self) {
        let base = self.newest;
        self.sent += 1;
        let op = OperatorCall::PlatformConfig {
            base: Some(base),
            part: true,
            text: format!("nothing {}", self.sent),
        };
        let id = ChangeId::named(self.office.w.fresh_id().name, op.document());
        self.questions.push(Question { id, at: self.office.w.now, newest: base, base: Some(base) });
        self.office.w.operate(self.lost, Event::OperatorCall { id, op });
    }

    fn ask_for(&mut self, span: Span) {
        let end = self.office.w.now + span;
        while self.office.w.now < end {
            self.read();
            self.write();
            self.office.w.run_for(STEP);
        }
    }

    fn answered_at(&self, id: ChangeId) -> Option<Time> {
        let rows = self.office.w.record.rows.iter();
        rows.filter(|r| matches!(r.1, Fact::Answered { id: i, .. } if i == id)).map(|r| r.0).next()
    }

    fn newest_at(&self, when: Time) -> u64 {
        self.acknowledged.iter().rev().find(|a| a.0 <= when).map_or(1, |a| a.1)
    }

    fn judge(&self, trouble: Trouble, thawed: Time, story: &str) {
        for q in &self.questions {
            let from = if trouble == Trouble::Frozen { q.at.max(thawed) } else { q.at };
            let end = self.answered_at(q.id).unwrap_or_else(|| panic!("{story}: a call was never answered"));
            assert!(end.since(from) <= PATIENCE, "{story}: an answer took {}", end.since(from));
            let answer = &self.office.w.answers[&q.id];
            match q.base {
                None if answer.status == 200 => {
                    let shown: u64 = answer.body.split(' ').next().and_then(|t| t.parse().ok()).unwrap_or(0);
                    assert!(shown >= q.newest, "{story}: {shown} was shown when {} was in force", q.newest);
                }
                None => assert_eq!(answer.status, 503, "{story}: {}", answer.body),
                Some(base) => {
                    let current = self.newest_at(end) == base;
                    assert!(!current || answer.status != 409, "{story}: base {base}: {}", answer.body);
                }
            }
        }
    }

    fn serves(&mut self, due: Span) -> Option<Span> {
        let since = self.office.w.now;
        while self.office.w.now.since(since) < due {
            self.read();
            let id = self.questions.last().expect("one was asked").id;
            let _ = self.office.w.until(STEP, |w| w.answers.contains_key(&id));
            if self.office.w.answers.get(&id).is_some_and(|a| a.status == 200) {
                return Some(self.office.w.now.since(since));
            }
            self.office.w.run_for(Span::ms(20));
        }
        None
    }
}

/// One member is lost for twenty seconds while changes go on; both sides are asked all the time.
fn lost_for_twenty(core: usize, bear: usize, spot: usize, trouble: Trouble, seed: u64) {
    let story = format!("{core}/{spot} {trouble:?} seed {seed}");
    let office = open(core, bear, seed);
    let lost = member(&office.w, spot);
    let mut watch = Watch { office, lost, newest: 1, acknowledged: vec![], sent: 0, questions: vec![] };
    watch.hurt(trouble);
    let healed = watch.office.w.now + CUT;
    while watch.office.w.now + Span::ms(2500) < healed {
        watch.go_on();
        watch.ask_for(Span::ms(1000));
    }
    assert!(watch.newest > 5, "{story}: the other side stood still at {}", watch.newest);
    watch.office.w.run_to(healed);
    watch.office.w.cuts.clear();
    let back = watch.serves(Span::ms(1100));
    println!("{story}: served again after {back:?}");
    assert!(back.is_some_and(|b| b <= PATIENCE), "{story}: back {back:?}");
    watch.ask_for(Span::ms(1000));
    watch.office.w.run_for(Span::ms(3000));
    watch.judge(trouble, healed, &story);
    watch.office.judge();
}

#[test]
fn given_a_member_lost_for_twenty_seconds_when_asked_all_along_then_nothing_old_is_said() {
    seeded(1..4, |seed| {
        for (core, bear) in [(3, 1), (5, 2)] {
            for spot in 0..core {
                for trouble in TROUBLES {
                    lost_for_twenty(core, bear, spot, trouble, seed);
                }
            }
        }
    });
}
