//! The settings of a process, as its JSON file and the flags of [`super::command_line`] give them. The platform's own
//! settings file is read in [`crate::platform::settings`].

use super::machine_limits::MachineLimits;
use crate::constraints::QuotaSettings;
use crate::distribution::reader::SERVING_LEASE;
use crate::json::{Reader, Tree};
use crate::kernel::fault::Fault;
use crate::kernel::ids::Name;
use crate::msg::Role;
use crate::protocol::Protocols;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The least memory that a process can be given, in MB.
const MIN_MEMORY_MB: u64 = 32;
/// The fewest descriptors that a process can be given.
const MIN_DESCRIPTORS: u64 = 256;

/// The settings of one process. Those that [`NodeSettings`](super::assemble::NodeSettings) has too mean the same.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Router or controller.
    pub role: Role,
    /// Where other nodes reach this one.
    pub addr: SocketAddr,
    /// Where operators reach it.
    pub admin: SocketAddr,
    /// Where clients reach it; routers only.
    pub http: Option<SocketAddr>,
    /// Its failure domain (zone).
    pub domain: Name,
    /// Addresses of nodes that are contacted first.
    pub seeds: Vec<SocketAddr>,
    /// How many controllers found the fleet; 0 means 2 x `tolerated_failures` + 1.
    pub core_size: usize,
    /// How many lost controllers the fleet tolerates.
    pub tolerated_failures: usize,
    /// Whether this node may take part in founding a fleet.
    pub may_found: bool,
    /// The data folder; controllers only.
    pub data: Option<PathBuf>,
    /// The time limit of a shutdown.
    pub drain_ms: u64,
    /// How long a router accepts requests after SIGTERM.
    pub lame_ms: u64,
    /// How long a router may serve after its last proof that its configuration is current.
    pub freshness_limit_ms: u64,
    /// How long a router may continue while it reaches no controller.
    pub serving_lease_ms: u64,
    /// The protocols of clients, runners and operators.
    pub protocols: Protocols,
    /// How exactly quotas are kept.
    pub quota: QuotaSettings,
    /// What the machine gives to the process.
    pub machine: MachineLimits,
    /// Whether the process runs its I/O on one thread.
    pub is_single_threaded: bool,
}

/// The address under `key`; `None` with a fault if it is malformed, or missing although it `must` be there.
fn address(reader: &mut Reader, key: &'static str, must: bool) -> Option<SocketAddr> {
    let text = match (reader.take(key), must) {
        (Some(Tree::Text(t)), _) => t.clone(),
        (None, false) => return None,
        (None, true) => {
            reader.fault(key, "is missing", "give IP:PORT");
            return None;
        }
        _ => String::new(),
    };
    match text.parse::<SocketAddr>() {
        Ok(a) if a.port() != 0 && !a.ip().is_unspecified() => Some(a),
        _ => {
            reader.fault(
                key,
                &format!("\"{text}\" is not an address that other machines can reach"),
                "give IP:PORT, both set",
            );
            None
        }
    }
}

/// Reads and checks the settings of a process with `role`. Fails with all faults found.
pub fn read(role: Role, tree: &Tree) -> Result<NodeConfig, Vec<Fault>> {
    let mut reader = Reader::new("", tree);
    let addr = address(&mut reader, "address", true);
    let admin = address(&mut reader, "admin", true);
    let http = address(&mut reader, "http", role == Role::Router);
    if role == Role::Controller && http.is_some() {
        reader.fault("http", "is set for a controller", "remove it; only routers serve clients");
    }
    let domain = reader.text("domain", None);
    if domain.is_empty() && reader.faults.iter().all(|f| f.place != "domain") {
        reader.fault("domain", "is empty", "name the zone this process runs in");
    }
    let mut seeds = Vec::new();
    for text in reader.texts("seeds") {
        match text.parse::<SocketAddr>() {
            Ok(a) if seeds.contains(&a) => reader.fault("seeds", &format!("{a} is given twice"), "keep one"),
            Ok(a) => seeds.push(a),
            Err(_) => {
                reader.fault("seeds", &format!("\"{text}\" is not IP:PORT"), "give addresses by number")
            }
        }
    }
    if !(1..=3).contains(&seeds.len()) && reader.faults.iter().all(|f| f.place != "seeds") {
        reader.fault(
            "seeds",
            &format!("holds {} addresses", seeds.len()),
            "give one to three addresses of the fleet's processes",
        );
    }
    let core_size = reader.num("core", Some(0), 2, 9) as usize;
    let tolerated_failures = reader.num("bear", Some(1), 0, 4) as usize;
    let may_found = reader.flag("first", true);
    let data = reader.take("data").cloned();
    let data = match (data, role) {
        (Some(Tree::Text(t)), Role::Controller) if !t.is_empty() => Some(PathBuf::from(t)),
        (None, Role::Router) => None,
        (_, Role::Router) => {
            reader.fault("data", "is set for a router", "remove it; routers keep nothing on disk");
            None
        }
        _ => {
            reader.fault("data", "is missing or not a path", "name a folder on a persistent disk");
            None
        }
    };
    let lame_ms = reader.num("lame_ms", Some(0), 0, 600_000);
    let drain_ms = reader.num("drain_ms", Some(8000), 0, 600_000);
    let freshness_limit_ms = reader.num("proof_ms", Some(2000), 1000, 60_000);
    let serving_lease_ms = reader.num(
        "lease_ms",
        Some(freshness_limit_ms.max(SERVING_LEASE.as_ms())),
        freshness_limit_ms,
        120_000,
    );
    let found = MachineLimits::detect();
    let machine = MachineLimits {
        memory_mb: reader.num("memory_mb", Some(found.memory_mb), MIN_MEMORY_MB, u64::MAX),
        max_descriptors: reader.num(
            "max_descriptors",
            Some(found.max_descriptors),
            MIN_DESCRIPTORS,
            u64::MAX,
        ),
    };
    if let (Some(a), Some(b)) = (addr, admin)
        && (a == b || http == Some(a) || http == Some(b))
    {
        reader.fault("admin", "shares its port with another address", "give each its own port");
    }
    let bad = reader.done();
    match (addr, admin) {
        (Some(addr), Some(admin)) if bad.is_empty() => {
            let domain = Name(domain);
            let (protocols, is_single_threaded) = (Protocols::default(), false);
            Ok(NodeConfig {
                role,
                addr,
                admin,
                http,
                domain,
                seeds,
                core_size,
                tolerated_failures,
                may_found,
                data,
                drain_ms,
                lame_ms,
                freshness_limit_ms,
                serving_lease_ms,
                protocols,
                quota: QuotaSettings::default(),
                machine,
                is_single_threaded,
            })
        }
        _ => Err(bad),
    }
}
