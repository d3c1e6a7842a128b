//! The fleet's runners as the duty holder sees them, the changes that it submits to the chain's head, and
//! unloads under the preempting policy.

use super::Placement;
use super::component::REPORT_FRESHNESS;
use super::free_room::fits;
use super::pending_orders::{RunnerState, is_adapter};
use crate::daemon::assemble::Policy;
use crate::fleet::config::ServiceKind;
use crate::fleet::runner::Runner;
use crate::fleet::slice::DutySlice;
use crate::fleet::state::Change;
use crate::kernel::component::Context;
use crate::kernel::ids::{ChangeId, Name, Term};
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use std::collections::BTreeSet;

/// How long the head has to record a list of runners before it is sent again.
const LIST_RESEND_DELAY: Span = Span::ms(600);

impl Placement {
    /// Unloads a model for `want`, if the policy is to end running requests: at the runner with the fewest
    /// requests, the model with the fewest of them.
    pub fn preempt(
        &mut self,
        slice: &DutySlice,
        runners: &[RunnerState],
        service: &Name,
        want: &Name,
        hot: &[Name],
        ctx: &mut Context,
    ) {
        if self.policy != Policy::Preempt || is_adapter(&slice.config, want) {
            return;
        }
        let busy = |o: &&RunnerState| {
            o.report.holds.iter().any(|n| !hot.contains(n) && !is_adapter(&slice.config, n))
        };
        let mine = runners.iter().filter(|o| o.runner.service == *service);
        let Some(o) = mine.filter(busy).min_by_key(|o| o.report.running) else { return };
        let names = o.report.holds.iter().filter(|n| !hot.contains(n) && !is_adapter(&slice.config, n));
        let least = names.min_by_key(|n| o.report.runs_of(n)).cloned();
        if let Some(name) = least {
            let runner = o.runner.instance.clone();
            self.try_order(&runner, &name, false, ctx);
        }
    }

    /// Sends a list of runners to the head if it differs from the recorded one.
    pub fn record_runner_list(&mut self, list: &[Runner], ctx: &mut Context) {
        let Some(slice) = &self.slice else { return };
        if self.term == Term(0) || list.is_empty() && slice.runners.is_empty() {
            return;
        }
        let same = |a: &Runner, b: &Runner| {
            a.instance == b.instance
                && a.addr == b.addr
                && (a.leaving || !b.leaving)
                && a.service == b.service
        };
        let known = |r: &Runner| self.runner(slice, &r.instance).is_some_and(|o| same(o, r));
        let names: BTreeSet<&Name> = list.iter().map(|r| &r.instance).collect();
        if list.iter().all(known) && slice.runners.iter().all(|o| names.contains(&o.instance)) {
            return;
        }
        if self.sent_runner_list.0 == list && ctx.now.since(self.sent_runner_list.1) < LIST_RESEND_DELAY {
            return;
        }
        let id = ChangeId::random(ctx.rand);
        let Some(head) = ctx.views.view.as_ref().and_then(|v| v.head()) else { return };
        self.sent_runner_list = (list.to_vec(), ctx.now);
        ctx.log_event("runners-listed", list.len().to_string());
        ctx.send(head, Msg::OperatorCall { id, attempt: 0, op: OperatorCall::SetRunners(list.to_vec()) });
    }

    /// Sends a change of the fleet's state to the chain's head, without waiting for the outcome.
    pub fn submit_change(&mut self, change: Change, ctx: &mut Context) {
        let Some(head) = ctx.views.view.as_ref().and_then(|v| v.head()) else { return };
        let id = ChangeId::random(ctx.rand);
        ctx.send(head, Msg::OperatorCall { id, attempt: 0, op: OperatorCall::Internal(change) });
    }

    /// A runner of the fleet.
    pub(super) fn runner<'a>(&self, slice: &'a DutySlice, name: &Name) -> Option<&'a Runner> {
        slice.runners.get(*self.runner_index.get(name)?).filter(|runner| runner.instance == *name)
    }

    /// Whether a runner belongs to the fleet and is not leaving it.
    pub(super) fn is_staying(&self, name: &Name) -> bool {
        let runner = self.slice.as_ref().and_then(|s| self.runner(s, name));
        runner.is_some_and(|runner| !runner.leaving)
    }

    /// The runners that give reports.
    pub fn polled_runners<'a>(&self, slice: &'a DutySlice) -> impl Iterator<Item = &'a Runner> + use<'a> {
        let bare_plain = self.has_unpolled_plain_runners;
        let plain =
            |r: &Runner| slice.config.service(&r.service).is_some_and(|x| x.sort == ServiceKind::Plain);
        slice.runners.iter().filter(move |r| !(bare_plain && plain(r)))
    }

    /// The runners with fresh reports.
    pub fn runner_states(&self, now: Time) -> Vec<RunnerState> {
        let Some(slice) = &self.slice else { return vec![] };
        slice.runners.iter().filter_map(|r| self.runner_state(r, slice, now)).collect()
    }

    /// A runner with its report, if that is fresh.
    fn runner_state(&self, runner: &Runner, slice: &DutySlice, now: Time) -> Option<RunnerState> {
        let (at, report) = self.reports.get(&runner.instance)?;
        let fresh = now.since(*at) < REPORT_FRESHNESS && report.instance == runner.instance;
        fresh.then(|| RunnerState { runner: runner.clone(), report: self.completed_report(slice, report) })
    }

    /// Whether a load of `name` fits at a runner, by its fresh report.
    pub fn fits_at(&self, runner: &Name, name: &Name, slice: &DutySlice, now: Time) -> bool {
        let runner_state = self.runner(slice, runner).and_then(|r| self.runner_state(r, slice, now));
        runner_state.is_some_and(|o| fits(&slice.config, &o, &self.pending, name))
    }
}
