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
use crate::rollout::router_reports::tells_all;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

pub const ORDER_FRESH: Span = Span::ms(1000);
pub const QUIET: Span = Span::ms(4000);
pub const REPORT: Span = Span::ms(2500);

pub struct Placement {
    pub reader: TopicReader,
    pub slice: Option<Arc<DutySlice>>,
    /// The places of the runners in the slice.
    pub(super) places: BTreeMap<Name, usize>,
    pub proven: Time,
    pub reports: BTreeMap<Name, (Time, RunnerReport)>,
    pub tells: BTreeMap<NodeId, (Time, Arc<RouterReport>)>,
    /// The sums over `tells`.
    pub usage: Arc<Usage>,
    /// How much was done to find decisions.
    pub work: SearchState,
    pub flights: PendingOrders,
    /// Runners whose loads failed although they told of room.
    pub distrust: LoadBackoff,
    pub term: Term,
    pub may_from: Time,
    pub kept: BTreeMap<Name, BTreeSet<Name>>,
    pub phases: BTreeMap<MoveId, (Phase, Time, u64)>,
    pub sent: BTreeMap<MoveId, Time>,
    pub planned: Time,
    /// When runners were last searched for withdrawn names.
    pub retired: Time,
    pub wanted: BTreeMap<Name, Time>,
    pub wants: BTreeMap<Name, WantedName>,
    pub used: BTreeMap<Name, Time>,
    pub looks: Polls,
    pub push: HoldingsPublisher,
    pub jobs: BTreeMap<Name, DecisionJob>,
    pub decided: VecDeque<PlacementPlan>,
    /// Since when a runner holds a name that it was seen to get.
    pub settled: BTreeMap<Name, BTreeMap<Name, Time>>,
    pub policy: Policy,
    pub rows: BTreeMap<PlanId, super::plan_execution::StageProgress>,
    pub claims: BTreeMap<Name, Time>,
    pub unseen: BTreeMap<PlanId, (Time, Vec<PlanStep>)>,
    pub cleared: Time,
    pub refused_at: Time,
    pub asked_plan: Option<(ChangeId, Time)>,
    pub checked: Time,
    /// When the reports were last searched for what routers miss.
    pub(super) searched: Time,
    pub asked: Time,
    /// The list of runners that the head was last sent, and when.
    pub(super) listed: (Vec<Runner>, Time),
    pub named: Time,
    /// When the chain was last told that this holder orders.
    pub begun_told: Time,
    pub warned: bool,
    pub bare_plain: bool,
}

impl Placement {
    pub fn new(now: Time, policy: Policy) -> Placement {
        let mut reader = TopicReader::new(now);
        reader.topics.insert(Scope::Duty, Topic::default());
        Placement {
            reader,
            slice: None,
            places: BTreeMap::new(),
            proven: Time(0),
            reports: BTreeMap::new(),
            tells: BTreeMap::new(),
            usage: Arc::default(),
            work: SearchState::default(),
            flights: PendingOrders::default(),
            distrust: LoadBackoff::default(),
            term: Term(0),
            may_from: Time(u64::MAX),
            kept: BTreeMap::new(),
            phases: BTreeMap::new(),
            sent: BTreeMap::new(),
            planned: Time(0),
            retired: Time(0),
            wanted: BTreeMap::new(),
            wants: BTreeMap::new(),
            used: BTreeMap::new(),
            looks: Polls::new(),
            push: HoldingsPublisher::default(),
            jobs: BTreeMap::new(),
            decided: VecDeque::new(),
            settled: BTreeMap::new(),
            policy,
            rows: BTreeMap::new(),
            claims: BTreeMap::new(),
            unseen: BTreeMap::new(),
            cleared: Time(0),
            refused_at: Time(0),
            asked_plan: None,
            checked: Time(0),
            searched: Time(0),
            asked: Time(0),
            listed: (vec![], Time(0)),
            named: Time(0),
            begun_told: Time(0),
            warned: false,
            bare_plain: false,
        }
    }

    pub fn may_order(&self, now: Time) -> bool {
        !self.warned && self.flights.pacer.clock() >= self.may_from && now.since(self.proven) < ORDER_FRESH
    }

