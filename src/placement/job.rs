use super::component::Placement;
use super::decision_plan::decision;
use super::pending_orders::is_adapter;
use super::report_polling::NO_ROOM;
use super::runner_choice::Choice;
use crate::fleet::plan::*;
use crate::fleet::slice::DutySlice;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use std::collections::VecDeque;

const ALLOWED: Span = Span::ms(5000);
const AGAIN: Span = Span::ms(20);
const TIRED: Span = Span::ms(80);
const KEPT: usize = 64;

/// A decision under way at one runner.
pub struct DecisionJob {
    id: PlanId,
    want: Name,
    steps: VecDeque<(bool, Name)>,
    order: Option<OrderId>,
    behind: bool,
    since: Time,
    next: Time,
    gap: Span,
}

impl DecisionJob {
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.steps.iter().map(|s| &s.1)
    }

    pub fn wants(&self, name: &Name) -> bool {
        self.want == *name
    }

    /// What is loaded in the end.
    pub fn want(&self) -> &Name {
        &self.want
    }

    /// Whether something has yet to give way.
    pub fn awaits_unload(&self) -> bool {
        self.behind || self.steps.front().is_some_and(|step| !step.0)
    }

    /// Whether the load is yet to be ordered.
    pub fn awaits_load(&self) -> bool {
        let ordered = self.order.is_some() && self.steps.front().is_some_and(|step| step.0);
        !self.steps.is_empty() && !ordered
    }
}

impl Placement {
    /// Takes up a decision. The routers are to be told of what gives way before its first order goes out.
    pub fn begin(&mut self, want: &Name, choice: Choice, why: &str, ctx: &mut Context) {
        let id = PlanId(ctx.rand.next() | 1);
        let at = self.slice.as_ref().map_or(Version(0), |s| s.config_version);
        let plan = decision(id, at, want, &choice, why);
        let gone = choice.unloads.iter().map(|n| n.to_string()).collect::<Vec<_>>().join(",");
        ctx.log_event("plan-small", format!("{id} {} on {} instead of [{gone}]", plan.why, choice.runner));
        self.decided.push_back(plan);
        if self.decided.len() > KEPT {
            self.decided.pop_front();
        }
        for n in &choice.unloads {
            self.close_to(&choice.runner, n, true);
        }
        let mut steps: VecDeque<_> = choice.unloads.into_iter().map(|n| (false, n)).collect();
        steps.push_back((true, want.clone()));
        let job = DecisionJob {
            id,
            want: want.clone(),
            steps,
            order: None,
            behind: false,
            since: ctx.now,
            next: ctx.now,
            gap: AGAIN,
        };
        self.jobs.insert(choice.runner, job);
    }

    /// Orders what the decisions under way need next, the oldest first: they share the store's allowance.
    pub fn run_jobs(&mut self, s: &DutySlice, ctx: &mut Context) {
        let due = self.jobs.iter().filter(|(runner, job)| self.is_due(runner, job, ctx.now));
        let mut runners: Vec<(Time, Name)> = due.map(|(r, job)| (job.since, r.clone())).collect();
        runners.sort();
        let mut store_left = self.flights.loads_left(&s.config.store);
        for (_, r) in runners {
            let Some(mut job) = self.jobs.remove(&r) else { continue };
            if store_left == 0 && self.awaits_store(&r, &job, s, ctx.now) {
                job.next = ctx.now + AGAIN;
                self.jobs.insert(r, job);
                continue;
            }
            let end = match self.run_job(&r, job, s, ctx) {
                Ok(job) => {
                    if job.order.is_some() {
                        store_left = self.flights.loads_left(&s.config.store);
                    }
                    self.jobs.insert(r, job);
                    continue;
                }
                Err(end) => end,
            };
            let (id, to, why) = end;
            if let Some(p) = self.decided.iter_mut().find(|p| p.id == id) {
                p.state = to;
            }
            if to == PlanState::Stopped {
                ctx.log_event("plan-stopped", format!("{id} at {r}: {why}"));
                self.push.closing.remove(&r);
            }
        }
    }

    /// Whether all that is left to do is a load from the store, and there is time for it.
    fn awaits_store(&self, runner: &Name, job: &DecisionJob, s: &DutySlice, now: Time) -> bool {
        let Some((true, name)) = job.steps.front() else { return false };
        let goes_on = self.stays(runner) && now.since(job.since) <= ALLOWED;
        let held = self.reports.get(runner).is_some_and(|row| row.1.has(name));
        goes_on && !held && self.asks_store(s, runner, name)
    }

