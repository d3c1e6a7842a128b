//! The ports of a fleet on this machine.
#![deny(missing_docs)]

use super::deployment::{Deployment, small};
use std::net::{SocketAddr, TcpListener};

/// The ports that one process may use.
pub const PORTS_EACH: u16 = 4;
/// The ports that a fleet of the users' sizes takes.
const PORTS_LEAST: u16 = 300;
/// Ports below this one are not given to outgoing connections.
const PORTS_END: u16 = 32_000;
const PORTS_FROM: u16 = 20_000;

/// Where the ports of each kind of process begin, counted from the first one of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    /// The first router's.
    pub routers: u16,
    /// The first assistant runner's.
    pub assistants: u16,
    /// The first plain runner's.
    pub plains: u16,
    /// How many there are in all.
    pub end: u16,
}

impl Ports {
    /// Each runner may have a successor with a number of its own.
    pub fn of(plan: &Deployment) -> Ports {
        let taken = |processes: usize| PORTS_EACH * (processes as u16 + 1);
        let routers = taken(plan.core).max(60);
        let assistants = routers + taken(plan.routers).max(90);
        let plains = assistants + taken(2 * plan.assistants).max(60);
        let end = plains + taken(2 * plan.plains);
        Ports { routers, assistants, plains, end: end.max(PORTS_LEAST) }
    }
}

/// The first of as many free ports as a fleet of this size takes.
pub fn free_base_for(plan: &Deployment) -> u16 {
    let need = Ports::of(plan).end;
    let bases = (PORTS_END - PORTS_FROM) / need;
    let from = std::process::id() as u16 % bases;
    let free = |base: &u16| (0..need).step_by(7).all(|n| TcpListener::bind(at(base + n)).is_ok());
    let base = |n: u16| PORTS_FROM + (from + n) % bases * need;
    (0..bases).map(base).find(free).unwrap_or(PORTS_FROM)
}

/// The first of the free ports of a fleet of the users' sizes.
pub fn free_base() -> u16 {
    free_base_for(&small())
}

/// An address on loopback.
pub fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
