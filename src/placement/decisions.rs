//! Small decisions for what requests wait for.

use super::component::Placement;
use super::decision_state::DecisionState;
use super::runner_choice::Choice;
use crate::fleet::slice::DutySlice;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use std::cell::Cell;
use std::collections::BTreeSet;

/// A name that is held is loaded once more for what waits for it only if less than this is lost, in ms of waiting.
const MAX_LOSS_MS: u64 = 1000;
/// For so long after the first want nothing is unloaded by a holder that has heard of no use yet.
const UNKNOWN_USAGE_GRACE: Span = Span::ms(400);
/// Up to this many runners are weighed on every event, without a pause between two rounds.
const SMALL_FLEET_RUNNERS: usize = 32;
/// The shortest time between two rounds of decisions over more runners: this long for each of them.
const ROUND_INTERVAL_PER_RUNNER: Span = Span::ms(1);
/// A name that was weighed in vain is left for so many rounds.
const RETRY_ROUNDS: u64 = 4;
/// The longest time between two rounds while something is wanted.
const IDLE_ROUND_INTERVAL: Span = Span::ms(100);

/// How often decisions were looked for, for the status page.
#[derive(Default)]
pub struct SearchState {
    /// Rounds over all that is wanted.
    pub rounds: u64,
    /// Runners that were weighed for a wanted name.
    pub evaluated: Cell<u64>,
    last_round_at: Time,
    /// When old wants were last looked for.
    pub(super) wants_expired_at: Time,
    /// When new plans were last searched for.
    pub(super) last_proposal_at: Time,
    /// When free room was last planned for.
    pub(super) last_idle_plan_at: Time,
    /// When models that are short of runners were last looked for.
    pub(super) last_replica_search: Time,
    /// How many were found then.
    pub(super) missing_models: usize,
    /// Loads from the store that were decided.
    pub(super) store_loads_decided: u64,
    /// When this holder last logged what it has yet to do.
    pub(super) backlog_logged_at: Time,
    /// Something came in since the last round.
    pub has_news: bool,
}

impl Placement {
    /// Carries on the decisions under way and, if a round is due, looks for new ones.
    pub fn run_decisions(&mut self, ctx: &mut Context) {
        let Some(s) = self.slice.clone() else { return };
        if !self.may_order(ctx.now) {
            return self.expire_wants(ctx.now);
        }
        self.run_jobs(&s, ctx);
        if !self.is_round_due(ctx.now) {
            return;
        }
        self.expire_wants(ctx.now);
        if s.config.placement.auto {
            self.run_round(&s, ctx);
        }
    }

    /// Whether there are so few runners that everything that comes in is acted on at once. Otherwise it waits for
    /// the next timed work, which acts on all of it together.
    pub(super) fn reacts_at_once(&self) -> bool {
        self.reports.len() <= SMALL_FLEET_RUNNERS
    }

    /// Carries on with what has just come in, if that is done at once.
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

    /// Nothing is unloaded ahead of the store's allowance, as its place would stand empty until then: without any
    /// left only what a runner has on its own disk is loaded.
    pub(super) fn choose_for_wanted(
        &self,
        state: &DecisionState,
        name: &Name,
        from_store: bool,
        s: &DutySlice,
    ) -> Option<Choice> {
        if s.config.weight(name).is_none() || state.is_being_loaded(name) || self.is_served(state, name, s) {
            return None;
        }
        let want = self.wanted_names.get(name)?;
        if want.retry_after.get() > state.now() {
            return None;
        }
        let choice = state.choose(&want.service, name, from_store);
        let blind =
            self.last_used_at.is_empty() && state.now().since(want.wanted_since) < UNKNOWN_USAGE_GRACE;
        let is_taken = |choice: &Choice| {
            (!blind || choice.unloads.is_empty()) && (!state.is_held(name) || choice.loss_ms <= MAX_LOSS_MS)
        };
        let taken = choice.filter(is_taken);
        if taken.is_none() && from_store {
            want.retry_after.set(state.now() + self.retry_delay());
        }
        taken
    }

    /// How long a name that was weighed in vain is left, so that the others are weighed as well.
    fn retry_delay(&self) -> Span {
        match self.reports.len() {
            few if few <= SMALL_FLEET_RUNNERS => Span(0),
            many => Span(ROUND_INTERVAL_PER_RUNNER.0 * many as u64 * RETRY_ROUNDS),
        }
    }

    /// The names of which a load is ordered, planned or decided.
    pub(super) fn names_being_loaded(&self, s: &DutySlice) -> BTreeSet<Name> {
        let ordered = self.pending.table.values().filter(|f| f.is_load && !f.is_overdue).map(|f| &f.name);
        let decided = self.jobs.values().map(|job| job.want());
        let planned =
            s.plans.iter().filter(|p| p.is_running()).flat_map(|p| p.steps()).filter_map(|x| x.wanted());
        let moved = s.moves.iter().filter(|m| m.is_active()).map(|m| &m.want);
        ordered.chain(decided).chain(planned).chain(moved).cloned().collect()
    }

    fn is_served(&self, state: &DecisionState, name: &Name, s: &DutySlice) -> bool {
        if !state.is_held(name) {
            return false;
        }
        let base = s.config.adapter(name).map(|a| &a.model);
        state.holder_indexes(name).iter().map(|index| &state.runners()[*index]).any(|o| {
            let open = |n: &Name| {
                o.report.has(n)
                    && !self.publisher.closing.get(&o.runner.instance).is_some_and(|c| c.contains(n))
            };
            let free = o.report.running + o.report.waiting < o.report.slots;
            free && open(name) && base.is_none_or(open)
        })
    }

    /// How many loads of `name` are ordered or decided.
    pub(super) fn pending_loads(&self, name: &Name) -> u64 {
        let ordered = self.pending.table.loads_of(name);
        let decided = self.jobs.values().filter(|job| job.loads(name) && job.awaits_load());
        (ordered.count() + decided.count()) as u64
    }
}
