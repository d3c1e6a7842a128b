use super::component::Placement;
use super::decision_plan::decision_plan;
use super::pending_orders::is_adapter;
use super::report_polling::CONFLICT;
use super::runner_choice::Choice;
use crate::fleet::plan::*;
use crate::fleet::slice::DutySlice;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use std::collections::VecDeque;

const JOB_TIMEOUT: Span = Span::ms(5000);
const RETRY_DELAY: Span = Span::ms(20);
const GIVE_UP_DELAY: Span = Span::ms(80);
const DECISIONS_KEPT: usize = 64;

/// A decision under way at one runner.
pub struct DecisionJob {
    id: PlanId,
    want: Name,
    steps: VecDeque<(bool, Name)>,
    pending_order: Option<OrderId>,
    follows_unload: bool,
    started_at: Time,
    next_attempt_at: Time,
    retry_delay: Span,
}

impl DecisionJob {
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.steps.iter().map(|s| &s.1)
    }

    pub fn loads(&self, name: &Name) -> bool {
        self.want == *name
    }

    /// What is loaded in the end.
    pub fn want(&self) -> &Name {
        &self.want
    }

    /// Whether something has yet to give way.
    pub fn awaits_unload(&self) -> bool {
        self.follows_unload || self.steps.front().is_some_and(|step| !step.0)
    }

    /// Whether the load is yet to be ordered.
    pub fn awaits_load(&self) -> bool {
        let ordered = self.pending_order.is_some() && self.steps.front().is_some_and(|step| step.0);
        !self.steps.is_empty() && !ordered
    }
}

impl Placement {
    /// Takes up a decision. The routers are to be told of what gives way before its first order goes out.
    pub fn start_job(&mut self, want: &Name, choice: Choice, why: &str, ctx: &mut Context) {
        let id = PlanId(ctx.rand.next() | 1);
        let at = self.slice.as_ref().map_or(Version(0), |s| s.config_version);
        let plan = decision_plan(id, at, want, &choice, why);
        let gone = choice.unloads.iter().map(|n| n.to_string()).collect::<Vec<_>>().join(",");
        ctx.log_event("plan-small", format!("{id} {} on {} instead of [{gone}]", plan.why, choice.runner));
        self.recent_decisions.push_back(plan);
        if self.recent_decisions.len() > DECISIONS_KEPT {
            self.recent_decisions.pop_front();
        }
        for n in &choice.unloads {
            self.set_closing(&choice.runner, n, true);
        }
        let mut steps: VecDeque<_> = choice.unloads.into_iter().map(|n| (false, n)).collect();
        steps.push_back((true, want.clone()));
        let job = DecisionJob {
            id,
            want: want.clone(),
            steps,
            pending_order: None,
            follows_unload: false,
            started_at: ctx.now,
            next_attempt_at: ctx.now,
            retry_delay: RETRY_DELAY,
        };
        self.jobs.insert(choice.runner, job);
    }

    /// Orders what the decisions under way need next, the oldest first: they share the store's allowance.
    pub fn run_jobs(&mut self, s: &DutySlice, ctx: &mut Context) {
        let due = self.jobs.iter().filter(|(runner, job)| self.is_due(runner, job, ctx.now));
        let mut runners: Vec<(Time, Name)> = due.map(|(r, job)| (job.started_at, r.clone())).collect();
        runners.sort();
        let mut store_left = self.pending.loads_left(&s.config.store);
        for (_, r) in runners {
            let Some(mut job) = self.jobs.remove(&r) else { continue };
            if store_left == 0 && self.is_waiting_for_store(&r, &job, s, ctx.now) {
                job.next_attempt_at = ctx.now + RETRY_DELAY;
                self.jobs.insert(r, job);
                continue;
            }
            let end = match self.run_job(&r, job, s, ctx) {
                Ok(job) => {
                    if job.pending_order.is_some() {
                        store_left = self.pending.loads_left(&s.config.store);
                    }
                    self.jobs.insert(r, job);
                    continue;
                }
                Err(end) => end,
            };
            let (id, to, why) = end;
            if let Some(p) = self.recent_decisions.iter_mut().find(|p| p.id == id) {
                p.state = to;
            }
            if to == PlanState::Stopped {
                ctx.log_event("plan-stopped", format!("{id} at {r}: {why}"));
                self.publisher.closing.remove(&r);
            }
        }
    }

