use super::component::{Placement, REPORT_FRESHNESS};
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

/// How long a list that was sent to the head has until it is sent again.
const LIST_RESEND_DELAY: Span = Span::ms(600);

impl Placement {
    /// Unloads what runs least, where the policy is to end runs for what is wanted.
    pub fn preempt(
        &mut self,
        s: &DutySlice,
        runners: &[RunnerState],
        service: &Name,
        want: &Name,
        hot: &[Name],
        ctx: &mut Context,
    ) {
        if self.policy != Policy::Preempt || is_adapter(&s.config, want) {
            return;
        }
        let busy =
            |o: &&RunnerState| o.report.holds.iter().any(|n| !hot.contains(n) && !is_adapter(&s.config, n));
        let mine = runners.iter().filter(|o| o.runner.service == *service);
        let Some(o) = mine.filter(busy).min_by_key(|o| o.report.running) else { return };
        let names = o.report.holds.iter().filter(|n| !hot.contains(n) && !is_adapter(&s.config, n));
        let least = names.min_by_key(|n| o.report.runs_of(n)).cloned();
        if let Some(name) = least {
            let runner = o.runner.instance.clone();
            self.try_order(&runner, &name, false, ctx);
        }
    }

    /// Takes what the list of runners says now, if it differs from what the fleet has recorded.
    pub fn record_runner_list(&mut self, list: &[Runner], ctx: &mut Context) {
        let Some(s) = &self.slice else { return };
        if self.term == Term(0) || list.is_empty() && s.runners.is_empty() {
            return;
        }
        let same = |a: &Runner, b: &Runner| {
            a.instance == b.instance
                && a.addr == b.addr
                && (a.leaving || !b.leaving)
                && a.service == b.service
        };
        let known = |r: &Runner| self.runner(s, &r.instance).is_some_and(|o| same(o, r));
        let names: BTreeSet<&Name> = list.iter().map(|r| &r.instance).collect();
        if list.iter().all(known) && s.runners.iter().all(|o| names.contains(&o.instance)) {
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

    pub fn submit_change(&mut self, change: Change, ctx: &mut Context) {
        let Some(head) = ctx.views.view.as_ref().and_then(|v| v.head()) else { return };
        let id = ChangeId::random(ctx.rand);
        ctx.send(head, Msg::OperatorCall { id, attempt: 0, op: OperatorCall::Internal(change) });
    }

    /// A runner of the fleet.
    pub(super) fn runner<'a>(&self, s: &'a DutySlice, name: &Name) -> Option<&'a Runner> {
        s.runners.get(*self.runner_index.get(name)?).filter(|runner| runner.instance == *name)
    }

    /// Whether a runner is of the fleet and not about to leave it.
    pub(super) fn is_staying(&self, name: &Name) -> bool {
        let runner = self.slice.as_ref().and_then(|s| self.runner(s, name));
        runner.is_some_and(|runner| !runner.leaving)
    }

    /// The runners whose reports tell what they hold.
    pub fn polled_runners<'a>(&self, s: &'a DutySlice) -> impl Iterator<Item = &'a Runner> + use<'a> {
        let bare_plain = self.has_unpolled_plain_runners;
        let plain = |r: &Runner| s.config.service(&r.service).is_some_and(|x| x.sort == ServiceKind::Plain);
        s.runners.iter().filter(move |r| !(bare_plain && plain(r)))
    }

    /// The runners whose reports are fresh.
    pub fn runner_states(&self, now: Time) -> Vec<RunnerState> {
        let Some(s) = &self.slice else { return vec![] };
        s.runners.iter().filter_map(|r| self.runner_state(r, s, now)).collect()
    }

    fn runner_state(&self, runner: &Runner, s: &DutySlice, now: Time) -> Option<RunnerState> {
        let (at, report) = self.reports.get(&runner.instance)?;
        let fresh = now.since(*at) < REPORT_FRESHNESS && report.instance == runner.instance;
        fresh.then(|| RunnerState { runner: runner.clone(), report: self.completed_report(s, report) })
    }

    /// Whether a load of `name` fits at a runner by its fresh report.
    pub fn fits_at(&self, runner: &Name, name: &Name, s: &DutySlice, now: Time) -> bool {
        let runner_state = self.runner(s, runner).and_then(|r| self.runner_state(r, s, now));
        runner_state.is_some_and(|o| fits(&s.config, &o, &self.pending, name))
    }
}
