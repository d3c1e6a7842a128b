use super::continuation::RunContract;
use super::event_buffer::Item;
use crate::fleet::config::Moving;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use std::collections::VecDeque;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Step {
    Warm,
    Cut,
}

#[derive(PartialEq, Debug)]
pub enum Out {
    Pass(Item),
    Open { last: Option<String>, cut: bool },
    CloseDest,
    Switch,
    Abort(&'static str),
    Abandon,
}

pub struct Handover {
    pub id: MoveId,
    pub to: Name,
    pub step: Step,
    pub round: u64,
    pub rounds_ms: Vec<u64>,
    pub gaps: Vec<u64>,
    plan: Moving,
    contract: RunContract,
    buffered: VecDeque<Item>,
    heard: VecDeque<Item>,
    alike: u64,
    held: VecDeque<Item>,
    since: Time,
    pub began: Time,
    pub more: bool,
}

impl Handover {
    pub fn new(
        id: MoveId,
        to: Name,
        (plan, contract): (Moving, RunContract),
        now: Time,
        last: Option<String>,
    ) -> (Handover, Vec<Out>) {
        let h = Handover {
            id,
            to,
            step: Step::Warm,
            round: 1,
            rounds_ms: Vec::new(),
            gaps: Vec::new(),
            plan,
            contract,
            buffered: VecDeque::new(),
            heard: VecDeque::new(),
            alike: 0,
            held: VecDeque::new(),
            since: now,
            began: now,
            more: true,
        };
        (h, vec![Out::Open { last, cut: false }])
    }

    /// An event of the source. One without a place is passed on as it comes.
    pub fn source(&mut self, now: Time, item: Item) -> Vec<Out> {
        if !self.contract.is_placed(&item) {
            return vec![Out::Pass(item)];
        }
        match self.step {
            Step::Warm => {
                self.buffered.push_back(item.clone());
                let mut out = vec![Out::Pass(item)];
                out.extend(self.judge(now));
                out
            }
            Step::Cut => {
                self.held.push_back(item);
                self.judge(now)
            }
        }
    }

    /// An event of the destination; only those with a place count before the cut.
    pub fn dest(&mut self, now: Time, item: Item) -> Vec<Out> {
        if !self.contract.is_placed(&item) {
            return vec![];
        }
        self.heard.push_back(item);
        self.judge(now)
    }

    fn judge(&mut self, now: Time) -> Vec<Out> {
        match self.step {
            Step::Warm => self.judge_warm(now),
            Step::Cut => self.judge_cut(),
        }
    }

    fn judge_warm(&mut self, now: Time) -> Vec<Out> {
        while let (Some(a), Some(b)) = (self.buffered.get(self.alike as usize), self.heard.front()) {
            if !self.contract.same_place(a, b) {
                return self.stop("the destination's event differs from the source's of the same place");
            }
            self.alike += 1;
            self.heard.pop_front();
        }
        if self.alike == 0 {
            return vec![];
        }
        let gap = self.buffered.len() as u64 - self.alike;
        self.gaps.push(gap);
        self.rounds_ms.push(now.since(self.since).as_ms());
        self.since = now;
        self.heard.clear();
        let last = self.buffered.back().and_then(|i| i.id.clone());
        self.buffered.clear();
        self.alike = 0;
        if gap <= self.plan.gap || self.round >= self.plan.rounds || !self.more {
            self.step = Step::Cut;
        }
        self.round += 1;
        vec![Out::CloseDest, Out::Open { last, cut: self.step == Step::Cut }]
    }

    fn judge_cut(&mut self) -> Vec<Out> {
        let (Some(a), Some(b)) = (self.held.front(), self.heard.front()) else { return vec![] };
        if !self.contract.same_place(a, b) {
            return self.stop("the destination's first event differs from the source's");
        }
        let mut out = vec![Out::Switch];
        out.extend(self.heard.drain(..).map(Out::Pass));
        self.held.clear();
        out
    }

    fn flush(&mut self) -> Vec<Out> {
        self.held.drain(..).map(Out::Pass).collect()
    }

    fn stop(&mut self, why: &'static str) -> Vec<Out> {
        let mut out = vec![Out::CloseDest];
        out.extend(self.flush());
        out.push(Out::Abort(why));
        out
    }

    pub fn source_end(&mut self) -> Vec<Out> {
        let mut out = vec![Out::CloseDest];
        out.extend(self.flush());
        out.push(Out::Abandon);
        out
    }

    pub fn source_failed(&mut self) -> Vec<Out> {
        let mut out = vec![Out::CloseDest];
        out.extend(self.flush());
        out.push(Out::Abort("the source failed"));
        out
    }

    pub fn dest_failed(&mut self, why: &'static str) -> Vec<Out> {
        self.stop(why)
    }

    pub fn dest_end(&mut self) -> Vec<Out> {
        if self.heard.is_empty() {
            return self.stop("the destination ended before its first event");
        }
        vec![]
    }

    pub fn withdrawn(&mut self) -> Vec<Out> {
        self.stop("the plan was withdrawn")
    }

    pub fn tick(&mut self, now: Time) -> Vec<Out> {
        let most = if self.step == Step::Cut { self.plan.cut_ms } else { self.plan.round_ms };
        if now.since(self.since) > Span::ms(most) {
            return self.stop("a round took longer than its allowance");
        }
        vec![]
    }
}
