//! The holder of the placement duty appoints a deputy, asks it for order leases, and is followed by it.
#![deny(missing_docs)]

use super::duty::Placement;
use super::holder::successor;
use super::lease_messages::{OrderLeaseGrant, OrderLeaseRequest};
use super::takeover::Takeover;
use crate::daemon::assemble::Policy;
use crate::fleet::slice::DutySlice;
use crate::fleet::state::Change;
use crate::kernel::component::Context;
use crate::kernel::ids::{Name, NodeId, Term};
use crate::kernel::time::{Span, Time};
use crate::membership::service::SUSPECT;
use crate::msg::Msg;

/// How often the chain is told of a new deputy, until that is recorded.
const APPOINT_AGAIN: Span = Span::ms(2000);

impl Placement {
    /// What this node has to wait for as the new holder.
    pub(super) fn takeover_of(&mut self, slice: &DutySlice, clock: Time) -> Takeover {
        let duty = slice.duty.as_ref();
        let granted = self.grants.take_over(duty.and_then(|duty| duty.predecessor));
        if duty.is_some_and(|duty| duty.begun) {
            return Takeover::done();
        }
        granted.unwrap_or_else(|| Takeover::of_all_runners(clock))
    }

    /// Logs what this node has to wait for, if it has just become the holder.
    pub(super) fn log_takeover(&self, old: Term, ctx: &mut Context) {
        if self.term == old || self.term == Term(0) {
            return;
        }
        let wait = self.takeover.wait(self.flights.pacer.clock());
        let (ms, runners) = (wait.all.as_ms(), wait.runners);
        let text = format!("{} after {ms}ms, {runners} runners are left alone for longer", self.term);
        ctx.log_event("duty-taken", text);
    }

    /// Counts the loads that the predecessor may have under way: at runners where an order may still arrive, or that
    /// are left alone and at work.
    pub(super) fn count_predecessor_loads(&mut self) {
        let clock = self.flights.pacer.clock();
        if self.flights.predecessor_loads == 0 && self.takeover.is_over(clock) {
            return;
        }
        let is_at_work = |runner: &Name| {
            self.reports.get(runner).is_none_or(|(_, report)| report.busy || !report.loading.is_empty())
        };
        let loads = self.takeover.left_alone(clock).filter(|row| row.arrives || is_at_work(row.runner));
        self.flights.predecessor_loads = loads.count() as u64;
    }

    /// Whether the runner may have got orders of the predecessor lately.
    pub(super) fn is_left_alone(&self, runner: &Name) -> bool {
        !self.takeover.may_order_at(runner, self.flights.pacer.clock())
    }

    /// Has the chain record a deputy, if this holder has none that answers and is a member of the chain.
    pub(super) fn appoint_deputy(&mut self, ctx: &mut Context) {
        if self.term == Term(0) || self.warned || ctx.now.since(self.appointed) < APPOINT_AGAIN {
            return;
        }
        let Some(view) = ctx.views.view.as_ref() else { return };
        let Some(duty) = self.slice.as_ref().and_then(|slice| slice.duty.as_ref()) else { return };
        let silent = self.leases.silent_deputy(ctx.now).map(|deputy| deputy.node);
        let is_live =
            |node: NodeId| ctx.views.members.iter().any(|row| row.who.node == node && row.quiet < SUSPECT);
        let may = |node: NodeId| node != ctx.me.node && Some(node) != silent && is_live(node);
        let recorded = duty.deputy.map(|deputy| deputy.node);
        if recorded.is_some_and(|node| view.has(node) && Some(node) != silent) {
            return;
        }
        let next = successor(view, &may);
        if next == recorded {
            return;
        }
        self.appointed = ctx.now;
        let name = next.map_or("nobody".to_string(), |node| node.to_string());
        ctx.log_event("deputy-named", format!("{name} grants order leases to the holder next"));
        self.tell_head(Change::Deputy { term: self.term, deputy: next }, ctx);
    }

    /// Sends the deputy the request for all leases that are wanted.
    pub(super) fn ask_leases(&mut self, ctx: &mut Context) {
        if let Some(request) = self.leases.next_request(ctx.now) {
            ctx.send(request.deputy.node, Msg::OrderLeaseRequest(request));
        }
    }

    /// As the deputy: grants the leases that the holder asks for.
    pub(super) fn lease_asked(&mut self, holder: NodeId, request: &OrderLeaseRequest, ctx: &mut Context) {
        if request.deputy.node != ctx.me.node || self.term > Term(0) {
            return;
        }
        if let Some(grant) = self.grants.grant(request, self.flights.pacer.clock()) {
            ctx.send(holder, Msg::OrderLeaseGrant(grant));
        }
    }

    /// As the holder: sends the orders that waited for these leases.
    pub(super) fn lease_granted(&mut self, grant: &OrderLeaseGrant, ctx: &mut Context) {
        let leased = self.leases.granted(grant, ctx.now);
        let Some(slice) = self.slice.clone().filter(|_| self.may_order(ctx.now)) else { return };
        self.hasten_jobs(&leased, ctx.now);
        self.run_jobs(&slice, ctx);
        self.look_again(&leased);
    }

    /// Unloads that belong to no decision are looked for rarely: they come up again while the lease lasts.
    fn look_again(&mut self, leased: &[Name]) {
        if leased.iter().all(|runner| self.jobs.contains_key(runner)) {
            return;
        }
        self.retired = Time(0);
        if self.policy == Policy::Preempt {
            self.work.last_proposal = Time(0);
        }
    }
}
