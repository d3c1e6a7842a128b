//! The state of the placement component.

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
use crate::fleet::slice::DutySlice;
use crate::fleet::state::*;
use crate::kernel::ids::*;
use crate::kernel::time::Time;
use crate::msg::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// State of the placement component.
pub struct Placement {
    /// Reads the duty's slice of the fleet state from the chain's tail.
    pub reader: TopicReader,
    /// The newest slice, once one was read.
    pub slice: Option<Arc<DutySlice>>,
    /// The index of each runner in the slice.
    pub(super) runner_index: BTreeMap<Name, usize>,
    /// Until when the tail has confirmed that the slice was current.
    pub proven_at: Time,
    /// The newest report of each runner, and when it arrived.
    pub reports: BTreeMap<Name, (Time, RunnerReport)>,
    /// The newest report of each router, and when it arrived.
    pub router_reports: BTreeMap<NodeId, (Time, Arc<RouterReport>)>,
    /// The sums over `router_reports`.
    pub usage: Arc<Usage>,
    /// Counters and timers of the search for decisions.
    pub search: SearchState,
    /// Orders sent to runners whose effect has not shown in a report yet.
    pub pending: PendingOrders,
    /// Runners whose loads failed although they reported enough free memory.
    pub load_backoff: LoadBackoff,
    /// The term under which this controller holds the duty; 0 if it does not hold it.
    pub term: Term,
    /// From when this holder may send orders, on the clock of `pending.store_budget`.
    pub may_order_from: Time,
    /// What each runner has held at some time and so loads from its own disk.
    pub cached: BTreeMap<Name, BTreeSet<Name>>,
    /// By move: its phase, since when, and the orders sent in it.
    pub move_progress: BTreeMap<MoveId, (Phase, Time, u64)>,
    /// When a change of a move was last sent to the chain's head.
    pub move_sent_at: BTreeMap<MoveId, Time>,
    /// When plans and moves were last advanced.
    pub plans_run_at: Time,
    /// When runners were last searched for withdrawn names.
    pub withdrawn_searched_at: Time,
    /// Since when routers have reported a name as demanded.
    pub demanded_since: BTreeMap<Name, Time>,
    /// The names that requests wait for.
    pub wanted_names: BTreeMap<Name, WantedName>,
    /// When a name was last used, as reported by routers.
    pub last_used_at: BTreeMap<Name, Time>,
    /// When each runner is polled for its report.
    pub polls: Polls,
    /// What routers were told of the runners' holdings.
    pub publisher: HoldingsPublisher,
    /// The decision under way at each runner.
    pub jobs: BTreeMap<Name, DecisionJob>,
    /// The last small decisions, as plans for the status output.
    pub recent_decisions: VecDeque<PlacementPlan>,
    /// Since when a runner holds a name that it was seen to load, by runner.
    pub resident_since: BTreeMap<Name, BTreeMap<Name, Time>>,
    /// What is done for a wanted name that fits nowhere.
    pub policy: Policy,
    /// The progress of the running plans' current stages.
    pub plan_progress: BTreeMap<PlanId, super::plan_execution::StageProgress>,
    /// Runners and names that a submitted plan uses, and since when; a claim keeps other plans off them until
    /// the plan shows in the slice.
    pub claims: BTreeMap<Name, Time>,
    /// Plans sent to the head that the slice does not show yet.
    pub submitted_plans: BTreeMap<PlanId, (Time, Vec<PlanStep>)>,
    /// When a leaving runner was last planned empty.
    pub evacuation_planned_at: Time,
    /// When a plan's failed rehearsal was last logged.
    pub refusal_logged_at: Time,
    /// The operator's request for a plan that was answered last, and when.
    pub answered_plan_request: Option<(ChangeId, Time)>,
    /// When runners were last polled because a router reported as missing what they hold.
    pub holdings_checked_at: Time,
    /// When the reports were last searched for names that routers miss.
    pub(super) holdings_searched_at: Time,
    /// When the slice was last requested from the tail.
    pub state_requested_at: Time,
    /// The list of runners last sent to the head, and when.
    pub(super) sent_runner_list: (Vec<Runner>, Time),
    /// When this node, as head, last named a duty holder.
    pub holder_named_at: Time,
    /// When the chain was last told that this holder orders.
    pub begun_sent_at: Time,
    /// Whether this controller is about to stop; it then sends no more orders.
    pub is_stopping: bool,
    /// Whether runners of plain services give no reports and are not polled.
    pub has_unpolled_plain_runners: bool,
}

impl Placement {
    /// An empty state that has nothing to order yet.
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
}
