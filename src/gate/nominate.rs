//! The choice of a runner for a request.

use super::core::Balancer;
use super::order::{Refusal, RefusalReason, RequestSpec, RoutingDecision};
use crate::fleet::config::ServiceKind;
use crate::fleet::runner::{Runner, RunnerReport};
use crate::fleet::slice::ServiceSlice;
use crate::fleet::state::Phase;
use crate::kernel::ids::Name;
use crate::kernel::rand::hash;
use crate::kernel::time::Time;

/// Cost of a runner in another zone, in percent of its slots.
const OTHER_ZONE_COST: u64 = 10;
/// Prompt tokens without cache that cost as much as one percent of the slots of a runner.
const UNREAD_TOKENS_PER_PERCENT: u64 = 40;
/// Cost of an uncached prompt of unknown length, in percent of the slots.
const UNKNOWN_PROMPT_COST: u64 = 50;
/// Fewest candidates that a router compares.
const MIN_COMPARED: usize = 2;
/// Up to this number of routers, each may pick the best of all runners without overloading it.
const ROUTERS_COMPARING_ALL: usize = 8;

/// Why a request waits while the routes and its service are known of different configurations.
pub const PARTLY_KNOWN: &str = "configuration-partly-known";

/// A runner that could take the request now.
struct Candidate<'a> {
    runner: &'a Runner,
    /// Prompt tokens that it probably has not cached.
    unread_tokens: u64,
    /// Lower is better; in percent of its slots.
    cost: u64,
    /// Pseudo-random rank, different for each request.
    tie_break: u64,
}

/// The usable runners of a service.
#[derive(Default)]
struct RunnerSurvey<'a> {
    /// Whether any runner is in use at all.
    is_any_usable: bool,
    /// Whether any of them holds the weights asked for.
    is_any_holder: bool,
    candidates: Vec<Candidate<'a>>,
}

impl Balancer {
    /// Decides where a request goes, or why it can go nowhere now. Claims no slot.
    pub fn choose_runner(&mut self, now: Time, spec: &RequestSpec, avoid: &[Name]) -> RoutingDecision {
        let admitted = self.admits(spec);
        if admitted == Err(RefusalReason::RouteChanged) && self.are_routes_fresh(now) {
            return RoutingDecision::Readmit;
        }
        let Some(slice) = self.slice.clone() else {
            return RoutingDecision::Wait("service-not-known-yet");
        };
        if !self.is_fresh(now) {
            return RoutingDecision::Wait("not-fresh");
        }
        if let Err(why) = admitted {
            return RoutingDecision::Refuse(Refusal::new(why, 0));
        }
        if spec.read_for.is_some_and(|sort| sort != slice.service.sort) && !spec.is_resumed {
            return RoutingDecision::Readmit;
        }
        let refusal = match self.is_withdrawn {
            true => Some(Refusal::new(RefusalReason::ServiceWithdrawn, 0)),
            false => unknown(&slice, spec),
        };
        if let Some(refusal) = refusal {
            return match self.knows_one_configuration(spec) {
                true => RoutingDecision::Refuse(refusal),
                false => RoutingDecision::Wait(PARTLY_KNOWN),
            };
        }
        let mut found = self.survey_runners(now, &slice, spec, avoid);
        match self.best_candidate(&mut found.candidates) {
            Some(best) => RoutingDecision::Send(best.runner.clone()),
            None if !found.is_any_usable => RoutingDecision::Wait("no-runner"),
            None if !found.is_any_holder => RoutingDecision::Wait("no-holder"),
            None => RoutingDecision::Wait("busy"),
        }
    }