    fn learn(&mut self, me: NodeId, slice: DutySlice) {
        let mine = slice.duty.as_ref().filter(|d| d.holder == me).map(|d| d.term);
        match mine {
            Some(term) if term != self.term => {
                self.term = term;
                let mut pacer = std::mem::take(&mut self.flights.pacer);
                let begun = slice.duty.as_ref().is_some_and(|duty| duty.begun);
                self.may_from = pacer.clock() + if begun { Span(0) } else { QUIET };
                pacer.follow(&slice.config.store, ORDER_FRESH);
                self.flights = PendingOrders { pacer, ..PendingOrders::default() };
                self.phases.clear();
                self.rows.clear();
                self.claims.clear();
                self.unseen.clear();
                self.afresh();
            }
            Some(_) => {}
            None => {
                self.term = Term(0);
                self.may_from = Time(u64::MAX);
                self.afresh();
            }
        }
        let runners = slice.runners.iter().enumerate();
        self.places = runners.map(|(place, runner)| (runner.instance.clone(), place)).collect();
        self.reports.retain(|n, _| self.places.contains_key(n));
        self.kept.retain(|n, _| self.places.contains_key(n));
        self.slice = Some(Arc::new(slice));
    }

    fn afresh(&mut self) {
        self.reports.clear();
        self.looks.clear();
        self.jobs.clear();
        self.settled.clear();
        self.push_anew();
    }
}

impl Component for Placement {
    fn name(&self) -> &'static str {
        "placement"
    }

    fn on(&mut self, ev: &Event, ctx: &mut Context) {
        self.flights.pacer.tick(ctx.now);
        match ev {
            Event::DutyTick => {
                self.ask(ctx);
                self.name_holder(ctx);
                self.look(ctx);
                self.refresh_usage(ctx.now);
                self.flights.arrive(ctx.now);
                self.distrust.forget(ctx.now);
                self.quick(ctx);
                if self.may_order(ctx.now) {
                    self.work(ctx);
                }
                self.push(ctx);
                self.push_on(ctx);
                if self.term > Term(0) {
                    self.log_needs(ctx);
                }
            }
            Event::Message { msg: Msg::UpdateReply { nonce, items }, .. } => {
                for l in self.reader.handle_reply(*nonce, items) {
                    if let Some(Slice::Duty(s)) = l.slice {
                        let s = *s;
                        let list = self.reporting(&s).cloned().collect();
                        self.learn(ctx.me.node, s);
                        let mine = self.term > Term(0);
                        ctx.effects.push(Effect::PollRunners(if mine { list } else { vec![] }));
                        ctx.effects.push(Effect::HoldsDuty(mine));
                        self.look(ctx);
                    }
                    self.proven = self.proven.max(l.proven);
                }
            }
            Event::Message { from, msg: Msg::RouterReport(tell), .. }
                if self.term > Term(0) || tells_all(ctx.views) =>
            {
                self.told(*from, tell, ctx.now);
            }
            Event::Message { from, msg: Msg::UnmetDemand(rows), .. } if self.term > Term(0) => {
                for want in rows {
                    self.wanted(*from, want, ctx.now);
                }
                self.react(ctx);
                self.check_held(*from, rows, ctx);
            }
            Event::RunnersListed(listing) => self.listed(&listing.runners, ctx),
            Event::Message { from, msg: Msg::HoldingsRequest, .. } => self.push_whole(*from, ctx),
            Event::RunnerReport { instance, report } if self.term > Term(0) => {
                if let Some(r) = report {
                    self.work.stirred |= self.reports.get(instance).is_none_or(|old| old.1 != *r);
                    self.reported(instance, r, ctx);
                }
                self.looked(instance, report.as_ref(), ctx);
                self.push(ctx);
                self.react(ctx);
            }
            Event::OrderAnswered { order, status } => self.ordered(*order, *status, ctx),
            Event::StopAnnounced => self.hand_over(ctx),
            _ => {}
        }
    }

    fn status(&self, now: Time) -> Vec<(&'static str, String)> {
        vec![
            ("term", self.term.to_string()),
            ("may_order", self.may_order(now).to_string()),
            ("routers_heard", self.tells.len().to_string()),
            ("rounds", self.work.rounds.to_string()),
            ("weighed", self.work.weighed.get().to_string()),
            ("in_flight", self.flights.rows.len().to_string()),
            ("store_left", format!("{:.1}", self.flights.pacer.clone().left(&Default::default()))),
        ]
    }
}
