use super::ride::*;
use crate::fleet::config::RouteKind;
use crate::fleet::runner::Runner;
use crate::gate::order::Why;
use crate::gate::{Gate, Refusal};
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};
use crate::seam::Load;
use crate::transfer::tape::Item;

const FIRST: Span = Span::ms(450);
const NEXT: Span = Span::ms(1000);

impl Ride {
    pub fn open_main(&mut self, now: Time, runner: Runner, out: &mut Vec<Out>) {
        self.opened += 1;
        let from = if self.tail.is_some() { self.prev.clone() } else { self.last.clone() };
        self.main = self.open(now, runner, from, out);
        let (no, tail) = (self.main, self.tail.clone());
        if let Some(l) = self.leg(no) {
            l.skip = tail;
        }
    }

    pub fn overlaps(
        &mut self,
        now: Time,
        leg: LegNo,
        item: &Item,
        gate: &mut Gate,
        out: &mut Vec<Out>,
    ) -> bool {
        let Some(want) = self.leg(leg).and_then(|l| l.skip.take()) else { return true };
        if want == *item {
            return false;
        }
        gate.count("resume_differs");
        let runner = self.runner_of(leg).unwrap_or_default();
        let difference = want.difference(item);
        let text =
            format!("{runner} repeats the last passed event otherwise: {difference} passed={}", self.passed);
        out.push(Out::Told("resume-differs", text));
        self.close(now, leg, Some(false), gate, out);
        self.resume(now, runner, gate, out);
        false
    }

    /// How long a runner of an order that may run again is waited for: to its first event, then to the next.
    pub fn silence(&self) -> Option<Span> {
        let o = &self.order;
        let again = (o.resumable && o.kind == RouteKind::Stream) || o.kind == RouteKind::Idempotent;
        if !again || o.aim.0 == 0 || self.opened >= o.tries {
            return None;
        }
        if self.passed == 0 {
            return Some(Span((o.aim.0 * 2).clamp(FIRST.0, FIRST.0 * 4)));
        }
        (self.stream && o.gap.0 > 0).then(|| Span((o.gap.0 * 4).max(NEXT.0)))
    }

    pub fn shed(&mut self, now: Time, leg: LegNo, gone: bool, gate: &mut Gate, out: &mut Vec<Out>) {
        if self.is_dest(leg) {
            return self.dest_failed(now, "the destination turned it away", gate, out);
        }
        let Some(runner) = self.runner_of(leg) else { return };
        self.close(now, leg, None, gate, out);
        gate.count(if gone { "not_there" } else { "shed" });
        gate.turned_away(now, &runner, &self.order, gone);
        if self.began || self.sent {
            return self.resume(now, runner, gate, out);
        }
        self.avoid.push(runner);
        if self.opened >= self.order.tries || !gate.tries.spend() {
            return self.refuse(now, Refusal::after(Why::Full, Span::ms(300)), gate, out);
        }
        let plan = gate.plan(now, &self.order, &self.avoid);
        self.again(now, plan, gate, out);
    }

    pub fn told_load(&mut self, now: Time, leg: LegNo, load: Load, gate: &mut Gate) {
        if let Some(runner) = self.runner_of(leg) {
            gate.told_load(now, &runner, load);
        }
    }

    /// Whether another runner may be asked although this one may have run the request.
    pub fn may_run_again(&self) -> bool {
        self.order.resumable || (self.order.kind == RouteKind::Idempotent && !self.began)
    }

    pub fn resume(&mut self, now: Time, from: Name, gate: &mut Gate, out: &mut Vec<Out>) {
        self.avoid.push(from);
        if !self.may_run_again() || self.opened >= self.order.tries || !gate.tries.spend() {
            return self.refuse(now, Refusal::new(Why::NoBudget, 1), gate, out);
        }
        gate.count("resumed");
        self.order.due = self.order.due.max(now + Span::ms(3000)).min(self.order.end.max(self.order.due));
        self.order.last = self.last.clone();
        self.order.resumed = true;
        let plan = gate.plan(now, &self.order, &self.avoid);
        self.again(now, plan, gate, out);
    }
}
