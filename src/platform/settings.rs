use super::caller::Caller;
use super::list::Instances;
use super::operator::{Figures, Operator, Origin};
use super::runner::RunnerWords;
use crate::constraints::QuotaSettings;
use crate::daemon::config::NodeConfig;
use crate::fleet::config::Budget;
use crate::kernel::fault::{Fault, Kind};
use crate::kernel::ids::Name;
use crate::kernel::time::Span;
use crate::msg::Role;
use crate::protocol::Protocols;
use crate::runner_list::timing::ListTiming;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use yaml_rust2::{Yaml, YamlLoader};

const LAME_MS: u64 = 2300;
/// The part of the grace that answers under way have to be handed over whole.
const ROUTER_DRAIN: f64 = 0.95;
/// The part of the grace that a controller has to leave the chain.
const CONTROLLER_DRAIN: f64 = 0.85;
/// What is left of the time for an acknowledgement for the commit, and for a caller to come back for it.
const ACKNOWLEDGEMENT_RESERVE_MS: u64 = 1500;

/// How long an acknowledgement may wait for the leases of routers that can't confirm.
fn acknowledgement_wait(acknowledged_within: u64) -> u64 {
    acknowledged_within.saturating_sub(ACKNOWLEDGEMENT_RESERVE_MS)
}

pub const PATH: &str = "SPINDLEDOCK_SETTINGS";

fn fault(place: &str, what: impl Into<String>, remedy: &str) -> Fault {
    Fault::new(Kind::Config, place, what, remedy)
}

pub fn path() -> Option<PathBuf> {
    std::env::var(PATH).ok().map(PathBuf::from)
}

pub fn start(role: Role) -> Result<NodeConfig, Vec<Fault>> {
    let path = std::env::var(PATH)
        .map_err(|_| vec![fault(PATH, "is not set", "set it to the path of the settings file")])?;
    let text = std::fs::read_to_string(&path)
        .map_err(|e| vec![fault(&path, e.to_string(), "name a file this process can read")])?;
    read(role, &text)
}

struct Rows<'a> {
    doc: &'a Yaml,
    faults: Vec<Fault>,
}

impl Rows<'_> {
    fn at(&self, path: &str) -> &Yaml {
        path.split('.').fold(self.doc, |t, key| &t[key])
    }

    fn text(&mut self, path: &str) -> String {
        if let Some(t) = self.at(path).as_str() {
            return t.to_string();
        }
        self.faults.push(fault(path, "is missing or no text", "give it as the settings page says"));
        String::new()
    }

    fn addr(&mut self, path: &str) -> SocketAddr {
        let text = self.text(path);
        if let Ok(a) = text.parse() {
            return a;
        }
        self.faults.push(fault(path, format!("\"{text}\" is no address"), "give IP:PORT"));
        SocketAddr::from(([0, 0, 0, 0], 0))
    }

    fn num(&self, path: &str, dflt: f64) -> f64 {
        let t = self.at(path);
        t.as_f64().or_else(|| t.as_i64().map(|n| n as f64)).unwrap_or(dflt)
    }
}

/// How exactly quotas are kept.
fn quota(r: &Rows) -> QuotaSettings {
    let default = QuotaSettings::default();
    let window_s = r.num("Timers.QuotaWindowS", default.window.as_ms() as f64 / 1000.0);
    let tolerance = r.num("Timers.QuotaTolerance", default.tolerance_milli as f64 / 1000.0);
    QuotaSettings {
        window: Span::ms((window_s * 1000.0) as u64),
        tolerance_milli: (tolerance * 1000.0) as u64,
        slack: r.num("Timers.QuotaSlack", default.slack as f64) as u64,
    }
}