    /// Whether a decision has something to do: its next order, or its end.
    fn is_due(&self, runner: &Name, job: &DecisionJob, now: Time) -> bool {
        let waits = job.order.is_some_and(|order| self.flights.rows.contains_key(&order)) || now < job.next;
        !waits || now.since(job.since) > ALLOWED || !self.stays(runner)
    }

    fn run_job(
        &mut self,
        runner: &Name,
        mut job: DecisionJob,
        s: &DutySlice,
        ctx: &mut Context,
    ) -> Result<DecisionJob, (PlanId, PlanState, &'static str)> {
        let id = job.id;
        if ctx.now.since(job.since) > ALLOWED {
            return Err((id, PlanState::Stopped, "its time was spent"));
        }
        if !self.stays(runner) {
            return Err((id, PlanState::Stopped, "the runner left"));
        }
        if job.order.is_some_and(|o| self.flights.rows.contains_key(&o)) || ctx.now < job.next {
            return Ok(job);
        }
        let Some(report) = self.reports.get(runner).map(|r| self.known(s, &r.1)) else { return Ok(job) };
        while let Some((false, name)) = job.steps.front().cloned()
            && !report.has(&name)
        {
            job.steps.pop_front();
        }
        let Some((load, name)) = job.steps.front().cloned() else {
            return Err((id, PlanState::Done, "done"));
        };
        if load && report.has(&name) {
            return Err((id, PlanState::Done, "done"));
        }
        if !load && report.runs_of(&name) > 0 && !report.runs.is_empty() && !is_adapter(&s.config, &name) {
            let own = self.reports.get(runner).is_some_and(|r| r.1.runs_of(&name) > 0);
            if own {
                self.look_at(runner, ctx.now + Span::ms(100));
                return Ok(job);
            }
        }
        job.order = self.send_order(runner, &name, load, job.behind, ctx);
        if job.order.is_none() {
            job.next = ctx.now + AGAIN;
        }
        Ok(job)
    }

    /// An answer to an order of a job: the next step, the same again, or the end.
    pub fn job_answered(&mut self, order: OrderId, status: u16, ctx: &mut Context) {
        let Some((runner, mut job)) = self.job_of(order) else { return };
        let Some((load, name)) = job.steps.front().cloned() else { return };
        job.order = None;
        match status {
            200..=299 => {
                job.steps.pop_front();
                job.behind |= !load;
                (job.next, job.gap) = (ctx.now, AGAIN);
                if load {
                    if let Some(p) = self.decided.iter_mut().find(|p| p.id == job.id) {
                        p.state = PlanState::Done;
                    }
                    self.push.closing.remove(&runner);
                    return;
                }
            }
            NO_ROOM if !job.behind && load && self.distrust.is_paused(&runner, ctx.now) => {
                ctx.log_event("plan-stopped", format!("{} at {runner}: refused again", job.id));
                self.push.closing.remove(&runner);
                return;
            }
            NO_ROOM if !job.behind && job.gap >= TIRED => {
                if load {
                    self.load_failed(&runner, "it refused a load again and again", ctx);
                }
                ctx.log_event("plan-stopped", format!("{} at {runner}: refused again and again", job.id));
                self.push.closing.remove(&runner);
                return;
            }
            NO_ROOM | 499 => {
                if let Some(names) = self.flights.refused.get_mut(&runner) {
                    names.remove(&name);
                }
                job.next = ctx.now + job.gap;
                job.gap = Span((job.gap.0 * 2).min(Span::ms(160).0));
                self.look_at(&runner, ctx.now);
            }
            0 => {
                job.order = Some(order);
                self.look_at(&runner, ctx.now + Span::ms(50));
            }
            _ => {
                ctx.log_event("plan-stopped", format!("{} at {runner}: answered {status}", job.id));
                self.push.closing.remove(&runner);
                return;
            }
        }
        self.jobs.insert(runner, job);
    }

    /// Whether an order belongs to a decision under way.
    pub fn is_job(&self, order: OrderId) -> bool {
        self.jobs.values().any(|job| job.order == Some(order))
    }

    fn job_of(&mut self, order: OrderId) -> Option<(Name, DecisionJob)> {
        let runner = self.jobs.iter().find(|j| j.1.order == Some(order))?.0.clone();
        self.jobs.remove_entry(&runner)
    }
}
