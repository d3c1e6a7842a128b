use super::operator::Figures;
use crate::fleet::FleetConfig;
use crate::fleet::config::*;
use crate::json::Tree;
use crate::kernel::fault::{Fault, Kind};
use crate::kernel::ids::Name;
use crate::seam::adapter_name;
use std::collections::{BTreeMap, BTreeSet};

const LISTS: [&str; 2] = ["RouteMap", "Backends"];
const RANKS: [Class; 4] = [Class::Counter, Class::Chat, Class::Normal, Class::Bulk];
const ADAPTER_MS: u64 = 10;
/// What a load from the runner's own disk takes of one from the store, in a hundred; the platform says only "sooner".
const KEPT_LOAD_PERCENT: u64 = 30;
const FINE: f64 = 10_000.0;
const MAX_WEIGHT: f64 = 1e12;
const MAX_ADAPTERS: f64 = 10_000.0;
const REVISION: &str = "Revision";

fn bad(place: impl Into<String>, what: impl Into<String>, remedy: &str) -> Fault {
    Fault::new(Kind::Config, place, what, remedy)
}

fn parse(text: &str) -> Result<Tree, Vec<Fault>> {
    let tree = Tree::parse(text).map_err(|why| vec![bad("configuration", why, "send one JSON object")])?;
    match tree {
        Tree::Map(_) => Ok(tree),
        _ => Err(vec![bad("configuration", "is no object", "send one JSON object")]),
    }
}

fn put(rows: &mut Vec<(String, Tree)>, key: &str, value: Tree) {
    match rows.iter_mut().find(|r| r.0 == key) {
        Some(row) => row.1 = value,
        None => rows.push((key.to_string(), value)),
    }
}

/// The document that a change of named items makes of the current one.
fn merge(now: Tree, patch: &Tree) -> Result<Tree, Vec<Fault>> {
    let (Tree::Map(mut rows), Tree::Map(more)) = (now, patch) else {
        return Err(vec![bad("configuration", "is no object", "send one JSON object")]);
    };
    for (key, value) in more {
        if key != "Upsert" && key != "Withdraw" {
            put(&mut rows, key, value.clone());
        }
    }
    for key in LISTS {
        let gone: BTreeSet<String> =
            patch.get("Withdraw").map_or(vec![], |t| t.texts(key)).into_iter().collect();
        let new = patch.get("Upsert").map_or(&[][..], |t| t.list(key));
        if gone.is_empty() && new.is_empty() {
            continue;
        }
        let mut by: BTreeMap<&str, &Tree> = new.iter().filter_map(|t| Some((t.text("Name")?, t))).collect();
        let old = rows.iter().find(|r| r.0 == key).map_or(vec![], |r| match &r.1 {
            Tree::List(l) => l.clone(),
            _ => vec![],
        });
        let mut list = Vec::with_capacity(old.len() + new.len());
        for t in old {
            let name = t.text("Name").unwrap_or("").to_string();
            if let Some(t) = by.remove(name.as_str()) {
                list.push(t.clone());
            } else if !gone.contains(&name) {
                list.push(t);
            }
        }
        list.extend(new.iter().filter(|t| t.text("Name").is_some_and(|n| by.contains_key(n))).cloned());
        put(&mut rows, key, Tree::List(list));
    }
    if let Some(Tree::Map(limits)) = patch.get("Upsert").and_then(|t| t.get("Limits")) {
        put(&mut rows, "Limits", Tree::Map(limits.clone()));
    }
    Ok(Tree::Map(rows))
}

/// The revision that a document names.
pub fn revision(text: &str) -> Option<u64> {
    Tree::parse(text).ok()?.whole(REVISION)
}

pub fn read(f: &Figures, now: &FleetConfig, text: &str, part: bool) -> Result<FleetConfig, Vec<Fault>> {
    let mut tree = parse(text)?;
    let mut source = text.to_string();
    if part {
        let old = if now.source.is_empty() { "{}" } else { now.source.as_str() };
        tree = merge(parse(old)?, &tree)?;
        source = tree.to_string();
    }
    let mut faults = Vec::new();
    let mut c = whole(f, &tree, &mut faults);
    c.source = source;
    if faults.is_empty() { Ok(c) } else { Err(faults) }
}

fn ms(t: &Tree, key: &str) -> u64 {
    t.num(key).unwrap_or(0)
}

fn whole(f: &Figures, tree: &Tree, faults: &mut Vec<Fault>) -> FleetConfig {
    let mut c = FleetConfig { budget: f.budget.clone(), ..FleetConfig::default() };
    c.store.adapters = false;
    match tree.whole(REVISION) {
        Some(n) => c.revision = n,
        None => {
            faults.push(bad(REVISION, "is no whole number up to 2^53", "give a number above the current one"))
        }
    }
    if let Some(l) = tree.get("Limits") {
        let d = Limits::default();
        c.limits = Limits {
            head_bytes: l.num("MaxHeaderBytes").unwrap_or(d.head_bytes),
            body_bytes: l.num("MaxBodyBytes").unwrap_or(d.body_bytes),
            head_ms: l.num("HeaderTimeoutMs").unwrap_or(d.head_ms),
            idle_ms: l.num("IdleTimeoutMs").unwrap_or(d.idle_ms),
        };
    }
    for key in LISTS {
        if !matches!(tree.get(key), Some(Tree::List(_))) {
            faults.push(bad(key, "is no list", "send the whole configuration"));
        }
    }
    for t in tree.list("Backends") {
        service(f, t, &mut c, faults);
    }
    let mut seen = BTreeSet::new();
    for (n, t) in tree.list("RouteMap").iter().enumerate() {
        let at = format!("RouteMap[{n}]");
        let Some((of, route)) = route(&at, t, &c, faults) else { continue };
        if !seen.insert((route.host.clone(), route.prefix.clone())) {
            faults.push(bad(at, "shares host and prefix with another", "drop one of the two"));
            continue;
        }
        if let Some(s) = c.services.iter_mut().find(|s| s.name == of) {
            s.routes.push(route);
        }
    }
    c
}

