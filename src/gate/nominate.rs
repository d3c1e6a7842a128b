use super::core::Gate;
use super::order::{Order, Plan, Refusal, Why};
use crate::fleet::config::Sort;
use crate::fleet::runner::Runner;
use crate::fleet::slice::ServiceSlice;
use crate::fleet::state::Phase;
use crate::kernel::ids::Name;
use crate::kernel::rand::hash;
use crate::kernel::time::Time;
use std::sync::Arc;

const FAR: u64 = 10;
const READ: u64 = 40;

pub struct Pick {
    pub runner: Runner,
    pub score: (u64, u64, u64),
}

impl Gate {
    pub fn nominate(&mut self, now: Time, order: &Order, avoid: &[Name]) -> Plan {
        let Some(s) = self.slice.clone() else {
            return Plan::Wait("service-not-known-yet");
        };
        if !self.is_fresh(now) {
            return Plan::Wait("not-fresh");
        }
        if !self.routed(order) {
            return Plan::Refuse(Refusal::new(Why::NoRoute, 0));
        }
        if self.gone {
            return Plan::Refuse(Refusal::new(Why::Gone, 0));
        }
        if let Some(r) = unknown(&s, order) {
            return Plan::Refuse(r);
        }
        let mut live = 0;
        let mut held = 0;
        let mut best: Option<Pick> = None;
        let many_out = self.all_out(now, &s);
        let none = crate::fleet::runner::Report::default();
        for r in &s.runners {
            if r.leaving || avoid.contains(&r.instance) {
                continue;
            }
            let Some(h) = self.health.get(&r.instance) else { continue };
            let bare = self.bare_plain && s.service.sort == Sort::Plain;
            let report = match h.fresh(now) {
                Some(report) => report,
                None if bare => &none,
                None => continue,
            };
            let other = report.instance != r.instance && !bare;
            if h.leaving || other || (h.out(now) && !many_out) || h.is_full(now) {
                continue;
            }
            live += 1;
            let model = Name(order.model.to_string());
            if s.service.sort == Sort::Assistant {
                let adapter = Name(order.adapter.to_string());
                let fit = report.has(&model) && (adapter.0.is_empty() || report.has(&adapter));
                if !fit || makes_way(&s, &r.instance, &model) {
                    continue;
                }
            }
            held += 1;
            let load = if bare { h.burden(now) } else { h.load(now) };
            let slots = slots_of(h, report.slots, s.service.slots);
            if load >= slots {
                continue;
            }
            let cold = order.parts.is_empty()
                && (order.prefix.is_empty() || !report.prefixes.iter().any(|p| *p == order.prefix.as_str()));
            let unread = order.size.prompt.saturating_sub(self.kept.of(&r.instance, order)) as u64;
            let weight = (load * 100 / slots) + if cold { 50 } else { 0 } + unread / READ;
            let far = u64::from(r.domain != self.domain) * FAR;
            let score = (weight + far, load, hash(&r.instance.0, order.id));
            if best.as_ref().is_none_or(|b| score < b.score) {
                best = Some(Pick { runner: r.clone(), score });
            }
        }
        if let Some(pick) = best {
            return Plan::Send(pick.runner);
        }
        match (live, held) {
            (0, _) => Plan::Wait("no-runner"),
            (_, 0) => Plan::Wait("no-holder"),
            _ => Plan::Wait("busy"),
        }
    }

    fn all_out(&self, now: Time, s: &Arc<ServiceSlice>) -> bool {
        let rows = s.runners.iter().filter_map(|r| self.health.get(&r.instance));
        let bare = self.bare_plain && s.service.sort == Sort::Plain;
        rows.filter(|h| bare || h.fresh(now).is_some()).all(|h| h.out(now))
    }
}

/// The slots of a runner as it tells them itself, else as the service states them.
pub fn slots_of(h: &super::health::Health, told: u64, stated: u64) -> u64 {
    let own = [h.slots, told].into_iter().find(|n| *n > 0).unwrap_or(stated);
    own.min(stated).max(1)
}

pub fn unknown(s: &ServiceSlice, order: &Order) -> Option<Refusal> {
    if s.service.sort == Sort::Plain {
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
