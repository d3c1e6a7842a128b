use super::core::Gate;
use super::order::{Order, Plan, Refusal, Why};
use crate::fleet::config::ServiceKind;
use crate::fleet::runner::{Runner, RunnerReport};
use crate::fleet::slice::ServiceSlice;
use crate::fleet::state::Phase;
use crate::kernel::ids::Name;
use crate::kernel::rand::hash;
use crate::kernel::time::Time;

/// What another zone costs, in hundredths of a runner's slots.
const FAR: u64 = 10;
/// So many prompt tokens to be read weigh like a hundredth of a runner's slots.
const READ: u64 = 40;
/// What an unread prompt weighs where its length is not known.
const COLD: u64 = 50;
/// A router compares at least so many of the runners that could take a request.
const LEAST_COMPARED: usize = 2;
/// Up to so many routers may each take the best of all runners without crowding it.
const ROUTERS_AT_EASE: usize = 8;

/// A runner that could take the request now.
struct Candidate<'a> {
    runner: &'a Runner,
    /// Prompt tokens that it would have to read.
    unread: u64,
    /// The lower the better.
    weight: u64,
    /// Its place in the order of this request alone.
    lot: u64,
}

/// What was found of the runners of a service.
#[derive(Default)]
struct Found<'a> {
    /// Some runner is in use at all.
    live: bool,
    /// Some runner holds what is asked for.
    held: bool,
    candidates: Vec<Candidate<'a>>,
}

impl Gate {
    /// Where a request goes, or why it can't go anywhere now.
    pub fn nominate(&mut self, now: Time, order: &Order, avoid: &[Name]) -> Plan {
        let Some(s) = self.slice.clone() else {
            return Plan::Wait("service-not-known-yet");
        };
        if !self.is_fresh(now) {
            return Plan::Wait("not-fresh");
        }
        if let Err(why) = self.admits(order) {
            return Plan::Refuse(Refusal::new(why, 0));
        }
        if self.gone {
            return Plan::Refuse(Refusal::new(Why::Gone, 0));
        }
        if let Some(r) = unknown(&s, order) {
            return Plan::Refuse(r);
        }
        let mut found = self.find(now, &s, order, avoid);
        match self.compare(&mut found.candidates) {
            Some(best) => Plan::Send(best.runner.clone()),
            None if !found.live => Plan::Wait("no-runner"),
            None if !found.held => Plan::Wait("no-holder"),
            None => Plan::Wait("busy"),
        }
    }

    fn find<'a>(&self, now: Time, s: &'a ServiceSlice, order: &Order, avoid: &[Name]) -> Found<'a> {
        let mut found = Found::default();
        let (model, adapter) = (Name(order.model.to_string()), Name(order.adapter.to_string()));
        let bare = self.bare_plain && s.service.sort == ServiceKind::Plain;
        let many_out = self.all_out(now, s);
        let unreported = RunnerReport::default();
        for r in s.runners.iter().filter(|r| !r.leaving && !avoid.contains(&r.instance)) {
            let Some(h) = self.health.get(&r.instance) else { continue };
            let report = match h.fresh(now) {
                Some(report) => report,
                None if bare => &unreported,
                None => continue,
            };
            let other = report.instance != r.instance && !bare;
            if h.leaving || other || (h.out(now) && !many_out) || h.is_full(now) {
                continue;
            }
            found.live = true;
            if s.service.sort == ServiceKind::Assistant {
                let fit = report.has(&model) && (adapter.0.is_empty() || report.has(&adapter));
                if !fit || makes_way(s, &r.instance, &model) {
                    continue;
                }
            }
            found.held = true;
            let load = if bare { h.burden(now) } else { h.load(now) };
            let slots = slots_of(h, report.slots, s.service.slots);
            if load < slots {
                found.candidates.push(self.candidate(r, report, order, load * 100 / slots));
            }
        }
        found
    }

    fn candidate<'a>(&self, r: &'a Runner, report: &RunnerReport, order: &Order, load: u64) -> Candidate<'a> {
        let cold = order.parts.is_empty()
            && (order.prefix.is_empty() || !report.prefixes.iter().any(|p| *p == order.prefix.as_str()));
        let unread = order.size.prompt.saturating_sub(self.kept.of(&r.instance, order)) as u64;
        let far = u64::from(r.domain != self.domain) * FAR;
        let weight = load + if cold { COLD } else { 0 } + unread / READ + far;
        Candidate { runner: r, unread, weight, lot: hash(&r.instance.0, order.id) }
    }

    /// The best of some runners drawn by lot, and of the one that has least of the prompt to read. What is known of a
    /// runner's load is old by as much as all other routers send meanwhile: were each to take the best of all, all
    /// would take the same. So the more routers there are, the fewer runners each of them compares.
    fn compare<'a, 'b>(&self, candidates: &'b mut [Candidate<'a>]) -> Option<&'b Candidate<'a>> {
        let share = (candidates.len() * ROUTERS_AT_EASE).div_ceil(self.routers.max(1) as usize);
        let compared = share.max(LEAST_COMPARED).min(candidates.len());
        candidates.sort_unstable_by_key(|c| c.lot);
        let warmest = candidates.iter().min_by_key(|c| (c.unread, c.lot));
        let drawn = candidates[..compared].iter().chain(warmest);
        drawn.min_by_key(|c| (c.weight, c.lot))
    }

    fn all_out(&self, now: Time, s: &ServiceSlice) -> bool {
        let rows = s.runners.iter().filter_map(|r| self.health.get(&r.instance));
        let bare = self.bare_plain && s.service.sort == ServiceKind::Plain;
        rows.filter(|h| bare || h.fresh(now).is_some()).all(|h| h.out(now))
    }
}

/// The slots of a runner as it tells them itself, else as the service states them.
pub fn slots_of(h: &super::health::Health, told: u64, stated: u64) -> u64 {
    let own = [h.slots, told].into_iter().find(|n| *n > 0).unwrap_or(stated);
    own.min(stated).max(1)
}

pub fn unknown(s: &ServiceSlice, order: &Order) -> Option<Refusal> {
    if s.service.sort == ServiceKind::Plain {
        return None;
    }
    let no = Some(Refusal::new(Why::NoModel, 0));
    if !s.service.models.iter().any(|m| m.0 == order.model.as_str()) {
        return no;
    }
    if order.adapter.is_empty() {
        return None;
    }
    let fit =
        s.adapters.iter().any(|a| a.name.0 == order.adapter.as_str() && a.model.0 == order.model.as_str());
    if fit { None } else { no }
}

pub fn makes_way(s: &ServiceSlice, runner: &Name, model: &Name) -> bool {
    s.moves.iter().any(|m| {
        m.from == *runner && m.model == *model && matches!(m.phase, Phase::Warm | Phase::Unload | Phase::Want)
    })
}
