use crate::fleet::holdings::{HeldTell, Want};
use crate::kernel::ids::*;
use crate::kernel::part::{Kit, Part};
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use std::collections::BTreeMap;

const GATHER: Span = Span::ms(20);
const HEARD: Span = Span::ms(1500);
const ASK: Span = Span::ms(300);

/// A router's link to the holder of the placement duty: it tells wants and follows holdings.
#[derive(Default)]
pub struct Seeker {
    holder: Option<NodeId>,
    term: Term,
    seq: u64,
    heard: Time,
    asked: Time,
    behind: bool,
    wants: BTreeMap<Name, Want>,
    sent: BTreeMap<Name, Time>,
}

impl Seeker {
    fn holders(&self, kit: &Kit) -> Vec<NodeId> {
        match self.holder {
            Some(n) if kit.now.since(self.heard) < HEARD => vec![n],
            _ => kit.views.controllers().map(|r| r.who.node).collect(),
        }
    }

    fn add(&mut self, want: &Want) {
        let row = self.wants.entry(want.name.clone()).or_insert(Want { count: 0, ..want.clone() });
        row.count += want.count;
        row.class = row.class.min(want.class);
    }

    fn flush(&mut self, kit: &mut Kit) {
        self.sent.retain(|_, t| kit.now.since(*t) < GATHER);
        let held = |n: &Name| self.sent.contains_key(n);
        let rows: Vec<Want> = self.wants.values().filter(|w| !held(&w.name)).cloned().collect();
        if rows.is_empty() {
            return;
        }
        for w in &rows {
            self.wants.remove(&w.name);
            self.sent.insert(w.name.clone(), kit.now);
        }
        for to in self.holders(kit) {
            kit.send(to, Msg::Want(rows.clone()));
        }
    }

    fn told(&mut self, from: NodeId, tell: &HeldTell, kit: &mut Kit) {
        let newer = tell.term > self.term;
        if tell.term < self.term || (!newer && tell.seq < self.seq) {
            return;
        }
        if newer {
            (self.term, self.seq, self.behind) = (tell.term, tell.seq, true);
        }
        self.heard = kit.now;
        self.holder = Some(from);
        if tell.whole {
            self.behind = false;
        } else if tell.seq > self.seq + 1 {
            self.behind = true;
        }
        let old = !tell.whole && !newer && tell.seq == self.seq;
        self.seq = tell.seq;
        if !old && !tell.rows.is_empty() {
            kit.out.push(Effect::Held(tell.rows.clone()));
        }
    }

    fn tick(&mut self, kit: &mut Kit) {
        self.flush(kit);
        let quiet = kit.now.since(self.heard) >= HEARD;
        if (self.behind || quiet) && kit.now.since(self.asked) >= ASK {
            self.asked = kit.now;
            for to in self.holders(kit) {
                kit.send(to, Msg::HeldAsk);
            }
        }
    }
}

impl Part for Seeker {
    fn name(&self) -> &'static str {
        "seeker"
    }

    fn on(&mut self, ev: &Event, kit: &mut Kit) {
        match ev {
            Event::Wanted(want) => {
                self.add(want);
                self.flush(kit);
            }
            Event::Mail { from, msg: Msg::Held(tell), .. } => {
                self.told(*from, tell, kit);
                self.tick(kit);
            }
            Event::Tick => self.tick(kit),
            _ => {}
        }
    }

    fn status(&self, now: Time) -> Vec<(&'static str, String)> {
        vec![
            ("term", self.term.to_string()),
            ("seq", self.seq.to_string()),
            ("heard_ms_ago", now.since(self.heard).as_ms().to_string()),
        ]
    }
}
