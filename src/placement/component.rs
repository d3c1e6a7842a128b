//! The placement component of a controller: dispatches events to the other modules and tracks whether this
//! controller holds the placement duty.

use super::Placement;
use super::pending_orders::PendingOrders;
use crate::fleet::slice::{DutySlice, Slice};
use crate::kernel::component::{Component, Context};
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use crate::rollout::router_reports::reports_to_all_controllers;
use std::sync::Arc;

/// How long after the last proof of the duty an order may still be sent and carried out.
pub const ORDER_VALIDITY: Span = Span::ms(1000);
/// How long a new duty holder waits before its first order, so that no order of its predecessor is still
/// valid.
pub const TAKEOVER_WAIT: Span = Span::ms(4000);
/// The age up to which a runner's report is used.
pub const REPORT_FRESHNESS: Span = Span::ms(2500);

impl Placement {
    /// Whether orders may be sent: this controller holds the duty, has waited out its predecessor, and its
    /// slice was confirmed within `ORDER_VALIDITY`.
    pub fn may_order(&self, now: Time) -> bool {
        !self.is_stopping
            && self.pending.store_budget.clock() >= self.may_order_from
            && now.since(self.proven_at) < ORDER_VALIDITY
    }

    /// Takes in a new slice. A new term voids the orders under way and starts the wait for the predecessor's
    /// orders to expire, unless the chain has recorded that this wait was completed.
    fn apply_state(&mut self, me: NodeId, slice: DutySlice) {
        let mine = slice.duty.as_ref().filter(|d| d.holder == me).map(|d| d.term);
        match mine {
            Some(term) if term != self.term => {
                self.term = term;
                let mut store_budget = std::mem::take(&mut self.pending.store_budget);
                let begun = slice.duty.as_ref().is_some_and(|duty| duty.begun);
                self.may_order_from = store_budget.clock() + if begun { Span(0) } else { TAKEOVER_WAIT };
                store_budget.reset_for_successor(&slice.config.store, ORDER_VALIDITY);
                self.pending = PendingOrders { store_budget, ..PendingOrders::default() };
                self.move_progress.clear();
                self.plan_progress.clear();
                self.claims.clear();
                self.submitted_plans.clear();
                self.reset_observations();
            }
            Some(_) => {}
            None => {
                self.term = Term(0);
                self.may_order_from = Time(u64::MAX);
                self.reset_observations();
            }
        }
        let runners = slice.runners.iter().enumerate();
        self.runner_index = runners.map(|(index, runner)| (runner.instance.clone(), index)).collect();
        self.reports.retain(|n, _| self.runner_index.contains_key(n));
        self.cached.retain(|n, _| self.runner_index.contains_key(n));
        self.slice = Some(Arc::new(slice));
    }

    /// Drops what was observed of runners under an earlier term.
    fn reset_observations(&mut self) {
        self.reports.clear();
        self.polls.clear();
        self.jobs.clear();
        self.resident_since.clear();
        self.reset_publisher();
    }
}

impl Component for Placement {
    fn name(&self) -> &'static str {
        "placement"
    }

    fn on(&mut self, event: &Event, ctx: &mut Context) {
        self.pending.store_budget.advance_clock(ctx.now);
        match event {
            Event::DutyTick => {
                self.request_state(ctx);
                self.appoint_holder(ctx);
                self.poll_runners(ctx);
                self.refresh_usage(ctx.now);
                self.pending.finish_adapter_loads(ctx.now);
                self.load_backoff.remove_expired(ctx.now);
                self.run_decisions(ctx);
                if self.may_order(ctx.now) {
                    self.run_plans_and_moves(ctx);
                }
                self.push_changes(ctx);
                self.continue_full_pushes(ctx);
                if self.term > Term(0) {
                    self.log_backlog(ctx);
                }
            }
            Event::Message { msg: Msg::UpdateReply { nonce, items }, .. } => {
                for change in self.reader.handle_reply(*nonce, items) {
                    if let Some(Slice::Duty(slice)) = change.slice {
                        let slice = *slice;
                        let list = self.polled_runners(&slice).cloned().collect();
                        self.apply_state(ctx.me.node, slice);
                        let mine = self.term > Term(0);
                        ctx.effects.push(Effect::PollRunners(if mine { list } else { vec![] }));
                        ctx.effects.push(Effect::HoldsDuty(mine));
                        self.poll_runners(ctx);
                    }
                    self.proven_at = self.proven_at.max(change.proven);
                }
            }
            Event::Message { from, msg: Msg::RouterReport(tell), .. }
                if self.term > Term(0) || reports_to_all_controllers(ctx.views) =>
            {
                self.record_router_report(*from, tell, ctx.now);
            }
            Event::Message { from, msg: Msg::UnmetDemand(rows), .. } if self.term > Term(0) => {
                for want in rows {
                    self.record_want(*from, want, ctx.now);
                }
                self.react(ctx);
                self.recheck_holdings(*from, rows, ctx);
            }
            Event::RunnersListed(listing) => self.record_runner_list(&listing.runners, ctx),
            Event::Message { from, msg: Msg::HoldingsRequest, .. } => self.request_full_push(*from, ctx),
            Event::RunnerReport { instance, report } if self.term > Term(0) => {
                if let Some(new_report) = report {
                    self.search.has_news |= self.reports.get(instance).is_none_or(|old| old.1 != *new_report);
                    self.record_runner_report(instance, new_report, ctx);
                }
                self.finish_poll(instance, report.as_ref(), ctx);
                self.push_changes(ctx);
                self.react(ctx);
            }
            Event::OrderAnswered { order, status } => self.record_order_answer(*order, *status, ctx),
            Event::StopAnnounced => self.hand_over(ctx),
            _ => {}
        }
    }

    fn status(&self, now: Time) -> Vec<(&'static str, String)> {
        vec![
            ("term", self.term.to_string()),
            ("may_order", self.may_order(now).to_string()),
            ("routers_heard", self.router_reports.len().to_string()),
            ("rounds", self.search.rounds.to_string()),
            ("weighed", self.search.evaluated.get().to_string()),
            ("in_flight", self.pending.table.len().to_string()),
            ("store_left", format!("{:.1}", self.pending.store_budget.clone().left(&Default::default()))),
        ]
    }
}
