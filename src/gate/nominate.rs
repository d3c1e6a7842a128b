use super::core::Balancer;
use super::order::{Refusal, RefusalReason, RequestSpec, RoutingDecision};
use crate::fleet::config::ServiceKind;
use crate::fleet::runner::{Runner, RunnerReport};
use crate::fleet::slice::ServiceSlice;
use crate::fleet::state::Phase;
use crate::kernel::ids::Name;
use crate::kernel::rand::hash;
use crate::kernel::time::Time;

/// What another zone costs, in hundredths of a runner's slots.
const OTHER_ZONE_COST: u64 = 10;
/// So many prompt tokens to be read weigh like a hundredth of a runner's slots.
const UNREAD_TOKENS_PER_PERCENT: u64 = 40;
/// What an unread prompt weighs where its length is not known.
const UNKNOWN_PROMPT_COST: u64 = 50;
/// A router compares at least so many of the runners that could take a request.
const MIN_COMPARED: usize = 2;
/// Up to so many routers may each take the best of all runners without crowding it.
const ROUTERS_COMPARING_ALL: usize = 8;

/// A runner that could take the request now.
struct Candidate<'a> {
    runner: &'a Runner,
    /// Prompt tokens that it would have to read.
    unread_tokens: u64,
    /// The lower the better.
    cost: u64,
    /// Its place in the order of this request alone.
    tie_break: u64,
}

/// What was found of the runners of a service.
#[derive(Default)]
struct RunnerSurvey<'a> {
    /// Some runner is in use at all.
    is_any_usable: bool,
    /// Some runner holds what is asked for.
    is_any_holder: bool,
    candidates: Vec<Candidate<'a>>,
}

impl Balancer {
    /// Where a request goes, or why it can't go anywhere now.
    pub fn choose_runner(&mut self, now: Time, spec: &RequestSpec, avoid: &[Name]) -> RoutingDecision {
        let Some(s) = self.slice.clone() else {
            return RoutingDecision::Wait("service-not-known-yet");
        };
        if !self.is_fresh(now) {
            return RoutingDecision::Wait("not-fresh");
        }
        if let Err(why) = self.admits(spec) {
            return RoutingDecision::Refuse(Refusal::new(why, 0));
        }
        if self.is_withdrawn {
            return RoutingDecision::Refuse(Refusal::new(RefusalReason::ServiceWithdrawn, 0));
        }
        if let Some(r) = unknown(&s, spec) {
            return RoutingDecision::Refuse(r);
        }
        let mut found = self.survey_runners(now, &s, spec, avoid);
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
        s: &'a ServiceSlice,
        spec: &RequestSpec,
        avoid: &[Name],
    ) -> RunnerSurvey<'a> {
        let mut found = RunnerSurvey::default();
        let (model, adapter) = (Name(spec.model.to_string()), Name(spec.adapter.to_string()));
        let bare = self.has_unpolled_plain_runners && s.service.sort == ServiceKind::Plain;
        let many_out = self.are_all_ejected(now, s);
        let unreported = RunnerReport::default();
        for r in s.runners.iter().filter(|r| !r.leaving && !avoid.contains(&r.instance)) {
            let Some(h) = self.health.get(&r.instance) else { continue };
            let report = match h.fresh_report(now) {
                Some(report) => report,
                None if bare => &unreported,
                None => continue,
            };
            let other = report.instance != r.instance && !bare;
            if h.is_leaving || other || (h.is_ejected(now) && !many_out) || h.is_full(now) {
                continue;
            }
            found.is_any_usable = true;
            if s.service.sort == ServiceKind::Assistant {
                let fit = report.has(&model) && (adapter.0.is_empty() || report.has(&adapter));
                if !fit || makes_way(s, &r.instance, &model) {
                    continue;
                }
            }
            found.is_any_holder = true;
            let load = if bare { h.decayed_load(now) } else { h.load(now) };
            let slots = slots_of(h, report.slots, s.service.slots);
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

    /// The best of some runners drawn by lot, and of the one that has least of the prompt to read. What is known of a
    /// runner's load is old by as much as all other routers send meanwhile: were each to take the best of all, all
    /// would take the same. So the more routers there are, the fewer runners each of them compares.
    fn best_candidate<'a, 'b>(&self, candidates: &'b mut [Candidate<'a>]) -> Option<&'b Candidate<'a>> {
        let share = (candidates.len() * ROUTERS_COMPARING_ALL).div_ceil(self.router_count.max(1) as usize);
        let compared = share.max(MIN_COMPARED).min(candidates.len());
        candidates.sort_unstable_by_key(|c| c.tie_break);
        let warmest = candidates.iter().min_by_key(|c| (c.unread_tokens, c.tie_break));
        let drawn = candidates[..compared].iter().chain(warmest);
        drawn.min_by_key(|c| (c.cost, c.tie_break))
    }

    fn are_all_ejected(&self, now: Time, s: &ServiceSlice) -> bool {
        let rows = s.runners.iter().filter_map(|r| self.health.get(&r.instance));
        let bare = self.has_unpolled_plain_runners && s.service.sort == ServiceKind::Plain;
        rows.filter(|h| bare || h.fresh_report(now).is_some()).all(|h| h.is_ejected(now))
    }
}

/// The slots of a runner as it tells them itself, else as the service states them.
pub fn slots_of(h: &super::health::RunnerHealth, told: u64, stated: u64) -> u64 {
    let own = [h.reported_slots, told].into_iter().find(|n| *n > 0).unwrap_or(stated);
    own.min(stated).max(1)
}

pub fn unknown(s: &ServiceSlice, spec: &RequestSpec) -> Option<Refusal> {
    if s.service.sort == ServiceKind::Plain {
        return None;
    }
    let no = Some(Refusal::new(RefusalReason::UnknownModel, 0));
    if !s.service.models.iter().any(|m| m.0 == spec.model.as_str()) {
        return no;
    }
    if spec.adapter.is_empty() {
        return None;
    }
    let fit =
        s.adapters.iter().any(|a| a.name.0 == spec.adapter.as_str() && a.model.0 == spec.model.as_str());
    if fit { None } else { no }
}

pub fn makes_way(s: &ServiceSlice, runner: &Name, model: &Name) -> bool {
    s.moves.iter().any(|m| {
        m.from == *runner && m.model == *model && matches!(m.phase, Phase::Warm | Phase::Unload | Phase::Want)
    })
}