pub fn read(role: Role, text: &str) -> Result<NodeConfig, Vec<Fault>> {
    let docs = YamlLoader::load_from_str(text)
        .map_err(|e| vec![fault("settings", e.to_string(), "write one well-formed YAML document")])?;
    let Some(doc) = docs.first() else {
        return Err(vec![fault("settings", "is empty", "write one YAML document")]);
    };
    let mut r = Rows { doc, faults: vec![] };
    let (front, admin) = match role {
        Role::Router => (Some(r.addr("Bindings.FrontHttp")), r.addr("Bindings.Readiness")),
        Role::Controller => (None, r.addr("Bindings.ControlPlane")),
    };
    let ip = r.text("Ip");
    let ip: IpAddr = ip.parse().unwrap_or_else(|_| {
        r.faults.push(fault("Ip", format!("\"{ip}\" is no address"), "give this machine's IP number"));
        admin.ip()
    });
    let port = r.at("EphemeralPorts")[0].as_i64().and_then(|n| u16::try_from(n).ok()).unwrap_or(0);
    if port == 0 {
        r.faults.push(fault("EphemeralPorts", "holds no port", "give the first and the last free port"));
    }
    let mut seeds: Vec<SocketAddr> = Vec::new();
    if r.at("SeedPeers").as_vec().is_none() {
        r.faults.push(fault("SeedPeers", "is no list", "list the addresses of other machines"));
    }
    for s in r.at("SeedPeers").as_vec().cloned().unwrap_or_default() {
        match s.as_str().and_then(|t| t.parse::<SocketAddr>().ok()) {
            Some(a) => seeds.push(SocketAddr::new(a.ip(), port)),
            None => r.faults.push(fault("SeedPeers", format!("{s:?} is no address"), "give IP:PORT")),
        }
    }
    let data = r.at("DataDir").as_str().map(PathBuf::from);
    if role == Role::Controller && data.is_none() {
        r.faults.push(fault("DataDir", "is missing", "run this role where there is a disk"));
    }
    let cloud = r.addr("CloudApi.Address");
    let lag = r.num("CloudApi.MaxLagMs", 800.0) as u64;
    let drain = Span::ms(r.num("Timers.DrainTimeoutMs", 4000.0) as u64);
    let budget = Budget {
        percent: (r.num("Timers.RetryBudgetRatio", 0.2) * 100.0) as u64,
        allowance: r.num("Timers.RetryMin", 10.0) as u64,
    };
    let origin = Origin {
        window_s: r.num("Timers.OriginWindowS", Origin::default().window_s),
        tolerance: r.num("Timers.OriginTolerance", Origin::default().tolerance),
    };
    let quota = quota(&r);
    let grace = r.num("Timers.GraceS", 8.0) * 1000.0;
    let proof_ms = r.num("Timers.ConvergenceMs", 2000.0).max(1000.0) as u64;
    let acknowledged_within = r.num("Timers.AckTimeoutMs", 4000.0) as u64;
    let node = r.text("NodeName");
    let zone = r.text("Zone");
    let bear = r.num("FaultTolerance.Machines", 1.0) as usize;
    let first = r.at("Bootstrap").as_bool().unwrap_or(false);
    if !r.faults.is_empty() {
        return Err(r.faults);
    }
    let pause = Duration::from_millis(lag.clamp(500, 1000));
    let list = Instances { addr: cloud, pause, timing: ListTiming { drain } };
    let figures = Figures { budget, origin };
    let protocols = Protocols {
        caller: Arc::new(Caller),
        runner: Arc::new(RunnerWords { node }),
        list: Some(Arc::new(list)),
        operator: Some(Arc::new(Operator { figures })),
    };
    Ok(NodeConfig {
        role,
        addr: SocketAddr::new(ip, port),
        admin,
        http: front,
        domain: Name(zone),
        seeds,
        core: 0,
        bear,
        first,
        data,
        drain_ms: (grace * if role == Role::Router { ROUTER_DRAIN } else { CONTROLLER_DRAIN }) as u64,
        proof_ms,
        lease_ms: proof_ms + acknowledgement_wait(acknowledged_within),
        lame_ms: if role == Role::Router { LAME_MS } else { 0 },
        protocols,
        quota,
        lean: true,
    })
}
