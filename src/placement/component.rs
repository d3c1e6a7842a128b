use super::decisions::SearchState;
use super::holdings_push::HoldingsPublisher;
use super::job::DecisionJob;
use super::load_backoff::LoadBackoff;
use super::pending_orders::PendingOrders;
use super::report_polling::Polls;
use super::usage::Usage;
use super::wanted_names::WantedName;
use crate::daemon::assemble::Policy;
use crate::distribution::TopicReader;
use crate::distribution::reader::Topic;
use crate::fleet::plan::{PlacementPlan, PlanStep};
use crate::fleet::runner::{Runner, RunnerReport};
use crate::fleet::slice::{DutySlice, Slice};
use crate::fleet::state::*;
use crate::kernel::component::{Component, Context};
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use crate::rollout::router_reports::reports_to_all_controllers;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

pub const ORDER_VALIDITY: Span = Span::ms(1000);
pub const TAKEOVER_WAIT: Span = Span::ms(4000);
pub const REPORT_FRESHNESS: Span = Span::ms(2500);

pub struct Placement {
    pub reader: TopicReader,
    pub slice: Option<Arc<DutySlice>>,
    /// The places of the runners in the slice.
    pub(super) runner_index: BTreeMap<Name, usize>,
    pub proven_at: Time,
    pub reports: BTreeMap<Name, (Time, RunnerReport)>,
    pub router_reports: BTreeMap<NodeId, (Time, Arc<RouterReport>)>,
    /// The sums over `tells`.
    pub usage: Arc<Usage>,
    /// How much was done to find decisions.
    pub search: SearchState,
    pub pending: PendingOrders,
    /// Runners whose loads failed although they told of room.
    pub load_backoff: LoadBackoff,
    pub term: Term,
    pub may_order_from: Time,
    pub cached: BTreeMap<Name, BTreeSet<Name>>,
    pub move_progress: BTreeMap<MoveId, (Phase, Time, u64)>,
    pub move_sent_at: BTreeMap<MoveId, Time>,
    pub plans_run_at: Time,
    /// When runners were last searched for withdrawn names.
    pub withdrawn_searched_at: Time,
    pub demanded_since: BTreeMap<Name, Time>,
    pub wanted_names: BTreeMap<Name, WantedName>,
    pub last_used_at: BTreeMap<Name, Time>,
    pub polls: Polls,
    pub publisher: HoldingsPublisher,
    pub jobs: BTreeMap<Name, DecisionJob>,
    pub recent_decisions: VecDeque<PlacementPlan>,
    /// Since when a runner holds a name that it was seen to get.
    pub resident_since: BTreeMap<Name, BTreeMap<Name, Time>>,
    pub policy: Policy,
    pub plan_progress: BTreeMap<PlanId, super::plan_execution::StageProgress>,
    pub claims: BTreeMap<Name, Time>,
    pub submitted_plans: BTreeMap<PlanId, (Time, Vec<PlanStep>)>,
    pub evacuation_planned_at: Time,
    pub refusal_logged_at: Time,
    pub answered_plan_request: Option<(ChangeId, Time)>,
    pub holdings_checked_at: Time,
    /// When the reports were last searched for what routers miss.
    pub(super) holdings_searched_at: Time,
    pub state_requested_at: Time,
    /// The list of runners that the head was last sent, and when.
    pub(super) sent_runner_list: (Vec<Runner>, Time),
    pub holder_named_at: Time,
    /// When the chain was last told that this holder orders.
    pub begun_sent_at: Time,
    pub is_stopping: bool,
    pub has_unpolled_plain_runners: bool,
}

impl Placement {
    pub fn new(now: Time, policy: Policy) -> Placement {
        let mut reader = TopicReader::new(now);
        reader.topics.insert(Scope::Duty, Topic::default());
        Placement {
            reader,
            slice: None,
            runner_index: BTreeMap::new(),
            proven_at: Time(0),
            reports: BTreeMap::new(),
            router_reports: BTreeMap::new(),
            usage: Arc::default(),
            search: SearchState::default(),
            pending: PendingOrders::default(),
            load_backoff: LoadBackoff::default(),
            term: Term(0),
            may_order_from: Time(u64::MAX),
            cached: BTreeMap::new(),
            move_progress: BTreeMap::new(),
            move_sent_at: BTreeMap::new(),
            plans_run_at: Time(0),
            withdrawn_searched_at: Time(0),
            demanded_since: BTreeMap::new(),
            wanted_names: BTreeMap::new(),
            last_used_at: BTreeMap::new(),
            polls: Polls::new(),
            publisher: HoldingsPublisher::default(),
            jobs: BTreeMap::new(),
            recent_decisions: VecDeque::new(),
            resident_since: BTreeMap::new(),
            policy,
            plan_progress: BTreeMap::new(),
            claims: BTreeMap::new(),
            submitted_plans: BTreeMap::new(),
            evacuation_planned_at: Time(0),
            refusal_logged_at: Time(0),
            answered_plan_request: None,
            holdings_checked_at: Time(0),
            holdings_searched_at: Time(0),
            state_requested_at: Time(0),
            sent_runner_list: (vec![], Time(0)),
            holder_named_at: Time(0),
            begun_sent_at: Time(0),
            is_stopping: false,
            has_unpolled_plain_runners: false,
        }
    }

    pub fn may_order(&self, now: Time) -> bool {
        !self.is_stopping
            && self.pending.store_budget.clock() >= self.may_order_from
            && now.since(self.proven_at) < ORDER_VALIDITY
    }

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

    fn on(&mut self, ev: &Event, ctx: &mut Context) {
        self.pending.store_budget.advance_clock(ctx.now);
        match ev {
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
                for l in self.reader.handle_reply(*nonce, items) {
                    if let Some(Slice::Duty(s)) = l.slice {
                        let s = *s;
                        let list = self.polled_runners(&s).cloned().collect();
                        self.apply_state(ctx.me.node, s);
                        let mine = self.term > Term(0);
                        ctx.effects.push(Effect::PollRunners(if mine { list } else { vec![] }));
                        ctx.effects.push(Effect::HoldsDuty(mine));
                        self.poll_runners(ctx);
                    }
                    self.proven_at = self.proven_at.max(l.proven);
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
                if let Some(r) = report {
                    self.search.has_news |= self.reports.get(instance).is_none_or(|old| old.1 != *r);
                    self.record_runner_report(instance, r, ctx);
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
