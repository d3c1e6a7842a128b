//! What the kernel does with a connection when its socket is closed.
#![deny(missing_docs)]

use std::io;
use std::os::fd::AsRawFd;

/// If `is_enabled`, makes the close of `socket`, by the program or at its end, a reset that drops all unacknowledged
/// bytes; otherwise makes it an ordinary close again. Fails with the error of `setsockopt`.
pub fn reset_on_close(socket: &impl AsRawFd, is_enabled: bool) -> io::Result<()> {
    let linger = libc::linger { l_onoff: is_enabled.into(), l_linger: 0 };
    let size = std::mem::size_of_val(&linger) as libc::socklen_t;
    let at = (&raw const linger).cast();
    match unsafe { libc::setsockopt(socket.as_raw_fd(), libc::SOL_SOCKET, libc::SO_LINGER, at, size) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}
