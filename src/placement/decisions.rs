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
const LOSS: u64 = 1000;
/// For so long after the first want nothing is unloaded by a holder that has heard of no use yet.
const BLIND: Span = Span::ms(400);
/// Up to this many runners are weighed on every event, without a pause between two rounds.
const RUNNERS_WEIGHED_AT_ONCE: usize = 32;
/// The shortest time between two rounds of decisions over more runners: this long for each of them.
const ROUND_PER_RUNNER: Span = Span::ms(1);
/// A name that was weighed in vain is left for so many rounds.
const ROUNDS_OF_REST: u64 = 4;
/// The longest time between two rounds while something is wanted.
const ROUND_AT_REST: Span = Span::ms(100);

/// How often decisions were looked for, for the status page.
#[derive(Default)]
pub struct SearchState {
    /// Rounds over all that is wanted.
    pub rounds: u64,
    /// Runners that were weighed for a wanted name.
    pub weighed: Cell<u64>,
    last_round: Time,
    /// When old wants were last looked for.
    pub(super) wants_forgotten: Time,
    /// When new plans were last searched for.
    pub(super) last_proposal: Time,
    /// When free room was last planned for.
    pub(super) last_idle_plan: Time,
    /// When models that are short of runners were last looked for.
    pub(super) last_spread: Time,
    /// How many were found then.
    pub(super) short: usize,
    /// Loads from the store that were decided.
    pub(super) store_loads: u64,
    /// When this holder last logged what it has yet to do.
    pub(super) needs_logged: Time,
    /// Something came in since the last round.
    pub stirred: bool,
}

impl Placement {
    /// Carries on the decisions under way and, if a round is due, looks for new ones.
    pub fn quick(&mut self, ctx: &mut Context) {
        let Some(s) = self.slice.clone() else { return };
        if !self.may_order(ctx.now) {
            return self.forget_old_wants(ctx.now);
        }
        self.run_jobs(&s, ctx);
        if !self.is_round_due(ctx.now) {
            return;
        }
        self.forget_old_wants(ctx.now);
        if s.config.placement.auto {
            self.round(&s, ctx);
        }
    }

    /// Whether there are so few runners that everything that comes in is acted on at once. Otherwise it waits for
    /// the next timed work, which acts on all of it together.
    pub(super) fn acts_at_once(&self) -> bool {
        self.reports.len() <= RUNNERS_WEIGHED_AT_ONCE
    }

    /// Carries on with what has just come in, if that is done at once.
    pub(super) fn react(&mut self, ctx: &mut Context) {
        if self.acts_at_once() {
            self.quick(ctx);
        }
    }

    fn is_round_due(&mut self, now: Time) -> bool {
        let gap = match self.reports.len() {
            few if few <= RUNNERS_WEIGHED_AT_ONCE => Span(0),
            many if self.work.stirred => Span(ROUND_PER_RUNNER.0 * many as u64),
            _ => ROUND_AT_REST,
        };
        if now.since(self.work.last_round) < gap {
            return false;
        }
        (self.work.last_round, self.work.stirred) = (now, false);
        true
    }

    /// Nothing is unloaded ahead of the store's allowance, as its place would stand empty until then: without any
    /// left only what a runner has on its own disk is loaded.
    pub(super) fn meet_quick(
        &self,
        board: &DecisionState,
        name: &Name,
        from_store: bool,
        s: &DutySlice,
    ) -> Option<Choice> {
        if s.config.weight(name).is_none() || board.is_coming(name) || self.served(board, name, s) {
            return None;
        }
        let want = self.wants.get(name)?;
        if want.rests_until.get() > board.now() {
            return None;
        }
        let choice = board.choose(&want.service, name, from_store);
        let blind = self.used.is_empty() && board.now().since(want.since) < BLIND;
        let is_taken = |choice: &Choice| {
            (!blind || choice.unloads.is_empty()) && (!board.is_held(name) || choice.loss <= LOSS)
        };
        let taken = choice.filter(is_taken);
        if taken.is_none() && from_store {
            want.rests_until.set(board.now() + self.rest_in_vain());
        }
        taken
    }

    /// How long a name that was weighed in vain is left, so that the others are weighed as well.
    fn rest_in_vain(&self) -> Span {
        match self.reports.len() {
            few if few <= RUNNERS_WEIGHED_AT_ONCE => Span(0),
            many => Span(ROUND_PER_RUNNER.0 * many as u64 * ROUNDS_OF_REST),
        }
    }

    /// The names of which a load is ordered, planned or decided.
    pub(super) fn all_coming(&self, s: &DutySlice) -> BTreeSet<Name> {
        let ordered = self.flights.rows.values().filter(|f| f.load && !f.overdue).map(|f| &f.name);
        let decided = self.jobs.values().map(|job| job.want());
        let planned =
            s.plans.iter().filter(|p| p.is_running()).flat_map(|p| p.steps()).filter_map(|x| x.wanted());
        let moved = s.moves.iter().filter(|m| m.is_active()).map(|m| &m.want);
        ordered.chain(decided).chain(planned).chain(moved).cloned().collect()
    }

    fn served(&self, board: &DecisionState, name: &Name, s: &DutySlice) -> bool {
        if !board.is_held(name) {
            return false;
        }
        let base = s.config.adapter(name).map(|a| &a.model);
        board.held_at(name).iter().map(|place| &board.offers()[*place]).any(|o| {
            let open = |n: &Name| {
                o.report.has(n) && !self.push.closing.get(&o.runner.instance).is_some_and(|c| c.contains(n))
            };
            let free = o.report.running + o.report.waiting < o.report.slots;
            free && open(name) && base.is_none_or(open)
        })
    }

    /// How many loads of `name` are ordered or decided.
    pub(super) fn under_way(&self, name: &Name) -> u64 {
        let ordered = self.flights.rows.loads_of(name);
        let decided = self.jobs.values().filter(|job| job.wants(name) && job.awaits_load());
        (ordered.count() + decided.count()) as u64
    }
}
