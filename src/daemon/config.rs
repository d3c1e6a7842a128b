//! The settings of a process, as its JSON file and the flags of [`super::command_line`] give them. The platform's own
//! settings file is read in [`crate::platform::settings`].

use crate::constraints::QuotaSettings;
use crate::distribution::reader::SERVING_LEASE;
use crate::json::{Reader, Tree};
use crate::kernel::fault::Fault;
use crate::kernel::ids::Name;
use crate::msg::Role;
use crate::protocol::Protocols;
use std::net::SocketAddr;
use std::path::PathBuf;

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
    /// Whether the process runs its I/O on one thread.
    pub is_single_threaded: bool,
}

/// The address under `key`; `None` with a fault if it is malformed, or missing although it `must` be there.
fn address(r: &mut Reader, key: &'static str, must: bool) -> Option<SocketAddr> {
    let text = match (r.take(key), must) {
        (Some(Tree::Text(t)), _) => t.clone(),
        (None, false) => return None,
        (None, true) => {
            r.fault(key, "is missing", "give IP:PORT");
            return None;
        }
        _ => String::new(),
    };
    match text.parse::<SocketAddr>() {
        Ok(a) if a.port() != 0 && !a.ip().is_unspecified() => Some(a),
        _ => {
            r.fault(key, &format!("\"{text}\" is no address others can reach"), "give IP:PORT, both set");
            None
        }
    }
}

/// Reads and checks the settings of a process with `role`. Fails with all faults found.
pub fn read(role: Role, tree: &Tree) -> Result<NodeConfig, Vec<Fault>> {
    let mut r = Reader::new("", tree);
    let addr = address(&mut r, "address", true);
    let admin = address(&mut r, "admin", true);
    let http = address(&mut r, "http", role == Role::Router);
    if role == Role::Controller && http.is_some() {
        r.fault("http", "is set for a controller", "remove it; only routers take callers");
    }
    let domain = r.text("domain", None);
    if domain.is_empty() && r.faults.iter().all(|f| f.place != "domain") {
        r.fault("domain", "is empty", "name the zone this process runs in");
    }
    let mut seeds = Vec::new();
    for text in r.texts("seeds") {
        match text.parse::<SocketAddr>() {
            Ok(a) if seeds.contains(&a) => r.fault("seeds", &format!("{a} is given twice"), "keep one"),
            Ok(a) => seeds.push(a),
            Err(_) => r.fault("seeds", &format!("\"{text}\" is not IP:PORT"), "give addresses by number"),
        }
    }
    if !(1..=3).contains(&seeds.len()) && r.faults.iter().all(|f| f.place != "seeds") {
        r.fault(
            "seeds",
            &format!("holds {} addresses", seeds.len()),
            "give one to three addresses of the fleet's processes",
        );
    }
    let core_size = r.num("core", Some(0), 2, 9) as usize;
    let tolerated_failures = r.num("bear", Some(1), 0, 4) as usize;
    let may_found = r.flag("first", true);
    let data = r.take("data").cloned();
    let data = match (data, role) {
        (Some(Tree::Text(t)), Role::Controller) if !t.is_empty() => Some(PathBuf::from(t)),
        (None, Role::Router) => None,
        (_, Role::Router) => {
            r.fault("data", "is set for a router", "remove it; routers keep nothing on disk");
            None
        }
        _ => {
            r.fault("data", "is missing or no path", "name a folder on a disk that keeps what is synced");
            None
        }
    };
    let lame_ms = r.num("lame_ms", Some(0), 0, 600_000);
    let drain_ms = r.num("drain_ms", Some(8000), 0, 600_000);
    let freshness_limit_ms = r.num("proof_ms", Some(2000), 1000, 60_000);
    let serving_lease_ms =
        r.num("lease_ms", Some(freshness_limit_ms.max(SERVING_LEASE.as_ms())), freshness_limit_ms, 120_000);
    if let (Some(a), Some(b)) = (addr, admin)
        && (a == b || http == Some(a) || http == Some(b))
    {
        r.fault("admin", "shares its port with another address", "give each its own port");
    }
    let bad = r.done();
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
                is_single_threaded,
            })
        }
        _ => Err(bad),
    }
}
