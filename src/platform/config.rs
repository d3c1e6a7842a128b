//! Reads the configuration as the platform's users write it.

use super::config_size;
use super::merge::{REQUIRED_LISTS, merge, parse};
use super::operator::SettingsFigures;
use super::tenants;
use crate::fleet::FleetConfig;
use crate::fleet::config::*;
use crate::json::Tree;
use crate::kernel::fault::{Fault, Kind};
use crate::kernel::ids::Name;
use crate::protocol::adapter_name;
use std::collections::{BTreeMap, BTreeSet};

/// The class of a route by its priority, the most urgent first.
const CLASS_BY_PRIORITY: [Class; 4] = [Class::Counter, Class::Chat, Class::Normal, Class::Bulk];
/// How long an adapter takes to load; the platform does not say.
const ADAPTER_LOAD_MS: u64 = 10;
/// How long a load from the runner's own disk takes, in percent of a load from the store. The platform only says that it
/// is faster.
const KEPT_LOAD_PERCENT: u64 = 30;
/// The factor that turns fractional weights into integers.
const FRACTIONAL_WEIGHT_SCALE: f64 = 10_000.0;
/// Larger weights are capped.
const MAX_WEIGHT: f64 = 1e12;
/// The most adapters of one model.
const MAX_ADAPTERS: f64 = 10_000.0;
const REVISION: &str = "Revision";

fn fault(place: impl Into<String>, what: impl Into<String>, remedy: &str) -> Fault {
    Fault::new(Kind::Config, place, what, remedy)
}

/// The revision that a document names; `None` if it is malformed.
pub fn revision(text: &str) -> Option<u64> {
    Tree::parse(text).ok()?.whole(REVISION)
}

/// The configuration that `text` makes of `current`: the whole document or, if `is_patch`, a change of named items. Fails
/// with all faults found.
pub fn read(
    figures: &SettingsFigures,
    current: &FleetConfig,
    text: &str,
    is_patch: bool,
) -> Result<FleetConfig, Vec<Fault>> {
    let mut tree = parse(text)?;
    let mut source = text.to_string();
    if is_patch {
        let old = if current.source.is_empty() { "{}" } else { current.source.as_str() };
        tree = merge(parse(old)?, &tree)?;
        source = tree.to_string();
    }
    let mut faults = config_size::of(&tree, source.len()).check();
    if !faults.is_empty() {
        return Err(faults);
    }
    let mut c = read_document(figures, &tree, &mut faults);
    c.source = source;
    if faults.is_empty() { Ok(c) } else { Err(faults) }
}

/// A duration in milliseconds; 0 if it is absent.
fn milliseconds(t: &Tree, key: &str) -> u64 {
    t.num(key).unwrap_or(0)
}

/// Reads a complete document and collects its faults.
fn read_document(figures: &SettingsFigures, tree: &Tree, faults: &mut Vec<Fault>) -> FleetConfig {
    let mut c = FleetConfig { budget: figures.budget.clone(), ..FleetConfig::default() };
    c.store.adapters = false;
    match tree.whole(REVISION) {
        Some(n) => c.revision = n,
        None => faults.push(fault(
            REVISION,
            "is no whole number up to 2^53",
            "give a number above the current one",
        )),
    }
    if let Some(l) = tree.get("Limits") {
        let defaults = Limits::default();
        c.limits = Limits {
            head_bytes: l.num("MaxHeaderBytes").unwrap_or(defaults.head_bytes),
            body_bytes: l.num("MaxBodyBytes").unwrap_or(defaults.body_bytes),
            head_ms: l.num("HeaderTimeoutMs").unwrap_or(defaults.head_ms),
            idle_ms: l.num("IdleTimeoutMs").unwrap_or(defaults.idle_ms),
        };
    }
    for key in REQUIRED_LISTS {
        if !matches!(tree.get(key), Some(Tree::List(_))) {
            faults.push(fault(key, "is no list", "send the whole configuration"));
        }
    }
    for t in tree.list("Backends") {
        read_service(figures, t, &mut c, faults);
    }
    let mut places = BTreeMap::new();
    for (place, service) in c.services.iter().enumerate() {
        places.entry(service.name.clone()).or_insert(place);
    }
    let mut seen = BTreeSet::new();
    for (n, t) in tree.list("RouteMap").iter().enumerate() {
        let at = format!("RouteMap[{n}]");
        let Some((service, route)) = read_route(&at, t, &c.limits, &places, faults) else { continue };
        if !seen.insert((route.host.clone(), route.prefix.clone())) {
            faults.push(fault(at, "shares host and prefix with another", "drop one of the two"));
            continue;
        }
        c.services[places[&service]].routes.push(route);
    }
    c.tenants = tenants::read(tree, faults).into();
    c
}

