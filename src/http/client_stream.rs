//! The socket of a client connection: reads within the connection's limits, and closes in a way that lets the client
//! distinguish a complete answer from a truncated one.
#![deny(missing_docs)]

use super::client::ClientConnection;
use super::linger::reset_on_close;
use std::future::Future;
use std::io;
use std::os::fd::AsRawFd;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

/// The socket of a client connection.
pub struct ClientStream {
    tcp: TcpStream,
    connection: Arc<ClientConnection>,
    /// Whether closing the socket without a prior shutdown sends a reset.
    resets_on_close: bool,
    /// The timer until the next check whether the client has all of its answer.
    next_poll: Option<Pin<Box<Sleep>>>,
    /// Until when a client that still sends a refused body may read its answer.
    linger_until: Option<Instant>,
}

/// How long the rest of a refused body is read and discarded, so that the client can read the refusal.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// How much is read at a time of what is discarded.
const DISCARD_BYTES: usize = 16 << 10;
/// How often a closing connection checks whether its client has all of its answer.
const ACKNOWLEDGEMENT_POLL_PERIOD: Duration = Duration::from_millis(20);

impl ClientStream {
    /// Wraps `tcp`, subject to the limits of `connection`.
    pub fn new(tcp: TcpStream, connection: Arc<ClientConnection>) -> ClientStream {
        connection.set_socket(Some(tcp.as_raw_fd()));
        ClientStream { tcp, connection, resets_on_close: false, next_poll: None, linger_until: None }
    }

    /// For a client that takes the close of the connection as the end of its answer: makes any close a reset until the
    /// answer is complete. The kernel also sends the reset if the process ends.
    fn prepare_reset_on_close(&mut self) {
        if !self.resets_on_close && self.connection.is_ended_by_close() {
            self.resets_on_close = reset_on_close(&self.tcp, true).is_ok();
        }
    }

    /// The result of a write, or an error if the connection was cut while its client took nothing.
    fn unless_cut(&self, cx: &Context, done: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match self.connection.poll_cut_while_writing(cx, done.is_pending()) {
            true => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            false => done,
        }
    }

    /// Whether the client may still be sending a body that was refused.
    fn must_discard_body(&mut self, cx: &Context) -> bool {
        if !self.connection.has_unread_body() || self.connection.poll_expired(cx) {
            return false;
        }
        let now = Instant::now();
        now < *self.linger_until.get_or_insert(now + LINGER_TIMEOUT)
    }

    /// Reads and discards what the client still sends until it has all of its answer or has closed the connection.
    fn poll_linger(&mut self, cx: &mut Context) -> Poll<()> {
        let mut discarded = [0; DISCARD_BYTES];
        while self.connection.must_linger() || self.must_discard_body(cx) {
            let mut buf = ReadBuf::new(&mut discarded);
            match Pin::new(&mut self.tcp).poll_read(cx, &mut buf) {
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => continue,
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => {}
            }
            let next_poll =
                self.next_poll.get_or_insert_with(|| Box::pin(sleep(ACKNOWLEDGEMENT_POLL_PERIOD)));
            if next_poll.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            self.next_poll = None;
        }
        Poll::Ready(())
    }

    /// Makes the close an ordinary one again, unless the answer was broken off.
    fn cancel_reset_on_close(&mut self) {
        if self.resets_on_close && !self.connection.is_broken_off() {
            self.resets_on_close = reset_on_close(&self.tcp, false).is_err();
        }
    }
}

impl Drop for ClientStream {
    fn drop(&mut self) {
        self.connection.set_socket(None);
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let stream = self.get_mut();
        if stream.connection.poll_expired(cx) {
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        let done = Pin::new(&mut stream.tcp).poll_read(cx, buf);
        if buf.filled().len() > before {
            stream.connection.bytes_received();
        }
        done
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let stream = self.get_mut();
        stream.prepare_reset_on_close();
        let done = Pin::new(&mut stream.tcp).poll_write(cx, buf);
        stream.unless_cut(cx, done)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        let stream = self.get_mut();
        let done = Pin::new(&mut stream.tcp).poll_flush(cx);
        if let Poll::Ready(Ok(())) = &done {
            stream.connection.socket_flushed();
        }
        done
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        let stream = self.get_mut();
        stream.cancel_reset_on_close();
        if let Poll::Ready(Err(fault)) = Pin::new(&mut stream.tcp).poll_shutdown(cx) {
            return Poll::Ready(Err(fault));
        }
        stream.poll_linger(cx).map(Ok)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        rows: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let stream = self.get_mut();
        stream.prepare_reset_on_close();
        let done = Pin::new(&mut stream.tcp).poll_write_vectored(cx, rows);
        stream.unless_cut(cx, done)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }
}
