//! The platform's settings file (YAML), read into the settings of a process.

use super::caller::PlatformCaller;
use super::list::InstanceList;
use super::operator::{LoadRateLimit, PlatformOperator, SettingsFigures};
use super::runner::PlatformRunner;
use crate::constraints::QuotaSettings;
use crate::daemon::config::NodeConfig;
use crate::daemon::machine_limits::MachineLimits;
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

/// How long a router accepts requests after SIGTERM while clients find another one.
const ROUTER_LAME_MS: u64 = 2300;
/// The share of the grace period in which a router may complete open answers.
const ROUTER_DRAIN_SHARE: f64 = 0.95;
/// The share of the grace period in which a controller may leave the chain.
const CONTROLLER_DRAIN_SHARE: f64 = 0.85;
/// The part of the acknowledgement timeout that is reserved for the commit, and for a caller that repeats its request.
const ACK_RESERVE_MS: u64 = 1500;

/// How long an acknowledgement may wait for the serving leases of routers that can't confirm a change.
fn ack_wait_ms(ack_timeout_ms: u64) -> u64 {
    ack_timeout_ms.saturating_sub(ACK_RESERVE_MS)
}

/// The environment variable that holds the path of the settings file.
pub const PATH_VARIABLE: &str = "SPINDLEDOCK_SETTINGS";

fn fault(place: &str, what: impl Into<String>, remedy: &str) -> Fault {
    Fault::new(Kind::Config, place, what, remedy)
}

/// The path of the settings file, if the variable is set.
pub fn path() -> Option<PathBuf> {
    std::env::var(PATH_VARIABLE).ok().map(PathBuf::from)
}

/// Reads the settings file. Fails with all faults found.
pub fn start(role: Role) -> Result<NodeConfig, Vec<Fault>> {
    let path = std::env::var(PATH_VARIABLE)
        .map_err(|_| vec![fault(PATH_VARIABLE, "is not set", "set it to the path of the settings file")])?;
    let text = std::fs::read_to_string(&path)
        .map_err(|e| vec![fault(&path, e.to_string(), "name a file this process can read")])?;
    read(role, &text)
}

/// Reads values of the YAML document by their dotted paths and collects faults.
struct SettingsReader<'a> {
    doc: &'a Yaml,
    faults: Vec<Fault>,
}

impl SettingsReader<'_> {
    /// The value at `path`; a bad value if there is none.
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

    /// The number at `path`, or `default` if there is none.
    fn num(&self, path: &str, default: f64) -> f64 {
        let t = self.at(path);
        t.as_f64().or_else(|| t.as_i64().map(|n| n as f64)).unwrap_or(default)
    }
}

/// The settings of quotas.
fn quota(reader: &SettingsReader) -> QuotaSettings {
    let default = QuotaSettings::default();
    let window_s = reader.num("Timers.QuotaWindowS", default.window.as_ms() as f64 / 1000.0);
    let tolerance = reader.num("Timers.QuotaTolerance", default.tolerance_milli as f64 / 1000.0);
    QuotaSettings {
        window: Span::ms((window_s * 1000.0) as u64),
        tolerance_milli: (tolerance * 1000.0) as u64,
        slack: reader.num("Timers.QuotaSlack", default.slack as f64) as u64,
    }
}

/// The limits of the machine; what the settings don't say is asked of the system.
fn machine(reader: &SettingsReader) -> MachineLimits {
    let found = MachineLimits::detect();
    MachineLimits {
        memory_mb: reader.num("Limits.MemoryMb", found.memory_mb as f64) as u64,
        max_descriptors: reader.num("Limits.MaxFds", found.max_descriptors as f64) as u64,
    }
}