/// Reads one service with its models and adapters, and the load rate of the store.
fn read_service(figures: &SettingsFigures, t: &Tree, c: &mut FleetConfig, faults: &mut Vec<Fault>) {
    let Some(name) = config_size::name(t, "Backends", faults) else {
        return faults.push(fault("Backends", "one has no valid Name", "name it"));
    };
    let mut s = Service {
        name: Name::from(name),
        sort: ServiceKind::Plain,
        inbox: 4096,
        slots: 10_000,
        links: t.num("MaxConnections").unwrap_or(1024),
        health: t.text("HealthCheck").unwrap_or("").to_string(),
        tokens: 0,
        stride: 1,
        room_mb: 0,
        places: 0,
        models: vec![],
        adapters: vec![],
        routes: vec![],
    };
    if let Some(e) = t.get("Engine") {
        s.sort = ServiceKind::Assistant;
        s.slots = e.num("CapacitySlots").unwrap_or(8).max(1);
        s.tokens = e.num("KvCapacity").unwrap_or(0);
        s.stride = e.num("Stride").unwrap_or(1).max(1);
        s.room_mb = e.num("WeightsMb").unwrap_or(0);
        s.places = e.num("AdapterCapacity").unwrap_or(0);
        if let Some(rate) = e.float("LoadRateS") {
            c.store.loads_per_minute = (rate * 60.0) as u64;
            c.store.burst = figures.load_rate_limit.burst(rate);
        }
        for m in e.list("Models") {
            let Some(name) = config_size::name(m, "Models", faults) else { continue };
            let num = |k: &str| m.float(k).unwrap_or(0.0);
            let load_ms = (num("LoadTimeS") * 1000.0) as u64;
            if num("Adapters") > MAX_ADAPTERS {
                faults.push(fault(format!("{name}.Adapters"), "is over 10000", "name fewer"));
                continue;
            }
            c.store.kept_ms = c.store.kept_ms.max(load_ms * KEPT_LOAD_PERCENT / 100);
            s.models.push(Name::from(name));
            c.models.push(Model { name: name.into(), weight_mb: num("WeightsMb").ceil() as u64, load_ms });
            for k in 1..=num("Adapters") as u64 {
                let own = adapter_name(name, &format!("a{k}"));
                s.adapters.push(own.clone());
                let weight_mb = num("AdapterSizeMb").ceil() as u64;
                c.adapters.push(Adapter {
                    name: own,
                    model: name.into(),
                    weight_mb,
                    load_ms: ADAPTER_LOAD_MS,
                });
            }
        }
    }
    c.services.push(s);
}

/// The weight of a service within a route.
fn weight(t: &Tree) -> f64 {
    t.float("Weight").unwrap_or(0.0).min(MAX_WEIGHT)
}

/// Reads one route and the service that it belongs to: the named one or, for a split, the one with the greatest weight.
/// `None` if it is faulty.
fn read_route(
    at: &str,
    t: &Tree,
    limits: &Limits,
    services: &BTreeMap<Name, usize>,
    faults: &mut Vec<Fault>,
) -> Option<(Name, Route)> {
    let before = faults.len();
    let mut split: Vec<Share> = Vec::new();
    let rows = t.list("WeightedBackends");
    let weights: Vec<f64> = rows.iter().map(weight).collect();
    let scale = if weights.iter().all(|w| w.fract() == 0.0) { 1.0 } else { FRACTIONAL_WEIGHT_SCALE };
    for (w, n) in rows.iter().zip(&weights) {
        let service = Name::from(w.text("Backend").unwrap_or(""));
        split.push(Share { service, weight: (n * scale).ceil() as u64 });
    }
    if !split.is_empty() && weights.iter().sum::<f64>() <= 0.0 {
        faults.push(fault(at, "its weights add up to 0", "give one a weight above 0"));
    }
    let of = match (t.text("Backend"), split.iter().max_by_key(|w| w.weight)) {
        (Some(b), _) => Name::from(b),
        (None, Some(w)) => w.service.clone(),
        (None, None) => Name::default(),
    };
    for name in split.iter().map(|w| &w.service).chain([&of]) {
        if !services.contains_key(name) {
            faults.push(fault(at, format!("names the unknown service \"{name}\""), "name one of Backends"));
        }
    }
    let (host, prefix) = (t.text("Vhost").unwrap_or(""), t.text("PathPrefix").unwrap_or(""));
    if !prefix.starts_with('/') || t.text("Name").is_none() {
        faults.push(fault(at, "has no Name or no PathPrefix", "give both"));
    }
    if milliseconds(t, "TimeoutMs") == 0 {
        faults.push(fault(at, "its TimeoutMs is 0", "give a time above 0"));
    }
    let kind = match t.text("RouteType") {
        Some("idempotent") => RouteKind::Idempotent,
        Some("streaming") => RouteKind::Stream,
        _ => RouteKind::Once,
    };
    let route = Route {
        prefix: prefix.to_string(),
        host: host.to_string(),
        class: CLASS_BY_PRIORITY[(milliseconds(t, "Priority") as usize).min(3)],
        resumable: kind == RouteKind::Stream && t.flag("Resumable").unwrap_or(false),
        due_ms: milliseconds(t, "TimeoutMs"),
        body_kb: limits.body_bytes.div_ceil(1024),
        kind,
        tries: t.num("MaxRetries").unwrap_or(1).max(1),
        aim_ms: milliseconds(t, "TargetLatencyMs"),
        gap_ms: milliseconds(t, "TargetGapMs"),
        sticky: t.flag("SessionAffinity").unwrap_or(false),
        open: t.flag("NoAuth").unwrap_or(false),
        split,
    };
    (faults.len() == before).then_some((of, route))
}
