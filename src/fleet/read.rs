//! Reads a configuration in the product's own format. Ranges and defaults of its fields are given here.

use super::config::*;
use super::tenant_format;
use crate::json::{Reader, Tree};
use crate::kernel::fault::{Fault, Kind};
use crate::kernel::ids::Name;

const CLASSES: [&str; 4] = ["counter", "chat", "normal", "bulk"];

/// Reads a configuration from JSON.
///
/// # Errors
///
/// All faults of the document, each with its place.
pub fn read_text(text: &str) -> Result<FleetConfig, Vec<Fault>> {
    match Tree::parse(text) {
        Ok(tree) => read(&tree),
        Err(why) => {
            Err(vec![Fault::new(Kind::Config, "configuration", why, "send one well-formed JSON object")])
        }
    }
}

/// Reads a configuration from a JSON tree.
///
/// # Errors
///
/// All faults of the document, each with its place.
pub fn read(tree: &Tree) -> Result<FleetConfig, Vec<Fault>> {
    let mut bad = Vec::new();
    let mut r = Reader::new("", tree);
    let revision = r.num("revision", Some(0), 0, 1 << 52);
    let source = r.text("source", Some(""));
    let mut c = FleetConfig { revision, source, ..FleetConfig::default() };
    if let Some(t) = r.take("limits") {
        let mut s = Reader::new("limits", t);
        let d = Limits::default();
        c.limits.head_bytes = s.num("head_bytes", Some(d.head_bytes), 256, 1 << 20);
        c.limits.body_bytes = s.num("body_bytes", Some(d.body_bytes), 1, 1 << 30);
        c.limits.head_ms = s.num("head_ms", Some(d.head_ms), 1, 600_000);
        c.limits.idle_ms = s.num("idle_ms", Some(d.idle_ms), 1, 3_600_000);
        bad.extend(s.done());
    }
    if let Some(t) = r.take("store") {
        let mut s = Reader::new("store", t);
        c.store.loads_per_minute = s.num("loads_per_minute", Some(60), 1, 6000);
        c.store.burst = s.num("burst", Some(4), 1, 100);
        c.store.window_ms = s.num("window_ms", Some(0), 0, 600_000);
        c.store.most = s.num("most", Some(0), 0, 10_000);
        c.store.at_once = s.num("at_once", Some(0), 0, 1000);
        c.store.kept_ms = s.num("kept_ms", Some(0), 0, 600_000);
        c.store.adapters = s.flag("adapters", true);
        bad.extend(s.done());
    }
    if let Some(t) = r.take("budget") {
        let mut s = Reader::new("budget", t);
        c.budget.percent = s.num("percent", Some(20), 0, 20);
        c.budget.allowance = s.num("allowance", Some(10), 0, 100);
        bad.extend(s.done());
    }
    if let Some(t) = r.take("moving") {
        let mut s = Reader::new("moving", t);
        let d = Moving::default();
        c.moving.gap = s.num("gap", Some(d.gap), 0, 1000);
        c.moving.rounds = s.num("rounds", Some(d.rounds), 1, 32);
        c.moving.round_ms = s.num("round_ms", Some(d.round_ms), 10, 600_000);
        c.moving.cut_ms = s.num("cut_ms", Some(d.cut_ms), 10, 60_000);
        c.moving.load = stage(s.take("load"), "moving.load", d.load, &mut bad);
        c.moving.warm = stage(s.take("warm"), "moving.warm", d.warm, &mut bad);
        c.moving.unload = stage(s.take("unload"), "moving.unload", d.unload, &mut bad);
        bad.extend(s.done());
    }
    if let Some(t) = r.take("placement") {
        let mut s = Reader::new("placement", t);
        c.placement.auto = s.one_of("accept", "auto", &["auto", "ask"]) == "auto";
        let greedy = s.one_of("way", "least", &["least", "greedy"]) == "greedy";
        c.placement.way = if greedy { PlacementStrategy::Greedy } else { PlacementStrategy::Least };
        c.placement.stage =
            stage(s.take("stage"), "placement.stage", PlacementSettings::default().stage, &mut bad);
        bad.extend(s.done());
    }
    if let Some(t) = r.take("rollout") {
        let mut s = Reader::new("rollout", t);
        let d = Rollout::default();
        c.rollout.deliver = stage(s.take("deliver"), "rollout.deliver", d.deliver, &mut bad);
        c.rollout.rehearse = stage(s.take("rehearse"), "rollout.rehearse", d.rehearse, &mut bad);
        c.rollout.refused_percent = s.num("refused_percent", Some(5), 0, 100);
        for (n, t) in s.list("samples").iter().enumerate() {
            let mut q = Reader::new(&format!("rollout.samples[{n}]"), t);
            let service = Name(q.name("service"));
            let model = Name(q.line("model", Some("")));
            c.rollout.samples.push(Sample { service, model });
            bad.extend(q.done());
        }
        bad.extend(s.done());
    }
    for (n, t) in r.list("models").iter().enumerate() {
        let mut s = Reader::new(&format!("models[{n}]"), t);
        let name = Name(s.name("name"));
        let weight_mb = s.num("weight_mb", None, 1, 10_000_000);
        let load_ms = s.num("load_ms", Some(3000), 1, 3_600_000);
        bad.extend(s.done());
        c.models.push(Model { name, weight_mb, load_ms });
    }
    for (n, t) in r.list("adapters").iter().enumerate() {
        let mut s = Reader::new(&format!("adapters[{n}]"), t);
        let name = Name(s.name("name"));
        let model = Name(s.name("model"));
        let weight_mb = s.num("weight_mb", None, 1, 1_000_000);
        let load_ms = s.num("load_ms", Some(500), 1, 3_600_000);
        bad.extend(s.done());
        c.adapters.push(Adapter { name, model, weight_mb, load_ms });
    }
    for (n, t) in r.list("services").iter().enumerate() {
        c.services.push(service(n, t, &mut bad));
    }
    for (n, t) in r.list("tenants").iter().enumerate() {
        c.tenants.push(tenant_format::read(n, t, &mut bad));
    }
    bad.extend(r.done());
    bad.extend(super::check::check(&c));
    bad.extend(tenant_format::check(&c.tenants));
    if bad.is_empty() { Ok(c) } else { Err(bad) }
}

