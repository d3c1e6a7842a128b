//! The changes that the chain replicates. [`super::fold`] applies them in the order in which they were
//! committed.

use super::config::FleetConfig;
use super::outcome::OutcomeCode;
use super::plan::{PlacementPlan, PlanState};
use super::runner::Runner;
use super::state::{MovePlan, Phase, StageFigure, Verdict};
use crate::kernel::ids::*;
use bitcode::{Decode, Encode};

/// A change of the replicated state. Those that an operator asked for carry the id of the call.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum Change {
    /// A candidate configuration that is to be rehearsed before it takes effect.
    Propose {
        /// The change.
        id: ChangeId,
        /// The version of the configuration on which it builds.
        base: Version,
        /// The candidate.
        config: Box<FleetConfig>,
    },
    /// A configuration from the platform, which takes effect without a rehearsal at the routers.
    Adopt {
        /// The change.
        id: ChangeId,
        /// The revision on which it builds.
        base: u64,
        /// The configuration.
        config: Box<FleetConfig>,
        /// What its preparation took.
        stages: Vec<StageFigure>,
    },
    /// Refuses an operator's change for good, unless it was taken already or its base has come into force.
    Refuse {
        /// The change.
        id: ChangeId,
        /// The revision on which it builds.
        base: Option<u64>,
        /// See [`super::ledger::RefusedChange`].
        last_revision: u64,
        /// Why, for programs.
        code: OutcomeCode,
        /// Why, for operators.
        text: String,
    },
    /// The end of a rehearsal.
    Settle {
        /// The change that proposed the candidate.
        id: ChangeId,
        /// Whether the candidate takes effect.
        verdict: Verdict,
        /// What delivery and rehearsal took.
        stages: Vec<StageFigure>,
    },
    /// Replaces the list of runners.
    Runners {
        /// The change.
        id: ChangeId,
        /// The new list.
        list: Vec<Runner>,
    },
    /// Marks a runner as leaving.
    Leaving {
        /// The change.
        id: ChangeId,
        /// The runner.
        instance: Name,
    },
    /// Gives the placement duty to a controller, under a new term.
    Duty {
        /// The controller.
        holder: NodeId,
    },
    /// The holder of this term has waited until its predecessor can no longer give orders, and gives orders
    /// from now on.
    DutyBegun {
        /// The term.
        term: Term,
    },
    /// Starts a move.
    Move {
        /// The change.
        id: ChangeId,
        /// The move.
        plan: MovePlan,
    },
    /// Adds a placement plan.
    Plan {
        /// The term of its author.
        term: Term,
        /// The plan.
        plan: PlacementPlan,
        /// The operator's call that asked for it.
        asked: Option<ChangeId>,
    },
    /// An operator asks for a plan.
    PlanAsk {
        /// The change.
        id: ChangeId,
    },
    /// An operator accepts the proposed plan.
    Accept {
        /// The change.
        id: ChangeId,
        /// The version of the plan.
        at: Version,
    },
    /// A stage of a plan has ended.
    PlanStage {
        /// The plan.
        id: PlanId,
        /// The term of the sender.
        term: Term,
        /// The state of the plan from now on.
        state: PlanState,
        /// What the stage took.
        figure: StageFigure,
    },
    /// A move enters a phase.
    Step {
        /// The move.
        id: MoveId,
        /// The term of the sender.
        term: Term,
        /// The phase.
        phase: Phase,
        /// Why, for operators.
        why: String,
        /// What the previous phase took.
        stage: Option<StageFigure>,
    },
}

/// Memory and disk that a route takes besides its share of the document, as measured.
const ROUTE_BYTES: usize = 160;
/// Memory that any change takes.
const CHANGE_BYTES: usize = 1024;

impl Change {
    /// Roughly the bytes that this change takes in memory; on the disk and on the wire it takes less.
    pub fn size_estimate(&self) -> usize {
        match self {
            Change::Propose { config, .. } | Change::Adopt { config, .. } => {
                CHANGE_BYTES + config.size_estimate()
            }
            Change::Runners { list, .. } => CHANGE_BYTES + list.len() * ROUTE_BYTES,
            _ => CHANGE_BYTES,
        }
    }
}

impl FleetConfig {
    /// Roughly the bytes that this configuration takes in memory.
    pub fn size_estimate(&self) -> usize {
        let routes: usize = self.services.iter().map(|s| s.routes.len()).sum();
        self.source.len() + (routes + self.models.len() + self.adapters.len()) * ROUTE_BYTES
    }
}
