//! Small decisions for what requests wait for.

use super::board::Board;
use super::choose::Choice;
use super::duty::Placement;
use crate::fleet::config::Class;
use crate::fleet::slice::DutySlice;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use std::cell::Cell;

/// A name that is held is loaded once more for what waits for it only if less than this is lost, in ms of waiting.
const LOSS: u64 = 1000;
/// What may be lost for one more copy of a hot model.
const SPREAD_LOSS: u64 = 1700;
/// For so long after the first want nothing is unloaded by a holder that has heard of no use yet.
const BLIND: Span = Span::ms(400);
/// A round takes up to this many decisions, or
const DECISIONS: usize = 8;
/// one for so many runners, so that it ends soon.
const RUNNERS_PER_DECISION: usize = 8;
/// Up to this many runners are weighed on every event, without a pause between two rounds.
const RUNNERS_WEIGHED_AT_ONCE: usize = 32;
/// The shortest time between two rounds of decisions over more runners: this long for each of them.
const ROUND_PER_RUNNER: Span = Span::ms(1);
/// The longest time between two rounds while something is wanted.
const ROUND_AT_REST: Span = Span::ms(100);

/// How often models are looked for that are short of runners.
const SPREAD_EACH: Span = Span::ms(100);
/// Copies of hot models leave one part in so many of a round to what no runner holds.
const KEPT_FOR_WANTS: usize = 4;

/// How often decisions were looked for, for the status page.
#[derive(Default)]
pub struct Work {
    /// Rounds over all that is wanted.
    pub rounds: u64,
    /// Runners that were weighed for a wanted name.
    pub weighed: Cell<u64>,
    last_round: Time,
    last_spread: Time,
    /// Something came in since the last round.
    pub stirred: bool,
}

/// What a round has decided.
struct Decision {
    want: Name,
    choice: Choice,
    why: &'static str,
}

/// A model that is short of runners.
struct Shortage<'a> {
    missing: u64,
    name: Name,
    service: &'a Name,
}

/// What a round may still decide.
struct Allowance {
    decisions: usize,
    /// Loads that the store of weights allows at this moment, less those that decisions under way have yet to order.
    store_loads: u64,
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

    /// Decides what is loaded for the names that are wanted and for models short of runners, all from one picture.
    /// What gives way is told to the routers once, before the first order goes out.
    fn round(&mut self, s: &DutySlice, ctx: &mut Context) {
        if self.wants.is_empty() && !self.is_spread_due(ctx.now) {
            return;
        }
        self.work.rounds += 1;
        let offers = self.offers(ctx.now);
        let mut allowance = Allowance {
            decisions: DECISIONS.max(offers.len() / RUNNERS_PER_DECISION),
            store_loads: self.store_loads_left(s),
        };
        let spreads = self.is_spread_due(ctx.now);
        let mut board = self.board(s, &offers, ctx.now);
        let mut decided = vec![];
        if spreads {
            let short = self.short(&board, s);
            decided = self.spread(&mut board, short, &mut allowance);
        }
        decided.extend(self.meet_wants(&mut board, s, &mut allowance));
        if spreads {
            self.work.last_spread = ctx.now;
        }
        let closes = decided.iter().any(|d| !d.choice.unloads.is_empty());
        for d in decided {
            self.begin(&d.want, d.choice, d.why, ctx);
        }
        if closes {
            self.push_closing(ctx);
        }
        self.run_jobs(s, ctx);
    }

    fn meet_wants(&self, board: &mut Board, s: &DutySlice, allowance: &mut Allowance) -> Vec<Decision> {
        let mut names: Vec<(Class, Time, &Name)> =
            self.wants.iter().map(|(name, wanted)| (wanted.class, wanted.since, name)).collect();
        names.sort();
        let mut decided = vec![];
        for (.., name) in names {
            if allowance.decisions == 0 {
                break;
            }
            let Some(choice) = self.meet_quick(board, name, allowance, s) else { continue };
            decided.push(take(board, name, choice, "is wanted and no runner can take it", allowance));
        }
        decided
    }

