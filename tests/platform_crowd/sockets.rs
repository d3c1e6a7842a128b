//! What the kernel says of connections.

use std::net::SocketAddr;

/// An address as `/proc/net/tcp` writes it.
fn kernel_text(addr: SocketAddr) -> String {
    let SocketAddr::V4(addr) = addr else { panic!("an IPv4 address") };
    format!("{:08X}:{:04X}", u32::from_le_bytes(addr.ip().octets()), addr.port())
}

/// Whether bytes that were sent to `addr` on an established connection are not acknowledged or not read.
pub fn has_unread_bytes(addr: SocketAddr) -> bool {
    const ESTABLISHED: &str = "01";
    const CLOSED_BY_PEER: &str = "08";
    let (addr, text) = (kernel_text(addr), std::fs::read_to_string("/proc/net/tcp").expect("readable"));
    text.lines().skip(1).any(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (local, remote, state) = (fields[1], fields[2], fields[3]);
        let (to_send, to_read) = fields[4].split_once(':').expect("two queues");
        let is_open = state == ESTABLISHED || state == CLOSED_BY_PEER;
        let holds = |queue: &str| queue.bytes().any(|b| b != b'0');
        is_open && (local == addr && holds(to_read) || remote == addr && holds(to_send))
    })
}
