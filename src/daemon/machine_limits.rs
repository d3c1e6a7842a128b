//! What the machine gives to this process, and how much of it clients may take.

use crate::http::client_connections::ConnectionLimit;

/// The part of the memory that bodies of requests may take: one in this many bytes.
const BODY_MEMORY_SHARE: u64 = 4;
/// The part of the memory that buffered answers may take: one in this many bytes.
const ANSWER_MEMORY_SHARE: u64 = 8;
/// The part of the memory that connections of clients may take: one in this many bytes.
const CONNECTION_MEMORY_SHARE: u64 = 2;
/// The part of the memory that connections at the admin address may take: one in this many bytes.
const ADMIN_MEMORY_SHARE: u64 = 8;
/// The descriptors that are kept for files.
const FILE_DESCRIPTORS: u64 = 200;
/// How many eighths of the other descriptors clients may take; the rest is kept for runners, nodes and operators.
const CLIENT_EIGHTHS: u64 = 5;
/// How many eighths of the other descriptors connections at the admin address may take.
const ADMIN_EIGHTHS: u64 = 1;

/// The memory and the descriptors of this process.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct MachineLimits {
    /// The memory in MB.
    pub memory_mb: u64,
    /// The most open descriptors.
    pub max_descriptors: u64,
}

impl MachineLimits {
    /// The memory of the machine and the limit that the operating system sets to this process.
    pub fn detect() -> MachineLimits {
        MachineLimits { memory_mb: machine_memory_mb(), max_descriptors: descriptor_limit() }
    }

    /// How many bytes the bodies of all clients may take together.
    pub fn body_bytes(&self) -> usize {
        ((self.memory_mb << 20) / BODY_MEMORY_SHARE) as usize
    }

    /// How many bytes buffered answers may take together.
    pub fn answer_bytes(&self) -> usize {
        ((self.memory_mb << 20) / ANSWER_MEMORY_SHARE) as usize
    }

    /// The limit on the connections of clients.
    pub fn client_connections(&self) -> ConnectionLimit {
        self.connections(CLIENT_EIGHTHS, CONNECTION_MEMORY_SHARE)
    }

    /// The limit on the connections at the admin address.
    pub fn admin_connections(&self) -> ConnectionLimit {
        self.connections(ADMIN_EIGHTHS, ADMIN_MEMORY_SHARE)
    }

    fn connections(&self, eighths: u64, memory_share: u64) -> ConnectionLimit {
        let max = self.max_descriptors.saturating_sub(FILE_DESCRIPTORS) / 8 * eighths;
        ConnectionLimit { max: max as usize, memory: ((self.memory_mb << 20) / memory_share) as usize }
    }
}

/// The memory of the machine in MB, as the kernel tells it.
fn machine_memory_mb() -> u64 {
    let pages = unsafe { libc::sysconf(libc::_SC_PHYS_PAGES) }.max(0) as u64;
    let page_bytes = unsafe { libc::sysconf(libc::_SC_PAGESIZE) }.max(0) as u64;
    (pages * page_bytes) >> 20
}

/// The limit on open descriptors of this process.
fn descriptor_limit() -> u64 {
    let mut limit = libc::rlimit { rlim_cur: 0, rlim_max: 0 };
    match unsafe { libc::getrlimit(libc::RLIMIT_NOFILE, &raw mut limit) } {
        0 => limit.rlim_cur,
        _ => FILE_DESCRIPTORS,
    }
}