fn service(f: &Figures, t: &Tree, c: &mut FleetConfig, faults: &mut Vec<Fault>) {
    let Some(name) = t.text("Name") else {
        return faults.push(bad("Backends", "one has no Name", "name it"));
    };
    let mut s = Service {
        name: Name::from(name),
        sort: Sort::Plain,
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
        s.sort = Sort::Assistant;
        s.slots = e.num("CapacitySlots").unwrap_or(8).max(1);
        s.tokens = e.num("KvCapacity").unwrap_or(0);
        s.stride = e.num("Stride").unwrap_or(1).max(1);
        s.room_mb = e.num("WeightsMb").unwrap_or(0);
        s.places = e.num("AdapterCapacity").unwrap_or(0);
        if let Some(rate) = e.float("LoadRateS") {
            c.store.loads_per_minute = (rate * 60.0) as u64;
            c.store.burst = f.origin.burst(rate);
        }
        for m in e.list("Models") {
            let Some(name) = m.text("Name") else { continue };
            let num = |k: &str| m.float(k).unwrap_or(0.0);
            let load_ms = (num("LoadTimeS") * 1000.0) as u64;
            if num("Adapters") > MAX_ADAPTERS {
                faults.push(bad(format!("{name}.Adapters"), "is over 10000", "name fewer"));
                continue;
            }
            c.store.kept_ms = c.store.kept_ms.max(load_ms * KEPT_LOAD_PERCENT / 100);
            s.models.push(Name::from(name));
            c.models.push(Model { name: name.into(), weight_mb: num("WeightsMb").ceil() as u64, load_ms });
            for k in 1..=num("Adapters") as u64 {
                let own = adapter_name(name, &format!("a{k}"));
                s.adapters.push(own.clone());
                let weight_mb = num("AdapterSizeMb").ceil() as u64;
                c.adapters.push(Adapter { name: own, model: name.into(), weight_mb, load_ms: ADAPTER_MS });
            }
        }
    }
    c.services.push(s);
}

fn weight(t: &Tree) -> f64 {
    t.float("Weight").unwrap_or(0.0).min(MAX_WEIGHT)
}

fn route(at: &str, t: &Tree, c: &FleetConfig, faults: &mut Vec<Fault>) -> Option<(Name, Route)> {
    let before = faults.len();
    let mut split: Vec<Share> = Vec::new();
    let rows = t.list("WeightedBackends");
    let weights: Vec<f64> = rows.iter().map(weight).collect();
    let scale = if weights.iter().all(|w| w.fract() == 0.0) { 1.0 } else { FINE };
    for (w, n) in rows.iter().zip(&weights) {
        let service = Name::from(w.text("Backend").unwrap_or(""));
        split.push(Share { service, weight: (n * scale).ceil() as u64 });
    }
    if !split.is_empty() && weights.iter().sum::<f64>() <= 0.0 {
        faults.push(bad(at, "its weights add up to 0", "give one a weight above 0"));
    }
    let of = match (t.text("Backend"), split.iter().max_by_key(|w| w.weight)) {
        (Some(b), _) => Name::from(b),
        (None, Some(w)) => w.service.clone(),
        (None, None) => Name::default(),
    };
    for name in split.iter().map(|w| &w.service).chain([&of]) {
        if c.service(name).is_none() {
            faults.push(bad(at, format!("names the unknown service \"{name}\""), "name one of Backends"));
        }
    }
    let (host, prefix) = (t.text("Vhost").unwrap_or(""), t.text("PathPrefix").unwrap_or(""));
    if !prefix.starts_with('/') || t.text("Name").is_none() {
        faults.push(bad(at, "has no Name or no PathPrefix", "give both"));
    }
    if ms(t, "TimeoutMs") == 0 {
        faults.push(bad(at, "its TimeoutMs is 0", "give a time above 0"));
    }
    let kind = match t.text("RouteType") {
        Some("idempotent") => RouteKind::Idempotent,
        Some("streaming") => RouteKind::Stream,
        _ => RouteKind::Once,
    };
    let route = Route {
        prefix: prefix.to_string(),
        host: host.to_string(),
        class: RANKS[(ms(t, "Priority") as usize).min(3)],
        resumable: kind == RouteKind::Stream && t.flag("Resumable").unwrap_or(false),
        due_ms: ms(t, "TimeoutMs"),
        body_kb: c.limits.body_bytes.div_ceil(1024),
        kind,
        tries: t.num("MaxRetries").unwrap_or(1).max(1),
        aim_ms: ms(t, "TargetLatencyMs"),
        gap_ms: ms(t, "TargetGapMs"),
        sticky: t.flag("SessionAffinity").unwrap_or(false),
        split,
    };
    (faults.len() == before).then_some((of, route))
}
