//! A socket that takes little at a time, as one behind a slow link does.

use std::io;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use tokio::net::{TcpSocket, TcpStream};

/// The bytes that wait for the reader at most.
const RECEIVE_BUFFER: u32 = 16 << 10;
/// The size of a segment on an ordinary link; that of loopback is far larger.
static SEGMENT: libc::c_int = 1460;

/// Connects to `addr` with small segments and a small buffer.
pub async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    let size = std::mem::size_of_val(&SEGMENT) as libc::socklen_t;
    let at = (&raw const SEGMENT).cast();
    let done = unsafe { libc::setsockopt(socket.as_raw_fd(), libc::IPPROTO_TCP, libc::TCP_MAXSEG, at, size) };
    if done != 0 {
        return Err(io::Error::last_os_error());
    }
    socket.connect(addr).await
}
