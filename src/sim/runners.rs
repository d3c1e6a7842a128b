use super::nodes::TELL;
use super::record::Fact;
use super::world::{Event, World};
use crate::fleet::runner::Runner;
use crate::gate::rehearse::rehearse;
use crate::kernel::ids::*;
use crate::kernel::time::{Clock, Span, Time};
use crate::msg::{self, Role};
use crate::standin::script::Script;
use crate::standin::stock::Stock;
use std::collections::BTreeMap;

#[derive(Clone)]
pub struct Run {
    pub place: usize,
    pub life: u64,
    pub request: u64,
    pub attempt: u64,
    pub call: u64,
    pub script: Option<Script>,
    pub next: u64,
    pub began: bool,
    pub model: Name,
    pub differ: bool,
}

pub struct SimRunner {
    pub card: Runner,
    pub stock: Stock,
    pub alive: bool,
    pub dark: bool,
    pub differ: bool,
    pub evict: bool,
    pub lie: bool,
    pub mute: bool,
    pub life: u64,
    pub runs: BTreeMap<u64, Run>,
    pub queue: Vec<u64>,
    pub next: u64,
    pub token: Span,
    pub plain: Span,
    pub warm: BTreeMap<u64, u64>,
}

struct Fixed(Time);

impl Clock for Fixed {
    fn now(&self) -> Time {
        self.0
    }
}

impl World {
    pub fn runner_at(&self, name: &Name) -> Option<usize> {
        self.runners.iter().position(|r| r.card.instance == *name)
    }

    /// The service of a runner, also under the name of an earlier life.
    pub fn service_of(&self, runner: &Name) -> Option<&Name> {
        let first_name = |name: &Name| name.0.trim_end_matches('x').to_string();
        let same = |r: &&SimRunner| first_name(&r.card.instance) == first_name(runner);
        self.runners.iter().find(same).map(|r| &r.card.service)
    }

    pub fn look(&mut self, place: usize, life: u64, runner: &Name) {
        if !self.fits(place, life) {
            return;
        }
        let Some(r) = self.nodes[place].watch.iter().find(|r| r.instance == *runner).cloned() else { return };
        let up = self.runner_at(&r.instance).filter(|k| {
            let x = &self.runners[*k];
            x.alive && !x.dark && x.card.addr == r.addr
        });
        let report = up.map(|k| {
            let mut report = self.runners[k].stock.report();
            if self.runners[k].lie {
                report.used_mb = 0;
            }
            Box::new(report)
        });
        let wait = self.delay() + self.plus(self.slow_poll);
        self.later(wait, Event::Reported { place, life, runner: r.instance, report });
    }

    pub fn reported(
        &mut self,
        place: usize,
        life: u64,
        runner: Name,
        report: Option<Box<crate::fleet::runner::RunnerReport>>,
    ) {
        if !self.fits(place, life) {
            return;
        }
        if report.as_ref().is_some_and(|r| r.leaving) {
            self.learnt_leaving(runner.clone(), place);
        }
        let report = report.map(|r| *r);
        self.feed(place, msg::Event::RunnerReport { instance: runner, report });
    }

    pub fn tell(&mut self, place: usize, life: u64) {
        if !self.fits(place, life) || self.nodes[place].role != Role::Router {
            return;
        }
        self.later(TELL, Event::Tell { place, life });
        let now = self.local(place);
        let n = &mut self.nodes[place];
        let mut tell = n.table.router_report(now);
        if let (at, Some(t)) = n.table.candidate() {
            let old = n.rehearsed.take().filter(|r| r.0 == at);
            let row = old.map_or_else(|| rehearse(&n.table, &Fixed(now), &t, &n.seen.rows()), |r| r.1);
            tell.rehearsal = Some(row.clone());
            n.rehearsed = Some((at, row));
        }
        self.feed(place, msg::Event::RouterState(std::sync::Arc::new(tell)));
    }

    pub(super) fn preempt_runs(&mut self, k: usize, model: &Name) {
        let rows: Vec<(u64, Run)> = self.runners[k]
            .runs
            .iter()
            .filter(|r| r.1.model == *model)
            .map(|r| (*r.0, r.1.clone()))
            .collect();
        for (id, run) in rows {
            self.end_run(k, id, false);
            let wait = self.delay();
            let ev = Box::new(crate::forwarding::FlowEvent::Lost { attempt: run.attempt });
            self.later(
                wait,
                Event::RequestFlow { place: run.place, life: run.life, request: run.request, ev },
            );
        }
    }

    pub fn kill_runner(&mut self, k: usize) {
        let runs: Vec<Run> = self.runners[k].runs.values().cloned().collect();
        let r = &mut self.runners[k];
        r.alive = false;
        r.runs.clear();
        r.queue.clear();
        for run in runs {
            self.note(Fact::RunEnded { call: run.call, whole: false });
            let wait = self.delay();
            let ev = Box::new(crate::forwarding::FlowEvent::Lost { attempt: run.attempt });
            self.later(
                wait,
                Event::RequestFlow { place: run.place, life: run.life, request: run.request, ev },
            );
        }
    }

    pub fn start_runner(&mut self, k: usize) {
        let r = &mut self.runners[k];
        r.alive = true;
        r.dark = false;
        r.life += 1;
        r.warm.clear();
        let (room, adapters, slots) = (r.stock.room_mb, r.stock.adapter_room, r.stock.slots);
        let old = std::mem::replace(
            &mut r.stock,
            Stock::new(r.card.instance.clone(), Default::default(), room, adapters, slots),
        );
        r.stock.catalog = old.catalog;
        r.stock.single = old.single;
        r.stock.had = old.had;
        r.stock.terse = old.terse;
        r.stock.load_factor = old.load_factor;
    }
}
