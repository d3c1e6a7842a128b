//! Reads a configuration in the product's own format. Ranges and defaults of its fields are given here.

use super::config::*;
use super::size_limits::ConfigSize;
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
    let mut faults = size(tree).check();
    if !faults.is_empty() {
        return Err(faults);
    }
    let mut reader = Reader::new("", tree);
    let revision = reader.num("revision", Some(0), 0, 1 << 52);
    let source = reader.text("source", Some(""));
    let mut config = FleetConfig { revision, source, ..FleetConfig::default() };
    if let Some(value) = reader.take("limits") {
        let mut section = Reader::new("limits", value);
        let defaults = Limits::default();
        config.limits.head_bytes = section.num("head_bytes", Some(defaults.head_bytes), 256, 1 << 20);
        config.limits.body_bytes = section.num("body_bytes", Some(defaults.body_bytes), 1, 1 << 30);
        config.limits.head_ms = section.num("head_ms", Some(defaults.head_ms), 1, 600_000);
        config.limits.idle_ms = section.num("idle_ms", Some(defaults.idle_ms), 1, 3_600_000);
        faults.extend(section.done());
    }
    if let Some(value) = reader.take("store") {
        let mut section = Reader::new("store", value);
        config.store.loads_per_minute = section.num("loads_per_minute", Some(60), 1, 6000);
        config.store.burst = section.num("burst", Some(4), 1, 100);
        config.store.window_ms = section.num("window_ms", Some(0), 0, 600_000);
        config.store.most = section.num("most", Some(0), 0, 10_000);
        config.store.at_once = section.num("at_once", Some(0), 0, 1000);
        config.store.kept_ms = section.num("kept_ms", Some(0), 0, 600_000);
        config.store.adapters = section.flag("adapters", true);
        faults.extend(section.done());
    }
    if let Some(value) = reader.take("budget") {
        let mut section = Reader::new("budget", value);
        config.budget.percent = section.num("percent", Some(20), 0, 20);
        config.budget.allowance = section.num("allowance", Some(10), 0, 100);
        faults.extend(section.done());
    }
    if let Some(value) = reader.take("moving") {
        let mut section = Reader::new("moving", value);
        let defaults = Moving::default();
        config.moving.gap = section.num("gap", Some(defaults.gap), 0, 1000);
        config.moving.rounds = section.num("rounds", Some(defaults.rounds), 1, 32);
        config.moving.round_ms = section.num("round_ms", Some(defaults.round_ms), 10, 600_000);
        config.moving.cut_ms = section.num("cut_ms", Some(defaults.cut_ms), 10, 60_000);
        config.moving.load = allowance(section.take("load"), "moving.load", defaults.load, &mut faults);
        config.moving.warm = allowance(section.take("warm"), "moving.warm", defaults.warm, &mut faults);
        config.moving.unload =
            allowance(section.take("unload"), "moving.unload", defaults.unload, &mut faults);
        faults.extend(section.done());
    }
    if let Some(value) = reader.take("placement") {
        let mut section = Reader::new("placement", value);
        config.placement.auto = section.one_of("accept", "auto", &["auto", "ask"]) == "auto";
        let greedy = section.one_of("way", "least", &["least", "greedy"]) == "greedy";
        config.placement.way = if greedy { PlacementStrategy::Greedy } else { PlacementStrategy::Least };
        config.placement.stage = allowance(
            section.take("stage"),
            "placement.stage",
            PlacementSettings::default().stage,
            &mut faults,
        );
        faults.extend(section.done());
    }
    if let Some(value) = reader.take("rollout") {
        let mut section = Reader::new("rollout", value);
        let defaults = Rollout::default();
        config.rollout.deliver =
            allowance(section.take("deliver"), "rollout.deliver", defaults.deliver, &mut faults);
        config.rollout.rehearse =
            allowance(section.take("rehearse"), "rollout.rehearse", defaults.rehearse, &mut faults);
        config.rollout.refused_percent = section.num("refused_percent", Some(5), 0, 100);
        for (index, value) in section.list("samples").iter().enumerate() {
            let mut sample = Reader::new(&format!("rollout.samples[{index}]"), value);
            let service = Name(sample.name("service"));
            let model = Name(sample.line("model", Some("")));
            config.rollout.samples.push(Sample { service, model });
            faults.extend(sample.done());
        }
        faults.extend(section.done());
    }
    for (index, value) in reader.list("models").iter().enumerate() {
        let mut section = Reader::new(&format!("models[{index}]"), value);
        let name = Name(section.name("name"));
        let weight_mb = section.num("weight_mb", None, 1, 10_000_000);
        let load_ms = section.num("load_ms", Some(3000), 1, 3_600_000);
        faults.extend(section.done());
        config.models.push(Model { name, weight_mb, load_ms });
    }
    for (index, value) in reader.list("adapters").iter().enumerate() {
        let mut section = Reader::new(&format!("adapters[{index}]"), value);
        let name = Name(section.name("name"));
        let model = Name(section.name("model"));
        let weight_mb = section.num("weight_mb", None, 1, 1_000_000);
        let load_ms = section.num("load_ms", Some(500), 1, 3_600_000);
        faults.extend(section.done());
        config.adapters.push(Adapter { name, model, weight_mb, load_ms });
    }
    for (index, value) in reader.list("services").iter().enumerate() {
        config.services.push(service(index, value, &mut faults));
    }
    for (index, value) in reader.list("tenants").iter().enumerate() {
        config.tenants.push(tenant_format::read(index, value, &mut faults));
    }
    faults.extend(reader.done());
    faults.extend(super::check::check(&config));
    faults.extend(tenant_format::check(&config.tenants));
    if faults.is_empty() { Ok(config) } else { Err(faults) }
}

