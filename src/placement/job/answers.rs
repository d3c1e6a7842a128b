//! Answers to the orders of jobs.

use super::{DecisionJob, GIVE_UP_DELAY, RETRY_DELAY};
use crate::fleet::plan::*;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::Span;
use crate::placement::Placement;
use crate::placement::report_polling::CONFLICT;

impl Placement {
    /// Takes in the answer to a job's order: goes on to the next step, tries again, or ends the job.
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
                    self.record_load_failure(&runner, "it refused a load repeatedly", ctx);
                }
                ctx.log_event("plan-stopped", format!("{} at {runner}: refused repeatedly", job.id));
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

    /// Whether an order belongs to a job.
    pub fn belongs_to_job(&self, order: OrderId) -> bool {
        self.jobs.values().any(|job| job.pending_order == Some(order))
    }

    /// Removes the job that an order belongs to.
    fn take_job(&mut self, order: OrderId) -> Option<(Name, DecisionJob)> {
        let runner = self.jobs.iter().find(|j| j.1.pending_order == Some(order))?.0.clone();
        self.jobs.remove_entry(&runner)
    }
}
