//! Checks of a configuration that concern more than one field.

use super::config::*;
use crate::kernel::fault::{Fault, Kind};
use std::collections::BTreeSet;

/// All faults that show only between the parts of a configuration.
pub fn check(config: &FleetConfig) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut report = |place: String, what: String, remedy: &str| {
        faults.push(Fault::new(Kind::Config, place, what, remedy));
    };
    if config.moving.warm.tries <= config.moving.rounds {
        let what = format!(
            "{} is less than one stream's {} rounds and its cut",
            config.moving.warm.tries, config.moving.rounds
        );
        report("moving.warm.tries".into(), what, "allow more tries or fewer rounds");
    }
    let mut names = BTreeSet::new();
    for (index, model) in config.models.iter().enumerate() {
        if !names.insert(model.name.clone()) {
            report(
                format!("models[{index}].name"),
                format!("\"{}\" is given twice", model.name),
                "rename or drop one",
            );
        }
    }
    for (index, adapter) in config.adapters.iter().enumerate() {
        if !names.insert(adapter.name.clone()) {
            report(
                format!("adapters[{index}].name"),
                format!("\"{}\" is given twice", adapter.name),
                "rename or drop one",
            );
        }
        if config.model(&adapter.model).is_none() {
            report(
                format!("adapters[{index}].model"),
                format!("\"{}\" is unknown", adapter.model),
                "add it to models",
            );
        }
    }
    let mut service_names = BTreeSet::new();
    let mut known_routes = BTreeSet::new();
    for (index, service) in config.services.iter().enumerate() {
        let path = format!("services[{index}]");
        if !service_names.insert(service.name.clone()) {
            report(
                format!("{path}.name"),
                format!("\"{}\" is given twice", service.name),
                "rename or drop one",
            );
        }
        if service.sort == ServiceKind::Plain && !(service.models.is_empty() && service.adapters.is_empty()) {
            report(path.clone(), "a plain service lists models".into(), "set sort to assistant or drop them");
        }
        if service.sort == ServiceKind::Assistant && service.models.is_empty() {
            report(format!("{path}.models"), "is empty".into(), "name at least one model");
        }
        let mut listed = BTreeSet::new();
        for model in service.models.iter().chain(&service.adapters) {
            if !listed.insert(model.clone()) {
                report(path.clone(), format!("\"{model}\" is listed twice"), "keep one");
            }
        }
        for model in service.models.iter().filter(|model| config.model(model).is_none()) {
            report(format!("{path}.models"), format!("\"{model}\" is unknown"), "add it to models");
        }
        for adapter in &service.adapters {
            let Some(found) = config.adapter(adapter) else {
                report(format!("{path}.adapters"), format!("\"{adapter}\" is unknown"), "add it to adapters");
                continue;
            };
            if !service.models.contains(&found.model) {
                let what = format!("\"{adapter}\" needs model \"{}\"", found.model);
                report(format!("{path}.adapters"), what, "list that model too");
            }
        }
        for (route_index, route) in service.routes.iter().enumerate() {
            if !route.split.is_empty() && route.split.iter().all(|share| share.weight == 0) {
                report(
                    format!("{path}.routes[{route_index}].split"),
                    "weighs nothing".into(),
                    "give one a weight above 0",
                );
            }
            for share in route.split.iter().filter(|share| config.service(&share.service).is_none()) {
                let what = format!("\"{}\" is unknown", share.service);
                report(format!("{path}.routes[{route_index}].split"), what, "name a service listed here");
            }
            if !known_routes.insert((route.host.clone(), route.prefix.clone())) {
                let what = format!("\"{}{}\" is given twice", route.host, route.prefix);
                report(format!("{path}.routes[{route_index}]"), what, "drop one of the two");
            }
        }
    }
    for (index, sample) in config.rollout.samples.iter().enumerate() {
        let place = format!("rollout.samples[{index}]");
        let Some(found) = config.service(&sample.service) else {
            report(place, format!("service \"{}\" is unknown", sample.service), "name a service listed here");
            continue;
        };
        if found.sort == ServiceKind::Assistant && !found.models.contains(&sample.model) {
            report(place, format!("model \"{}\" is unknown there", sample.model), "name one of its models");
        }
    }
    faults
}