fn stage(t: Option<&Tree>, path: &str, d: Allowance, bad: &mut Vec<Fault>) -> Allowance {
    let Some(t) = t else { return d };
    let mut r = Reader::new(path, t);
    let ms = r.num("ms", Some(d.ms), 1, 3_600_000);
    let tries = r.num("tries", Some(d.tries), 1, 1000);
    bad.extend(r.done());
    Allowance { ms, tries }
}

fn service(n: usize, t: &Tree, bad: &mut Vec<Fault>) -> Service {
    let path = format!("services[{n}]");
    let mut r = Reader::new(&path, t);
    let name = Name(r.name("name"));
    let sort = match r.one_of("sort", "plain", &["assistant", "plain"]).as_str() {
        "assistant" => ServiceKind::Assistant,
        _ => ServiceKind::Plain,
    };
    let inbox = r.num("inbox", Some(256), 0, 100_000);
    let slots = r.num("slots", Some(8), 1, 10_000);
    let links = r.num("links", Some(1024), 1, 1_000_000);
    let health = r.line("health", Some(""));
    let tokens = r.num("tokens", Some(0), 0, 1 << 40);
    let stride = r.num("stride", Some(1), 1, 1000);
    let room_mb = r.num("room_mb", Some(0), 0, 1 << 40);
    let places = r.num("places", Some(0), 0, 100_000);
    let models = r.texts("models").into_iter().map(Name).collect();
    let adapters = r.texts("adapters").into_iter().map(Name).collect();
    let mut routes = Vec::new();
    for (k, t) in r.list("routes").iter().enumerate() {
        let mut q = Reader::new(&format!("{path}.routes[{k}]"), t);
        let prefix = q.line("prefix", None);
        let host = q.line("host", Some(""));
        let class = Class::from(q.one_of("class", "normal", &CLASSES).as_str());
        let resumable = q.flag("resumable", false);
        let due_ms = q.num("due_ms", Some(30_000), 10, 3_600_000);
        let body_kb = q.num("body_kb", Some(1024), 1, 65_536);
        let kind = RouteKind::from(q.one_of("kind", "once", &["once", "idempotent", "stream"]).as_str());
        let tries = q.num("tries", Some(16), 1, 1000);
        let aim_ms = q.num("aim_ms", Some(0), 0, 3_600_000);
        let gap_ms = q.num("gap_ms", Some(0), 0, 3_600_000);
        let sticky = q.flag("sticky", false);
        let open = q.flag("open", false);
        let mut split = Vec::new();
        for (j, t) in q.list("split").iter().enumerate() {
            let mut w = Reader::new(&format!("{path}.routes[{k}].split[{j}]"), t);
            let service = Name(w.name("service"));
            let weight = w.num("weight", None, 0, 1_000_000);
            bad.extend(w.done());
            split.push(Share { service, weight });
        }
        if !prefix.starts_with('/') {
            q.fault("prefix", "does not start with /", "write it as \"/name\"");
        }
        bad.extend(q.done());
        routes.push(Route {
            prefix,
            host,
            class,
            resumable,
            due_ms,
            body_kb,
            kind,
            tries,
            aim_ms,
            gap_ms,
            sticky,
            open,
            split,
        });
    }
    bad.extend(r.done());
    Service {
        name,
        sort,
        inbox,
        slots,
        links,
        health,
        tokens,
        stride,
        room_mb,
        places,
        models,
        adapters,
        routes,
    }
}