/// The size of a configuration, taken before the rest of it is read.
fn size(tree: &Tree) -> ConfigSize {
    ConfigSize {
        bytes: tree.to_string().len(),
        services: tree.list("services").len(),
        routes: tree.list("services").iter().map(|s| s.list("routes").len()).sum(),
        models: tree.list("models").len(),
        adapters: tree.list("adapters").len(),
        tenants: tree.list("tenants").len(),
    }
}

fn allowance(value: Option<&Tree>, path: &str, defaults: Allowance, faults: &mut Vec<Fault>) -> Allowance {
    let Some(value) = value else { return defaults };
    let mut reader = Reader::new(path, value);
    let ms = reader.num("ms", Some(defaults.ms), 1, 3_600_000);
    let tries = reader.num("tries", Some(defaults.tries), 1, 1000);
    faults.extend(reader.done());
    Allowance { ms, tries }
}

fn service(index: usize, value: &Tree, faults: &mut Vec<Fault>) -> Service {
    let path = format!("services[{index}]");
    let mut reader = Reader::new(&path, value);
    let name = Name(reader.name("name"));
    let sort = match reader.one_of("sort", "plain", &["assistant", "plain"]).as_str() {
        "assistant" => ServiceKind::Assistant,
        _ => ServiceKind::Plain,
    };
    let inbox = reader.num("inbox", Some(256), 0, 100_000);
    let slots = reader.num("slots", Some(8), 1, 10_000);
    let links = reader.num("links", Some(1024), 1, 1_000_000);
    let health = reader.line("health", Some(""));
    let tokens = reader.num("tokens", Some(0), 0, 1 << 40);
    let stride = reader.num("stride", Some(1), 1, 1000);
    let room_mb = reader.num("room_mb", Some(0), 0, 1 << 40);
    let places = reader.num("places", Some(0), 0, 100_000);
    let models = reader.texts("models").into_iter().map(Name).collect();
    let adapters = reader.texts("adapters").into_iter().map(Name).collect();
    let mut routes = Vec::new();
    for (route_index, value) in reader.list("routes").iter().enumerate() {
        let mut route = Reader::new(&format!("{path}.routes[{route_index}]"), value);
        let prefix = route.line("prefix", None);
        let host = route.line("host", Some(""));
        let class = Class::from(route.one_of("class", "normal", &CLASSES).as_str());
        let resumable = route.flag("resumable", false);
        let due_ms = route.num("due_ms", Some(30_000), 10, 3_600_000);
        let body_kb = route.num("body_kb", Some(1024), 1, 65_536);
        let kind = RouteKind::from(route.one_of("kind", "once", &["once", "idempotent", "stream"]).as_str());
        let tries = route.num("tries", Some(16), 1, 1000);
        let aim_ms = route.num("aim_ms", Some(0), 0, 3_600_000);
        let gap_ms = route.num("gap_ms", Some(0), 0, 3_600_000);
        let sticky = route.flag("sticky", false);
        let open = route.flag("open", false);
        let mut split = Vec::new();
        for (share_index, value) in route.list("split").iter().enumerate() {
            let mut share = Reader::new(&format!("{path}.routes[{route_index}].split[{share_index}]"), value);
            let service = Name(share.name("service"));
            let weight = share.num("weight", None, 0, 1_000_000);
            faults.extend(share.done());
            split.push(Share { service, weight });
        }
        if !prefix.starts_with('/') {
            route.fault("prefix", "does not start with /", "write it as \"/name\"");
        }
        faults.extend(route.done());
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
    faults.extend(reader.done());
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
