//! Checks of a configuration that concern more than one field.

use super::config::*;
use crate::kernel::fault::{Fault, Kind};
use std::collections::BTreeSet;

/// All faults that show only between the parts of a configuration.
pub fn check(c: &FleetConfig) -> Vec<Fault> {
    let mut bad = Vec::new();
    let mut say = |place: String, what: String, remedy: &str| {
        bad.push(Fault::new(Kind::Config, place, what, remedy));
    };
    if c.moving.warm.tries <= c.moving.rounds {
        let what = format!(
            "{} is less than one stream's {} rounds and its cut",
            c.moving.warm.tries, c.moving.rounds
        );
        say("moving.warm.tries".into(), what, "allow more tries or fewer rounds");
    }
    let mut seen = BTreeSet::new();
    for (n, m) in c.models.iter().enumerate() {
        if !seen.insert(m.name.clone()) {
            say(format!("models[{n}].name"), format!("\"{}\" is given twice", m.name), "rename or drop one");
        }
    }
    for (n, a) in c.adapters.iter().enumerate() {
        if !seen.insert(a.name.clone()) {
            say(
                format!("adapters[{n}].name"),
                format!("\"{}\" is given twice", a.name),
                "rename or drop one",
            );
        }
        if c.model(&a.model).is_none() {
            say(format!("adapters[{n}].model"), format!("\"{}\" is unknown", a.model), "add it to models");
        }
    }
    let mut names = BTreeSet::new();
    let mut routes = BTreeSet::new();
    for (n, s) in c.services.iter().enumerate() {
        let path = format!("services[{n}]");
        if !names.insert(s.name.clone()) {
            say(format!("{path}.name"), format!("\"{}\" is given twice", s.name), "rename or drop one");
        }
        if s.sort == ServiceKind::Plain && !(s.models.is_empty() && s.adapters.is_empty()) {
            say(path.clone(), "a plain service lists models".into(), "set sort to assistant or drop them");
        }
        if s.sort == ServiceKind::Assistant && s.models.is_empty() {
            say(format!("{path}.models"), "is empty".into(), "name at least one model");
        }
        let mut twice = BTreeSet::new();
        for m in s.models.iter().chain(&s.adapters) {
            if !twice.insert(m.clone()) {
                say(path.clone(), format!("\"{m}\" is listed twice"), "keep one");
            }
        }
        for m in s.models.iter().filter(|m| c.model(m).is_none()) {
            say(format!("{path}.models"), format!("\"{m}\" is unknown"), "add it to models");
        }
        for a in &s.adapters {
            let Some(row) = c.adapter(a) else {
                say(format!("{path}.adapters"), format!("\"{a}\" is unknown"), "add it to adapters");
                continue;
            };
            if !s.models.contains(&row.model) {
                let what = format!("\"{a}\" needs model \"{}\"", row.model);
                say(format!("{path}.adapters"), what, "list that model too");
            }
        }
        for (k, r) in s.routes.iter().enumerate() {
            if !r.split.is_empty() && r.split.iter().all(|w| w.weight == 0) {
                say(
                    format!("{path}.routes[{k}].split"),
                    "weighs nothing".into(),
                    "give one a weight above 0",
                );
            }
            for w in r.split.iter().filter(|w| c.service(&w.service).is_none()) {
                let what = format!("\"{}\" is unknown", w.service);
                say(format!("{path}.routes[{k}].split"), what, "name a service listed here");
            }
            if !routes.insert((r.host.clone(), r.prefix.clone())) {
                let what = format!("\"{}{}\" is given twice", r.host, r.prefix);
                say(format!("{path}.routes[{k}]"), what, "drop one of the two");
            }
        }
    }
    for (n, s) in c.rollout.samples.iter().enumerate() {
        let place = format!("rollout.samples[{n}]");
        let Some(row) = c.service(&s.service) else {
            say(place, format!("service \"{}\" is unknown", s.service), "name a service listed here");
            continue;
        };
        if row.sort == ServiceKind::Assistant && !row.models.contains(&s.model) {
            say(place, format!("model \"{}\" is unknown there", s.model), "name one of its models");
        }
    }
    bad
}