    /// Whether all that is left to do is a load from the store, and there is time for it.
    fn is_waiting_for_store(&self, runner: &Name, job: &DecisionJob, s: &DutySlice, now: Time) -> bool {
        let Some((true, name)) = job.steps.front() else { return false };
        let goes_on = self.is_staying(runner) && now.since(job.started_at) <= JOB_TIMEOUT;
        let held = self.reports.get(runner).is_some_and(|row| row.1.has(name));
        goes_on && !held && self.uses_store(s, runner, name)
    }

    /// Whether a decision has something to do: its next order, or its end.
    fn is_due(&self, runner: &Name, job: &DecisionJob, now: Time) -> bool {
        let waits = job.pending_order.is_some_and(|order| self.pending.table.contains_key(&order))
            || now < job.next_attempt_at;
        !waits || now.since(job.started_at) > JOB_TIMEOUT || !self.is_staying(runner)
    }

    fn run_job(
        &mut self,
        runner: &Name,
        mut job: DecisionJob,
        s: &DutySlice,
        ctx: &mut Context,
    ) -> Result<DecisionJob, (PlanId, PlanState, &'static str)> {
        let id = job.id;
        if ctx.now.since(job.started_at) > JOB_TIMEOUT {
            return Err((id, PlanState::Stopped, "its time was spent"));
        }
        if !self.is_staying(runner) {
            return Err((id, PlanState::Stopped, "the runner left"));
        }
        if job.pending_order.is_some_and(|o| self.pending.table.contains_key(&o))
            || ctx.now < job.next_attempt_at
        {
            return Ok(job);
        }
        let Some(report) = self.reports.get(runner).map(|r| self.completed_report(s, &r.1)) else {
            return Ok(job);
        };
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
                self.poll_by(runner, ctx.now + Span::ms(100));
                return Ok(job);
            }
        }
        job.pending_order = self.send_order(runner, &name, load, job.follows_unload, ctx);
        if job.pending_order.is_none() {
            job.next_attempt_at = ctx.now + RETRY_DELAY;
        }
        Ok(job)
    }

    /// An answer to an order of a job: the next step, the same again, or the end.
    pub fn record_job_answer(&mut self, order: OrderId, status: u16, ctx: &mut Context) {
        let Some((runner, mut job)) = self.take_job(order) else { return };
        let Some((load, name)) = job.steps.front().cloned() else { return };
        job.pending_order = None;
        match status {
            200..=299 => {
                job.steps.pop_front();
                job.follows_unload |= !load;
                (job.next_attempt_at, job.retry_delay) = (ctx.now, RETRY_DELAY);
                if load {
                    if let Some(p) = self.recent_decisions.iter_mut().find(|p| p.id == job.id) {
                        p.state = PlanState::Done;
                    }
                    self.publisher.closing.remove(&runner);
                    return;
                }
            }
            CONFLICT if !job.follows_unload && load && self.load_backoff.is_paused(&runner, ctx.now) => {
                ctx.log_event("plan-stopped", format!("{} at {runner}: refused again", job.id));
                self.publisher.closing.remove(&runner);
                return;
            }
            CONFLICT if !job.follows_unload && job.retry_delay >= GIVE_UP_DELAY => {
                if load {
                    self.record_load_failure(&runner, "it refused a load again and again", ctx);
                }
                ctx.log_event("plan-stopped", format!("{} at {runner}: refused again and again", job.id));
                self.publisher.closing.remove(&runner);
                return;
            }
            CONFLICT | 499 => {
                if let Some(names) = self.pending.refused_at.get_mut(&runner) {
                    names.remove(&name);
                }
                job.next_attempt_at = ctx.now + job.retry_delay;
                job.retry_delay = Span((job.retry_delay.0 * 2).min(Span::ms(160).0));
                self.poll_by(&runner, ctx.now);
            }
            0 => {
                job.pending_order = Some(order);
                self.poll_by(&runner, ctx.now + Span::ms(50));
            }
            _ => {
                ctx.log_event("plan-stopped", format!("{} at {runner}: answered {status}", job.id));
                self.publisher.closing.remove(&runner);
                return;
            }
        }
        self.jobs.insert(runner, job);
    }

    /// Whether an order belongs to a decision under way.
    pub fn belongs_to_job(&self, order: OrderId) -> bool {
        self.jobs.values().any(|job| job.pending_order == Some(order))
    }

    fn take_job(&mut self, order: OrderId) -> Option<(Name, DecisionJob)> {
        let runner = self.jobs.iter().find(|j| j.1.pending_order == Some(order))?.0.clone();
        self.jobs.remove_entry(&runner)
    }
}