    /// Nothing is unloaded ahead of the store's allowance, as its place would stand empty until then: without any
    /// left only what a runner has on its own disk is loaded.
    fn meet_quick(&self, board: &Board, name: &Name, allowance: &Allowance, s: &DutySlice) -> Option<Choice> {
        if s.config.weight(name).is_none() || self.coming(name, s) || self.served(board, name, s) {
            return None;
        }
        let want = self.wants.get(name)?;
        let choice = board.choose(&want.service, name, allowance.store_loads > 0)?;
        let blind = self.used.is_empty() && board.now().since(want.since) < BLIND;
        if blind && !choice.unloads.is_empty() {
            return None;
        }
        (!board.is_held(name) || choice.loss <= LOSS).then_some(choice)
    }

    /// Whether a load of `name` is ordered, planned or decided.
    pub fn coming(&self, name: &Name, s: &DutySlice) -> bool {
        let planned = || s.plans.iter().filter(|p| p.live()).flat_map(|p| p.steps()).any(|x| x.wants(name));
        let moved = || s.moves.iter().any(|m| m.live() && m.want == *name);
        self.flights.loading(name) || self.jobs.values().any(|j| j.wants(name)) || planned() || moved()
    }

    fn served(&self, board: &Board, name: &Name, s: &DutySlice) -> bool {
        if !board.is_held(name) {
            return false;
        }
        let base = s.config.adapter(name).map(|a| &a.model);
        board.offers().iter().any(|o| {
            let open = |n: &Name| {
                o.report.has(n) && !self.push.closing.get(&o.runner.instance).is_some_and(|c| c.contains(n))
            };
            let free = o.report.running + o.report.waiting < o.report.slots;
            !o.runner.leaving && free && open(name) && base.is_none_or(open)
        })
    }

    fn is_spread_due(&self, now: Time) -> bool {
        now.since(self.work.last_spread) >= SPREAD_EACH
    }

    /// The models that have more requests than their holders carry with ease: how many runners each is short of, the
    /// shortest first.
    fn short<'a>(&'a self, board: &Board, s: &'a DutySlice) -> Vec<Shortage<'a>> {
        let mut short = vec![];
        for (name, used) in self.usage.names.iter().filter(|u| u.1.runs > 0 && s.config.model(u.0).is_some())
        {
            let Some(service) = s.config.services.iter().find(|x| x.models.contains(name)) else { continue };
            let demand = used.runs + self.waits(name);
            let missing = board.short_by(name, demand, self.under_way(name), service);
            if missing > 0 && board.is_held(name) {
                short.push(Shortage { missing, name: name.clone(), service: &service.name });
            }
        }
        short.sort_by_key(|row| std::cmp::Reverse(row.missing));
        short
    }

    /// More copies of models that are short of runners, where that costs little. One of them serves many requests
    /// where the load of a rare model serves one, so they come first; but part of the allowance is kept for those.
    fn spread(&self, board: &mut Board, short: Vec<Shortage>, allowance: &mut Allowance) -> Vec<Decision> {
        let keep = Allowance {
            decisions: allowance.decisions / KEPT_FOR_WANTS,
            store_loads: allowance.store_loads.div_ceil(KEPT_FOR_WANTS as u64),
        };
        let mut decided = vec![];
        for Shortage { missing, name, service } in short {
            for _ in 0..missing {
                if allowance.decisions <= keep.decisions {
                    return decided;
                }
                let from_store = allowance.store_loads > keep.store_loads;
                let Some(choice) = board.choose(service, &name, from_store) else { break };
                if choice.loss > SPREAD_LOSS {
                    break;
                }
                decided.push(take(board, &name, choice, "is hot", allowance));
            }
        }
        decided
    }

    fn under_way(&self, name: &Name) -> u64 {
        let ordered = self.flights.rows.values().filter(|f| f.load && f.name == *name);
        let decided = self.jobs.values().filter(|job| job.wants(name) && job.awaits_load());
        (ordered.count() + decided.count()) as u64
    }
}

/// Notes a decision on the board, so that the next ones count with it.
fn take(
    board: &mut Board,
    name: &Name,
    choice: Choice,
    why: &'static str,
    allowance: &mut Allowance,
) -> Decision {
    allowance.decisions -= 1;
    if board.asks_store(&choice.runner, name) {
        allowance.store_loads = allowance.store_loads.saturating_sub(1);
    }
    board.take(&choice);
    Decision { want: name.clone(), choice, why }
}
