//! The socket under a connection to a runner. It refuses the first byte of a request that may no longer be sent, and
//! tracks whether bytes were written and flushed and whether the peer has sent any since.

use super::linger::reset_on_close;
use std::io::{self, IoSlice};
use std::os::fd::{AsRawFd, RawFd};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether a request may still be sent; evaluated right before its first byte is written.
pub type Check = Arc<dyn Fn() -> bool + Send + Sync>;

/// The write state of one connection, shared between the connection and its socket.
#[derive(Default)]
pub struct Guard {
    check: Mutex<Option<Check>>,
    has_written: AtomicBool,
    refused: AtomicBool,
    has_unflushed: AtomicBool,
    socket: Mutex<Option<RawFd>>,
}

impl Guard {
    /// Resets the state for the next request; `check` is evaluated right before its first byte is written.
    pub fn arm(&self, check: Check) {
        self.has_written.store(false, Ordering::SeqCst);
        self.refused.store(false, Ordering::SeqCst);
        *self.check.lock().unwrap() = Some(check);
    }

    /// Whether a byte was written since the guard was armed.
    pub fn has_written(&self) -> bool {
        self.has_written.load(Ordering::SeqCst)
    }

    /// Whether the check refused the request, so that none of its bytes was written.
    pub fn refused(&self) -> bool {
        self.refused.load(Ordering::SeqCst)
    }

    /// Whether all bytes written to the connection have reached the socket.
    pub fn is_flushed(&self) -> bool {
        !self.has_unflushed.load(Ordering::SeqCst)
    }

    /// Whether the peer has neither closed the connection nor sent a byte that is still unread.
    pub fn has_no_pending_input(&self) -> bool {
        let socket = self.socket.lock().unwrap();
        let Some(fd) = *socket else { return false };
        let mut byte = 0u8;
        let flags = libc::MSG_PEEK | libc::MSG_DONTWAIT;
        let got = unsafe { libc::recv(fd, (&raw mut byte).cast(), 1, flags) };
        got < 0 && io::Error::last_os_error().kind() == io::ErrorKind::WouldBlock
    }

    /// Prepares the socket for the end of a request that is abandoned. If the peer has not yet acknowledged all of it,
    /// the close becomes a reset, so that bytes in the kernel's send buffer are dropped instead of sent later. Otherwise
    /// it stays an ordinary close, which the kernel retransmits until the peer has received it.
    pub fn reset_if_unacknowledged(&self) {
        let socket = self.socket.lock().unwrap();
        let Some(fd) = *socket else { return };
        if self.is_flushed() && unacknowledged_bytes(fd) == Some(0) {
            return;
        }
        if let Err(fault) = reset_on_close(&fd, true) {
            log::warn!(event = "no-reset", fault = fault.to_string(); "");
        }
    }

    fn admit(&self) -> bool {
        let mut check = self.check.lock().unwrap();
        if let Some(check) = check.take()
            && !check()
        {
            self.refused.store(true, Ordering::SeqCst);
            return false;
        }
        !self.refused()
    }
}

/// How many bytes written to a socket its peer has not acknowledged; `None` if the kernel does not tell.
pub(super) fn unacknowledged_bytes(fd: RawFd) -> Option<libc::c_int> {
    let mut bytes: libc::c_int = 0;
    let done = unsafe { libc::ioctl(fd, libc::TIOCOUTQ, &raw mut bytes) };
    (done == 0).then_some(bytes)
}

/// A socket whose writes are checked by a [`Guard`].
pub struct GuardedStream {
    tcp: TcpStream,
    guard: Arc<Guard>,
}

impl GuardedStream {
    /// Puts `tcp` under `guard`.
    pub fn new(tcp: TcpStream, guard: Arc<Guard>) -> GuardedStream {
        *guard.socket.lock().unwrap() = Some(tcp.as_raw_fd());
        GuardedStream { tcp, guard }
    }
}

impl Drop for GuardedStream {
    fn drop(&mut self) {
        *self.guard.socket.lock().unwrap() = None;
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().tcp).poll_read(cx, buf)
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(buf)])
    }

    /// Writes the head and the body of a request from where they stand, so that no copy of a body is made.
    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        slices: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        let me = self.get_mut();
        if !me.guard.admit() {
            return Poll::Ready(Err(io::Error::other("the request may no longer be sent")));
        }
        me.guard.has_unflushed.store(true, Ordering::SeqCst);
        let done = Pin::new(&mut me.tcp).poll_write_vectored(cx, slices);
        if let Poll::Ready(Ok(n)) = &done
            && *n > 0
        {
            me.guard.has_written.store(true, Ordering::SeqCst);
        }
        done
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        let me = self.get_mut();
        let done = Pin::new(&mut me.tcp).poll_flush(cx);
        if let Poll::Ready(Ok(())) = &done {
            me.guard.has_unflushed.store(false, Ordering::SeqCst);
        }
        done
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().tcp).poll_shutdown(cx)
    }
}
