use super::nodes::TELL;
use super::record::Fact;
use super::world::{Event, World};
use crate::daemon::assemble::Policy;
use crate::fleet::runner::Runner;
use crate::gate::rehearse::rehearse;
use crate::kernel::ids::*;
use crate::kernel::rand::Rand;
use crate::kernel::time::{Clock, Span, Time};
use crate::msg::{self, Role, RunnerOrder};
use crate::standin::script::Script;
use crate::standin::stock::Stock;
use std::collections::BTreeMap;

#[derive(Clone)]
pub struct Run {
    pub place: usize,
    pub life: u64,
    pub ride: u64,
    pub leg: u64,
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
        report: Option<Box<crate::fleet::runner::Report>>,
    ) {
        if !self.fits(place, life) {
            return;
        }
        if report.as_ref().is_some_and(|r| r.leaving) {
            self.learnt_leaving(runner.clone(), place);
        }
        let report = report.map(|r| *r);
        self.feed(place, msg::Event::Report { instance: runner, report });
    }

    pub fn tell(&mut self, place: usize, life: u64) {
        if !self.fits(place, life) || self.nodes[place].role != Role::Router {
            return;
        }
        self.later(TELL, Event::Tell { place, life });
        let now = self.local(place);
        let n = &mut self.nodes[place];
        let mut tell = n.table.tell(now);
        if let (at, Some(t)) = n.table.trial() {
            let old = n.rehearsed.take().filter(|r| r.0 == at);
            let row = old.map_or_else(|| rehearse(&n.table, &Fixed(now), &t, &n.seen.rows()), |r| r.1);
            tell.rehearsal = Some(row.clone());
            n.rehearsed = Some((at, row));
        }
        self.feed(place, msg::Event::RouterState(std::sync::Arc::new(tell)));
    }

    pub fn drive(&mut self, place: usize, life: u64, o: RunnerOrder) {
        let wait = self.delay();
        let order = o.order;
        let held_up = self.slow_order > 0 && self.rand.below(4) == 0;
        if held_up {
            return self.hold_up(place, life, o);
        }
        self.at(self.now + wait, move |w| {
            if !w.fits(place, life) {
                return;
            }
            let late = w.local(place) >= o.due;
            if w.nodes[place].frozen_until > w.now {
                let until = w.nodes[place].frozen_until;
                return w.at(until + Span(1), move |w| w.drive(place, life, o));
            }
            let k = w.runner_at(&o.runner.instance).filter(|k| w.runners[*k].alive);
            let (Some(k), false) = (k, late) else {
                if !late {
                    w.note(Fact::Asking { load: o.load });
                }
                return w.later(Span(500), Event::Driven { place, life, order, status: 499 });
            };
            let single = w.runners[k].stock.single;
            if !single {
                w.note(Fact::Asking { load: o.load });
            }
            if w.runners[k].dark {
                return w.later(Span::ms(1000), Event::Driven { place, life, order, status: 0 });
            }
            if !o.load && w.plan.policy == Policy::Preempt {
                w.preempt_runs(k, &o.name);
            }
            let status = w.order_arrives(k, &o);
            let wait = w.delay();
            w.later(wait, Event::Driven { place, life, order, status });
        });
    }

    /// An order reaches a runner, which takes it or not.
    fn order_arrives(&mut self, k: usize, o: &RunnerOrder) -> u16 {
        let id = o.order.to_string();
        let single = self.runners[k].stock.single;
        let (status, why) = self.runners[k].stock.order(&id, o.term.0, &o.name, o.load);
        let lines = std::mem::take(&mut self.runners[k].stock.lines);
        let runner = o.runner.instance.clone();
        if lines.iter().any(|l| l.starts_with("overfull")) {
            self.note(Fact::Overfull { runner: runner.clone() });
        }
        let (load, name, term) = (o.load, o.name.clone(), o.term.0);
        if status != 412 {
            self.note(Fact::Ordered { runner, term, load, name: name.clone(), status });
        }
        let life = self.runners[k].life;
        if why == "loading" {
            let (ms, counted) = self.runners[k].stock.load_cost(&name);
            if single && counted {
                self.note(Fact::Asking { load });
            }
            self.later(Span::ms(ms), Event::Loaded { runner: k, life, name });
        } else if why == "unloading" {
            self.at(self.now + Span::ms(8), move |w| w.unload_step(k, life));
        }
        status
    }

    /// The path to the runner is cut once the order was written: its sender gives up waiting, and it arrives later.
    fn hold_up(&mut self, place: usize, life: u64, o: RunnerOrder) {
        let wait = self.plus(self.slow_order);
        let order = o.order;
        self.later(Span::ms(1000), Event::Driven { place, life, order, status: 0 });
        self.at(self.now + wait, move |w| {
            let there = w.runner_at(&o.runner.instance).filter(|k| w.runners[*k].alive);
            if let Some(k) = there {
                w.order_arrives(k, &o);
            }
        });
    }

    pub fn driven(&mut self, place: usize, life: u64, order: OrderId, status: u16) {
        if self.fits(place, life) {
            self.feed(place, msg::Event::Ordered { order, status });
        }
    }

    pub fn loaded(&mut self, runner: usize, life: u64, name: &Name) {
        let r = &mut self.runners[runner];
        if r.life == life && r.alive {
            r.stock.loaded(name);
        }
    }

    fn unload_step(&mut self, k: usize, life: u64) {
        let r = &mut self.runners[k];
        if r.life == life && r.alive && !r.stock.try_unload() {
            self.at(self.now + Span::ms(8), move |w| w.unload_step(k, life));
        }
    }

    fn preempt_runs(&mut self, k: usize, model: &Name) {
        let rows: Vec<(u64, Run)> = self.runners[k]
            .runs
            .iter()
            .filter(|r| r.1.model == *model)
            .map(|r| (*r.0, r.1.clone()))
            .collect();
        for (id, run) in rows {
            self.end_run(k, id, false);
            let wait = self.delay();
            let ev = Box::new(crate::pass::In::Lost { leg: run.leg });
            self.later(wait, Event::Ride { place: run.place, life: run.life, ride: run.ride, ev });
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
            let ev = Box::new(crate::pass::In::Lost { leg: run.leg });
            self.later(wait, Event::Ride { place: run.place, life: run.life, ride: run.ride, ev });
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
