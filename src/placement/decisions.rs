//! Finds small decisions for names that requests wait for: when to look for them, and which names need one.

use super::Placement;
use super::decision_state::DecisionState;
use super::runner_choice::Choice;
use crate::fleet::slice::DutySlice;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use std::cell::Cell;
use std::collections::BTreeSet;

/// A name that is held already is loaded at one more runner for its waiting requests only if the unloads lose
/// less than this, in ms of waiting.
const MAX_LOSS_MS: u64 = 1000;
/// How long after a name was first wanted nothing is unloaded for it by a holder that no router has told of
/// any use yet.
const UNKNOWN_USAGE_GRACE: Span = Span::ms(400);
/// Up to this many runners a round of decisions runs on every event.
const SMALL_FLEET_RUNNERS: usize = 32;
/// With more runners the shortest time between two rounds is this long for each of them.
const ROUND_INTERVAL_PER_RUNNER: Span = Span::ms(1);
/// A name for which no runner was found is skipped for so many rounds.
const RETRY_ROUNDS: u64 = 4;
/// The longest time between two rounds while something is wanted.
const IDLE_ROUND_INTERVAL: Span = Span::ms(100);

/// Counters of the search for decisions, for the status output, and times at which its parts last ran.
#[derive(Default)]
pub struct SearchState {
    /// Rounds over all wanted names.
    pub rounds: u64,
    /// Runners that were evaluated for a wanted name.
    pub evaluated: Cell<u64>,
    /// When the last round began.
    last_round_at: Time,
    /// When expired wants were last removed.
    pub(super) wants_expired_at: Time,
    /// When new plans were last searched for.
    pub(super) last_proposal_at: Time,
    /// When a plan for free memory was last searched for.
    pub(super) last_idle_plan_at: Time,
    /// When models short of runners were last searched for.
    pub(super) last_replica_search: Time,
    /// How many of them were found then.
    pub(super) missing_models: usize,
    /// Loads from the store that were decided on.
    pub(super) store_loads_decided: u64,
    /// When the backlog was last logged.
    pub(super) backlog_logged_at: Time,
    /// Whether something has changed since the last round.
    pub has_news: bool,
}

impl Placement {
    /// Carries on the jobs and, if a round is due, runs it.
    pub fn run_decisions(&mut self, ctx: &mut Context) {
        let Some(slice) = self.slice.clone() else { return };
        if !self.may_order(ctx.now) {
            return self.expire_wants(ctx.now);
        }
        self.run_jobs(&slice, ctx);
        if !self.is_round_due(ctx.now) {
            return;
        }
        self.expire_wants(ctx.now);
        if slice.config.placement.auto {
            self.run_round(&slice, ctx);
        }
    }

    /// Whether there are few enough runners to react to every event at once. Otherwise the next tick handles
    /// all events since the last one together.
    pub(super) fn reacts_at_once(&self) -> bool {
        self.reports.len() <= SMALL_FLEET_RUNNERS
    }

    /// Runs decisions for an event that has just come in, if the fleet is small enough.
    pub(super) fn react(&mut self, ctx: &mut Context) {
        if self.reacts_at_once() {
            self.run_decisions(ctx);
        }
    }

    fn is_round_due(&mut self, now: Time) -> bool {
        let gap = match self.reports.len() {
            few if few <= SMALL_FLEET_RUNNERS => Span(0),
            many if self.search.has_news => Span(ROUND_INTERVAL_PER_RUNNER.0 * many as u64),
            _ => IDLE_ROUND_INTERVAL,
        };
        if now.since(self.search.last_round_at) < gap {
            return false;
        }
        (self.search.last_round_at, self.search.has_news) = (now, false);
        true
    }

    /// Chooses a runner for a wanted name that needs one. Nothing is unloaded before the store allows the
    /// load, as the memory would be empty until then: without `from_store` only runners with the name on
    /// their own disk are considered.
    pub(super) fn choose_for_wanted(
        &self,
        state: &DecisionState,
        name: &Name,
        from_store: bool,
        slice: &DutySlice,
    ) -> Option<Choice> {
        if slice.config.weight(name).is_none()
            || state.is_being_loaded(name)
            || self.is_served(state, name, slice)
        {
            return None;
        }
        let want = self.wanted_names.get(name)?;
        if want.retry_after.get() > state.now() {
            return None;
        }
        let choice = state.choose(&want.service, name, from_store);
        let is_usage_unknown =
            self.last_used_at.is_empty() && state.now().since(want.wanted_since) < UNKNOWN_USAGE_GRACE;
        let is_acceptable = |choice: &Choice| {
            (!is_usage_unknown || choice.unloads.is_empty())
                && (!state.is_held(name) || choice.loss_ms <= MAX_LOSS_MS)
        };
        let accepted = choice.filter(is_acceptable);
        if accepted.is_none() && from_store {
            want.retry_after.set(state.now() + self.retry_delay());
        }
        accepted
    }

    /// How long a name for which no runner was found is skipped, so that the others are evaluated as well.
    fn retry_delay(&self) -> Span {
        match self.reports.len() {
            few if few <= SMALL_FLEET_RUNNERS => Span(0),
            many => Span(ROUND_INTERVAL_PER_RUNNER.0 * many as u64 * RETRY_ROUNDS),
        }
    }

    /// The names of which a load is ordered, planned or decided.
    pub(super) fn names_being_loaded(&self, slice: &DutySlice) -> BTreeSet<Name> {
        let ordered = self.pending.table.values().filter(|f| f.is_load && !f.is_overdue).map(|f| &f.name);
        let decided = self.jobs.values().map(|job| job.want());
        let planned =
            slice.plans.iter().filter(|p| p.is_running()).flat_map(|p| p.steps()).filter_map(|x| x.wanted());
        let moved = slice.moves.iter().filter(|m| m.is_active()).map(|m| &m.want);
        ordered.chain(decided).chain(planned).chain(moved).cloned().collect()
    }

    /// Whether a runner that holds the name, and is not about to unload it, has a free slot.
    fn is_served(&self, state: &DecisionState, name: &Name, slice: &DutySlice) -> bool {
        if !state.is_held(name) {
            return false;
        }
        let base = slice.config.adapter(name).map(|a| &a.model);
        state.holder_indexes(name).iter().map(|index| &state.runners()[*index]).any(|o| {
            let is_open = |n: &Name| {
                o.report.has(n)
                    && !self.publisher.closing.get(&o.runner.instance).is_some_and(|c| c.contains(n))
            };
            let has_free_slot = o.report.running + o.report.waiting < o.report.slots;
            has_free_slot && is_open(name) && base.is_none_or(is_open)
        })
    }

    /// How many loads of `name` are ordered or decided.
    pub(super) fn pending_loads(&self, name: &Name) -> u64 {
        let ordered = self.pending.table.loads_of(name);
        let decided = self.jobs.values().filter(|job| job.loads(name) && job.awaits_load());
        (ordered.count() + decided.count()) as u64
    }
}
