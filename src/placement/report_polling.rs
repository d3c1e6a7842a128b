use super::component::Placement;
use super::runner_choice::SETTLED;
use crate::fleet::holdings::UnmetDemand;
use crate::fleet::runner::RunnerReport;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use std::collections::BTreeMap;

const REST: Span = Span::ms(1000);
const WORK: Span = Span::ms(500);
/// With more runners than this those at work are asked less often, in proportion.
const RUNNERS_ASKED_OFTEN: u64 = 64;
/// A tick asks up to this many runners for reports, or
const LOOKS_PER_TICK: usize = 16;
/// one of so many, so that they don't all answer at the same moment.
const RUNNERS_PER_LOOK: usize = 16;
const AGAIN: Span = Span::ms(80);
const LOST: Span = Span::ms(1000);
const STALE: Span = Span::ms(1500);
/// How often the reports are searched for what routers miss.
const SEARCH_EVERY: Span = Span::ms(20);
/// A runner's refusal of an order for want of room, or because another is under way.
pub const NO_ROOM: u16 = 409;

#[derive(Clone, Copy, Default)]
pub struct PollState {
    next: Time,
    asked: Option<Time>,
}

impl PollState {
    /// When the report that is awaited was asked for.
    pub fn asked(&self) -> Option<Time> {
        self.asked
    }
}

/// How long a runner at work is left, if so many are known.
fn pause_at_work(runners: usize) -> Span {
    Span((WORK.0 * runners as u64 / RUNNERS_ASKED_OFTEN).clamp(WORK.0, REST.0))
}

pub type Polls = BTreeMap<Name, PollState>;

impl Placement {
    pub fn look_at(&mut self, runner: &Name, when: Time) {
        if let Some(l) = self.looks.get_mut(runner) {
            l.next = l.next.min(when);
        }
    }

    pub fn look(&mut self, ctx: &mut Context) {
        let Some(s) = self.slice.clone() else { return };
        if self.term == Term(0) {
            return;
        }
        let mut left = LOOKS_PER_TICK.max(s.runners.len() / RUNNERS_PER_LOOK);
        for r in self.reporting(&s) {
            if !self.looks.contains_key(&r.instance) {
                self.looks.insert(r.instance.clone(), PollState::default());
            }
            let Some(l) = self.looks.get_mut(&r.instance) else { continue };
            let open = l.asked.is_some_and(|t| ctx.now.since(t) < LOST);
            if ctx.now < l.next || open {
                continue;
            }
            if left == 0 {
                return;
            }
            left -= 1;
            l.asked = Some(ctx.now);
            l.next = ctx.now + REST;
            ctx.effects.push(Effect::PollRunner(r.instance.clone()));
        }
    }

    /// Takes in a runner's answer to an order.
    pub fn ordered(&mut self, order: OrderId, status: u16, ctx: &mut Context) {
        let refused = self.flights.rows.get(&order).filter(|f| f.load && !f.behind && status == NO_ROOM);
        let refused = refused.map(|f| f.runner.clone());
        if let Some(runner) = refused
            && (!self.is_job(order) || self.distrust.is_doubted(&runner))
        {
            self.load_failed(&runner, "it refused a load", ctx);
        }
        self.work.stirred = true;
        self.log_answer(order, status, ctx);
        self.flights.answered(ctx.now, order, status);
        if let Some(f) = self.flights.rows.get(&order) {
            let (runner, end) = (f.runner.clone(), f.end);
            self.look_at(&runner, if status == 200 { ctx.now } else { end });
        }
        self.job_answered(order, status, ctx);
        self.react(ctx);
        self.push(ctx);
    }

    fn log_answer(&self, order: OrderId, status: u16, ctx: &mut Context) {
        let Some(flight) = self.flights.rows.get(&order) else { return };
        let what = if flight.load { "load" } else { "unload" };
        let after = ctx.now.since(flight.since).as_ms();
        let text = format!("{status} to {what} {} on {} after {after}ms", flight.name, flight.runner);
        ctx.log_event("order-answered", text);
    }

