//! Orders on their way to simulated runners, and how they are carried out.

use super::record::Fact;
use super::world::{Event, World};
use crate::daemon::assemble::Policy;
use crate::kernel::ids::*;
use crate::kernel::rand::Rand;
use crate::kernel::time::Span;
use crate::msg::{self, RunnerOrder};

impl World {
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
            if w.runners[k].dark {
                w.ask_store(k, &o);
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
        if self.runners[k].stock.orders == o.expected {
            self.ask_store(k, o);
        }
        let (status, why) = self.runners[k].stock.order(&id, o.term.0, &o.name, o.load, Some(o.expected));
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

    /// Where a runner takes several orders at once, each that it does not void asks the store, also one it refuses.
    fn ask_store(&mut self, k: usize, o: &RunnerOrder) {
        if !self.runners[k].stock.single {
            self.note(Fact::Asking { load: o.load });
        }
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
            self.feed(place, msg::Event::OrderAnswered { order, status });
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
}