    fn survey_runners<'a>(
        &self,
        now: Time,
        slice: &'a ServiceSlice,
        spec: &RequestSpec,
        avoid: &[Name],
    ) -> RunnerSurvey<'a> {
        let mut found = RunnerSurvey::default();
        let (model, adapter) = (Name(spec.model.to_string()), Name(spec.adapter.to_string()));
        let bare = self.has_unpolled_plain_runners && slice.service.sort == ServiceKind::Plain;
        let many_out = self.are_all_ejected(now, slice);
        let unreported = RunnerReport::default();
        for r in slice.runners.iter().filter(|r| !r.leaving && !avoid.contains(&r.instance)) {
            let Some(health) = self.health.get(&r.instance) else { continue };
            let report = match health.fresh_report(now) {
                Some(report) => report,
                None if bare => &unreported,
                None => continue,
            };
            let other = report.instance != r.instance && !bare;
            if health.is_leaving || other || (health.is_ejected(now) && !many_out) || health.is_full(now) {
                continue;
            }
            found.is_any_usable = true;
            if slice.service.sort == ServiceKind::Assistant {
                let fit = report.has(&model) && (adapter.0.is_empty() || report.has(&adapter));
                if !fit || makes_way(slice, &r.instance, &model) {
                    continue;
                }
            }
            found.is_any_holder = true;
            let load = if bare { health.decayed_load(now) } else { health.load(now) };
            let slots = slots_of(health, report.slots, slice.service.slots);
            if load < slots {
                found.candidates.push(self.candidate(r, report, spec, load * 100 / slots));
            }
        }
        found
    }

    fn candidate<'a>(
        &self,
        r: &'a Runner,
        report: &RunnerReport,
        spec: &RequestSpec,
        load: u64,
    ) -> Candidate<'a> {
        let cold = spec.prompt_parts.is_empty()
            && (spec.prefix.is_empty() || !report.prefixes.iter().any(|p| *p == spec.prefix.as_str()));
        let unread =
            spec.token_counts.prompt.saturating_sub(self.prompt_caches.cached_tokens(&r.instance, spec))
                as u64;
        let far = u64::from(r.domain != self.domain) * OTHER_ZONE_COST;
        let weight =
            load + if cold { UNKNOWN_PROMPT_COST } else { 0 } + unread / UNREAD_TOKENS_PER_PERCENT + far;
        Candidate { runner: r, unread_tokens: unread, cost: weight, tie_break: hash(&r.instance.0, spec.id) }
    }

    /// The cheapest of a random sample and of the candidate with the most of the prompt cached. The load known of a runner is
    /// as old as what all other routers send meanwhile: if each took the best of all, all would take the same one. So the
    /// more routers there are, the fewer candidates each of them compares.
    fn best_candidate<'a, 'b>(&self, candidates: &'b mut [Candidate<'a>]) -> Option<&'b Candidate<'a>> {
        let share = (candidates.len() * ROUTERS_COMPARING_ALL).div_ceil(self.router_count.max(1) as usize);
        let compared = share.max(MIN_COMPARED).min(candidates.len());
        candidates.sort_unstable_by_key(|c| c.tie_break);
        let warmest = candidates.iter().min_by_key(|c| (c.unread_tokens, c.tie_break));
        let drawn = candidates[..compared].iter().chain(warmest);
        drawn.min_by_key(|c| (c.cost, c.tie_break))
    }

    fn are_all_ejected(&self, now: Time, slice: &ServiceSlice) -> bool {
        let rows = slice.runners.iter().filter_map(|r| self.health.get(&r.instance));
        let bare = self.has_unpolled_plain_runners && slice.service.sort == ServiceKind::Plain;
        rows.filter(|health| bare || health.fresh_report(now).is_some()).all(|health| health.is_ejected(now))
    }
}

/// Slots of a runner: as it tells, but not more than the service states.
pub fn slots_of(health: &super::health::RunnerHealth, told: u64, stated: u64) -> u64 {
    let own = [health.reported_slots, told].into_iter().find(|n| *n > 0).unwrap_or(stated);
    own.min(stated).max(1)
}

/// The refusal of a request whose model or adapter the service does not offer.
pub fn unknown(slice: &ServiceSlice, spec: &RequestSpec) -> Option<Refusal> {
    if slice.service.sort == ServiceKind::Plain {
        return None;
    }
    let no = Some(Refusal::new(RefusalReason::UnknownModel, 0));
    if !slice.service.models.iter().any(|m| m.0 == spec.model.as_str()) {
        return no;
    }
    if spec.adapter.is_empty() {
        return None;
    }
    let fit =
        slice.adapters.iter().any(|a| a.name.0 == spec.adapter.as_str() && a.model.0 == spec.model.as_str());
    if fit { None } else { no }
}

/// Whether a move takes this model away from the runner.
pub fn makes_way(slice: &ServiceSlice, runner: &Name, model: &Name) -> bool {
    slice.moves.iter().any(|m| {
        m.from == *runner && m.model == *model && matches!(m.phase, Phase::Warm | Phase::Unload | Phase::Want)
    })
}
