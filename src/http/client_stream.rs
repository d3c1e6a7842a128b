//! The socket of a client's connection: reads within the limits of the connection, and closes so that a client can
//! tell a whole answer from half of one.
#![deny(missing_docs)]

use super::client::ClientConnection;
use super::linger::reset_on_close;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The socket of a client's connection.
pub struct ClientStream {
    tcp: TcpStream,
    connection: Arc<ClientConnection>,
    /// Whether a close that was not announced is a reset.
    resets: bool,
}

impl ClientStream {
    /// Reads and writes `tcp` within the limits of `connection`.
    pub fn new(tcp: TcpStream, connection: Arc<ClientConnection>) -> ClientStream {
        ClientStream { tcp, connection, resets: false }
    }

    /// A client that takes the end of the connection for the end of its answer sees a reset, unless the answer was
    /// passed on to its end; so also where the process ends.
    fn expect_reset(&mut self) {
        if !self.resets && self.connection.is_ended_by_close() {
            self.resets = reset_on_close(&self.tcp, true).is_ok();
        }
    }

    fn expect_end(&mut self) {
        if self.resets && !self.connection.is_broken_off() {
            self.resets = reset_on_close(&self.tcp, false).is_err();
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let me = self.get_mut();
        if me.connection.poll_ended(cx) {
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        let done = Pin::new(&mut me.tcp).poll_read(cx, buf);
        if buf.filled().len() > before {
            me.connection.heard();
        }
        done
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let me = self.get_mut();
        me.expect_reset();
        Pin::new(&mut me.tcp).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().tcp).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        let me = self.get_mut();
        me.expect_end();
        Pin::new(&mut me.tcp).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        rows: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let me = self.get_mut();
        me.expect_reset();
        Pin::new(&mut me.tcp).poll_write_vectored(cx, rows)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }
}