    /// A runner's told room has turned out wrong, unless its report shows that it was at work on something.
    pub fn load_failed(&mut self, runner: &Name, why: &str, ctx: &mut Context) {
        let working = |r: &RunnerReport| r.busy || !r.loading.is_empty();
        if self.reports.get(runner).is_some_and(|r| working(&r.1)) {
            return;
        }
        if !self.distrust.is_paused(runner, ctx.now) {
            ctx.log_event("runner-distrusted", format!("{runner}: {why}"));
        }
        self.distrust.failed(runner, ctx.now);
    }

    /// A router misses what is known as held: both may be wrong.
    pub fn check_held(&mut self, from: NodeId, rows: &[UnmetDemand], ctx: &mut Context) {
        if ctx.now.since(self.checked) < STALE || ctx.now.since(self.searched) < SEARCH_EVERY {
            return;
        }
        self.searched = ctx.now;
        let known = |w: &&UnmetDemand| self.reports.values().any(|r| r.1.has(&w.name));
        let names: Vec<Name> = rows.iter().filter(known).map(|w| w.name.clone()).collect();
        if names.is_empty() {
            return;
        }
        self.checked = ctx.now;
        self.push_whole(from, ctx);
        let holds = |r: &RunnerReport| names.iter().any(|n| r.has(n));
        let runners: Vec<Name> = self.reports.iter().filter(|r| holds(&r.1.1)).map(|r| r.0.clone()).collect();
        for r in runners {
            self.look_at(&r, ctx.now);
        }
    }

    /// A report that was made before one already known says nothing.
    pub fn is_old(&self, now: Time, r: &RunnerReport) -> bool {
        let Some((at, old)) = self.reports.get(&r.instance) else { return false };
        r.orders < old.orders && now.since(*at) < STALE
    }

    /// Takes in a runner's report.
    pub fn reported(&mut self, instance: &Name, r: &RunnerReport, ctx: &mut Context) {
        if self.is_old(ctx.now, r) {
            return;
        }
        if r.leaving {
            ctx.publish(JournalEvent::RunnerMarked(instance.clone()));
        }
        let asked = self.looks.get(instance).and_then(|l| l.asked()).unwrap_or(ctx.now);
        self.flights.sequences.reported(ctx.now, asked, r);
        let vanished = self.flights.told(ctx.now, r);
        let restarted = self.reports.get(instance).is_some_and(|old| old.1.orders > r.orders);
        if vanished && !restarted {
            self.load_failed(instance, "its load never appeared", ctx);
        }
        let old = self.reports.insert(instance.clone(), (ctx.now, r.clone()));
        let new = |n: &&Name| old.as_ref().is_some_and(|o| !o.1.has(n));
        for n in r.holds.iter().filter(new) {
            self.settled.entry(instance.clone()).or_default().insert(n.clone(), ctx.now);
        }
        if let Some(names) = self.settled.get_mut(instance) {
            names.retain(|_, since| ctx.now.since(*since) < SETTLED);
        }
        self.kept.entry(instance.clone()).or_default().extend(r.holds.iter().cloned());
    }

    pub fn looked(&mut self, runner: &Name, report: Option<&RunnerReport>, ctx: &Context) {
        let ends = self.flights.rows.at(runner).filter(|f| f.answered);
        let soon = ends.map(|f| f.end.max(ctx.now + AGAIN)).min();
        let busy = report.is_some_and(|r| r.running + r.waiting > 0);
        let pause = pause_at_work(self.reports.len());
        let Some(l) = self.looks.get_mut(runner) else { return };
        l.asked = None;
        l.next = ctx.now + if busy { pause } else { REST };
        if let Some(t) = soon {
            l.next = l.next.min(t);
        }
    }
}