/// Reads the text of a settings file. Fails with all faults found.
pub fn read(role: Role, text: &str) -> Result<NodeConfig, Vec<Fault>> {
    let docs = YamlLoader::load_from_str(text)
        .map_err(|e| vec![fault("settings", e.to_string(), "write one well-formed YAML document")])?;
    let Some(doc) = docs.first() else {
        return Err(vec![fault("settings", "is empty", "write one YAML document")]);
    };
    let mut reader = SettingsReader { doc, faults: vec![] };
    let (http_addr, admin) = match role {
        Role::Router => (Some(reader.addr("Bindings.FrontHttp")), reader.addr("Bindings.Readiness")),
        Role::Controller => (None, reader.addr("Bindings.ControlPlane")),
    };
    let ip = reader.text("Ip");
    let ip: IpAddr = ip.parse().unwrap_or_else(|_| {
        reader.faults.push(fault("Ip", format!("\"{ip}\" is no address"), "give this machine's IP number"));
        admin.ip()
    });
    let port = reader.at("EphemeralPorts")[0].as_i64().and_then(|n| u16::try_from(n).ok()).unwrap_or(0);
    if port == 0 {
        reader.faults.push(fault("EphemeralPorts", "holds no port", "give the first and the last free port"));
    }
    let mut seeds: Vec<SocketAddr> = Vec::new();
    if reader.at("SeedPeers").as_vec().is_none() {
        reader.faults.push(fault("SeedPeers", "is no list", "list the addresses of other machines"));
    }
    for s in reader.at("SeedPeers").as_vec().cloned().unwrap_or_default() {
        match s.as_str().and_then(|t| t.parse::<SocketAddr>().ok()) {
            Some(a) => seeds.push(SocketAddr::new(a.ip(), port)),
            None => reader.faults.push(fault("SeedPeers", format!("{s:?} is no address"), "give IP:PORT")),
        }
    }
    let data = reader.at("DataDir").as_str().map(PathBuf::from);
    if role == Role::Controller && data.is_none() {
        reader.faults.push(fault("DataDir", "is missing", "run this role where there is a disk"));
    }
    let list_addr = reader.addr("CloudApi.Address");
    let max_lag_ms = reader.num("CloudApi.MaxLagMs", 800.0) as u64;
    let drain = Span::ms(reader.num("Timers.DrainTimeoutMs", 4000.0) as u64);
    let budget = Budget {
        percent: (reader.num("Timers.RetryBudgetRatio", 0.2) * 100.0) as u64,
        allowance: reader.num("Timers.RetryMin", 10.0) as u64,
    };
    let load_rate_limit = LoadRateLimit {
        window_s: reader.num("Timers.OriginWindowS", LoadRateLimit::default().window_s),
        tolerance: reader.num("Timers.OriginTolerance", LoadRateLimit::default().tolerance),
    };
    let quota = quota(&reader);
    let machine = machine(&reader);
    let grace_ms = reader.num("Timers.GraceS", 8.0) * 1000.0;
    let freshness_limit_ms = reader.num("Timers.ConvergenceMs", 2000.0).max(1000.0) as u64;
    let ack_timeout_ms = reader.num("Timers.AckTimeoutMs", 4000.0) as u64;
    let node = reader.text("NodeName");
    let zone = reader.text("Zone");
    let tolerated_failures = reader.num("FaultTolerance.Machines", 1.0) as usize;
    let may_found = reader.at("Bootstrap").as_bool().unwrap_or(false);
    if !reader.faults.is_empty() {
        return Err(reader.faults);
    }
    let pause = Duration::from_millis(max_lag_ms.clamp(500, 1000));
    let list = InstanceList { addr: list_addr, pause, timing: ListTiming { drain } };
    let figures = SettingsFigures { budget, load_rate_limit };
    let protocols = Protocols {
        caller: Arc::new(PlatformCaller),
        runner: Arc::new(PlatformRunner { node }),
        list: Some(Arc::new(list)),
        operator: Some(Arc::new(PlatformOperator { figures })),
    };
    Ok(NodeConfig {
        role,
        addr: SocketAddr::new(ip, port),
        admin,
        http: http_addr,
        domain: Name(zone),
        seeds,
        core_size: 0,
        tolerated_failures,
        may_found,
        data,
        drain_ms: (grace_ms * if role == Role::Router { ROUTER_DRAIN_SHARE } else { CONTROLLER_DRAIN_SHARE })
            as u64,
        freshness_limit_ms,
        serving_lease_ms: freshness_limit_ms + ack_wait_ms(ack_timeout_ms),
        lame_ms: if role == Role::Router { ROUTER_LAME_MS } else { 0 },
        protocols,
        quota,
        machine,
        is_single_threaded: true,
    })
}
